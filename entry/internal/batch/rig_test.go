package batch

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bulrushspoke/entry/internal/place"
	"bulrushspoke/internal/call"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/job"
	"bulrushspoke/internal/link"
	"bulrushspoke/internal/upstream"
	"bulrushspoke/platform"
	"bulrushspoke/platform/platformtest"
	"bulrushspoke/standin/objects"
	"bulrushspoke/wire"
)

var quiet = slog.New(slog.DiscardHandler)

// engine is an engine whose items have a length of their own; a test may change how it answers.
type engine struct {
	*httptest.Server
	mu      sync.Mutex
	version int
	gap     time.Duration                                        // between two events
	answer  func(id string, run int) int                         // status of a run; 0 streams the item
	cut     func(id string, run int) int                         // event in the middle of which the run breaks off; 0 for none
	spill   func(w http.ResponseWriter, id string, run int) bool // true if it has answered by itself
	runs    map[string]int
	starts  []string       // id and first event of each run that streamed
	events  map[string]int // newest event of each item
	leaving bool           // its answers say so
	running int
}

func newEngine(t *testing.T, version int) *engine {
	t.Helper()
	e := &engine{version: version, runs: make(map[string]int), events: make(map[string]int)}
	e.Server = httptest.NewServer(e)
	t.Cleanup(e.CloseClientConnections)
	return e
}

// length returns the number of events of an item: ids are such as a-3.
func length(id string) int {
	n := 0
	_, _ = fmt.Sscan(id[strings.LastIndexByte(id, '-')+1:], &n)
	return n
}

func text(id string) string {
	var l []string
	for i := 1; i <= length(id); i++ {
		l = append(l, fmt.Sprintf("%s.%d", id, i))
	}
	return strings.Join(l, "\n")
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	asked := platformtest.Asked(r.Header)
	id := asked.ID
	e.mu.Lock()
	e.runs[id]++
	run := e.runs[id]
	status, cut := 0, 0
	if e.answer != nil {
		status = e.answer(id, run)
	}
	if e.cut != nil {
		cut = e.cut(id, run)
	}
	version, gap, spill := e.version, e.gap, e.spill
	platformtest.Answer(w.Header(), call.Answer{Leaving: e.leaving})
	e.mu.Unlock()
	if spill != nil && spill(w, id, run) {
		return
	}
	if status == http.StatusServiceUnavailable {
		platformtest.Answer(w.Header(), call.Answer{NotRun: true})
		w.WriteHeader(status)
		return
	}
	platformtest.Answer(w.Header(), call.Answer{ID: id, Signature: platformtest.Stamp})
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	from := asked.After + 1
	e.mu.Lock()
	e.starts = append(e.starts, fmt.Sprintf("%s@%d", id, from))
	e.running++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	if from <= length(id) {
		platformtest.Answer(w.Header(), call.Answer{Version: version})
	}
	w.WriteHeader(http.StatusOK)
	out := http.NewResponseController(w)
	for i := from; i <= length(id); i++ {
		if i == cut {
			_, _ = fmt.Fprintf(w, "id: %d\nda", i)
			_ = out.Flush()
			panic(http.ErrAbortHandler)
		}
		e.mu.Lock()
		change := ""
		e.events[id] = max(e.events[id], i)
		if e.version != version {
			version = e.version
			change = platformtest.NewVersion(version)
		}
		e.mu.Unlock()
		_, _ = fmt.Fprintf(w, "%sid: %d\ndata: %s.%d\n\n", change, i, id, i)
		_ = out.Flush()
		select {
		case <-time.After(gap):
		case <-r.Context().Done():
			return
		}
	}
}

func (e *engine) set(f func(*engine)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e)
}

func (e *engine) started() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.starts...)
}

// mesh links managers in one process.
type mesh struct {
	mu       sync.Mutex
	handlers map[string]map[string]func(context.Context, link.Frame) (string, any, error)
	incs     map[string]string
	cut      map[string]bool

	delegates bool               // jobs are run by the owner of their model
	cores     map[string]float64 // of each entry
}

// member is what one manager sees of the mesh.
type member struct {
	*mesh
	name string
}

var errCut = errors.New("cut off")

