package duty

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	gocmp "github.com/google/go-cmp/cmp"

	"bulrushspoke/internal/link"
	"bulrushspoke/internal/meter"
	"bulrushspoke/internal/node"
	"bulrushspoke/internal/store"
	"bulrushspoke/internal/upstream"
	"bulrushspoke/wire"
)

// fleet is a set of entries with a store and a platform, in the time of a synctest bubble.
type fleet struct {
	t     *testing.T
	ctx   context.Context
	meter *meter.Meter

	mu       sync.Mutex
	random   *rand.Rand
	lossy    bool // the store loses answers
	nodes    map[string]*fleetNode
	objects  map[string]store.Object
	revision int64
	calls    map[string]int
	down     bool // the store
	silent   bool // neither store nor entries answer
	apiDown  bool
	cutAt    time.Time
	gone     map[string]time.Time    // when entries ended
	written  map[int64]string        // reports in the store by window
	token    int64                   // of the last report
	tokens   map[int64]string        // holders by token
	sent     map[int64]string        // reports at the platform by window
	delays   map[int64]time.Duration // from the end of the window
	want     map[int64]map[string]int
}

type fleetNode struct {
	fleet    *fleet
	name     string
	inc      string
	duty     *Duty
	handlers map[string]func(context.Context, link.Frame) (string, any, error)
	cut      bool // from all other entries
	group    int  // entries of different groups, neither of which is 0, cannot reach each other
	end      context.CancelFunc
}

// fleetReport is the body of a report.
type fleetReport struct {
	Window int64
	Counts map[string]int
}

var fleetBounds = node.Bounds{
	ReportWindow: testWindow, UsageDelay: 10 * time.Second, Lease: testLease, Thaw: 300 * time.Millisecond,
}

func newFleet(t *testing.T, m *meter.Meter, nodes int) *fleet {
	f := &fleet{
		t: t, ctx: t.Context(), meter: m, random: rand.New(rand.NewPCG(1, 2)), nodes: make(map[string]*fleetNode),
		objects: make(map[string]store.Object), calls: make(map[string]int), sent: make(map[int64]string),
		delays: make(map[int64]time.Duration), want: make(map[int64]map[string]int),
		gone: make(map[string]time.Time), written: make(map[int64]string), tokens: make(map[int64]string),
	}
	for i := range nodes {
		// Two clocks are wrong by seconds.
		f.start(fmt.Sprintf("entry-%d", i), map[int]time.Duration{1: 3 * time.Second, 4: -2 * time.Second}[i])
	}
	return f
}

func (f *fleet) start(name string, clockError time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	began := time.Now()
	n := &fleetNode{
		fleet: f, name: name, inc: fmt.Sprint(name, "/", began.UnixNano()),
		handlers: make(map[string]func(context.Context, link.Frame) (string, any, error)),
	}
	n.duty = New(Options{
		Name: name, Inc: n.inc, Store: f, Peers: n, API: f, Enabled: func() bool { return true }, Changed: func() <-chan struct{} { return nil }, Bounds: fleetBounds, Rate: 50,
		Encode: func(window int64, counts map[string]int) ([]byte, error) {
			return json.Marshal(fleetReport{window, counts})
		},
		MaxObject: 1 << 20, Logger: slog.New(slog.DiscardHandler), Meter: f.meter,
		Wall: func() time.Time { return time.Now().Add(clockError) },
		Boot: func() time.Duration { return time.Since(began) + time.Hour },
	})
	n.duty.Register()
	var ctx context.Context
	ctx, n.end = context.WithCancel(f.ctx)
	f.nodes[name] = n
	go func() { _ = n.duty.Run(ctx) }()
}

// kill ends a process without notice.
func (f *fleet) kill(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[name].end()
	delete(f.nodes, name)
	f.gone[name] = time.Now()
}

func (f *fleet) holder() string {
	f.mu.Lock()
	nodes := maps.Clone(f.nodes)
	f.mu.Unlock()
	for name, n := range nodes {
		n.duty.mu.Lock()
		holding := n.duty.seat.Holding()
		n.duty.mu.Unlock()
		if holding {
			return name
		}
	}
	return "entry-0" // the duty is changing hands
}

const (
	fleetSize  = 7
	meanGap    = 20 // ms between two requests of the fleet, on average
	answerTime = 50 // ms until a request is answered, at most
)

// lostWith returns how many requests are lost at most with processes that are killed: each takes those with it that have not been
// answered, or were counted since its last message. Their number has a Poisson distribution; five standard deviations are allowed.
func lostWith(processes int) int {
	mean := float64(processes) * (float64(tick.Milliseconds()) + answerTime) / meanGap / fleetSize
	return int(mean + 5*math.Sqrt(mean))
}

