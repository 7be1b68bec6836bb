package trainer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bulrushspoke/entry/internal/daemon"
	"bulrushspoke/entry/internal/dispatch"
	"bulrushspoke/internal/refusal"
	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

const testModel = "plan"

// cluster is the state that the entries of a test share: the store, the daemons and the weight versions.
type cluster struct {
	mu             sync.Mutex
	rng            *rand.Rand
	objects        map[string]store.Object
	version        int64
	storeDown      bool
	storeDelay     time.Duration
	lostReplyShare float64   // share of writes whose reply is lost
	lateShare      float64   // share of writes that time out and take effect up to maxLateness later
	stableAfter    time.Time // earlier answers may change when repeated, because of an outage
	weights        []publication
	held           map[string]wire.HeldSample
	runs           map[string]wire.HeldSample
	ids            int
	tokensMade     int
	entries        []*testEntry
	tokens         func(slot wire.Slot) int
	// tokenTime returns the time per token of an attempt.
	tokenTime func() time.Duration
}

// maxLateness bounds how long after their timeout late writes take effect.
const maxLateness = 4 * time.Second

type publication struct {
	version int64
	at      time.Time
}

func newCluster(seed uint64, entries int) *cluster {
	cl := &cluster{
		rng:       rand.New(rand.NewPCG(seed, 1)),
		objects:   make(map[string]store.Object),
		held:      make(map[string]wire.HeldSample),
		runs:      make(map[string]wire.HeldSample),
		weights:   []publication{{version: 1, at: time.Now()}},
		tokens:    func(wire.Slot) int { return 20 },
		tokenTime: func() time.Duration { return 10 * time.Millisecond },
	}
	for i := range entries {
		e := &testEntry{cluster: cl, name: fmt.Sprintf("e%d", i)}
		e.trainer = New(Options{
			Self: wire.Owner{Name: e.name, Inc: e.name + "-1"}, Store: e, Dispatcher: e, Pool: e, Peers: e, Config: e, Weights: e,
			NewID: cl.id, Rand: rand.New(rand.NewPCG(seed, uint64(i)+2)), Logger: slog.New(slog.DiscardHandler),
		})
		cl.entries = append(cl.entries, e)
	}
	return cl
}

func (cl *cluster) id() string {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.ids++
	return fmt.Sprintf("id%d", cl.ids)
}

func (cl *cluster) random(n int64) time.Duration {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return time.Duration(cl.rng.Int64N(n))
}

func (cl *cluster) chance(p float64) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.rng.Float64() < p
}

// publish publishes a new weight version; entries learn of it within a second.
func (cl *cluster) publish() int64 {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	v := cl.weights[len(cl.weights)-1].version + 1
	cl.weights = append(cl.weights, publication{version: v, at: time.Now()})
	return v
}

// versionWithLag returns the weight version of engines that load new weights lag after their publication.
func (cl *cluster) versionWithLag(lag time.Duration) int64 {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	v := int64(0)
	for _, p := range cl.weights {
		if time.Since(p.at) >= lag || v == 0 {
			v = p.version
		}
	}
	return v
}

// objectCount returns the number of objects in the store.
func (cl *cluster) objectCount() int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return len(cl.objects)
}

func (cl *cluster) close() {
	for _, e := range cl.entries {
		e.killed.Store(false)
		e.resume()
		e.trainer.Close()
	}
	// Attempts on the engines end by themselves.
	time.Sleep(time.Minute)
}

// testEntry is one entry with fakes of everything around it. A paused entry takes part in nothing until it is resumed.
type testEntry struct {
	cluster *cluster
	name    string
	trainer *Trainer
	mu      sync.Mutex
	paused  chan struct{}
	killed  atomic.Bool
}

func (e *testEntry) pause() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.paused == nil {
		e.paused = make(chan struct{})
	}
}

func (e *testEntry) resume() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.paused != nil && !e.killed.Load() {
		close(e.paused)
		e.paused = nil
	}
}

func (e *testEntry) waitWhilePaused() {
	e.mu.Lock()
	paused := e.paused
	e.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

func (e *testEntry) isPaused() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.paused != nil
}

