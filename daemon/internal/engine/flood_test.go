package engine

import (
	"log/slog"
	"testing"

	"bulrushspoke/standin/flood/floodtest"
	"bulrushspoke/wire"
)

// Guards against a daemon that runs out of memory because its engine answers without end.
func TestEndlessAnswer(t *testing.T) {
	for name, call := range map[string]func(t *testing.T, e *Engine) error{
		"version": func(t *testing.T, e *Engine) error {
			t.Helper()
			_, err := e.ReadVersion()
			return err
		},
		"load": func(t *testing.T, e *Engine) error {
			t.Helper()
			return e.order(wire.Target{Version: 1, Fence: 1})
		},
	} {
		t.Run(name, func(t *testing.T) {
			floodtest.Check(t, func(t *testing.T, address string) {
				t.Helper()
				e := New(Config{Name: "e", Model: "m", URL: "http://" + address}, func(wire.Server, bool) {}, slog.New(slog.DiscardHandler))
				if err := call(t, e); err == nil {
					t.Error("the call succeeded")
				}
			})
		})
	}
}
