package batch

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/job"
	"bulrushspoke/internal/workspace"
	"bulrushspoke/platform/platformtest"
	"bulrushspoke/standin/objects"
	"bulrushspoke/wire"
)

var (
	alder = workspace.Workspace{Name: "alder", Priority: 3, HasPriority: true}
	birch = workspace.Workspace{Name: "birch"}
)

// Guards against two jobs under one name in memory or in the store, against names that the store takes for several path
// segments, and against jobs of earlier versions that cannot be found any more.
func TestScopedID(t *testing.T) {
	text := rapid.OneOf(rapid.SampledFrom([]string{
		"a", "b", "a-b", "b-c", "c", "ws", "ws.", "ws.a.b", "ws.a", "ws..a", "ws.a.b.0", "a.b", "_2e", "_", "a/b", "..", ".", "a.1", "0", "a%2f", "ä", "",
		strings.Repeat("x", 150), strings.Repeat("/", 80),
	}), rapid.String())
	type names struct{ workspace, id string }
	rapid.Check(t, func(t *rapid.T) {
		one := names{text.Draw(t, "workspace"), text.Draw(t, "id")}
		two := names{text.Draw(t, "other workspace"), text.Draw(t, "other id")}
		a := scopedID(workspace.Workspace{Name: one.workspace}, one.id)
		b := scopedID(workspace.Workspace{Name: two.workspace}, two.id)
		if (a == b) != (one == two) {
			t.Fatalf("%q and %q have the ids %q and %q", one, two, a, b)
		}
		if one.workspace == "" && !strings.HasPrefix(one.id, "ws.") && a != one.id {
			t.Fatalf("the job %q without a workspace has the id %q", one.id, a)
		}
		if one.workspace != "" && (a != url.PathEscape(a) || len(a) > maxScopedID) {
			t.Fatalf("%q has the id %q", one, a)
		}
		if two.workspace != "" && (partName(a, 0) == b || partName(b, 0) == a) {
			t.Fatalf("the payload of %q is a part of that of %q, or the other way round", a, b)
		}
	})
}

// senders records the senders that servers have seen, by request.
type senders struct {
	mu     sync.Mutex
	seen   map[string][]platformtest.Sender
	leaked []string // headers that contain keyOfAlder
}

const keyOfAlder = "key-of-alder"

func (s *senders) record(r *http.Request, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen[id] = append(s.seen[id], platformtest.DecodeSender(r.Header))
	for name, values := range r.Header {
		if strings.Contains(strings.Join(values, ","), keyOfAlder) {
			s.leaked = append(s.leaked, name)
		}
	}
}

func (s *senders) of(id string) []platformtest.Sender {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]platformtest.Sender(nil), s.seen[id]...)
}

// leaks returns the headers that contained keyOfAlder so far.
func (s *senders) leaks() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.leaked...)
}

// wrap returns a handler that records the sender of each request and passes it on.
func (s *senders) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.record(r, platformtest.DecodeServerRequest(r.Header).ID)
		h.ServeHTTP(w, r)
	})
}

// newWorkspaceRig returns a rig whose engines record who sends them requests, and a function that gives a manager a
// configuration with workspaces.
func newWorkspaceRig(t *testing.T, e *engine) (*rig, *senders, func(m *Manager, l ...workspace.Entry)) {
	t.Helper()
	s := &senders{seen: make(map[string][]platformtest.Sender)}
	e.Config.Handler = s.wrap(e.Config.Handler)
	r := newRig(t, e)
	scores := newScorer(t, e)
	scores.Config.Handler, scores.second.Config.Handler = s.wrap(scores.Config.Handler), s.wrap(scores.second.Config.Handler)
	r.addScorer(scores)
	return r, s, func(m *Manager, l ...workspace.Entry) {
		t.Helper()
		d, err := workspace.NewDirectory(l)
		if err != nil {
			t.Fatal(err)
		}
		n := *m.Catalog.Config()
		n.Revision, n.Workspaces = n.Revision+1, d
		n.Services = map[string]catalog.Service{"v": {Name: "v", Slots: 8}, "w": {Name: "w"}}
		m.Catalog.ApplyConfig(n)
	}
}

func (r *rig) submitAs(m *Manager, w workspace.Workspace, id string, body []byte) {
	r.t.Helper()
	if reply := m.Submit(r.t.Context(), w, &r.route, id, body, time.Now()); reply.Status != http.StatusAccepted {
		r.t.Fatalf("submission: %d %s", reply.Status, reply.Cause)
	}
}

