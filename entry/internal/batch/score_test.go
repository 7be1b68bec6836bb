package batch

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushspoke/entry/internal/reward"
	"bulrushspoke/internal/call"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/job"
	"bulrushspoke/platform/platformtest"
)

// scorer is a plain service with two servers that scores texts. Tests may change its responses.
type scorer struct {
	*httptest.Server
	second *httptest.Server // second server of the service
	engine *engine

	mu        sync.Mutex
	answer    func(w http.ResponseWriter, r *http.Request, id string, run int) bool // true if it has responded itself
	calls     map[string]int
	premature []string // calls received before the engine had generated the complete text
}

func newScorer(t *testing.T, e *engine) *scorer {
	t.Helper()
	s := &scorer{engine: e, calls: make(map[string]int)}
	s.Server, s.second = httptest.NewServer(s), httptest.NewServer(s)
	t.Cleanup(s.CloseClientConnections)
	t.Cleanup(s.second.CloseClientConnections)
	return s
}

func (s *scorer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	asked := platformtest.DecodeServerRequest(r.Header)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	item := strings.TrimPrefix(asked.ID, "call-")
	s.mu.Lock()
	s.calls[asked.ID]++
	run, answer := s.calls[asked.ID], s.answer
	if s.engine.made(item) < length(item) {
		s.premature = append(s.premature, asked.ID)
	}
	s.mu.Unlock()
	proper := r.Method == http.MethodPost && r.Host == "scores" && r.URL.Path == "/score/"+item && string(body) == "score "+item
	if !proper || asked.Timeout <= 0 || asked.Server == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if answer != nil && answer(w, r, asked.ID, run) {
		return
	}
	platformtest.SetResponseHeaders(w.Header(), call.Answer{ID: asked.ID, Signature: signature(asked.ID)})
	_, _ = io.WriteString(w, "scored")
}

// signature returns the signature in the response to a call.
func signature(call string) string { return "signed " + call }

func (s *scorer) count(call string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[call]
}

func (s *scorer) set(f func(w http.ResponseWriter, r *http.Request, id string, run int) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = f
}

// made returns the number of the last event that the engine has generated for an item.
func (e *engine) made(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.events[id]
}

// addScorer adds a scoring service and its route to a rig.
func (r *rig) addScorer(s *scorer) {
	r.scorer = s
	r.routes = append(r.routes, catalog.Route{
		Name: "score", Host: "scores", Prefix: "/score/", Kind: catalog.Safe, MaxAttempts: 3,
		Objective: 100 * time.Millisecond, Timeout: time.Second, Shares: []catalog.Share{{Service: "w", Weight: 1}},
	})
}

// scoredPayload returns a submission of items with reward calls.
func scoredPayload(ids ...string) []byte {
	j := job.Job{Step: 1, Model: "m", MinVersion: 1, Groups: 1}
	for _, id := range ids {
		group, _, _ := strings.Cut(id, "-")
		j.Items = append(j.Items, job.Item{
			ID: id, Path: "/p/" + id, Body: []byte("body of " + id), Tokens: 10, Group: group,
			Reward: &job.Reward{ID: "call-" + id, Host: "scores", Path: "/score/" + id, Body: []byte("score " + id)},
		})
	}
	b, err := platformtest.EncodeJob(j)
	if err != nil {
		panic(err) // strings and numbers can be encoded
	}
	return b
}

