package batch

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"bulrushspoke/internal/job"
	"bulrushspoke/internal/link"
	"bulrushspoke/internal/sleep"
	"bulrushspoke/internal/store"
	"bulrushspoke/platform/platformtest"
	"bulrushspoke/wire"
)

const (
	chaosSeeds    = 4               // seeds of an ordinary run
	chaosTime     = 2 * time.Second // how long faults happen
	chaosDelay    = 500 * time.Millisecond
	chaosJobs     = 6
	chaosItems    = 12 // of each job
	chaosManagers = "abcd"
)

var seeds = flag.Int("chaos", chaosSeeds, "number of seeds of TestChaos")

// storeFaults decides by its seed what happens to the calls of all managers, and to their messages.
type storeFaults struct {
	mu     sync.Mutex
	random *rand.Rand
	off    bool
}

type storeFault int

const (
	noFault     storeFault = iota
	refusedCall            // nothing is done
	lostAnswer             // done, without an answer
	heldAnswer             // done, answered late
	lateWrite              // done after the caller has given up
)

func (f *storeFaults) draw() (storeFault, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kind := storeFault(f.random.IntN(16))
	if f.off || kind > lateWrite {
		return noFault, 0
	}
	return kind, time.Duration(f.random.Int64N(int64(chaosDelay)))
}

func (f *storeFaults) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.off = true
}

// faultyStore is a store whose answers are refused, lost or late.
type faultyStore struct {
	Store
	faults *storeFaults
}

func (s faultyStore) write(ctx context.Context, apply func(context.Context) (int64, error)) (int64, error) {
	kind, delay := s.faults.draw()
	switch kind {
	case refusedCall:
		return 0, store.NewUnavailableError(false, "refused")
	case lateWrite:
		time.AfterFunc(delay, func() { _, _ = apply(context.WithoutCancel(ctx)) })
		return 0, store.NewUnavailableError(true, "no answer")
	}
	revision, err := apply(ctx)
	switch kind {
	case lostAnswer:
		return 0, store.NewUnavailableError(true, "no answer")
	case heldAnswer:
		sleep.For(ctx, delay)
	}
	return revision, err
}

// Create implements Store.
func (s faultyStore) Create(ctx context.Context, kind, name string, spec []byte) (int64, error) {
	return s.write(ctx, func(ctx context.Context) (int64, error) { return s.Store.Create(ctx, kind, name, spec) })
}

// Update implements Store.
func (s faultyStore) Update(ctx context.Context, kind, name string, spec []byte, revision int64) (int64, error) {
	return s.write(ctx, func(ctx context.Context) (int64, error) { return s.Store.Update(ctx, kind, name, spec, revision) })
}

// Get implements Store.
func (s faultyStore) Get(ctx context.Context, kind, name string) (store.Record, error) {
	r, err := s.Store.Get(ctx, kind, name)
	if !s.read(ctx) {
		return store.Record{}, store.NewUnavailableError(false, "refused")
	}
	return r, err
}

// List implements Store.
func (s faultyStore) List(ctx context.Context, kind string) ([]store.Record, int64, error) {
	l, revision, err := s.Store.List(ctx, kind)
	if !s.read(ctx) {
		return nil, 0, store.NewUnavailableError(false, "refused")
	}
	return l, revision, err
}

// read reports whether a read is answered, and holds its answer.
func (s faultyStore) read(ctx context.Context) bool {
	kind, delay := s.faults.draw()
	if kind == heldAnswer {
		sleep.For(ctx, delay)
	}
	return kind != refusedCall && kind != lostAnswer
}

// chaosJob is a job and what clients have read of it.
type chaosJob struct {
	id    string
	body  []byte
	items int
	start wire.JobStart // what its first owner is told
	ends  bool          // while faults happen

	mu        sync.Mutex
	results   []job.Result // by position
	known     []bool       // whether the position was read
	positions map[string]int
}

// newChaosJob returns a job whose items x and y fail at each run, and those of group r are scored.
func newChaosJob(n int, random *rand.Rand, ends bool) *chaosJob {
	c := &chaosJob{
		id: fmt.Sprintf("j%d", n), items: chaosItems, ends: ends, results: make([]job.Result, chaosItems),
		known: make([]bool, chaosItems), positions: make(map[string]int),
	}
	spec := job.Job{Step: 1, Model: "m", MinVersion: 1, Groups: 10}
	for i := range c.items {
		group := fmt.Sprintf("%s%c", c.id, "ppqqrrstuxyz"[i])
		id := fmt.Sprintf("%s-%d-%d", group, i, 1+random.IntN(1+25*i))
		it := job.Item{ID: id, Path: "/p/" + id, Body: []byte("body of " + id), Tokens: 10, Group: group}
		if strings.HasSuffix(group, "r") {
			it.Reward = &job.Reward{ID: "call-" + id, Host: "scores", Path: "/score/" + id, Body: []byte("score " + id)}
		}
		spec.Items = append(spec.Items, it)
	}
	var err error
	if c.body, err = platformtest.EncodeJob(spec); err != nil {
		panic(err) // strings and numbers can be encoded
	}
	return c
}