// Guards against a job that another workspace can read, end or replace by one of its own with the same id, and against
// texts that are carried over from one workspace to another.
func TestJobsOfWorkspaces(t *testing.T) {
	e := newEngine(t, 1)
	r, _, _ := newWorkspaceRig(t, e)
	m, _ := r.manager("a", "a1")
	other, _ := r.manager("b", "b1")
	e.set(func(e *engine) { e.gap = time.Hour })
	r.submitAs(m, alder, "j", payload(1, "g-9"))
	await(t, "the item has a text", func() bool { return e.made("g-9") == 1 })
	for _, n := range []*Manager{m, other} {
		for name, reply := range map[string]int{
			"results": n.Results(t.Context(), birch, "j", 0, 0).Status,
			"body":    n.Body(t.Context(), birch, "j", "g-9").Status,
			"end":     n.End(t.Context(), birch, "j").Status,
			"keyless": n.Results(t.Context(), nobody, "j", 0, 0).Status,
			"scoped":  n.Results(t.Context(), nobody, scopedID(alder, "j"), 0, 0).Status,
			"forged":  n.Results(t.Context(), birch, scopedID(alder, "j"), 0, 0).Status,
		} {
			if reply != http.StatusNotFound {
				t.Errorf("%s by another workspace: %d", name, reply)
			}
		}
		if reply := n.Body(t.Context(), alder, "j", "g-9"); string(reply.Body) != "body of g-9" {
			t.Errorf("body: %d %q", reply.Status, reply.Body)
		}
	}
	e.set(func(e *engine) { e.gap = 0 })
	r.submitAs(other, birch, "j", payload(1, "g-1", "g-2"))
	await(t, "the second job is complete", func() bool {
		p, err := platformtest.DecodePage(other.Results(t.Context(), birch, "j", 0, 0).Body)
		return err == nil && len(p.Results) == 2 && p.Total == 2
	})
	if p, err := platformtest.DecodePage(m.Results(t.Context(), alder, "j", 0, 0).Body); err != nil || p.Total != 1 {
		t.Errorf("the first job has the page %+v, %v", p, err)
	}
	if reply := other.End(t.Context(), alder, "j"); reply.Status != http.StatusOK {
		t.Fatal(reply)
	}
	await(t, "the text is cached", func() bool { _, ok := m.texts.get("alder", "g-9"); return ok })
	if _, ok := m.texts.get("birch", "g-9"); ok {
		t.Error("the text is available to another workspace")
	}
	r.submitAs(m, birch, "next", payload(1, "g-9"))
	var p job.Page
	await(t, "the item has run for birch", func() bool {
		var err error
		p, err = platformtest.DecodePage(m.Results(t.Context(), birch, "next", 0, 0).Body)
		return err == nil && len(p.Results) == 1
	})
	checkTexts(t, p.Results, "g-9")
	// A text that was taken over would be continued after its first event, or not run at all.
	if l := e.started(); l[len(l)-1] != "g-9@1" {
		t.Errorf("runs of items: %v, want one of g-9 from its beginning at the end", l)
	}
}

// Guards against jobs that lose their workspace with their owner, against items and reward calls that name another workspace
// or priority, and against credentials in the headers of items that reach a server.
func TestWorkspaceOutlivesOwner(t *testing.T) {
	e := newEngine(t, 1)
	e.gap = time.Hour
	r, seen, configure := newWorkspaceRig(t, e)
	m, stop := r.manager("a", "a1")
	configure(m, workspace.Entry{Workspace: alder, Keys: []string{keyOfAlder, "former key"}})
	header := platformtest.SenderHeaders(platformtest.Sender{Credentials: platformtest.KeyCredentials(keyOfAlder), Workspace: "birch", Priority: "0"})
	header["X-Copy"], header["Content-Length"], header["host"] = "Basic "+keyOfAlder, "1", "elsewhere"
	header["X-Token"] = "token=" + keyOfAlder
	it := job.Item{ID: "g-3", Header: header, Reward: &job.Reward{ID: "call-g-3", Host: "scores", Path: "/score/g-3", Body: []byte("score g-3")}}
	r.submitAs(m, alder, "j", submission(1, []job.Item{it}))
	await(t, "the item runs", func() bool { return len(seen.of("g-3")) > 0 })
	stop()
	r.cut("a", true)
	e.set(func(e *engine) { e.gap = 0 })
	later, _ := r.manager("b", "b1")
	// The workspace has a new priority for its next owner, another workspace has joined, and a key has been revoked.
	configure(later, workspace.Entry{Workspace: workspace.Workspace{Name: "alder", Priority: 8, HasPriority: true}, Keys: []string{keyOfAlder}}, workspace.Entry{Workspace: birch})
	await(t, "the job is complete", func() bool {
		p, err := platformtest.DecodePage(later.Results(t.Context(), alder, "j", 0, 100*time.Millisecond).Body)
		return err == nil && len(p.Results) == 1 && p.Results[0].Score != ""
	})
	runs := seen.of("g-3")
	want := []platformtest.Sender{{Workspace: "alder", Priority: "3"}, {Workspace: "alder", Priority: "8"}}
	if d := cmp.Diff(want, []platformtest.Sender{runs[0], runs[len(runs)-1]}); d != "" {
		t.Errorf("first and last run of the item (-want +got):\n%s", d)
	}
	for _, s := range seen.of("call-g-3") {
		if s != (platformtest.Sender{Workspace: "alder"}) { // a plain service
			t.Errorf("the reward call was sent as %+v", s)
		}
	}
	if l := seen.leaks(); len(l) > 0 {
		t.Errorf("the key reached servers in the headers %v", l)
	}
	var state wire.JobState
	if err := json.Unmarshal(r.store.Spec(KindState, scopedID(alder, "j")), &state); err != nil || jobWorkspace(state) != alder {
		t.Errorf("the state names the workspace %+v, %v", jobWorkspace(state), err)
	}
	// The workspace has left the configuration.
	configure(later, workspace.Entry{Workspace: workspace.Workspace{Name: "birch", Priority: 1, HasPriority: true}})
	j := later.local(scopedID(alder, "j"))
	if s := j.sender(&r.route, r.server(0, 1)); s.Workspace != "alder" || s.Priority != 3 {
		t.Errorf("later items are sent as %+v", s)
	}
	q := j.request(&item{Item: it}, r.server(0, 1), &r.route, 0, time.Now())
	for _, name := range []string{"Content-Length", "Host", "Authorization"} {
		if v, ok := q.Header[name]; ok {
			t.Errorf("the item states %s: %q", name, v)
		}
	}
}