// callStore runs one call to the store with its faults.
func (e *testEntry) callStore(ctx context.Context, write bool, f func() error) error {
	e.waitWhilePaused()
	defer e.waitWhilePaused()
	cl := e.cluster
	cl.mu.Lock()
	down, slow, lose := cl.storeDown, cl.storeDelay, write && cl.rng.Float64() < cl.lostReplyShare
	late := write && cl.lateShare > 0 && cl.rng.Float64() < cl.lateShare
	lateness := time.Duration(0)
	if late {
		lateness = time.Duration(cl.rng.Int64N(int64(maxLateness)))
	}
	cl.mu.Unlock()
	limit := 2 * time.Second
	if d, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(d))
	}
	if ctx.Err() != nil {
		return &store.UnavailableError{}
	}
	if down {
		time.Sleep(10 * time.Millisecond)
		return &store.UnavailableError{}
	}
	if late {
		time.AfterFunc(limit+lateness, func() {
			cl.mu.Lock()
			defer cl.mu.Unlock()
			_ = f() // nobody waits for the answer
		})
		time.Sleep(limit)
		return store.NewUnavailableError(true, "late")
	}
	time.Sleep(min(time.Millisecond+slow, limit))
	err := func() error {
		cl.mu.Lock()
		defer cl.mu.Unlock()
		return f()
	}()
	if time.Millisecond+slow > limit || lose {
		if lose {
			time.Sleep(max(0, limit-slow))
		}
		return store.NewUnavailableError(write, "lost")
	}
	return err
}

func (e *testEntry) Get(ctx context.Context, kind, name string) (store.Object, error) {
	var o store.Object
	err := e.callStore(ctx, false, func() error {
		var ok bool
		if o, ok = e.cluster.objects[kind+"/"+name]; !ok {
			return &store.NotFoundError{}
		}
		return nil
	})
	return o, err
}

func (e *testEntry) put(ctx context.Context, id string, value []byte, allowed func(store.Object, bool) bool) (int64, error) {
	version := int64(0)
	err := e.callStore(ctx, true, func() error {
		o, ok := e.cluster.objects[id]
		if !allowed(o, ok) {
			return store.NewConflictError(id, "", o)
		}
		e.cluster.version++
		version = e.cluster.version
		e.cluster.objects[id] = store.Object{Value: value, Version: version}
		return nil
	})
	if err != nil {
		return 0, err // a late write may still change version
	}
	return version, nil
}

func (e *testEntry) Create(ctx context.Context, kind, name string, value []byte) (int64, error) {
	return e.put(ctx, kind+"/"+name, value, func(_ store.Object, ok bool) bool { return !ok })
}

func (e *testEntry) Update(ctx context.Context, kind, name string, value []byte, version int64) (int64, error) {
	return e.put(ctx, kind+"/"+name, value, func(o store.Object, _ bool) bool { return o.Version == version })
}

func (e *testEntry) Delete(ctx context.Context, kind, name string, version int64) error {
	return e.callStore(ctx, true, func() error {
		o, ok := e.cluster.objects[kind+"/"+name]
		if !ok {
			return &store.NotFoundError{}
		}
		if o.Version != version {
			return store.NewConflictError(kind, name, o)
		}
		delete(e.cluster.objects, kind+"/"+name)
		return nil
	})
}

func (e *testEntry) List(ctx context.Context, kind, prefix string) (wire.Listing, error) {
	var l wire.Listing
	err := e.callStore(ctx, false, func() error {
		for id, o := range e.cluster.objects {
			if name, ok := strings.CutPrefix(id, kind+"/"); ok && strings.HasPrefix(name, prefix) {
				l.Objects = append(l.Objects, wire.Entry{Name: name, Version: o.Version})
			}
		}
		return nil
	})
	sort.Slice(l.Objects, func(i, j int) bool { return l.Objects[i].Name < l.Objects[j].Name })
	return l, err
}

