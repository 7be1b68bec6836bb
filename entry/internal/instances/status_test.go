package instances

import (
	"log/slog"
	"testing"
	"time"

	"bulrushspoke/internal/httpstatus/statustest"
	"bulrushspoke/wire"
)

// Guards against a list of instances that replaces the last one although the status of the answer is invalid.
func TestInvalidStatus(t *testing.T) {
	statustest.Check(t, func(t *testing.T, address string) error {
		t.Helper()
		p := New("http://"+address, time.Second, nil, nil, func([]wire.Instance) {}, slog.New(slog.DiscardHandler))
		_, err := p.fetch()
		return err
	})
}
