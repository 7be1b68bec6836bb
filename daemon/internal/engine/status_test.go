package engine

import (
	"log/slog"
	"testing"

	"github.com/valyala/fasthttp"

	"bulrushspoke/internal/httpstatus/statustest"
	"bulrushspoke/wire"
)

// Guards against a command or a state of an engine that counts as answered although the status is invalid.
func TestInvalidStatus(t *testing.T) {
	statustest.Check(t, func(t *testing.T, address string) error {
		t.Helper()
		e := New(Config{Name: "e", URL: "http://" + address, Slots: 1}, func(wire.Server, bool) {}, slog.New(slog.DiscardHandler))
		_, _, err := e.do(fasthttp.MethodPost, "/load", []byte("{}"))
		return err
	})
}
