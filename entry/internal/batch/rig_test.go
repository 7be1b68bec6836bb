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
	"bulrushspoke/internal/budget"
	"bulrushspoke/internal/call"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/job"
	"bulrushspoke/internal/link"
	"bulrushspoke/internal/upstream"
	"bulrushspoke/internal/workspace"
	"bulrushspoke/platform"
	"bulrushspoke/platform/platformtest"
	"bulrushspoke/standin/objects"
	"bulrushspoke/wire"
)

var discardLogger = slog.New(slog.DiscardHandler)

// engine is a test engine that generates as many events as the id of an item tells. Tests may change its responses.
type engine struct {
	*httptest.Server
	mu      sync.Mutex
	version int
	gap     time.Duration                                        // between two events
	answer  func(id string, run int) int                         // status of a run; 0 streams the item
	cut     func(id string, run int) int                         // event in the middle of which the run is interrupted; 0 for none
	hijack  func(w http.ResponseWriter, id string, run int) bool // true if it has responded itself
	runs    map[string]int
	starts  []string       // id and first event of each streamed run
	events  map[string]int // last event of each item
	leaving bool           // announced in its responses
	limit   call.Limit     // stated in its responses
	running int
}

func newEngine(t *testing.T, version int) *engine {
	t.Helper()
	e := &engine{version: version, runs: make(map[string]int), events: make(map[string]int)}
	e.Server = httptest.NewServer(e)
	t.Cleanup(e.CloseClientConnections)
	return e
}

// length returns the number of events of an item, which is the number at the end of its id, as in a-3.
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
	asked := platformtest.DecodeServerRequest(r.Header)
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
	version, gap, spill := e.version, e.gap, e.hijack
	platformtest.SetResponseHeaders(w.Header(), call.Answer{Leaving: e.leaving, Limit: e.limit})
	e.mu.Unlock()
	if spill != nil && spill(w, id, run) {
		return
	}
	if status == http.StatusServiceUnavailable {
		platformtest.SetResponseHeaders(w.Header(), call.Answer{NotRun: true})
		w.WriteHeader(status)
		return
	}
	platformtest.SetResponseHeaders(w.Header(), call.Answer{ID: id, Signature: platformtest.Signature})
	if status != 0 {
		w.WriteHeader(status)
		return
	}
	from := asked.ResumeAfter + 1
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
		platformtest.SetResponseHeaders(w.Header(), call.Answer{Version: version})
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

// mesh connects managers in one process.
type mesh struct {
	mu       sync.Mutex
	handlers map[string]map[string]func(context.Context, link.Frame) (string, any, error)
	incs     map[string]string
	cut      map[string]bool

	late       func() time.Duration // delay of a message whose sender gets no answer, 0 for others; nil for none
	delegation bool                 // jobs are run by the preferred owner of their model
	cores      map[string]float64   // by entry
}

// member is the mesh as seen by one manager.
type member struct {
	*mesh
	name string
}

var errPartitioned = errors.New("cut off")

func (m member) Handle(kind string, f func(context.Context, link.Frame) (string, any, error)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.handlers[m.name] == nil {
		m.handlers[m.name] = make(map[string]func(context.Context, link.Frame) (string, any, error))
	}
	m.handlers[m.name][kind] = f
}

