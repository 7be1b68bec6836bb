package sweep

import (
	"fmt"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushspoke/entry/internal/batch"
	"bulrushspoke/internal/upstream"
	"bulrushspoke/platform"
	"bulrushspoke/standin/objects"
)

// Guards against expired jobs that stay in the store, against jobs that are deleted while they must be readable, and
// against leftovers of a sweep that a store outage interrupted.
func TestSweep(t *testing.T) {
	s := objects.New()
	server := httptest.NewServer(s)
	t.Cleanup(server.CloseClientConnections)
	logger := slog.New(slog.DiscardHandler)
	pool := upstream.New(upstream.Limits{Dial: time.Second, Idle: 4})
	client := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), time.Second, pool, logger)
	now := time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)
	const retention = 10 * time.Minute
	put := func(id string, age time.Duration) {
		s.Put(batch.KindState, id, []byte(fmt.Sprintf(`{"at":%d}`, now.Add(-age).UnixMilli())))
		s.Put(batch.KindPayload, id, []byte(`{"parts":2}`))
		s.Put(batch.KindPayload, id+".0", []byte(`"x"`))
		s.Put(batch.KindTexts, id, []byte(`{}`))
		s.Put(batch.KindRecords+id, "000000", []byte(`{}`))
		s.Put(batch.KindRecords+id, "000001", []byte(`{}`))
	}
	put("old", retention+time.Second)
	put("young", retention-time.Second)
	put("old.1", retention-time.Second) // named like a part of the payload of "old"
	put("ws.a.c", retention+time.Second)
	s.Put(batch.KindState, "broken", []byte(`7`))
	sweeper := New(client, retention, logger)
	s.SetFault(objects.Fault{Unavailable: true})
	if err := sweeper.Sweep(t.Context(), now); err == nil {
		t.Error("a sweep in an outage reports no error")
	}
	s.SetFault(objects.Fault{})
	for range 2 {
		if err := sweeper.Sweep(t.Context(), now); err != nil {
			t.Fatal(err)
		}
	}
	for kind, want := range map[string][]string{
		batch.KindState:             {"broken", "old.1", "young"},
		batch.KindPayload:           {"old.1", "old.1.0", "young", "young.0"},
		batch.KindTexts:             {"old.1", "young"},
		batch.KindRecords + "old":   nil,
		batch.KindRecords + "young": {"000000", "000001"},
	} {
		if d := cmp.Diff(want, s.Names(kind)); d != "" {
			t.Errorf("%s (-want +got):\n%s", kind, d)
		}
	}
}
