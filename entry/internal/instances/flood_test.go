package instances

import (
	"log/slog"
	"testing"
	"time"

	"bulrushspoke/standin/flood/floodtest"
)

// Guards against an entry that runs out of memory because the list of instances has no end.
func TestEndlessAnswer(t *testing.T) {
	floodtest.Check(t, func(t *testing.T, address string) {
		t.Helper()
		p := New("http://"+address+"/instances", time.Second, nil, nil, nil, slog.New(slog.DiscardHandler))
		if _, err := p.fetch(); err == nil {
			t.Error("the call succeeded")
		}
	})
}
