package link

import (
	"log/slog"
	"testing"

	"bulrushspoke/standin/flood/floodtest"
)

// Guards against a process that runs out of memory because a process at the address of a peer answers without end.
func TestEndlessAnswer(t *testing.T) {
	floodtest.Check(t, func(t *testing.T, address string) {
		t.Helper()
		h := HandlerFunc(func(*Conn, Frame) error { return nil })
		if _, err := Dial(t.Context(), address, identity("dialler", "s"), h, slog.New(slog.DiscardHandler)); err == nil {
			t.Error("a link was opened")
		}
	})
}