// Guards against the loss of jobs that were accepted before the configuration named workspaces.
func TestJobsBeforeWorkspaces(t *testing.T) {
	e := newEngine(t, 1)
	r, seen, configure := newWorkspaceRig(t, e)
	m, _ := r.manager("a", "a1")
	r.submit(m, "j", payload(1, "g-1", "g-2"))
	checkTexts(t, r.collect(m, "j", 2), "g-1", "g-2")
	configure(m, workspace.Entry{Workspace: alder}, workspace.Entry{Workspace: birch})
	for _, down := range []bool{false, true} { // what this entry holds is served during an outage, too
		r.store.SetFault(objects.Fault{Unavailable: down})
		for _, w := range []workspace.Workspace{alder, birch} {
			p, err := platformtest.DecodePage(m.Results(t.Context(), w, "j", 0, 0).Body)
			if err != nil || len(p.Results) != 2 {
				t.Errorf("store down %t: %s reads %+v, %v", down, w.Name, p, err)
			}
			if reply := m.Body(t.Context(), w, "j", "g-2"); string(reply.Body) != "body of g-2" {
				t.Errorf("store down %t: %s gets the body %q", down, w.Name, reply.Body)
			}
		}
	}
	for call, reply := range map[string]int{
		"end":          m.End(t.Context(), alder, "j").Status,
		"unknown job":  m.Results(t.Context(), alder, "k", 0, 0).Status,
		"unknown body": m.Body(t.Context(), alder, "k", "g-1").Status,
	} {
		if reply != http.StatusServiceUnavailable {
			t.Errorf("%s during an outage: %d, want 503", call, reply)
		}
	}
	if m.local("j").hasEnded() {
		t.Error("the older job was ended although the workspace may have one of its own")
	}
	r.store.SetFault(objects.Fault{})
	if s := seen.of("g-1"); s[0] != (platformtest.Sender{}) {
		t.Errorf("an item without a workspace was sent as %+v", s[0])
	}
	// A job of the workspace comes first, also for items that it does not have.
	r.submitAs(m, alder, "j", payload(1, "h-1"))
	for _, down := range []bool{false, true} {
		r.store.SetFault(objects.Fault{Unavailable: down})
		if reply := m.Body(t.Context(), alder, "j", "g-2"); reply.Status != http.StatusNotFound {
			t.Errorf("store down %t: the body of an item of the older job: %d", down, reply.Status)
		}
	}
	r.store.SetFault(objects.Fault{})
	if reply := m.End(t.Context(), birch, "j"); reply.Status != http.StatusOK || !m.local("j").hasEnded() || m.local(scopedID(alder, "j")).hasEnded() {
		t.Errorf("the end of the older job: %d", reply.Status)
	}
}