// checkScores compares the scores of results with the signatures of the responses to their calls.
func checkScores(t *testing.T, s *scorer, results []job.Result) {
	t.Helper()
	for _, r := range results {
		if want := signature("call-" + r.Item); r.State == job.Completed && r.Score != want {
			t.Errorf("score of %s is %q, want %q", r.Item, r.Score, want)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.premature) > 0 {
		t.Errorf("calls sent before their text was complete: %v", s.premature)
	}
}

// Guards against results without a score or with that of another call, and against calls that are sent before the text
// is complete or with another body than the trainer's.
func TestScores(t *testing.T) {
	e := newEngine(t, 1)
	e.gap = 2 * time.Millisecond
	s := newScorer(t, e)
	r := newRig(t, e)
	r.addScorer(s)
	m, _ := r.manager("a", "a1")
	ids := []string{"g-1", "g-5", "h-9", "h-30", "i-3"}
	r.submit(m, "j", scoredPayload(ids...))
	results := r.collect(m, "j", len(ids))
	checkTexts(t, results, ids...)
	checkScores(t, s, results)
	other, _ := r.manager("b", "b1")
	r.cut("a", true)
	if d := cmp.Diff(results, r.collect(other, "j", len(ids))); d != "" {
		t.Errorf("results differ between entries (-owner +other):\n%s", d)
	}
}

// Guards against scores from anything but a complete, signed response to the call itself: refusals, responses to other
// calls, unsigned, encoded and truncated ones, and missing ones.
func TestScoreOfDoubtfulAnswers(t *testing.T) {
	sign := func(w http.ResponseWriter, id string) {
		platformtest.SetResponseHeaders(w.Header(), call.Answer{ID: id, Signature: signature(id)})
	}
	for name, spoil := range map[string]func(w http.ResponseWriter, r *http.Request, id string){
		"refused": func(w http.ResponseWriter, _ *http.Request, id string) {
			platformtest.SetResponseHeaders(w.Header(), call.Answer{ID: id, NotRun: true})
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"of another call": func(w http.ResponseWriter, _ *http.Request, _ string) { sign(w, "call-other") },
		"refusal of another call": func(w http.ResponseWriter, _ *http.Request, _ string) {
			platformtest.SetResponseHeaders(w.Header(), call.Answer{ID: "call-other", NotRun: true})
			w.WriteHeader(http.StatusServiceUnavailable)
		},
		"unsigned": func(w http.ResponseWriter, _ *http.Request, id string) {
			platformtest.SetResponseHeaders(w.Header(), call.Answer{ID: id})
		},
		"encoded": func(w http.ResponseWriter, _ *http.Request, id string) {
			sign(w, id)
			w.Header().Set("Content-Encoding", "gzip")
		},
		"cut off": func(w http.ResponseWriter, _ *http.Request, id string) {
			sign(w, id)
			w.Header().Set("Content-Length", "100")
			w.WriteHeader(http.StatusOK)
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
		"lost":   func(http.ResponseWriter, *http.Request, string) { panic(http.ErrAbortHandler) },
		"silent": func(_ http.ResponseWriter, r *http.Request, _ string) { <-r.Context().Done() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newEngine(t, 1)
			s := newScorer(t, e)
			s.set(func(w http.ResponseWriter, r *http.Request, id string, run int) bool {
				if run > 2 {
					return false
				}
				spoil(w, r, id)
				return true
			})
			r := newRig(t, e)
			r.addScorer(s)
			m, _ := r.manager("a", "a1")
			r.submit(m, "j", scoredPayload("g-2", "g-3"))
			results := r.collect(m, "j", 2)
			checkTexts(t, results, "g-2", "g-3")
			checkScores(t, s, results)
		})
	}
}

// Guards against an item that is given up before its reward call has failed as often as its route allows, or never.
func TestRewardCallFails(t *testing.T) {
	e := newEngine(t, 1)
	s := newScorer(t, e)
	s.set(func(w http.ResponseWriter, _ *http.Request, id string, run int) bool {
		platformtest.SetResponseHeaders(w.Header(), call.Answer{ID: id, Signature: "failed " + id})
		switch {
		case strings.HasPrefix(id, "call-fails"), run <= 2 && strings.HasPrefix(id, "call-late"):
			w.WriteHeader(http.StatusInternalServerError)
		case run <= 5 && strings.HasPrefix(id, "call-denied"):
			w.WriteHeader(http.StatusNotFound)
		default:
			return false
		}
		return true
	})
	r := newRig(t, e)
	r.addScorer(s)
	m, _ := r.manager("a", "a1")
	r.submit(m, "j", scoredPayload("fails-2", "late-2", "denied-2"))
	got := make(map[string]job.State)
	results := r.collect(m, "j", 3)
	for _, res := range results {
		got[res.Item] = res.State
		if res.State == job.Terminated && (res.Text != "" || res.Score != "") {
			t.Errorf("the terminated item has text %q and score %q", res.Text, res.Score)
		}
	}
	want := map[string]job.State{"fails-2": job.Terminated, "late-2": job.Completed, "denied-2": job.Completed}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("states (-want +got):\n%s", d)
	}
	if n := s.count("call-fails-2"); n != 3 {
		t.Errorf("the failing call was sent %d times, want 3", n)
	}
}

// Guards against generating a text again when only its score is missing: the owner crashes or hands over during a
// reward call, and the new owner sends the call again.
func TestRewardCallOfNewOwner(t *testing.T) {
	for _, planned := range []bool{true, false} {
		t.Run(fmt.Sprintf("planned %t", planned), func(t *testing.T) {
			t.Parallel()
			e := newEngine(t, 1)
			s := newScorer(t, e)
			silent := func(_ http.ResponseWriter, r *http.Request, _ string, _ int) bool {
				<-r.Context().Done()
				return true
			}
			s.set(silent)
			r := newRig(t, e)
			r.addScorer(s)
			m, crash := r.manager("a", "a1")
			other, _ := r.manager("b", "b1")
			r.submit(m, "j", scoredPayload("g-40"))
			deadline := time.Now().Add(10 * time.Second)
			for s.count("call-g-40") == 0 || !planned && len(r.store.Names(KindTexts)) == 0 {
				if time.Now().After(deadline) {
					t.Fatal("no call was sent, or no checkpoint written")
				}
				time.Sleep(5 * time.Millisecond)
			}
			s.set(nil)
			if planned {
				m.Handover(t.Context())
			} else {
				crash()
				r.cut("a", true)
			}
			results := r.collect(other, "j", 1)
			checkTexts(t, results, "g-40")
			checkScores(t, s, results)
			if starts := e.started(); len(starts) != 1 {
				t.Errorf("runs started at %v, want one", starts)
			}
		})
	}
}

// Guards against the partial text of an item that was given up being used as complete by a new owner or a later job.
func TestTextOfItemGivenUpIsNotWhole(t *testing.T) {
	e := newEngine(t, 1)
	e.answer = func(id string, run int) int {
		if id == "g-9" && run > 1 && run < 5 {
			return http.StatusInternalServerError
		}
		return 0
	}
	e.cut = func(id string, run int) int {
		if id == "g-9" && run == 1 {
			return 4
		}
		return 0
	}
	e.gap = 2 * time.Millisecond
	r := newRig(t, e)
	m, _ := r.manager("a", "a1")
	r.submit(m, "j", payload(1, "g-9", "g-5000"))
	deadline := time.Now().Add(10 * time.Second)
	for !itemDone(m.local("j"), "g-9") {
		if time.Now().After(deadline) {
			t.Fatal("the failing item is not given up")
		}
		time.Sleep(5 * time.Millisecond)
	}
	for _, p := range m.local("j").unlistedParts() {
		if p.Item == "g-9" && p.Done {
			t.Errorf("a partial text of %d events is handed over as complete", len(p.Data))
		}
	}
	if reply := m.End(t.Context(), nobody, "j"); reply.Status != http.StatusOK {
		t.Fatal(reply)
	}
	r.submit(m, "k", payload(1, "g-9"))
	checkTexts(t, r.collect(m, "k", 1), "g-9")
}

// Guards against reward calls for a job that has ended.
func TestNoRewardCallAfterEnd(t *testing.T) {
	e := newEngine(t, 1)
	s := newScorer(t, e)
	s.set(func(w http.ResponseWriter, _ *http.Request, id string, _ int) bool {
		platformtest.SetResponseHeaders(w.Header(), call.Answer{ID: id, NotRun: true})
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	})
	r := newRig(t, e)
	r.addScorer(s)
	m, _ := r.manager("a", "a1")
	r.submit(m, "j", scoredPayload("g-2"))
	deadline := time.Now().Add(10 * time.Second)
	for s.count("call-g-2") < 2 {
		if time.Now().After(deadline) {
			t.Fatal("a refused call is not sent again")
		}
		time.Sleep(5 * time.Millisecond)
	}
	if reply := m.End(t.Context(), nobody, "j"); reply.Status != http.StatusOK {
		t.Fatal(reply)
	}
	before := s.count("call-g-2")
	time.Sleep(600 * time.Millisecond)
	if n := s.count("call-g-2"); n > before+1 { // one may have been in flight
		t.Errorf("%d calls after the end of the job, want at most 1", n-before)
	}
}

// Guards against terminating an item because the route of its reward call is missing for a while.
func TestRewardRouteComesBack(t *testing.T) {
	e := newEngine(t, 1)
	s := newScorer(t, e)
	r := newRig(t, e)
	r.scorer = s
	m, _ := r.manager("a", "a1")
	r.submit(m, "j", scoredPayload("g-2"))
	time.Sleep(300 * time.Millisecond)
	if n := s.count("call-g-2"); n != 0 {
		t.Fatalf("%d calls without a route", n)
	}
	r.addScorer(s)
	m.Catalog.ApplyConfig(catalog.Config{Revision: 2, Routes: append([]catalog.Route{r.route}, r.routes...)})
	results := r.collect(m, "j", 1)
	checkTexts(t, results, "g-2")
	checkScores(t, s, results)
}

// Guards against a duplicate response that arrives while the connection is idle or in use again.
func TestLateSecondAnswer(t *testing.T) {
	e := newEngine(t, 1)
	s := newScorer(t, e)
	s.set(func(w http.ResponseWriter, _ *http.Request, id string, _ int) bool {
		c, out, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return false
		}
		answer := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" +
			platformtest.RawResponseHeaders(call.Answer{ID: id, Signature: signature(id)}) + "\r\n"
		go func() {
			defer func() { _ = c.Close() }()
			_, _ = out.WriteString(answer)
			_ = out.Flush()
			time.Sleep(10 * time.Millisecond)
			_, _ = out.WriteString(answer)
			_ = out.Flush()
			time.Sleep(50 * time.Millisecond)
		}()
		return true
	})
	r := newRig(t, e)
	r.addScorer(s)
	m, _ := r.manager("a", "a1")
	var ids []string
	for i := range 12 {
		ids = append(ids, fmt.Sprintf("g%d-%d", i, i+1))
	}
	e.gap = 3 * time.Millisecond
	r.submit(m, "j", scoredPayload(ids...))
	results := r.collect(m, "j", len(ids))
	checkTexts(t, results, ids...)
	checkScores(t, s, results)
}

