package upstream

import (
	"testing"
	"time"

	"bulrushspoke/internal/httpstatus/statustest"
)

// Guards against an answer with an invalid status that is passed on to a client or skipped as an interim one.
func TestInvalidStatus(t *testing.T) {
	statustest.Check(t, func(t *testing.T, address string) error {
		t.Helper()
		p := New(Limits{Dial: time.Second, Idle: 4})
		r, err := p.Send(t.Context(), Target{Address: address}, Request{Method: "GET", URI: "/", Host: "h"})
		if err != nil {
			return err
		}
		r.Close()
		return nil
	})
}
