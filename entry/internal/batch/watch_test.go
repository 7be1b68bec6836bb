package batch

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bulrushspoke/internal/call"
	"bulrushspoke/platform/platformtest"
)

// Guards against an attempt that waits for a stalled engine although another one has room, an attempt that is ended
// although none has, and one that never ends.
func TestWatch(t *testing.T) {
	const long = time.Minute
	for name, tc := range map[string]struct {
		room bool
		most time.Duration
		ends bool
	}{
		"room elsewhere":    {room: true, most: long, ends: true},
		"no room elsewhere": {most: long},
		"too long":          {most: 50 * time.Millisecond, ends: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var looks atomic.Int64
			w := &stallWatch{
				cancel: cancel,
				roomElsewhere: func(time.Time) bool {
					looks.Add(1)
					return tc.room
				},
				stallTimeout: func(time.Time) time.Duration { return 10 * time.Millisecond },
				lastProgress: time.Now(),
				maxStall:     tc.most,
			}
			w.mu.Lock()
			w.timer = time.AfterFunc(0, w.check)
			w.mu.Unlock()
			defer w.stop()
			if tc.ends {
				select {
				case <-ctx.Done():
				case <-time.After(10 * time.Second):
					t.Fatal("the attempt is not ended")
				}
				if !w.fired() {
					t.Error("fired is false after the attempt was ended")
				}
				return
			}
			for looks.Load() < 3 {
				if ctx.Err() != nil {
					t.Fatal("the attempt was ended although no other engine has room")
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// Guards against an engine that sends valid events without end, which would exhaust the memory of the owner.
func TestEndlessText(t *testing.T) {
	endless, sound := newEngine(t, 1), newEngine(t, 1)
	data := strings.Repeat("a", 16<<10)
	var most atomic.Int64
	endless.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := platformtest.DecodeServerRequest(r.Header).ID
		platformtest.SetResponseHeaders(w.Header(), call.Answer{ID: id, Signature: platformtest.Signature, Version: 1})
		w.Header().Set("Content-Type", "text/event-stream")
		for n := int64(1); r.Context().Err() == nil; n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data); err != nil {
				return
			}
			most.Store(max(most.Load(), n))
		}
	})
	r := newRig(t, endless)
	m, _ := r.manager("a", "a1")
	r.submit(m, "j", payload(1, "g-2"))
	deadline := time.Now().Add(10 * time.Second)
	for most.Load() < maxTextBytes/int64(len(data)) {
		if time.Now().After(deadline) {
			t.Fatal("the engine gets no request, or stops too early")
		}
		time.Sleep(time.Millisecond)
	}
	r.engines = append(r.engines, sound)
	m.Catalog.ApplyServer(r.server(1, 200))
	m.Catalog.RemoveServer("i0", 200, time.Now())
	checkTexts(t, r.collect(m, "j", 1), "g-2")
	if n := most.Load() * int64(len(data)); n > 32<<20 { // the buffers of both sides, with a wide margin
		t.Errorf("%d bytes were read in one run", n)
	}
}

// Guards against data that counts as progress although it contains no new event: an engine that repeats one event, and
// one that sends comments only.
func TestEventsOnlyAreProgress(t *testing.T) {
	for name, again := range map[string]string{"old event": "id: 1\ndata: g-2.1\n\n", "comment": ": ping\n\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			stalled, sound := newEngine(t, 1), newEngine(t, 1)
			var asked atomic.Int64
			stalled.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				asked.Add(1)
				id := platformtest.DecodeServerRequest(r.Header).ID
				platformtest.SetResponseHeaders(w.Header(), call.Answer{ID: id, Signature: platformtest.Signature, Version: 1})
				w.Header().Set("Content-Type", "text/event-stream")
				for r.Context().Err() == nil {
					if _, err := w.Write([]byte(again)); err != nil {
						return
					}
					_ = http.NewResponseController(w).Flush()
					time.Sleep(20 * time.Millisecond)
				}
			})
			r := newRig(t, stalled)
			m, _ := r.manager("a", "a1")
			r.submit(m, "j", payload(1, "g-2"))
			deadline := time.Now().Add(10 * time.Second)
			for asked.Load() == 0 {
				if time.Now().After(deadline) {
					t.Fatal("the engine gets no request")
				}
				time.Sleep(time.Millisecond)
			}
			r.engines = append(r.engines, sound)
			m.Catalog.ApplyServer(r.server(1, 200))
			checkTexts(t, r.collect(m, "j", 1), "g-2")
		})
	}
}
