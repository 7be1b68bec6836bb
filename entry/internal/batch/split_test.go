package batch

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"bulrushspoke/entry/internal/place"
	"bulrushspoke/entry/internal/turn"
	"bulrushspoke/internal/call"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/workspace"
	"bulrushspoke/platform/platformtest"
)

// drawing draws random numbers from a seeded source.
type drawing struct {
	mu sync.Mutex
	r  *rand.Rand
}

// IntN implements Random.
func (d *drawing) IntN(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.r.IntN(n)
}

// splitRoute is a rig with a route of two services, "new" and "v", of one engine each.
type splitRoute struct {
	*rig
	manager      *Manager
	added, other *engine
}

// newSplitRoute returns a split route whose new service has the given weight of 100 and no server yet. The server of the other
// service has the given number of slots. With fair set, items take turns with those of other workspaces.
func newSplitRoute(t *testing.T, weight, slots int, fair bool) *splitRoute {
	t.Helper()
	added, other := newEngine(t, 1), newEngine(t, 1)
	r, _, withWorkspaces := newWorkspaceRig(t, other)
	r.route.Shares = []catalog.Share{{Service: "new", Weight: weight}, {Service: "v", Weight: 100 - weight}}
	m, _ := r.manager("a", "a1")
	m.Random = &drawing{r: rand.New(rand.NewPCG(1, 2))}
	if fair {
		m.Turns = turn.New(turn.Options{
			Name: "a", Catalog: m.Catalog, Tracker: m.Tracker, Peers: onlyPeers{member{mesh: r.mesh, name: "a"}},
			Waits: noMetrics{}, Refused: noMetrics{}, Logger: discardLogger,
		})
	}
	s := r.server(0, 60)
	s.Slots = slots
	m.Catalog.ApplyServer(s)
	withWorkspaces(m, workspace.Entry{Workspace: workspaceOf("big")})
	return &splitRoute{rig: r, manager: m, added: added, other: other}
}

// addServer adds the server of the new service, as changed by change, with a number of slots.
func (r *splitRoute) addServer(slots int, change func(s *catalog.Server)) catalog.Server {
	r.engines = []*engine{r.added}
	s := r.server(0, 70)
	s.ID, s.Service, s.Slots = "new0", "new", slots
	if change != nil {
		change(&s)
	}
	r.manager.Catalog.ApplyServer(s)
	return s
}

// handIn submits a job of n items and returns it with their ids.
func (r *splitRoute) handIn(n int) (*Job, []string) {
	r.t.Helper()
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprintf("g%d-3", i))
	}
	r.submitAs(r.manager, workspaceOf("big"), "big", payloadFor(n, 1, ids...))
	return r.manager.local(scopedID(workspaceOf("big"), "big")), ids
}

// begun returns the runs of an engine from the first event on, without those that continue a text of another engine.
func begun(e *engine) []string {
	return slices.DeleteFunc(e.started(), func(start string) bool { return !strings.HasSuffix(start, "@1") })
}

// running returns the number of items of a job that have an attempt in flight.
func running(j *Job) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := 0
	for _, it := range j.items {
		if it.running {
			n++
		}
	}
	return n
}