func (m member) Request(ctx context.Context, name, kind string, body, answer any) error {
	m.mu.Lock()
	f := m.handlers[name][kind]
	if m.cut[name] || m.cut[m.name] {
		f = nil
	}
	m.mu.Unlock()
	if f == nil {
		return errPartitioned
	}
	raw, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	if m.late != nil {
		if delay := m.late(); delay > 0 {
			time.AfterFunc(delay, func() { _, _, _ = f(context.WithoutCancel(ctx), link.Frame{Kind: kind, ID: 1, Body: raw}) })
			return errPartitioned
		}
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

func (m member) Broadcast(kind string, body any) {
	for _, name := range m.Connected() {
		_ = m.Request(context.Background(), name, kind, body, nil)
	}
}

func (m member) Connected() []string {
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

// InDomain returns no entries unless delegation is set, so that jobs are run by the entry that receives them.
func (m member) InDomain(string) []wire.Hello {
	if !m.delegation {
		return nil
	}
	var l []wire.Hello
	for _, name := range m.Connected() {
		l = append(l, wire.Hello{Name: name, Inc: m.Incarnation(name), Cores: m.cores[name]})
	}
	return l
}

func (m member) InRegion(string) []wire.Hello { return m.InDomain("") }

func (m member) Incarnation(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cut[name] || m.cut[m.name] {
		return ""
	}
	return m.incs[name]
}

// steps stores the recorded parts of steps.
type steps struct {
	mu    sync.Mutex
	parts map[string]float64 // seconds by part, of the last step
}

// Record implements Histogram.
func (s *steps) Record(_, part string, seconds float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.parts[part] = seconds
}

// faults counts the reported inconsistencies of logs by kind.
type faults struct {
	mu    sync.Mutex
	kinds map[string]int64
}

// Add implements Counter.
func (f *faults) Add(n int64, values ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kinds[values[0]] += n
}

// firstChoice always draws 0.
type firstChoice struct{}

// IntN implements Random.
func (firstChoice) IntN(int) int { return 0 }

// rig is a test environment with a store, engines and any number of managers.
type rig struct {
	t       *testing.T
	store   *objects.Store
	address string
	engines []*engine
	mesh    *mesh
	route   catalog.Route
	routes  []catalog.Route // in addition to route
	scorer  *scorer         // nil if no items are scored
	steps   *steps
	faults  *faults
	wrap    func(Store) Store // applied to the store of each manager; nil for none
	held    *catalog.Config   // configuration that managers hold when they start; nil for one with the routes of the rig
	// newest reads the newest configuration from the store; nil if managers hold it.
	newest func() (catalog.Config, error)
}

func newRig(t *testing.T, engines ...*engine) *rig {
	t.Helper()
	s := objects.New()
	server := httptest.NewServer(s)
	t.Cleanup(server.CloseClientConnections)
	return &rig{
		t: t, store: s, steps: &steps{parts: make(map[string]float64)}, faults: &faults{kinds: make(map[string]int64)}, address: strings.TrimPrefix(server.URL, "http://"), engines: engines,
		mesh: &mesh{
			handlers: make(map[string]map[string]func(context.Context, link.Frame) (string, any, error)),
			incs:     make(map[string]string), cut: make(map[string]bool),
		},
		route: catalog.Route{
			Name: "r", Host: "h", Prefix: "/p/", Kind: catalog.Batch, MaxAttempts: 3, Resumable: true, MaxQueueTime: time.Minute,
			Shares: []catalog.Share{{Service: "v", Weight: 1}},
		},
	}
}

// manager starts a manager; the returned function stops it without a handover, like a crash.
func (r *rig) manager(name, inc string) (*Manager, context.CancelFunc) {
	r.t.Helper()
	c := catalog.New(discardLogger)
	held := catalog.Config{Revision: 1, Routes: append([]catalog.Route{r.route}, r.routes...)}
	if r.held != nil {
		held = *r.held
	}
	c.ApplyConfig(held)
	r.registerServers(c)
	pool := upstream.New(upstream.Limits{Dial: time.Second, Idle: 16})
	life, stop := context.WithCancel(r.t.Context())
	home := place.Home{Domain: "d", Region: "x", Regions: map[string]string{"d": "x"}}
	peers := member{mesh: r.mesh, name: name}
	var objects Store = platform.NewStore(r.address, 200*time.Millisecond, pool, discardLogger)
	if r.wrap != nil {
		objects = r.wrap(objects)
	}
	var readConfig func(context.Context) error
	if r.newest != nil {
		readConfig = func(context.Context) error {
			n, err := r.newest()
			if err == nil {
				c.ApplyConfig(n)
			}
			return err
		}
	}
	m := New(life, Options{
		Self: wire.Member{Inc: inc}, Name: name,
		Store: objects, Peers: peers, Catalog: c, Pool: pool,
		Tracker: place.New(home, c.Limits(), rand.New(rand.NewPCG(1, 1))), Retention: time.Minute, MaxObjectBytes: 1 << 20, Memory: budget.New(1<<24).Account("jobs", 1<<24), Logger: discardLogger,
		Outage: func(time.Time) time.Duration { return 0 }, Random: firstChoice{}, Steps: r.steps, LogFaults: r.faults,
		ReadConfig: readConfig,
	})
	m.Register(peers)
	r.mesh.mu.Lock()
	r.mesh.incs[name] = inc
	delete(r.mesh.cut, name)
	r.mesh.mu.Unlock()
	return m, stop
}

// registerServers adds the engines and scorers to a catalog.
func (r *rig) registerServers(c *catalog.Catalog) {
	for i := range r.engines {
		c.ApplyServer(r.server(i, int64(i+1)))
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

// server returns the catalog entry of an engine.
func (r *rig) server(i int, revision int64) catalog.Server {
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

// payload returns a submission of a trainer that waits for one group. The group of an item is the part of its id before
// the dash.
func payload(minVersion int, ids ...string) []byte { return payloadFor(1, minVersion, ids...) }

// payloadFor is payload for a trainer that waits for the given number of groups.
func payloadFor(groups, minVersion int, ids ...string) []byte {
	j := job.Job{Step: 1, Model: "m", MinVersion: minVersion, Groups: groups}
	for _, id := range ids {
		group, _, _ := strings.Cut(id, "-")
		j.Items = append(j.Items, job.Item{ID: id, Path: "/p/" + id, Body: []byte("body of " + id), Tokens: 10, Group: group})
	}
	b, err := platformtest.EncodeJob(j)
	if err != nil {
		panic(err) // strings and numbers can be encoded
	}
	return b
}

// collect reads a job until it has n results, and fails the test after 15 s.
func (r *rig) collect(m *Manager, id string, n int) []job.Result {
	r.t.Helper()
	return r.collectAs(m, nobody, id, n)
}

func (r *rig) collectAs(m *Manager, w workspace.Workspace, id string, n int) []job.Result {
	r.t.Helper()
	var all []job.Result
	deadline := time.Now().Add(15 * time.Second)
	for len(all) < n && time.Now().Before(deadline) {
		reply := m.Results(r.t.Context(), w, id, len(all), 100*time.Millisecond)
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
			r.t.Fatalf("next position is %d after %d and %d results", a.Next, len(all), len(a.Results))
		}
		all = append(all, a.Results...)
	}
	if len(all) < n {
		r.t.Fatalf("job %s has %d results, want %d", id, len(all), n)
	}
	return all
}

// checkTexts checks that each item has one result with its complete text.
func checkTexts(t *testing.T, results []job.Result, ids ...string) {
	t.Helper()
	seen := make(map[string]bool)
	for _, r := range results {
		if seen[r.Item] {
			t.Errorf("duplicate result of item %s", r.Item)
		}
		seen[r.Item] = true
		if r.State != job.Completed || r.Text != text(r.Item) {
			t.Errorf("item %s has state %d and text %q", r.Item, r.State, r.Text)
		}
	}
	for _, id := range ids {
		if !seen[id] {
			t.Errorf("no result of item %s", id)
		}
	}
}

func (r *rig) submit(m *Manager, id string, body []byte) {
	r.t.Helper()
	if reply := m.Submit(r.t.Context(), nobody, &r.route, id, body, time.Now()); reply.Status != http.StatusAccepted {
		r.t.Fatalf("submission: %d %s", reply.Status, reply.Cause)
	}
}

// nobody is the workspace of clients of a deployment without workspaces.
var nobody workspace.Workspace