// Guards against sending items to a server that has announced that it is leaving, while the catalog still lists it as
// ready.
func TestLeavingEngineGetsNoItems(t *testing.T) {
	leaving, staying := newEngine(t, 1), newEngine(t, 1)
	leaving.leaving = true
	leaving.gap = 5 * time.Millisecond
	staying.gap = 5 * time.Millisecond
	r := newRig(t, leaving, staying)
	m, _ := r.manager("a", "a1")
	var ids []string
	for i := range 16 {
		ids = append(ids, fmt.Sprintf("g%d-%d", i, 5))
	}
	r.submit(m, "j", payload(1, ids...))
	checkTexts(t, r.collect(m, "j", len(ids)), ids...)
	before := len(leaving.started())
	if before == 0 {
		t.Fatal("the leaving engine got no requests")
	}
	m.Catalog.ApplyServer(r.server(0, 100)) // the catalog still lists it as ready
	r.submit(m, "k", payload(1, "k-1", "k-2", "k-3", "k-4", "k-5", "k-6"))
	checkTexts(t, r.collect(m, "k", 6), "k-1", "k-2", "k-3", "k-4", "k-5", "k-6")
	if n := len(leaving.started()); n > before {
		t.Errorf("%d items were sent to the leaving engine: %v", n-before, slices.Clone(leaving.started()[before:]))
	}
}