// Run generates a sample on an engine that keeps running when the entry is paused and changes weights in the middle.
func (e *testEntry) Run(ctx context.Context, j dispatch.Job) (dispatch.Result, error) {
	e.waitWhilePaused()
	cl := e.cluster
	r := dispatch.Result{Attempt: cl.id(), Daemon: "d"}
	if j.Work.Call != nil {
		time.Sleep(5 * time.Millisecond)
		var q scoreRequest
		if err := json.Unmarshal(j.Work.Call.Body, &q); err != nil {
			return dispatch.Result{}, refusal.New(refusal.BadRequest, refusal.NotRun, "%v", err)
		}
		body, err := json.Marshal(scoreAnswer{ID: q.ID, Value: 0.5})
		return dispatch.Result{Reply: &wire.Reply{Status: 200, Body: body}}, err
	}
	lag := cl.random(int64(2 * time.Second))
	tokenTime := cl.tokenTime()
	total := cl.tokens(*j.Work.Slot)
	h := wire.HeldSample{Attempt: r.Attempt, Server: "s", Slot: *j.Work.Slot}
	note := func(m map[string]wire.HeldSample) {
		cl.mu.Lock()
		defer cl.mu.Unlock()
		delete(cl.runs, h.Attempt)
		if m != nil {
			m[h.Attempt] = h
		}
	}
	note(cl.runs)
	for i := 0; i < total; i += 5 {
		time.Sleep(5 * tokenTime)
		if ctx.Err() != nil && !e.isPaused() {
			note(nil)
			return dispatch.Result{}, refusal.New(refusal.Cancelled, refusal.Partial, "cancelled")
		}
		v := cl.versionWithLag(lag)
		last := min(i+5, total) - 1
		if k := len(h.Spans); k > 0 && h.Spans[k-1].Version == v {
			h.Spans[k-1].Last = last
		} else {
			h.Spans = append(h.Spans, wire.Span{Version: v, First: i, Last: last})
		}
		for range last - i + 1 {
			h.Tokens = append(h.Tokens, "x")
		}
		if !e.isPaused() {
			j.Sink(i, h.Tokens[i:], append([]wire.Span(nil), h.Spans[len(h.Spans)-1:]...))
		}
	}
	cl.mu.Lock()
	cl.tokensMade += total
	cl.mu.Unlock()
	note(cl.held)
	e.waitWhilePaused()
	r.Tokens, r.Spans = h.Tokens, h.Spans
	return r, nil
}

func (e *testEntry) Candidates(string, string) []daemon.Candidate {
	return []daemon.Candidate{{Server: wire.Server{Up: true, Slots: 8}, Linked: true}}
}

func (e *testEntry) Drop(_ string, attempts ...string) {
	e.cluster.mu.Lock()
	defer e.cluster.mu.Unlock()
	for _, a := range attempts {
		delete(e.cluster.held, a)
	}
}

func (e *testEntry) Collect(_ context.Context, c wire.Collect) map[string]wire.HeldSamples {
	e.waitWhilePaused()
	e.cluster.mu.Lock()
	defer e.cluster.mu.Unlock()
	var h wire.HeldSamples
	for _, p := range e.cluster.held {
		if p.Slot.Run == c.Run && p.Slot.Step == c.Step {
			h.Samples = append(h.Samples, p)
		}
	}
	sort.Slice(h.Samples, func(i, j int) bool { return h.Samples[i].Attempt < h.Samples[j].Attempt })
	for _, p := range e.cluster.runs {
		h.Running = append(h.Running, wire.HeldSample{Attempt: p.Attempt, Slot: p.Slot})
	}
	return map[string]wire.HeldSamples{"d": h}
}

func (e *testEntry) Forward(ctx context.Context, entry string, f wire.ForwardedPull) (wire.ForwardedPullAnswer, error) {
	e.waitWhilePaused()
	defer e.waitWhilePaused()
	for _, o := range e.cluster.entries {
		if o.name != entry {
			continue
		}
		if o.isPaused() {
			time.Sleep(time.Second)
			return wire.ForwardedPullAnswer{}, errors.New("entry does not answer")
		}
		answer := make(chan wire.ForwardedPullAnswer, 1)
		go func() {
			b := o.trainer.ForwardedPull(ctx, f)
			o.waitWhilePaused()
			answer <- b
		}()
		select {
		case b := <-answer:
			return b, nil
		case <-ctx.Done():
			return wire.ForwardedPullAnswer{}, ctx.Err()
		}
	}
	return wire.ForwardedPullAnswer{}, errors.New("entry does not answer")
}

func (e *testEntry) Verdict(string, wire.Verdict) error { return nil }

func (e *testEntry) Profile(name string) (wire.Profile, bool) {
	return wire.Profile{Name: name, Class: "train", Staleness: 2, Deadline: "10m", Tokens: 1000, Concurrency: 10}, true
}

func (e *testEntry) Version(string) int64 { return e.cluster.versionWithLag(time.Second) }

func (e *testEntry) Publish(context.Context, string, int64) error { return nil }