// Guards against a split route whose items all go to its first service, whatever the weights, and against items that wait for
// one of its services while another has free servers.
func TestItemsFollowSplitRoute(t *testing.T) {
	const items = 120
	for _, c := range []struct {
		name         string
		weight       int // of the new service, of 100
		slots        int // of each server
		hangs, empty bool
		refuses      bool
		least, most  int // items that the new service runs
	}{
		{name: "a tenth", weight: 10, slots: items, least: 2, most: 30},
		{name: "half", weight: 50, slots: items, least: 40, most: 80},
		{name: "a tenth, full", weight: 10, slots: 8, least: 30, most: 90},
		{name: "half, full", weight: 50, slots: 8, least: 30, most: 90},
		{name: "nine tenths to a service that hangs", weight: 90, slots: 8, hangs: true, most: items},
		{name: "all but a hundredth to a service that refuses", weight: 99, slots: 8, refuses: true},
		{name: "nine tenths to a service without servers", weight: 90, slots: 8, empty: true},
		{name: "nothing", slots: 8},
	} {
		for _, fair := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, turns %t", c.name, fair), func(t *testing.T) {
				t.Parallel()
				r := newSplitRoute(t, c.weight, c.slots, fair)
				r.added.gap, r.other.gap = 2*time.Millisecond, 2*time.Millisecond
				if c.hangs {
					r.added.gap = time.Hour
				}
				if c.refuses {
					r.added.answer = func(string, int) int { return http.StatusServiceUnavailable }
				}
				if !c.empty {
					r.addServer(c.slots, nil)
				}
				_, ids := r.handIn(items)
				checkTexts(t, r.collectAs(r.manager, workspaceOf("big"), "big", items), ids...)
				atAdded, atOther := begun(r.added), begun(r.other)
				ran := make(map[string]bool)
				for _, start := range atAdded {
					ran[start] = true
				}
				if n := len(ran); n < c.least || n > c.most {
					t.Errorf("the new service ran %d of %d items, want %d to %d", n, items, c.least, c.most)
				}
				if n := len(atAdded) + len(atOther); !c.hangs && n != items {
					t.Errorf("%d runs of %d items from their first event on", n, items)
				}
			})
		}
	}
}

// Guards against items that wait for servers of a split route that cannot run them while other servers of it have free slots.
func TestItemsUseFreeSlotsOfSplitRoute(t *testing.T) {
	const items = 40
	ended := func(o place.Outcome) func(*place.Tracker, catalog.Server) {
		return func(tracker *place.Tracker, s catalog.Server) {
			now := time.Now()
			tracker.Start(now, []catalog.Server{s}, place.Need{Model: "m"})
			tracker.Ended(s.ID, "m", o, 0, now)
		}
	}
	for _, c := range []struct {
		name    string
		change  func(s *catalog.Server)                  // of the new service
		prepare func(t *place.Tracker, s catalog.Server) // before items are handed in
		least   int                                      // items that the new service runs, of its 8 slots
	}{
		{name: "full", least: 8},
		{name: "of an older version", change: func(s *catalog.Server) { s.Versions = map[string]int{"m": 0} }},
		{name: "without the model", change: func(s *catalog.Server) { s.Versions = map[string]int{"other": 1} }},
		{name: "leaving", change: func(s *catalog.Server) { s.Draining = true }},
		{name: "has refused", prepare: ended(place.Refused)},
		{name: "has failed", prepare: ended(place.Failed)},
	} {
		for _, fair := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, turns %t", c.name, fair), func(t *testing.T) {
				t.Parallel()
				r := newSplitRoute(t, 90, items, fair)
				r.added.gap, r.other.gap = time.Hour, time.Hour
				s := r.addServer(8, c.change)
				if c.prepare != nil {
					c.prepare(r.manager.Tracker, s)
				}
				j, _ := r.handIn(items)
				for looks := 0; looks < 20 && running(j) < items; looks++ { // the job looks for servers itself, too
					j.schedule(t.Context())
				}
				if n := running(j); n != items {
					t.Errorf("%d of %d items run", n, items)
				}
				await(t, "the engines have all items that run", func() bool {
					return len(r.added.started())+len(r.other.started()) >= running(j)
				})
				if n := len(r.added.started()); n < c.least {
					t.Errorf("the new service runs %d items, want %d", n, c.least)
				}
			})
		}
	}
}

// Guards against a job that can move its items, or finds room for a stalled one, only at the first service of a split route.
func TestServicesOfSplitRoute(t *testing.T) {
	r := newRig(t, newEngine(t, 1))
	r.route.Shares = []catalog.Share{{Service: "new", Weight: 1}, {Service: "v", Weight: 9}, {Service: "none", Weight: 0}}
	m, _ := r.manager("a", "a1")
	r.submit(m, "j", payload(1, "g-1"))
	if got := fmt.Sprint(m.local("j").services()); got != "[new v]" {
		t.Errorf("items may run at %s", got)
	}
}

