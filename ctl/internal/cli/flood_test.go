package cli

import (
	"testing"
	"time"

	"bulrushspoke/standin/flood/floodtest"
	"bulrushspoke/wire"
)

// Guards against a command that runs out of memory because the process that it asks answers without end.
func TestEndlessAnswer(t *testing.T) {
	floodtest.Check(t, func(t *testing.T, address string) {
		t.Helper()
		a := &app{}
		a.URL, a.Timeout = "http://"+address, time.Second
		var target wire.Trace
		if err := a.get("/x", &target); err == nil {
			t.Error("the call succeeded")
		}
	})
}
