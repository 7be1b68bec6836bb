// Package floodtest checks that clients survive answers without end.
//
// # Usage
//
//	floodtest.Check(t, func(t *testing.T, address string) { err := call(address); … })
package floodtest

import (
	"runtime"
	"testing"

	"bulrushspoke/standin/flood"
)

const (
	// maxTaken bounds what a client may take of an answer: the largest answer that any client accepts, and what the buffers
	// of two sockets hold.
	maxTaken = 48 << 20
	// maxAllocated bounds what a client may allocate for an answer.
	maxAllocated = 128 << 20
)

// Check calls a function for a server with each form of an endless answer. It fails the test if the call takes or
// allocates more than an answer may cost.
func Check(t *testing.T, call func(t *testing.T, address string)) {
	t.Helper()
	for _, form := range flood.Forms() {
		t.Run(string(form), func(t *testing.T) {
			s, err := flood.Start(form)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = s.Close() }()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			call(t, s.Address())
			runtime.ReadMemStats(&after)
			if n := s.Sent(); n > maxTaken {
				t.Errorf("the client took %d MB of the answer", n>>20)
			}
			if n := after.TotalAlloc - before.TotalAlloc; n > maxAllocated {
				t.Errorf("the client allocated %d MB", n>>20)
			}
		})
	}
}