func failing(item string) bool {
	group, _, _ := strings.Cut(item, "-")
	return strings.HasSuffix(group, "x") || strings.HasSuffix(group, "y")
}

// add compares a page with what was read before.
func (c *chaosJob) add(t *testing.T, reader string, after int, p job.Page) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.Total != c.items || p.Next != after+len(p.Results) || len(p.Results) > 0 && p.Next > c.items {
		t.Errorf("%s at %s: total %d, next %d after %d with %d results", c.id, reader, p.Total, p.Next, after, len(p.Results))
		return
	}
	for i, r := range p.Results {
		n := after + i
		if c.known[n] && fmt.Sprint(c.results[n]) != fmt.Sprint(r) {
			t.Errorf("%s at %s: position %d changed from %+v to %+v", c.id, reader, n, c.results[n], r)
		}
		if first, ok := c.positions[r.Item]; ok && first != n {
			t.Errorf("%s at %s: item %s stands at positions %d and %d", c.id, reader, r.Item, first, n)
		}
		if completed := r.State == job.Completed; completed == failing(r.Item) || completed && r.Text != text(r.Item) {
			t.Errorf("%s at %s: item %s has state %v and text %q", c.id, reader, r.Item, r.State, r.Text)
		}
		c.known[n], c.results[n], c.positions[r.Item] = true, r, n
	}
}

// count returns the number of positions up to the last one that was read.
func (c *chaosJob) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.items
	for n > 0 && !c.known[n-1] {
		n--
	}
	return n
}

// fleet is a set of managers that are replaced while clients use them.
type fleet struct {
	*rig
	jobs []*chaosJob

	mu       sync.Mutex
	managers map[string]*Manager
	stops    map[string]context.CancelFunc
	started  int
}

func (f *fleet) get(name string) *Manager {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.managers[name]
}

// restart replaces a manager by one with a new incarnation.
func (f *fleet) restart(name string) {
	f.mu.Lock()
	if stop := f.stops[name]; stop != nil {
		stop()
	}
	f.started++
	f.managers[name], f.stops[name] = f.manager(name, fmt.Sprintf("%s%d", name, f.started))
	f.mu.Unlock()
	f.connect(name)
}

// connect ends the partition of a manager.
func (f *fleet) connect(name string) {
	f.cut(name, false)
	for _, other := range strings.Split(chaosManagers, "") {
		if m := f.get(other); m != nil && other != name {
			m.PeerConnected(name)
			f.get(name).PeerConnected(other)
		}
	}
}

// read reads a job once and returns the number of results.
func (f *fleet) read(m *Manager, c *chaosJob, after int, wait time.Duration) int {
	reply := m.Results(f.t.Context(), nobody, c.id, after, wait)
	if reply.Status == http.StatusServiceUnavailable {
		return 0
	}
	p, err := platformtest.DecodePage(reply.Body)
	if reply.Status != http.StatusOK || err != nil {
		f.t.Errorf("%s at %s: status %d, %v", c.id, m.Self.Inc, reply.Status, err)
		return 0
	}
	c.add(f.t, m.Self.Inc, after, p)
	return len(p.Results)
}

