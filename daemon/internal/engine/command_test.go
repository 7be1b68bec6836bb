package engine

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"bulrushspoke/wire"
)

// pausedOwnership runs a function while the ownership is checked.
type pausedOwnership struct {
	during func()
}

func (o pausedOwnership) Take(context.Context, string) error { return nil }

func (o pausedOwnership) Check(context.Context, string) (bool, error) {
	o.during()
	return true, nil
}

// Guards against an order of weights below the newest target, which arrived while the ownership was checked. An engine that
// ignores fencing tokens would load them.
func TestTargetRaisedDuringCheck(t *testing.T) {
	ordered := make(chan int64, 2)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			var q wire.EngineLoadRequest
			if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
				t.Errorf("order: %v", err)
			}
			ordered <- q.Version
		}
		if err := json.NewEncoder(w).Encode(wire.EngineVersion{Model: "m", Version: 1}); err != nil {
			t.Errorf("answer: %v", err)
		}
	}))
	t.Cleanup(s.Close)
	e := New(Config{Name: "e", Model: "m", URL: s.URL}, func(wire.Server, bool) {}, slog.New(slog.DiscardHandler))
	if _, err := e.ReadVersion(); err != nil {
		t.Fatalf("version: %v", err)
	}
	targets := NewTargets()
	targets.Offer(wire.Target{Model: "m", Version: 2, Fence: 2})
	o := pausedOwnership{during: func() { targets.Offer(wire.Target{Model: "m", Version: 3, Fence: 3}) }}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- e.Follow(ctx, targets, o, 0, time.Second, rand.New(rand.NewPCG(1, 1))) }()
	if v := <-ordered; v != 3 {
		t.Errorf("version %d was ordered although 3 is the target", v)
	}
	cancel()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Errorf("follow ended with %v", err)
	}
}