// Guards against waiting for the last score until a silent server times out: once the call takes longer than usual it
// is also sent to another server. That server's score counts, and the first attempt is cancelled.
func TestLateRewardCallIsHedged(t *testing.T) {
	e := newEngine(t, 1)
	s := newScorer(t, e)
	var mu sync.Mutex
	waiting, beside := make(map[string]string), 0
	left := make(chan struct{}, 1)
	s.set(func(_ http.ResponseWriter, r *http.Request, id string, run int) bool {
		if id != "call-late-2" {
			return false
		}
		server := platformtest.DecodeServerRequest(r.Header).Server
		mu.Lock()
		if first, ok := waiting[id]; ok && first != server {
			beside++
		}
		waiting[id] = server
		mu.Unlock()
		if run > 1 {
			return false
		}
		<-r.Context().Done()
		mu.Lock()
		delete(waiting, id)
		mu.Unlock()
		left <- struct{}{}
		return true
	})
	r := newRig(t, e)
	r.addScorer(s)
	r.routes[0].Objective, r.routes[0].Timeout = 10*time.Second, 20*time.Second
	m, _ := r.manager("a", "a1")
	var usual []string
	for i := range int(1/reward.HedgeRatio) + 5 {
		usual = append(usual, fmt.Sprintf("u%d-1", i))
	}
	r.submit(m, "j", scoredPayload(usual...))
	r.collect(m, "j", len(usual))
	r.submit(m, "j2", scoredPayload("late-2"))
	results := r.collect(m, "j2", 1)
	checkTexts(t, results, "late-2")
	checkScores(t, s, results)
	select {
	case <-left:
	case <-time.After(5 * time.Second):
		t.Error("the first attempt is not cancelled")
	}
	mu.Lock()
	defer mu.Unlock()
	if beside != 1 || s.count("call-late-2") != 2 {
		t.Errorf("%d attempts concurrent with the first and %d in all, want 1 and 2", beside, s.count("call-late-2"))
	}
}
