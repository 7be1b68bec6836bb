package retire

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bulrushspoke/internal/upstream"
	"bulrushspoke/platform"
	"bulrushspoke/standin/objects"
)

// Guards against an instance that never confirms its retirement, and against one that confirms the retirement of
// another. The request may exist before the process starts, and the response to the status update may be lost.
func TestConfirmsRetirement(t *testing.T) {
	for name, before := range map[string]bool{"before the start": true, "after the start": false} {
		t.Run(name, func(t *testing.T) {
			s := objects.New()
			server := httptest.NewServer(s)
			t.Cleanup(server.CloseClientConnections)
			logger := slog.New(slog.DiscardHandler)
			pool := upstream.New(upstream.Limits{Dial: time.Second, Idle: 4})
			c := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), 200*time.Millisecond, pool, logger)
			s.Put("retirements", "other", []byte(`{"duration_s":10}`))
			if before {
				s.Put("retirements", "mine", []byte(`{"duration_s":10}`))
			}
			s.SetFault(objects.Fault{LostResponses: 1})
			go func() { _ = Run(t.Context(), "mine", c, logger) }()
			if !before {
				time.Sleep(100 * time.Millisecond)
				s.Put("retirements", "mine", []byte(`{"duration_s":10}`))
			}
			deadline := time.Now().Add(10 * time.Second)
			for !platform.IsRetirementDone(s.Status("retirements", "mine")) {
				if time.Now().After(deadline) {
					t.Fatal("the retirement was not confirmed within 10 s")
				}
				time.Sleep(5 * time.Millisecond)
			}
			if s.Status("retirements", "other") != nil {
				t.Error("the retirement of another instance was confirmed")
			}
		})
	}
}

// Guards against an instance that reads a withdrawn request without end; every call to the store is counted.
func TestRequestWithdrawnBeforeItsConfirmation(t *testing.T) {
	s := objects.New()
	var reads atomic.Int32
	withdrawn := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/mine") && reads.Add(1) == 1 {
			s.Remove("retirements", "mine")
			close(withdrawn)
		}
		s.ServeHTTP(w, r)
	}))
	t.Cleanup(server.CloseClientConnections)
	logger := slog.New(slog.DiscardHandler)
	pool := upstream.New(upstream.Limits{Dial: time.Second, Idle: 4})
	c := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), time.Second, pool, logger)
	s.Put("retirements", "mine", []byte(`{"duration_s":10}`))
	go func() { _ = Run(t.Context(), "mine", c, logger) }()
	<-withdrawn
	time.Sleep(4 * retryWrite)
	if n := reads.Load(); n != 1 {
		t.Errorf("a request that was withdrawn was read %d times, want once", n)
	}
}