// Guards against an item that stays at the slow server of one service of a split route while another service has a fast one.
func TestItemMovesToOtherServiceOfSplitRoute(t *testing.T) {
	t.Parallel()
	slow, fast := newEngine(t, 1), newEngine(t, 1)
	slow.set(func(e *engine) { e.gap = 60 * time.Millisecond })
	fast.set(func(e *engine) { e.gap = 3 * time.Millisecond })
	r := newRig(t, slow, fast)
	r.route.Shares = []catalog.Share{{Service: "new", Weight: 1}, {Service: "v", Weight: 1}}
	m, stop := r.manager("one", "1")
	t.Cleanup(stop)
	s := r.server(0, 60)
	s.Service, s.Slots = "new", 1
	m.Catalog.ApplyServer(s)
	r.submit(m, "warm", payload(1, "w-12", "w2-12"))
	checkTexts(t, r.collect(m, "warm", 2), "w-12", "w2-12")
	r.submit(m, "job", payload(1, "a-80"))
	checkTexts(t, r.collect(m, "job", 1), "a-80")
	if got := starts(slow, "a-80"); !slices.Equal(got, []string{"a-80@1"}) {
		t.Errorf("the slow engine ran %v", got)
	}
	if got := starts(fast, "a-80"); len(got) != 1 || got[0] == "a-80@1" {
		t.Errorf("the fast engine ran %v, want one resumed run", got)
	}
}

// Guards against an item that moves, among several other services of its route, to the first one of the configuration, whatever
// the weights.
func TestMovesFollowWeights(t *testing.T) {
	t.Parallel()
	slow, fast, other := newEngine(t, 1), newEngine(t, 1), newEngine(t, 1)
	slow.set(func(e *engine) { e.gap = 60 * time.Millisecond })
	r := newRig(t, slow, fast, other)
	for _, e := range []*engine{fast, other} {
		e.set(func(e *engine) { e.gap = 3 * time.Millisecond })
	}
	r.route.Shares = []catalog.Share{{Service: "new", Weight: 1 << 40}, {Service: "other", Weight: 1}, {Service: "v", Weight: 1 << 20}}
	m, stop := r.manager("one", "1")
	t.Cleanup(stop)
	m.Random = &drawing{r: rand.New(rand.NewPCG(1, 2))}
	for i, service := range map[int]string{0: "new", 2: "other"} {
		s := r.server(i, int64(60+i))
		s.Service, s.Slots = service, 1
		m.Catalog.ApplyServer(s)
	}
	r.submit(m, "warm", payload(1, "w-12", "w2-12", "w3-12"))
	checkTexts(t, r.collect(m, "warm", 3), "w-12", "w2-12", "w3-12")
	r.submit(m, "job", payload(1, "a-80"))
	checkTexts(t, r.collect(m, "job", 1), "a-80")
	if got := starts(other, "a-80"); len(got) > 0 || len(starts(fast, "a-80")) == 0 {
		t.Errorf("the item moved to %v of the service of weight 1, %v of the other", got, starts(fast, "a-80"))
	}
}