// Guards against items that forge headers or whole requests by control characters.
func TestInjectingItems(t *testing.T) {
	r := newRig(t, newEngine(t, 1))
	m, _ := r.manager("a", "a1")
	const forged = "x\r\nForged: y"
	for i, change := range []func(it *job.Item){
		func(*job.Item) {}, // accepted
		func(it *job.Item) { it.ID = forged },
		func(it *job.Item) { it.Path = "/p/" + forged },
		func(it *job.Item) { it.Path = "/p/a HTTP/1.1" },
		func(it *job.Item) { it.Header["X-B"] = forged },
		func(it *job.Item) { it.Header[forged] = "x" },
		func(it *job.Item) { it.Header["X-B "] = "x" },
		func(it *job.Item) { it.Reward.ID = forged },
		func(it *job.Item) { it.Reward.Host = forged },
		func(it *job.Item) { it.Reward.Path = "/score/" + forged },
	} {
		it := job.Item{
			ID: "g-1", Path: "/p/g-1", Header: map[string]string{"X-A": "b\tc"},
			Reward: &job.Reward{ID: "c", Host: "scores", Path: "/score/g-1"},
		}
		change(&it)
		body, err := platformtest.EncodeJob(job.Job{Model: "m", Groups: 1, Items: []job.Item{it}})
		if err != nil {
			t.Fatal(err)
		}
		want := http.StatusBadRequest
		if i == 0 {
			want = http.StatusAccepted
		}
		if reply := m.Submit(t.Context(), alder, &r.route, fmt.Sprint(i), body, time.Now()); reply.Status != want {
			t.Errorf("change %d: %d %s, want %d", i, reply.Status, reply.Cause, want)
		}
	}
}

// Guards against keys in the ids of items and of reward calls, which reach servers, logs and results.
func TestIDsWithKeys(t *testing.T) {
	r, _, configure := newWorkspaceRig(t, newEngine(t, 1))
	m, _ := r.manager("a", "a1")
	configure(m, workspace.Entry{Workspace: birch, Keys: []string{keyOfAlder}})
	for i, c := range []struct {
		item, call, path string
		want             int
	}{
		{"g-1", "c", "/p/x", 202},
		{keyOfAlder, "c", "/p/x", 400},
		{"g/" + keyOfAlder, "c", "/p/x", 400},
		{"g-1", "c:" + keyOfAlder, "/p/x", 400},
		{"g-" + workspace.MaskText + "[mas", "c", "/p/x", 400}, // was a key of the submitter
		{keyOfAlder, "c", "no path", 400},
		{keyOfAlder, "", "/p/x", 400},
	} {
		it := job.Item{ID: c.item, Path: c.path, Reward: &job.Reward{ID: c.call, Host: "scores", Path: "/score/g-1"}}
		body, err := platformtest.EncodeJob(job.Job{Model: "m", Groups: 1, Items: []job.Item{it}})
		if err != nil {
			t.Fatal(err)
		}
		reply := m.Submit(t.Context(), alder, &r.route, fmt.Sprint(i), body, time.Now())
		if reply.Status != c.want || strings.Contains(reply.Cause+string(reply.Body), keyOfAlder) {
			t.Errorf("ids %q and %q: %d %s, want %d without the key", c.item, c.call, reply.Status, reply.Cause, c.want)
		}
	}
}

// Guards against the loss of a job that a former version has accepted because of one header or item that cannot be sent.
func TestJobOfLaxVersion(t *testing.T) {
	e := newEngine(t, 1)
	r := newRig(t, e)
	m, _ := r.manager("a", "a1")
	const forged = "x\r\nForged: y"
	spec := job.Job{Model: "m", Groups: 1, Items: []job.Item{
		{ID: "g-1", Path: "/p/g-1", Group: "g", Header: map[string]string{"X-A": forged, forged: "x", "X-Model": "m"}},
		{ID: "h-" + forged, Path: "/p/h-1", Group: "h"},
		{ID: "i-1", Path: "/p/" + forged, Group: "i"},
		{ID: "k-1", Path: "/p/k-1", Group: "k", Reward: &job.Reward{ID: forged, Host: "scores", Path: "/score/k-1"}},
	}}
	body, err := platformtest.EncodeJob(spec)
	if err != nil {
		t.Fatal(err)
	}
	state := wire.JobState{Owner: "gone", Inc: "gone1", Epoch: 1, Host: r.route.Host, Path: r.route.Prefix, Total: 4, At: time.Now().UnixMilli(), Model: "m"}
	value, err := json.Marshal(state)
	if err != nil {
		t.Fatal(err)
	}
	r.store.Put(KindPayload, "j", body)
	r.store.Put(KindState, "j", value)
	if reply := m.takeOver(t.Context(), "j", nil, anyEpoch); reply.Status != 0 {
		t.Fatalf("takeover: %d %s", reply.Status, reply.Cause)
	}
	got := make(map[string]job.State)
	for _, result := range r.collect(m, "j", 4) {
		got[result.Item] = result.State
	}
	want := map[string]job.State{
		"g-1": job.Completed, "h-" + forged: job.Terminated, "i-1": job.Terminated, "k-1": job.Terminated,
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("states of the items (-want +got):\n%s", d)
	}
}