// readAtRandom reads all jobs from random positions at one manager until ctx ends.
func (f *fleet) readAtRandom(ctx context.Context, name string, random *rand.Rand) {
	for ctx.Err() == nil && !f.t.Failed() {
		c := f.jobs[random.IntN(len(f.jobs))]
		f.read(f.get(name), c, random.IntN(c.count()+3), time.Duration(random.IntN(30))*time.Millisecond)
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}

// submit submits a job until it is accepted.
func (f *fleet) submit(c *chaosJob, random *rand.Rand) {
	f.t.Helper()
	for range 100 {
		name := string(chaosManagers[random.IntN(len(chaosManagers))])
		if f.get(name).Submit(f.t.Context(), nobody, &f.route, c.id, c.body, time.Now()).Status == http.StatusAccepted {
			c.start = wire.JobStart{Job: c.id, Payload: c.body}
			if err := json.Unmarshal(f.store.Spec(KindState, c.id), &c.start.State); err != nil {
				f.t.Fatal(err)
			}
			return
		}
	}
	f.t.Fatalf("job %s is not accepted", c.id)
}

// disturb does one thing to a random manager and job.
func (f *fleet) disturb(random *rand.Rand) {
	name := string(chaosManagers[random.IntN(len(chaosManagers))])
	m, c := f.get(name), f.jobs[random.IntN(len(f.jobs))]
	ctx, cancel := context.WithTimeout(f.t.Context(), chaosDelay)
	defer cancel()
	switch random.IntN(10) {
	case 0:
		f.restart(name)
	case 1:
		m.Handover(ctx)
		f.restart(name)
	case 2, 3:
		f.cut(name, true)
	case 4, 5:
		f.connect(name)
	case 6:
		m.takeOver(ctx, c.id, nil, 0)
	case 7:
		m.takeOver(ctx, c.id, nil, anyEpoch)
	case 8:
		if random.IntN(2) == 0 {
			m.Submit(ctx, nobody, &f.route, c.id, c.body, time.Now())
			return
		}
		late := member{mesh: f.mesh, name: name}
		_ = late.Request(ctx, c.start.State.Owner, link.Start, c.start, nil)
	case 9:
		if c.ends {
			m.End(ctx, nobody, c.id)
		}
	}
}

// checkLog checks that the log of a job has no gap and no item twice, and holds what was read.
func (f *fleet) checkLog(c *chaosJob) {
	f.t.Helper()
	var l []string
	for n, name := range f.store.Names(KindRecords + c.id) {
		var rec wire.JobRecord
		if err := json.Unmarshal(f.store.Spec(KindRecords+c.id, name), &rec); err != nil {
			f.t.Fatal(err)
		}
		if name != recordName(n) || rec.First != len(l) {
			f.t.Errorf("%s: record %d is %s and starts at %d of %d", c.id, n, name, rec.First, len(l))
		}
		for _, r := range rec.Results {
			l = append(l, r.Item)
		}
	}
	seen := make(map[string]int)
	for n, item := range l {
		if first, ok := seen[item]; ok {
			f.t.Errorf("%s: the log has item %s at %d and %d", c.id, item, first, n)
		}
		seen[item] = n
	}
	for item, n := range c.positions {
		if at, ok := seen[item]; !ok || at != n {
			f.t.Errorf("%s: item %s was read at %d; the log has it at %d (%t)", c.id, item, n, at, ok)
		}
	}
}

// readAll reads a job from its start at one manager until it has n results, and fails the test after 15 s.
func (f *fleet) readAll(m *Manager, c *chaosJob, n int) {
	f.t.Helper()
	deadline := time.Now().Add(15 * time.Second)
	for after := 0; after < n; {
		got := f.read(m, c, after, 100*time.Millisecond)
		if after += got; got == 0 {
			time.Sleep(20 * time.Millisecond)
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("%s at %s: %d results, want %d", c.id, m.Self.Inc, after, n)
		}
	}
}

// Guards against positions that change, items at two positions and results that are lost, whatever the store and the
// entries do. A seed decides what happens, but not in which order concurrent calls proceed.
func TestChaos(t *testing.T) {
	for seed := range *seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			chaos(t, uint64(seed))
		})
	}
}

func chaos(t *testing.T, seed uint64) {
	source := func(n uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, n)) }
	random, faults := source(0), &storeFaults{random: source(1)}
	e := newEngine(t, 1)
	e.gap = 3 * time.Millisecond
	e.hijack = func(_ http.ResponseWriter, id string, _ int) bool {
		if failing(id) {
			time.Sleep(time.Duration(length(id)) * e.gap)
		}
		return false
	}
	e.answer = func(id string, _ int) int {
		switch group, _, _ := strings.Cut(id, "-"); group[len(group)-1] {
		case 'x':
			return http.StatusUnprocessableEntity
		case 'y':
			return http.StatusInternalServerError
		}
		return 0
	}
	f := &fleet{rig: newRig(t, e), managers: make(map[string]*Manager), stops: make(map[string]context.CancelFunc)}
	f.addScorer(newScorer(t, e))
	f.mesh.delegation = seed%2 == 0
	f.mesh.late = func() time.Duration {
		kind, delay := faults.draw()
		if kind != lateWrite {
			return 0
		}
		return delay
	}
	f.wrap = func(s Store) Store { return faultyStore{Store: s, faults: faults} }
	for _, name := range strings.Split(chaosManagers, "") {
		f.restart(name)
	}
	for n := range chaosJobs {
		c := newChaosJob(n, random, n%3 == 2)
		f.submit(c, random)
		f.jobs = append(f.jobs, c)
		defer f.checkLog(c)
	}
	ctx, cancel := context.WithTimeout(t.Context(), chaosTime)
	defer cancel()
	var readers sync.WaitGroup
	for n, name := range strings.Split(chaosManagers, "") {
		readers.Go(func() { f.readAtRandom(ctx, name, source(uint64(2+n))) })
	}
	for ctx.Err() == nil && !t.Failed() {
		f.disturb(random)
		sleep.For(ctx, time.Duration(random.IntN(60))*time.Millisecond)
	}
	readers.Wait()
	if t.Failed() {
		return
	}
	faults.stop()
	time.Sleep(chaosDelay)
	for _, name := range strings.Split(chaosManagers, "") {
		f.connect(name)
	}
	for _, c := range f.jobs {
		if c.ends {
			await(t, "the job ends", func() bool { return f.get("a").End(t.Context(), nobody, c.id).Status == http.StatusOK })
		}
		for _, name := range strings.Split(chaosManagers, "") {
			want := c.items
			if c.ends {
				want = c.count()
			}
			f.readAll(f.get(name), c, want)
		}
	}
	for name, stop := range f.stops {
		stop()
		f.cut(name, true)
	}
	last, _ := f.manager("z", "z1")
	for _, c := range f.jobs {
		f.readAll(last, c, c.count())
	}
}