func (m member) Handle(kind string, f func(context.Context, link.Frame) (string, any, error)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.handlers[m.name] == nil {
		m.handlers[m.name] = make(map[string]func(context.Context, link.Frame) (string, any, error))
	}
	m.handlers[m.name][kind] = f
}

func (m member) Ask(ctx context.Context, name, kind string, body, answer any) error {
	m.mu.Lock()
	f := m.handlers[name][kind]
	if m.cut[name] || m.cut[m.name] {
		f = nil
	}
	m.mu.Unlock()
	if f == nil {
		return errCut
	}
	raw, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	_, got, err := f(ctx, link.Frame{Kind: kind, ID: 1, Body: raw})
	if err != nil || answer == nil {
		return err
	}
	if raw, err = cbor.Marshal(got); err != nil {
		return err
	}
	return cbor.Unmarshal(raw, answer)
}

func (m member) Tell(kind string, body any) {
	for _, name := range m.Linked() {
		_ = m.Ask(context.Background(), name, kind, body, nil)
	}
}

func (m member) Linked() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var l []string
	for name := range m.handlers {
		if name != m.name && !m.cut[name] && !m.cut[m.name] {
			l = append(l, name)
		}
	}
	return l
}

// Near returns no entry unless a test lets jobs be run by others than their receiver.
func (m member) Near(string) []wire.Hello {
	if !m.delegates {
		return nil
	}
	var l []wire.Hello
	for _, name := range m.Linked() {
		l = append(l, wire.Hello{Name: name, Inc: m.Incarnation(name), Cores: m.cores[name]})
	}
	return l
}

func (m member) Incarnation(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cut[name] || m.cut[m.name] {
		return ""
	}
	return m.incs[name]
}

// steps keeps the parts of steps that were recorded.
type steps struct {
	mu    sync.Mutex
	parts map[string]float64 // seconds by part, of the newest step
}

// Record implements Histogram.
func (s *steps) Record(_, part string, seconds float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.parts[part] = seconds
}

// first draws the first of what there is.
type first struct{}

// IntN implements Random.
func (first) IntN(int) int { return 0 }

// rig is a store, engines and any number of managers.
type rig struct {
	t       *testing.T
	store   *objects.Store
	address string
	engines []*engine
	mesh    *mesh
	route   catalog.Route
	routes  []catalog.Route // beside route
	scorer  *scorer         // nil if nothing is scored
	steps   *steps
}

func newRig(t *testing.T, engines ...*engine) *rig {
	t.Helper()
	s := objects.New()
	server := httptest.NewServer(s)
	t.Cleanup(server.CloseClientConnections)
	return &rig{
		t: t, store: s, steps: &steps{parts: make(map[string]float64)}, address: strings.TrimPrefix(server.URL, "http://"), engines: engines,
		mesh: &mesh{
			handlers: make(map[string]map[string]func(context.Context, link.Frame) (string, any, error)),
			incs:     make(map[string]string), cut: make(map[string]bool),
		},
		route: catalog.Route{
			Name: "r", Host: "h", Prefix: "/p/", Kind: catalog.Batch, Attempts: 3, Resumable: true, Queue: time.Minute,
			Shares: []catalog.Share{{Service: "v", Weight: 1}},
		},
	}
}

// manager starts a manager; stop ends it as a crash does.
func (r *rig) manager(name, inc string) (*Manager, context.CancelFunc) {
	r.t.Helper()
	c := catalog.New(quiet)
	c.ApplyConfig(catalog.Config{Revision: 1, Routes: append([]catalog.Route{r.route}, r.routes...)})
	r.serve(c)
	pool := upstream.New(upstream.Limits{Dial: time.Second, Idle: 16})
	life, stop := context.WithCancel(r.t.Context())
	home := place.Home{Domain: "d", Region: "x", Regions: map[string]string{"d": "x"}}
	peers := member{mesh: r.mesh, name: name}
	m := New(life, Options{
		Self: wire.Member{Inc: inc}, Name: name,
		Store: platform.NewStore(r.address, 200*time.Millisecond, pool, quiet), Peers: peers, Catalog: c, Pool: pool,
		Tracker: place.New(home, rand.New(rand.NewPCG(1, 1))), Keep: time.Minute, Value: 1 << 20, Memory: 1 << 24, Logger: quiet,
		Outage: func(time.Time) time.Duration { return 0 }, Random: first{}, Steps: r.steps,
	})
	m.Register(peers)
	r.mesh.mu.Lock()
	r.mesh.incs[name] = inc
	delete(r.mesh.cut, name)
	r.mesh.mu.Unlock()
	return m, stop
}

