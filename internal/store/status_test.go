package store

import (
	"log/slog"
	"testing"
	"time"

	"bulrushspoke/internal/httpstatus/statustest"
)

// Guards against a write or read that counts as answered although the status of the answer is invalid, such as 000, which
// the HTTP library reports as 200.
func TestInvalidStatus(t *testing.T) {
	statustest.Check(t, func(t *testing.T, address string) error {
		t.Helper()
		c := New("http://"+address, 2*time.Second, slog.New(slog.DiscardHandler))
		_, err := c.Create(t.Context(), "kind", "name", []byte("{}"))
		if err != nil {
			_, err = c.Get(t.Context(), "kind", "name")
		}
		return err
	})
}