// traffic makes all entries but some pass on requests for a while.
func (f *fleet) traffic(d time.Duration, except ...string) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(f.millis(2 * meanGap))
		f.mu.Lock()
		names := make([]string, 0, len(f.nodes))
		for name := range f.nodes {
			if !slices.Contains(except, name) {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		n := f.nodes[names[f.random.IntN(len(names))]]
		workspace, at := fmt.Sprint("w", f.random.IntN(9)), time.Now()
		window := at.UnixNano() / int64(testWindow)
		if f.want[window] == nil {
			f.want[window] = make(map[string]int)
		}
		f.want[window][workspace]++
		f.mu.Unlock()
		// The answer tells later that the server has begun.
		time.AfterFunc(f.millis(answerTime), func() { n.duty.Began(workspace, at) })
	}
}

// millis returns a random duration.
func (f *fleet) millis(most int) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.random.IntN(most)+1) * time.Millisecond
}

// check compares the reports with the requests. With lost, processes have died with the counts of their last moment.
func (f *fleet) check(limit time.Duration, lost int) {
	f.t.Helper()
	time.Sleep(20 * time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	for window, want := range f.want {
		var report fleetReport
		if err := json.Unmarshal([]byte(f.sent[window]), &report); err != nil {
			f.t.Errorf("window %d: report %q", window, f.sent[window])
			continue
		}
		got := report.Counts
		for workspace, n := range want {
			if missing := n - got[workspace]; missing > 0 && missing <= lost {
				lost -= missing
				got[workspace] = n
			}
		}
		if diff := gocmp.Diff(want, got); diff != "" {
			f.t.Errorf("window %d (-want +got):\n%s", window, diff)
		}
		if f.delays[window] > limit {
			f.t.Errorf("window %d was reported after %v", window, f.delays[window])
		}
	}
}

// ReportUsage implements API.
func (f *fleet) ReportUsage(_ context.Context, holder string, token int64, body []byte, ready func() bool) (int, error) {
	time.Sleep(5 * time.Millisecond)
	if !ready() {
		return 0, upstream.ErrNotReady
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.apiDown {
		return 503, nil
	}
	if known, ok := f.tokens[token]; token < f.token || ok && known != holder {
		f.t.Errorf("%s sends token %d, after token %d, which is that of %q", holder, token, f.token, known)
	}
	f.token = token
	f.tokens[token] = holder
	var r fleetReport
	if err := json.Unmarshal(body, &r); err != nil {
		f.t.Errorf("report %q: %v", body, err)
	}
	if f.written[r.Window] != string(body) {
		f.t.Errorf("window %d is reported as %s, but the store has %q", r.Window, body, f.written[r.Window])
	}
	if old, ok := f.sent[r.Window]; ok && old != string(body) {
		f.t.Errorf("window %d was reported as %s and %s", r.Window, old, body)
	}
	if _, ok := f.sent[r.Window]; !ok {
		f.delays[r.Window] = time.Since(time.Unix(0, (r.Window+1)*int64(testWindow)))
	}
	f.sent[r.Window] = string(body)
	return 200, nil
}

// record remembers the reports that were written. The caller holds mu.
func (f *fleet) record(seat []byte) {
	var o wire.DutySeat
	if err := json.Unmarshal(seat, &o); err != nil {
		f.t.Error(err)
	}
	for _, r := range o.Reports {
		if old, ok := f.written[r.Window]; ok && old != r.Body {
			f.t.Errorf("window %d was written as %s and %s", r.Window, old, r.Body)
		}
		f.written[r.Window] = r.Body
	}
}

func (f *fleet) call(ctx context.Context, op, kind, name string) (store.Object, error) {
	time.Sleep(4 * time.Millisecond)
	if f.awaitSilence(ctx) {
		return store.Object{}, store.NewUnavailableError(true, "silent")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[op+" "+kind]++
	if f.down {
		return store.Object{}, store.NewUnavailableError(false, "down")
	}
	o, ok := f.objects[kind+"/"+name]
	if !ok {
		return o, store.NewNotFoundError(kind, name)
	}
	return o, nil
}

// Get implements Store.
func (f *fleet) Get(ctx context.Context, kind, name string) (store.Record, error) {
	o, err := f.call(ctx, "get", kind, name)
	return store.Record{Name: name, Revision: o.Version, Spec: o.Value}, err
}

// Create implements Store.
func (f *fleet) Create(ctx context.Context, kind, name string, spec []byte) (int64, error) {
	return f.Update(ctx, kind, name, spec, 0)
}

// Update implements Store.
func (f *fleet) Update(ctx context.Context, kind, name string, spec []byte, revision int64) (int64, error) {
	var down *store.UnavailableError
	o, err := f.call(ctx, "write", kind, name)
	if errors.As(err, &down) {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if o.Version != revision {
		return 0, store.NewConflictError(kind, name, o)
	}
	f.revision++
	if kind == kindSeat {
		f.record(spec)
	}
	f.objects[kind+"/"+name] = store.Object{Value: spec, Version: f.revision}
	if f.lossy && f.random.IntN(4) == 0 {
		return 0, store.NewUnavailableError(true, "no answer")
	}
	return f.revision, nil
}

// List implements Store.
func (f *fleet) List(ctx context.Context, kind string) ([]store.Record, int64, error) {
	var down *store.UnavailableError
	if _, err := f.call(ctx, "list", kind, ""); errors.As(err, &down) {
		return nil, 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var l []store.Record
	for key, o := range f.objects {
		if name, ok := cutKind(key, kind); ok {
			l = append(l, store.Record{Name: name, Revision: o.Version, Spec: o.Value})
		}
	}
	return l, f.revision, nil
}

// awaitSilence waits until ctx is done if nothing answers.
func (f *fleet) awaitSilence(ctx context.Context) bool {
	f.mu.Lock()
	silent := f.silent
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
	}
	return silent
}

func cutKind(key, kind string) (string, bool) {
	if len(key) <= len(kind) || key[:len(kind)+1] != kind+"/" {
		return "", false
	}
	return key[len(kind)+1:], true
}

// Handle implements Peers.
func (n *fleetNode) Handle(kind string, f func(context.Context, link.Frame) (string, any, error)) {
	n.handlers[kind] = f
}

func (n *fleetNode) linkedTo(o *fleetNode) bool {
	return !n.cut && !o.cut && (n.group == 0 || o.group == 0 || n.group == o.group)
}

// Connected implements Peers.
func (n *fleetNode) Connected() []string {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	var l []string
	for name, o := range n.fleet.nodes {
		if o != n && n.linkedTo(o) {
			l = append(l, name)
		}
	}
	slices.Sort(l)
	return l
}

// Running implements Peers. Entries that are cut off count as running for a while.
func (n *fleetNode) Running(time.Time) []string {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	var l []string
	for name, o := range n.fleet.nodes {
		if o != n && (n.linkedTo(o) || time.Since(n.fleet.cutAt) < 15*time.Second) {
			l = append(l, name)
		}
	}
	for name, at := range n.fleet.gone {
		if n.fleet.nodes[name] == nil && time.Since(at) < 15*time.Second {
			l = append(l, name)
		}
	}
	return l
}

// Incarnation implements Peers.
func (n *fleetNode) Incarnation(name string) string {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	if o := n.fleet.nodes[name]; o != nil {
		return o.inc
	}
	return ""
}

// Broadcast implements Peers.
func (n *fleetNode) Broadcast(kind string, body any) {
	for _, name := range n.Connected() {
		_ = n.Send(name, kind, body) // the entry may have ended just now
	}
}

// Send implements Peers.
func (n *fleetNode) Send(name, kind string, body any) error {
	if !slices.Contains(n.Connected(), name) {
		return context.Canceled
	}
	go func() { _ = n.Request(n.fleet.ctx, name, kind, body, nil) }()
	return nil
}

// Call implements Peers.
func (n *fleetNode) Call(ctx context.Context, name, kind string, body, answer any) error {
	return n.Request(ctx, name, kind, body, answer)
}

// Request implements Peers.
func (n *fleetNode) Request(ctx context.Context, name, kind string, body, answer any) error {
	raw, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	time.Sleep(time.Millisecond)
	if n.fleet.awaitSilence(ctx) {
		return ctx.Err()
	}
	if !slices.Contains(n.Connected(), name) {
		return context.Canceled
	}
	n.fleet.mu.Lock()
	handler := n.fleet.nodes[name].handlers[kind]
	n.fleet.mu.Unlock()
	_, reply, err := handler(n.fleet.ctx, link.Frame{Kind: kind, Body: raw})
	time.Sleep(time.Millisecond)
	if err != nil || answer == nil {
		return err
	}
	if raw, err = cbor.Marshal(reply); err != nil {
		return err
	}
	return cbor.Unmarshal(raw, answer)
}

// Guards against reports with wrong counts or after their time, in calm and under each kind of failure that must not change a
// count: wrong clocks, holders that end, entries that are cut off, and an unavailable store or platform.
func TestReportsAreExact(t *testing.T) {
	const limit = 10 * time.Second
	for name, c := range map[string]struct {
		limit time.Duration
		run   func(f *fleet)
		lost  int
	}{
		"calm": {3 * time.Second, func(f *fleet) { f.traffic(40 * time.Second) }, 0},
		"all at once": {2 * limit, func(f *fleet) {
			f.setDown(&f.lossy, true)
			for range 12 {
				f.traffic(3 * time.Second)
				killed, cut := f.holder(), fmt.Sprint("entry-", f.millis(6).Milliseconds())
				if killed != cut {
					f.setCut(cut, true)
				}
				f.kill(killed)
				f.start(killed, 0)
				f.traffic(4 * time.Second)
				f.setCut(cut, false)
				f.setDown(&f.down, true)
				f.traffic(time.Second)
				f.setDown(&f.down, false)
			}
		}, lostWith(12)},
		"holder killed": {limit, func(f *fleet) {
			for _, d := range []time.Duration{11, 14, 17} {
				f.traffic(d * time.Second)
				holder := f.holder()
				f.traffic(300*time.Millisecond, holder) // what is counted in the last moment dies with a process
				f.kill(holder)
			}
		}, 0},
		"entry cut off": {limit, func(f *fleet) {
			f.traffic(12 * time.Second)
			f.setCut("entry-5", true)
			f.traffic(40 * time.Second)
			f.setCut("entry-5", false)
		}, 0},
		"pair cut off": {limit, func(f *fleet) {
			f.traffic(12 * time.Second)
			f.setGroups(map[string]int{"entry-0": 1, "entry-1": 1, "entry-2": 1, "entry-3": 1, "entry-4": 1, "entry-5": 2, "entry-6": 2})
			f.traffic(40 * time.Second)
			f.setGroups(nil)
			f.traffic(10 * time.Second)
		}, 0},
		"link to holder lost": {limit, func(f *fleet) {
			f.traffic(12 * time.Second)
			f.setGroups(map[string]int{f.holder(): 1, "entry-6": 2})
			f.traffic(40 * time.Second)
			f.setGroups(nil)
			f.traffic(10 * time.Second)
		}, 0},
		"links to holder and successors lost": {limit, func(f *fleet) {
			f.traffic(12 * time.Second)
			f.setGroups(map[string]int{f.holder(): 1, "entry-1": 1, "entry-2": 1, "entry-6": 2})
			f.traffic(40 * time.Second)
			f.setGroups(nil)
			f.traffic(10 * time.Second)
		}, 0},
		"holder cut off": {limit, func(f *fleet) {
			f.traffic(12 * time.Second)
			holder := f.holder()
			f.setCut(holder, true)
			f.traffic(13 * time.Second)
			f.setCut(holder, false)
			f.traffic(20 * time.Second)
		}, 0},
		"stopped": {3500 * time.Millisecond, func(f *fleet) {
			for range 3 {
				f.traffic(9 * time.Second)
				holder := f.holder()
				f.mu.Lock()
				n := f.nodes[holder]
				f.mu.Unlock()
				n.duty.Release()
				f.traffic(2500 * time.Millisecond)
				f.traffic(100*time.Millisecond, holder) // its last requests are answered
				n.duty.Close(f.ctx)
				f.kill(holder)
				f.start(holder, 0)
			}
		}, 0},
		"most stopped": {limit, func(f *fleet) {
			f.traffic(12 * time.Second)
			f.mu.Lock()
			leaving := make([]*fleetNode, 0, 4)
			for i := range 4 {
				leaving = append(leaving, f.nodes[fmt.Sprint("entry-", i)])
			}
			f.cutAt = time.Now()
			f.mu.Unlock()
			for _, n := range leaving {
				n.duty.Release()
			}
			f.traffic(time.Second)
			for _, n := range leaving {
				f.traffic(100*time.Millisecond, n.name)
				n.duty.Close(f.ctx)
				f.kill(n.name)
			}
			f.traffic(30 * time.Second)
		}, 0},
		"most killed": {3 * limit, func(f *fleet) {
			f.traffic(12 * time.Second)
			f.traffic(300*time.Millisecond, "entry-3", "entry-4", "entry-5", "entry-6")
			for i := range 4 {
				f.kill(fmt.Sprint("entry-", i+3))
			}
			f.traffic(60 * time.Second)
		}, 0},
		"all killed, one after another": {2 * limit, func(f *fleet) {
			f.traffic(12 * time.Second)
			for i := range fleetSize {
				name := fmt.Sprint("entry-", i)
				f.traffic(300*time.Millisecond, name)
				f.kill(name)
				f.traffic(200 * time.Millisecond)
				f.start(name, 0)
				f.traffic(100 * time.Millisecond)
			}
			f.traffic(30 * time.Second)
		}, 0},
		"stopped without a link to the holder": {limit, func(f *fleet) {
			f.traffic(12 * time.Second)
			f.setGroups(map[string]int{f.holder(): 1, "entry-1": 1, "entry-2": 1, "entry-6": 2})
			f.traffic(400 * time.Millisecond)
			f.traffic(100*time.Millisecond, "entry-6")
			f.mu.Lock()
			n := f.nodes["entry-6"]
			f.mu.Unlock()
			n.duty.Close(f.ctx)
			f.kill("entry-6")
			f.traffic(20 * time.Second)
		}, 0},
		"store down": {2 * limit, func(f *fleet) {
			f.traffic(13 * time.Second)
			f.setDown(&f.down, true)
			f.traffic(9 * time.Second)
			f.setDown(&f.down, false)
			f.traffic(10 * time.Second)
		}, 0},
		"platform down": {limit, func(f *fleet) {
			f.traffic(13 * time.Second)
			f.setDown(&f.apiDown, true)
			f.traffic(4 * time.Second)
			f.setDown(&f.apiDown, false)
			f.traffic(10 * time.Second)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			m, _, err := meter.New("entry")
			if err != nil {
				t.Fatal(err)
			}
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, m, fleetSize)
				time.Sleep(4 * time.Second)
				c.run(f)
				f.check(c.limit, c.lost)
				f.mu.Lock()
				defer f.mu.Unlock()
				t.Logf("store calls: %v", f.calls)
				linked := []string{"calm", "holder killed", "stopped", "most stopped", "store down", "platform down"}
				if slices.Contains(linked, name) && f.calls["write "+kindCounts] > 0 {
					t.Errorf("counts were written to the store by entries with links: %v", f.calls)
				}
				if name == "calm" && (f.calls["write "+kindSeat] > len(f.sent)+2 || f.calls["get "+kindSeat] > 1 || f.calls["list "+kindCounts] > 1) {
					t.Errorf("%d reports took the store calls %v", len(f.sent), f.calls)
				}
			})
		})
	}
}

func (f *fleet) setGroups(groups map[string]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, n := range f.nodes {
		n.group = groups[name]
	}
	f.cutAt = time.Now()
}

func (f *fleet) setCut(name string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[name].cut, f.cutAt = cut, time.Now()
}

func (f *fleet) setDown(what *bool, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	*what = down
}

// Guards against an end of the process that is delayed by entries or a store that do not answer, since the time until it is
// killed is short.
func TestCloseIsBounded(t *testing.T) {
	m, _, err := meter.New("entry")
	if err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, m, 3)
		time.Sleep(4 * time.Second)
		f.traffic(time.Second)
		n := f.nodes["entry-2"]
		f.mu.Lock()
		f.silent = true
		f.mu.Unlock()
		began := time.Now()
		n.duty.Close(f.ctx)
		if took := time.Since(began); took > closeTimeout {
			t.Errorf("Close took %v, want at most %v", took, closeTimeout)
		}
	})
}

// Guards against processor time of entries whose configuration asks for no reports.
func TestNoWorkWhileOff(t *testing.T) {
	m, _, err := meter.New("entry")
	if err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		checks, changed := 0, make(chan struct{})
		enabled := false
		d := New(Options{
			Name: "a", Inc: "a1", Bounds: fleetBounds, Logger: slog.New(slog.DiscardHandler), Meter: m, Wall: time.Now,
			Boot: func() time.Duration { return time.Hour }, Peers: &fleetNode{fleet: newFleet(t, m, 0)},
			Enabled: func() bool { checks++; return enabled },
			Changed: func() <-chan struct{} { return changed },
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = d.Run(ctx) }()
		time.Sleep(time.Minute)
		synctest.Wait()
		if checks != 1 {
			t.Errorf("%d checks in a minute, want 1", checks)
		}
		enabled = true
		old := changed
		changed = make(chan struct{})
		close(old)
		time.Sleep(time.Second)
		synctest.Wait()
		if checks < 5 {
			t.Errorf("%d checks after the configuration asks for reports", checks)
		}
	})
}
