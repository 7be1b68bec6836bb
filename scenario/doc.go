// Package scenario tests the real programs against the stand-ins, each as a separate process, by what callers,
// trainers, engines and services observe.
//
// # Usage
//
//	go test -race ./scenario            // all scripts of testdata
//	go test -run 'Scripts/entry' -v ./scenario
//	make demo
//
// The tests build the programs first, with the race detector if the test binary has it. SCENARIO_BIN names a directory
// of programs to use instead.
//
// A script in testdata starts a fleet, injects faults while trainers and callers send requests, and ends with "check",
// which applies all checks of package history. The commands of the scripts are described in commands_test.go.
package scenario
