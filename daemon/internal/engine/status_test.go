package engine

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"bulrushspoke/daemon/internal/attempt"
	"bulrushspoke/internal/httpstatus/statustest"
	"bulrushspoke/internal/refusal"
	"bulrushspoke/wire"
)

// Guards against a command or a state of an engine that counts as answered although the status is invalid.
func TestInvalidStatus(t *testing.T) {
	statustest.Check(t, func(t *testing.T, address string) error {
		t.Helper()
		e := newEngine(address, func(bool) {})
		_, _, err := e.do(fasthttp.MethodPost, "/load", []byte("{}"))
		return err
	})
}

// Guards against an engine that counts as crashed, and an attempt that counts as not run, because the answer has an invalid
// status.
func TestInvalidStatusOfStream(t *testing.T) {
	statustest.Check(t, func(t *testing.T, address string) error {
		t.Helper()
		e := newEngine(address, func(crashed bool) {
			if crashed {
				t.Error("the engine counts as crashed")
			}
		})
		table := attempt.NewTable("inc", 1, time.Now(), attempt.Limits{MaxBytes: 1 << 20, MaxKeys: 1})
		a, _, refused := table.Admit(time.Now(), wire.Work{Attempt: "a", Max: 4, Left: 10_000})
		if refused != nil {
			t.Fatal(refused)
		}
		end, _ := e.Run(t.Context(), a, 1)
		if end.Refusal == nil {
			return nil
		}
		if end.Crashed || end.Refusal.Ran() != refusal.Unknown || !strings.Contains(end.Refusal.Error(), "invalid status") {
			t.Errorf("got crashed %t, ran %s, %v", end.Crashed, end.Refusal.Ran(), end.Refusal)
		}
		return end.Refusal
	})
}

func newEngine(address string, changed func(crashed bool)) *Engine {
	return New(Config{Name: "e", URL: "http://" + address, Slots: 1},
		func(_ wire.Server, crashed bool) { changed(crashed) }, slog.New(slog.DiscardHandler))
}
