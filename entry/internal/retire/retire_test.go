package retire

import (
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bulrushspoke/internal/upstream"
	"bulrushspoke/platform"
	"bulrushspoke/standin/objects"
)

// Guards against an instance that is never given free, and against one that answers for another. The wish may be there
// before the process starts, and the store may lose the answer to the status.
func TestAnswersWish(t *testing.T) {
	for name, before := range map[string]bool{"before the start": true, "after the start": false} {
		t.Run(name, func(t *testing.T) {
			s := objects.New()
			server := httptest.NewServer(s)
			t.Cleanup(server.CloseClientConnections)
			quiet := slog.New(slog.DiscardHandler)
			pool := upstream.New(upstream.Limits{Dial: time.Second, Idle: 4})
			c := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), 200*time.Millisecond, pool, quiet)
			s.Put("retirements", "other", []byte(`{"duration_s":10}`))
			if before {
				s.Put("retirements", "mine", []byte(`{"duration_s":10}`))
			}
			s.Fault(objects.Fault{Lose: 1})
			go func() { _ = Run(t.Context(), "mine", c, quiet) }()
			if !before {
				time.Sleep(100 * time.Millisecond)
				s.Put("retirements", "mine", []byte(`{"duration_s":10}`))
			}
			deadline := time.Now().Add(10 * time.Second)
			for !platform.IsRetirementDone(s.Status("retirements", "mine")) {
				if time.Now().After(deadline) {
					t.Fatal("the wish is not answered")
				}
				time.Sleep(5 * time.Millisecond)
			}
			if s.Status("retirements", "other") != nil {
				t.Error("the process answered for another instance")
			}
		})
	}
}