// Guards against services that get reward calls in another proportion than that of their weights, also once the servers of one
// service have failed.
func TestRewardCallsFollowWeights(t *testing.T) {
	const items = 6 // fewer than the slots of each service
	for _, c := range []struct {
		name        string
		weights     [3]int // of the services new, other and w
		hangs       bool   // the servers of the new service
		least, most int    // calls that the service other gets
	}{
		{name: "half", weights: [3]int{0, 1, 1}, least: 1, most: 5},
		{name: "the first hangs", weights: [3]int{1 << 40, 1, 1 << 20}, hangs: true},
	} {
		e := newEngine(t, 1)
		s, added, other := newScorer(t, e), newScorer(t, e), newScorer(t, e)
		if c.hangs {
			added.set(func(_ http.ResponseWriter, r *http.Request, _ string, _ int) bool {
				<-r.Context().Done()
				return true
			})
		}
		r := newRig(t, e)
		r.addScorer(s)
		r.routes[0].Shares = []catalog.Share{
			{Service: "new", Weight: c.weights[0]}, {Service: "other", Weight: c.weights[1]}, {Service: "w", Weight: c.weights[2]},
		}
		m, _ := r.manager("a", "a1")
		m.Random = &drawing{r: rand.New(rand.NewPCG(1, 2))}
		for service, server := range map[string]*scorer{"new": added, "other": other} {
			m.Catalog.ApplyServer(catalog.Server{
				ID: service + "0", Revision: 70, Service: service, Domain: "d", Slots: 40, Address: strings.TrimPrefix(server.URL, "http://"),
			})
		}
		var ids []string
		for i := range items {
			ids = append(ids, fmt.Sprintf("g%d-2", i))
		}
		r.submit(m, "j", scoredPayload(ids...))
		results := r.collect(m, "j", items)
		checkTexts(t, results, ids...)
		checkScores(t, s, results)
		n := 0
		for _, id := range ids {
			n += other.count("call-" + id)
		}
		if n < c.least || n > c.most {
			t.Errorf("%s: the service other got %d calls, want %d to %d", c.name, n, c.least, c.most)
		}
	}
}

// Guards against a job that does not look again for a server because another goroutine looked for one, in vain, at the same
// moment.
func TestClaimedItemWaits(t *testing.T) {
	for _, fair := range []bool{false, true} {
		r := newSplitRoute(t, 50, 1, fair)
		r.other.set(func(e *engine) { e.gap = time.Hour })
		j, _ := r.handIn(2)
		await(t, "an item runs", func() bool { return running(j) == 1 })
		for _, it := range j.pending() {
			await(t, "the waiting item is claimed", func() bool { return j.claim(it) })
		}
		if waiting := j.schedule(t.Context()); waiting != 1 {
			t.Errorf("turns %t: %d items wait, want 1", fair, waiting)
		}
	}
}

// Guards against reward calls that are sent to, or wait for, one service of a split route whose servers fail, hang or do not
// exist, while another service has servers for them.
func TestRewardCallsUseServersOfSplitRoute(t *testing.T) {
	const items = 12
	for _, c := range []struct {
		name   string
		answer func(w http.ResponseWriter, r *http.Request, id string, run int) bool // of the new service
		empty  bool                                                                  // the new service has no servers
	}{
		{name: "fails", answer: func(w http.ResponseWriter, _ *http.Request, _ string, _ int) bool {
			w.WriteHeader(http.StatusInternalServerError)
			return true
		}},
		{name: "hangs", answer: func(_ http.ResponseWriter, r *http.Request, _ string, _ int) bool {
			<-r.Context().Done()
			return true
		}},
		{name: "refuses", answer: func(w http.ResponseWriter, _ *http.Request, _ string, _ int) bool {
			platformtest.SetResponseHeaders(w.Header(), call.Answer{NotRun: true})
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}},
		{name: "has no servers", empty: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e := newEngine(t, 1)
			s, added := newScorer(t, e), newScorer(t, e)
			added.set(c.answer)
			r := newRig(t, e)
			r.addScorer(s)
			r.routes[0].Shares = []catalog.Share{{Service: "new", Weight: 99}, {Service: "w", Weight: 1}}
			m, _ := r.manager("a", "a1")
			m.Random = &drawing{r: rand.New(rand.NewPCG(1, 2))}
			if !c.empty {
				m.Catalog.ApplyServer(catalog.Server{
					ID: "new0", Revision: 70, Service: "new", Domain: "d", Slots: 6, Address: strings.TrimPrefix(added.URL, "http://"),
				})
			}
			var ids []string
			for i := range items {
				ids = append(ids, fmt.Sprintf("g%d-2", i))
			}
			r.submit(m, "j", scoredPayload(ids...))
			results := r.collect(m, "j", items)
			checkTexts(t, results, ids...)
			checkScores(t, s, results)
			for _, id := range ids {
				if n := added.count("call-" + id); n > 2 {
					t.Errorf("the call of item %s was sent to the new service %d times", id, n)
				}
			}
		})
	}
}
