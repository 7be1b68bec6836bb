package batch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bulrushspoke/internal/call"
	"bulrushspoke/internal/job"
	"bulrushspoke/internal/jsonenc"
	"bulrushspoke/internal/store"
	"bulrushspoke/platform/platformtest"
	"bulrushspoke/standin/objects"
	"bulrushspoke/wire"
)

// sendText answers an item with a text of one event for each part.
func sendText(w http.ResponseWriter, id string, parts ...string) {
	platformtest.SetResponseHeaders(w.Header(), call.Answer{ID: id, Signature: platformtest.Signature, Version: 1})
	w.Header().Set("Content-Type", "text/event-stream")
	for n, p := range parts {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, p); err != nil {
			return
		}
	}
}

// sentRecords notes the records that are sent to a store, and counts those that are sent again unchanged after they were
// refused.
type sentRecords struct {
	Store
	mu       sync.Mutex
	refused  map[string]bool
	repeated int
}

func (s *sentRecords) Create(ctx context.Context, kind, name string, spec []byte) (int64, error) {
	record := strings.HasPrefix(kind, KindRecords)
	s.mu.Lock()
	if record && s.refused[string(spec)] {
		s.repeated++
	}
	s.mu.Unlock()
	revision, err := s.Store.Create(ctx, kind, name, spec)
	var large *store.TooLargeError
	if errors.As(err, &large) && record {
		s.mu.Lock()
		s.refused[string(spec)] = true
		s.mu.Unlock()
	}
	return revision, err
}

// Guards against results that are never listed because they have piled up while the store was unavailable, and their record
// is larger as encoded than the store allows.
func TestResultsOfOutageAreListed(t *testing.T) {
	const items, size, objectBytes = 24, 6 << 10, 64 << 10
	for _, tc := range []struct {
		name string
		text string
		most int // bytes of an object that the store takes
	}{
		{"markup", "<td>&", objectBytes},
		{"quotes", `"`, objectBytes},
		{"a store that takes less than it says", "a", 20 << 10},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			text := strings.Repeat(tc.text, size/len(tc.text))
			e := newEngine(t, 1)
			e.hijack = func(w http.ResponseWriter, id string, _ int) bool {
				sendText(w, id, text)
				return true
			}
			r := newRig(t, e)
			sent := &sentRecords{refused: make(map[string]bool)}
			r.wrap = func(s Store) Store {
				sent.Store = s
				return sent
			}
			m, _ := r.manager("a", "a1")
			m.MaxObjectBytes = objectBytes
			var ids []string
			for n := range items {
				ids = append(ids, fmt.Sprintf("g%d-1", n))
			}
			r.submit(m, "j", payload(1, ids...))
			r.store.SetFault(objects.Fault{Unavailable: true})
			await(t, "all items are done", func() bool { return m.local("j").openStatus() < 0 })
			r.store.SetFault(objects.Fault{MaxBytes: tc.most})
			for _, result := range r.collect(m, "j", items) {
				if result.State != job.Completed || result.Text != text {
					t.Errorf("item %s has state %d and a text of %d bytes", result.Item, result.State, len(result.Text))
				}
			}
			sent.mu.Lock()
			defer sent.mu.Unlock()
			if sent.repeated > 0 {
				t.Errorf("%d records were sent again unchanged", sent.repeated)
			}
		})
	}
}

// Guards against one result that the store refuses for its size, which keeps all later ones from being listed and is sent for
// good.
func TestTooLargeResultDoesNotBlock(t *testing.T) {
	e := newEngine(t, 1)
	part := strings.Repeat("a", 10<<10)
	e.hijack = func(w http.ResponseWriter, id string, _ int) bool {
		if id != "large-1" {
			return false
		}
		sendText(w, id, part, part, part)
		return true
	}
	r := newRig(t, e)
	sent := &sentRecords{refused: make(map[string]bool)}
	r.wrap = func(s Store) Store {
		sent.Store = s
		return sent
	}
	m, _ := r.manager("a", "a1")
	r.store.SetFault(objects.Fault{MaxBytes: 20 << 10})
	r.submit(m, "j", payload(1, "large-1", "g-2", "h-2"))
	checkTexts(t, r.collect(m, "j", 2), "g-2", "h-2")
	await(t, "the item runs again", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.runs["large-1"] > 1
	})
	sent.mu.Lock()
	defer sent.mu.Unlock()
	if sent.repeated > 0 {
		t.Errorf("%d records were sent again unchanged", sent.repeated)
	}
	// The first one may hold the results of other items, too.
	if n := len(sent.refused); n == 0 || n > 2 {
		t.Errorf("%d records were refused, want 1 or 2", n)
	}
}

// Guards against pages and checkpoints that are larger than the platform allows because their texts grow when they are
// encoded.
func TestEncodedSizeIsBounded(t *testing.T) {
	const limit = 1 << 20
	r := newRig(t, newEngine(t, 1))
	m, _ := r.manager("a", "a1")
	for name, c := range map[string]string{"markup": "<", "quotes": `"`, "controls": "\x01"} {
		t.Run(name, func(t *testing.T) {
			text := strings.Repeat(c, 100<<10)
			spec := job.Job{ID: "j"}
			j := newJob(m, spec, wire.JobState{Total: 30}, nil, time.Now())
			for n := range 30 {
				id := fmt.Sprint(n)
				j.results = append(j.results, job.Result{Item: id, Text: text})
				j.items[id] = &item{Item: job.Item{ID: id}, data: []string{text}, versions: []int{1}}
			}
			if reply := pageReply(j.pageFrom(0, maxPageBytes)); len(reply.Body) > limit {
				t.Errorf("the page has %d bytes", len(reply.Body))
			}
			parts, _ := j.longestParts()
			value, err := jsonenc.Marshal(wire.JobTexts{Parts: parts})
			if err != nil {
				t.Fatal(err)
			}
			if len(value) > limit || len(parts) == 0 {
				t.Errorf("the checkpoint has %d items in %d bytes", len(parts), len(value))
			}
		})
	}
}
