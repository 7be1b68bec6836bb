package batch

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bulrushspoke/entry/internal/place"
	"bulrushspoke/entry/internal/prefill"
	"bulrushspoke/internal/call"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/job"
	"bulrushspoke/platform"
	"bulrushspoke/platform/platformtest"
	"bulrushspoke/wire"
)

const (
	// limitedRate is the limit that the servers state in requests a second, and limitedMost what each may get in 4 s.
	limitedRate = 2.0
	limitedMost = 1.5*limitedRate*4 + 5
	// limitedTime is the time after which the requests are counted. It is below the window of limitedMost.
	limitedTime = 1500 * time.Millisecond
)

func itemIDs(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("g%d-1", i)
	}
	return ids
}

// Guards against an engine that gets more items than its stated limit allows, and against items that stay behind when the
// limit has ended.
func TestItemsStayWithinStatedLimit(t *testing.T) {
	e := newEngine(t, 1)
	e.limit = call.Limit{Stated: true, Rate: limitedRate}
	r := newRig(t, e)
	m, _ := r.manager("a", "a1")
	ids := itemIDs(40)
	r.submit(m, "j", payloadFor(len(ids), 1, ids...))
	time.Sleep(limitedTime)
	if got := len(e.started()); float64(got) > limitedMost {
		t.Errorf("the engine got %d items in less than 4 s, allowed are %.0f", got, limitedMost)
	}
	e.set(func(e *engine) { e.limit = call.Limit{} })
	checkTexts(t, r.collect(m, "j", len(ids)), ids...)
}

// Guards against plain servers that get more reward calls than their stated limits allow, and against calls that stay
// behind when the limits have ended.
func TestRewardCallsStayWithinStatedLimit(t *testing.T) {
	e := newEngine(t, 1)
	s := newScorer(t, e)
	s.set(func(w http.ResponseWriter, _ *http.Request, _ string, _ int) bool {
		platformtest.SetResponseHeaders(w.Header(), call.Answer{Limit: call.Limit{Stated: true, Rate: limitedRate}})
		return false
	})
	r := newRig(t, e)
	r.addScorer(s)
	m, _ := r.manager("a", "a1")
	ids := itemIDs(80)
	r.submit(m, "j", scoredPayload(ids...))
	time.Sleep(limitedTime)
	got := 0
	for _, id := range ids {
		got += s.count("call-" + id)
	}
	if most := 2 * limitedMost; float64(got) > most {
		t.Errorf("two servers got %d calls in less than 4 s, allowed are %.0f", got, most)
	}
	s.set(nil)
	results := r.collect(m, "j", len(ids))
	checkTexts(t, results, ids...)
	checkScores(t, s, results)
}

// Guards against jobs whose items state more parts of prompts than their memory allows for.
func TestPartsOfPromptsAreBounded(t *testing.T) {
	m, _ := newRig(t, newEngine(t, 1)).manager("a", "a1")
	header := platformtest.Prompt(10, 1)
	for name, value := range header {
		if strings.HasPrefix(value, "part:") {
			header[name] = strings.Repeat(value+",", 4*platform.MaxPromptParts) + value
		}
	}
	spec := job.Job{ID: "j", Items: []job.Item{{ID: "g-1", Header: header}}}
	j := newJob(m, spec, wire.JobState{}, nil, time.Now())
	if n := len(j.items["g-1"].prompt.Parts); n != platform.MaxPromptParts {
		t.Errorf("%d parts are kept, want %d", n, platform.MaxPromptParts)
	}
	if held := heldBytes(spec); held < platform.MaxPromptParts*partBytes {
		t.Errorf("%d bytes are reserved", held)
	}
}

// Guards against prompts of items that count as waiting for ever after attempts that are refused, cut or complete.
func TestPromptsOfItemsStopWaiting(t *testing.T) {
	e := newEngine(t, 1)
	var m *Manager
	var waited atomic.Int64
	e.answer = func(_ string, run int) int {
		waited.Store(max(waited.Load(), int64(m.Tracker.WaitingTokens())))
		if run == 1 {
			return http.StatusServiceUnavailable
		}
		return 0
	}
	e.cut = func(_ string, run int) int { return max(3-run, 0) }
	r := newRig(t, e)
	m, _ = r.manager("a", "a1")
	j := job.Job{Step: 1, Model: "m", MinVersion: 1, Groups: 1}
	for _, id := range []string{"g-3", "g-4"} {
		header := platformtest.Prompt(20_000, 10)
		header["X-Prompt-Prefix"] = id + ":20000"
		j.Items = append(j.Items, job.Item{ID: id, Path: "/p/" + id, Header: header, Body: []byte("body of " + id), Group: "g"})
	}
	body, err := platformtest.EncodeJob(j)
	if err != nil {
		t.Fatal(err)
	}
	r.submit(m, "j", body)
	checkTexts(t, r.collect(m, "j", 2), "g-3", "g-4")
	if waited.Load() < 20_000 {
		t.Errorf("%d prompt tokens waited while an item was sent, want at least those of one item", waited.Load())
	}
	if n := m.Tracker.WaitingTokens(); n != 0 {
		t.Errorf("%d prompt tokens wait after all items are complete", n)
	}
}

// Guards against a prompt and a request that count at a server for ever after a panic in an attempt.
func TestPanicEndsAttempt(t *testing.T) {
	m, _ := newRig(t, newEngine(t, 1)).manager("a", "a1")
	spec := job.Job{ID: "j", Model: "m", Items: []job.Item{{ID: "g-1", Header: platformtest.Prompt(20_000, 10)}}}
	j := newJob(m, spec, wire.JobState{}, nil, time.Now())
	it, now := j.items["g-1"], time.Now()
	need := place.Need{RemainingEvents: 10, Ticket: prefill.NewTicket(it.prompt, "")}
	s, ok := m.Tracker.Start(now, []catalog.Server{{ID: "s", Slots: 1}}, need)
	if !ok || m.Tracker.WaitingTokens() != 20_000 {
		t.Fatal("the attempt does not start")
	}
	func() {
		defer func() {
			if recover() == nil {
				t.Error("an attempt without a route does not panic")
			}
		}()
		j.runAttempt(t.Context(), it, &segment{server: s, ticket: need.Ticket, startedAt: now}, nil)
	}()
	if n, l := m.Tracker.WaitingTokens(), m.Tracker.Load(time.Now()); n != 0 || len(l.Counts) > 0 {
		t.Errorf("after a panic %d prompt tokens wait, requests %v", n, l.Counts)
	}
}