// serve puts the engines into a catalog.
func (r *rig) serve(c *catalog.Catalog) {
	for i := range r.engines {
		c.ApplyServer(r.entry(i, int64(i+1)))
	}
	if r.scorer == nil {
		return
	}
	for i, server := range []*httptest.Server{r.scorer.Server, r.scorer.second} {
		c.ApplyServer(catalog.Server{
			ID: fmt.Sprintf("w%d", i), Revision: 50, Service: "w", Domain: "d", Slots: 6,
			Address: strings.TrimPrefix(server.URL, "http://"),
		})
	}
}

// entry is what an engine says of itself in the list of servers.
func (r *rig) entry(i int, revision int64) catalog.Server {
	e := r.engines[i]
	e.mu.Lock()
	defer e.mu.Unlock()
	return catalog.Server{
		ID: fmt.Sprintf("i%d", i), Revision: revision, Service: "v", Domain: "d", Slots: 8,
		Address: strings.TrimPrefix(e.URL, "http://"), Versions: map[string]int{"m": e.version},
	}
}

func itemDone(j *Job, id string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.items[id].done
}

func (r *rig) cut(name string, cut bool) {
	r.mesh.mu.Lock()
	defer r.mesh.mu.Unlock()
	r.mesh.cut[name] = cut
}

// payload returns a submission with the given items, each in the group before the dash of its id, of which the trainer
// waits for one.
func payload(minVersion int, ids ...string) []byte { return payloadFor(1, minVersion, ids...) }

// payloadFor returns the same of a trainer that waits for a number of groups.
func payloadFor(groups, minVersion int, ids ...string) []byte {
	j := job.Job{Step: 1, Model: "m", MinVersion: minVersion, Groups: groups}
	for _, id := range ids {
		group, _, _ := strings.Cut(id, "-")
		j.Items = append(j.Items, job.Item{ID: id, Path: "/p/" + id, Body: []byte("body of " + id), Tokens: 10, Group: group})
	}
	b, err := platformtest.EncodeJob(j)
	if err != nil {
		panic(err) // strings and numbers encode
	}
	return b
}

// collect reads a job until it has n results or the time is up.
func (r *rig) collect(m *Manager, id string, n int) []job.Result {
	r.t.Helper()
	var all []job.Result
	deadline := time.Now().Add(15 * time.Second)
	for len(all) < n && time.Now().Before(deadline) {
		reply := m.Results(r.t.Context(), id, len(all), 100*time.Millisecond)
		if reply.Status == http.StatusServiceUnavailable {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		if reply.Status != http.StatusOK {
			r.t.Fatalf("reading job %s: %d %s", id, reply.Status, reply.Cause)
		}
		a, err := platformtest.DecodePage(reply.Body)
		if err != nil {
			r.t.Fatal(err)
		}
		if a.Next != len(all)+len(a.Results) {
			r.t.Fatalf("next is %d after %d and %d results", a.Next, len(all), len(a.Results))
		}
		all = append(all, a.Results...)
	}
	if len(all) < n {
		r.t.Fatalf("job %s has %d results, want %d", id, len(all), n)
	}
	return all
}

// check compares results with the whole texts of their items, each once.
func check(t *testing.T, results []job.Result, ids ...string) {
	t.Helper()
	seen := make(map[string]bool)
	for _, r := range results {
		if seen[r.Item] {
			t.Errorf("item %s stands twice", r.Item)
		}
		seen[r.Item] = true
		if r.State != job.Completed || r.Text != text(r.Item) {
			t.Errorf("item %s has state %d and text %q", r.Item, r.State, r.Text)
		}
	}
	for _, id := range ids {
		if !seen[id] {
			t.Errorf("item %s is missing", id)
		}
	}
}

func (r *rig) submit(m *Manager, id string, body []byte) {
	r.t.Helper()
	if reply := m.Submit(r.t.Context(), &r.route, id, body, time.Now()); reply.Status != http.StatusAccepted {
		r.t.Fatalf("submission: %d %s", reply.Status, reply.Cause)
	}
}
