// Package scenario runs the real programs against the stand-ins, each as a separate process, and judges them from the
// outside.
//
// # Usage
//
//	go test -race ./scenario            // all scripts of testdata
//	go test -run 'Scripts/entry' -v ./scenario
//	make demo
//
// The programs are built first, with the race detector if the test has it; SCENARIO_BIN names a folder of programs to
// use in their place.
//
// A script in testdata starts a fleet, injects one or more failures while trainers and callers work, and ends with
// "check", which applies every rule of package history. The commands of the scripts are described in commands_test.go.
package scenario
