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

// world is what the entries of a test share: the store, the daemons and the weights.
type world struct {
	mu      sync.Mutex
	rng     *rand.Rand
	objects map[string]store.Object
	version int64
	down    bool
	slow    time.Duration
	lose    float64 // share of writes whose answer is lost
	quiet   time.Time
	weights []publication
	held    map[string]wire.HeldSample
	runs    map[string]wire.HeldSample
	ids     int
	made    int
	nodes   []*node
	tokens  func(slot wire.Slot) int
	// pace is the time per token of an attempt.
	pace func() time.Duration
}

type publication struct {
	version int64
	at      time.Time
}

func newWorld(seed uint64, nodes int) *world {
	w := &world{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		objects: make(map[string]store.Object),
		held:    make(map[string]wire.HeldSample),
		runs:    make(map[string]wire.HeldSample),
		weights: []publication{{version: 1, at: time.Now()}},
		tokens:  func(wire.Slot) int { return 20 },
		pace:    func() time.Duration { return 10 * time.Millisecond },
	}
	for i := range nodes {
		n := &node{w: w, name: fmt.Sprintf("e%d", i)}
		n.trainer = New(Options{
			Self: wire.Owner{Name: n.name, Inc: n.name + "-1"}, Store: n, Dispatcher: n, Pool: n, Peers: n, Config: n, Weights: n,
			IDs: w.id, Rand: rand.New(rand.NewPCG(seed, uint64(i)+2)), Logger: slog.New(slog.DiscardHandler),
		})
		w.nodes = append(w.nodes, n)
	}
	return w
}

func (w *world) id() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ids++
	return fmt.Sprintf("id%d", w.ids)
}

func (w *world) random(n int64) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.rng.Int64N(n))
}

func (w *world) chance(p float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Float64() < p
}

// publish makes a new weight version known; entries learn of it within a second.
func (w *world) publish() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := w.weights[len(w.weights)-1].version + 1
	w.weights = append(w.weights, publication{version: v, at: time.Now()})
	return v
}

// running returns the weight version of engines that swap lag after the publication.
func (w *world) running(lag time.Duration) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := int64(0)
	for _, p := range w.weights {
		if time.Since(p.at) >= lag || v == 0 {
			v = p.version
		}
	}
	return v
}

// left returns how many objects the store holds.
func (w *world) left() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.objects)
}

func (w *world) close() {
	for _, n := range w.nodes {
		n.killed.Store(false)
		n.resume()
		n.trainer.Close()
	}
	// Attempts on the engines end by themselves.
	time.Sleep(time.Minute)
}

// node is one entry with everything around it. A paused node takes part in nothing until it is resumed.
type node struct {
	w       *world
	name    string
	trainer *Trainer
	mu      sync.Mutex
	paused  chan struct{}
	killed  atomic.Bool
}

func (n *node) pause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused == nil {
		n.paused = make(chan struct{})
	}
}

func (n *node) resume() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused != nil && !n.killed.Load() {
		close(n.paused)
		n.paused = nil
	}
}

func (n *node) gate() {
	n.mu.Lock()
	paused := n.paused
	n.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

func (n *node) isPaused() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.paused != nil
}

// call runs one call to the store with its faults.
func (n *node) call(ctx context.Context, write bool, f func() error) error {
	n.gate()
	defer n.gate()
	w := n.w
	w.mu.Lock()
	down, slow, lose := w.down, w.slow, write && w.rng.Float64() < w.lose
	w.mu.Unlock()
	limit := 2 * time.Second
	if d, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(d))
	}
	if ctx.Err() != nil {
		return &store.DownError{}
	}
	if down {
		time.Sleep(10 * time.Millisecond)
		return &store.DownError{}
	}
	time.Sleep(min(time.Millisecond+slow, limit))
	err := func() error {
		w.mu.Lock()
		defer w.mu.Unlock()
		return f()
	}()
	if time.Millisecond+slow > limit || lose {
		if lose {
			time.Sleep(max(0, limit-slow))
		}
		return store.NewDownError(write, "lost")
	}
	return err
}

func (n *node) Get(ctx context.Context, kind, name string) (store.Object, error) {
	var o store.Object
	err := n.call(ctx, false, func() error {
		var ok bool
		if o, ok = n.w.objects[kind+"/"+name]; !ok {
			return &store.AbsentError{}
		}
		return nil
	})
	return o, err
}

func (n *node) put(ctx context.Context, id string, value []byte, allowed func(store.Object, bool) bool) (int64, error) {
	version := int64(0)
	err := n.call(ctx, true, func() error {
		o, ok := n.w.objects[id]
		if !allowed(o, ok) {
			return store.NewConflictError(id, "", o)
		}
		n.w.version++
		version = n.w.version
		n.w.objects[id] = store.Object{Value: value, Version: version}
		return nil
	})
	return version, err
}

func (n *node) Create(ctx context.Context, kind, name string, value []byte) (int64, error) {
	return n.put(ctx, kind+"/"+name, value, func(_ store.Object, ok bool) bool { return !ok })
}

func (n *node) Update(ctx context.Context, kind, name string, value []byte, version int64) (int64, error) {
	return n.put(ctx, kind+"/"+name, value, func(o store.Object, _ bool) bool { return o.Version == version })
}

func (n *node) Delete(ctx context.Context, kind, name string, version int64) error {
	return n.call(ctx, true, func() error {
		o, ok := n.w.objects[kind+"/"+name]
		if !ok {
			return &store.AbsentError{}
		}
		if o.Version != version {
			return store.NewConflictError(kind, name, o)
		}
		delete(n.w.objects, kind+"/"+name)
		return nil
	})
}

func (n *node) List(ctx context.Context, kind, prefix string) (wire.Listing, error) {
	var l wire.Listing
	err := n.call(ctx, false, func() error {
		for id, o := range n.w.objects {
			if name, ok := strings.CutPrefix(id, kind+"/"); ok && strings.HasPrefix(name, prefix) {
				l.Objects = append(l.Objects, wire.Entry{Name: name, Version: o.Version})
			}
		}
		return nil
	})
	sort.Slice(l.Objects, func(i, j int) bool { return l.Objects[i].Name < l.Objects[j].Name })
	return l, err
}

// Run makes a sample on an engine that goes on when the entry is paused, and swaps weights in the middle.
func (n *node) Run(ctx context.Context, j dispatch.Job) (dispatch.Result, error) {
	n.gate()
	w := n.w
	r := dispatch.Result{Attempt: w.id(), Daemon: "d"}
	if j.Work.Call != nil {
		time.Sleep(5 * time.Millisecond)
		var q scoreRequest
		if err := json.Unmarshal(j.Work.Call.Body, &q); err != nil {
			return dispatch.Result{}, refusal.New(refusal.BadRequest, refusal.NotRun, "%v", err)
		}
		body, err := json.Marshal(scoreAnswer{ID: q.ID, Value: 0.5})
		return dispatch.Result{Reply: &wire.Reply{Status: 200, Body: body}}, err
	}
	lag := w.random(int64(2 * time.Second))
	pace := w.pace()
	total := w.tokens(*j.Work.Slot)
	h := wire.HeldSample{Attempt: r.Attempt, Server: "s", Slot: *j.Work.Slot}
	note := func(m map[string]wire.HeldSample) {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.runs, h.Attempt)
		if m != nil {
			m[h.Attempt] = h
		}
	}
	note(w.runs)
	for i := 0; i < total; i += 5 {
		time.Sleep(5 * pace)
		if ctx.Err() != nil && !n.isPaused() {
			note(nil)
			return dispatch.Result{}, refusal.New(refusal.Cancelled, refusal.Partial, "cancelled")
		}
		v := w.running(lag)
		last := min(i+5, total) - 1
		if k := len(h.Spans); k > 0 && h.Spans[k-1].Version == v {
			h.Spans[k-1].Last = last
		} else {
			h.Spans = append(h.Spans, wire.Span{Version: v, First: i, Last: last})
		}
		for range last - i + 1 {
			h.Tokens = append(h.Tokens, "x")
		}
		if !n.isPaused() {
			j.Sink(i, h.Tokens[i:], append([]wire.Span(nil), h.Spans[len(h.Spans)-1:]...))
		}
	}
	w.mu.Lock()
	w.made += total
	w.mu.Unlock()
	note(w.held)
	n.gate()
	r.Tokens, r.Spans = h.Tokens, h.Spans
	return r, nil
}

func (n *node) Candidates(string, string) []daemon.Candidate {
	return []daemon.Candidate{{Server: wire.Server{Up: true, Slots: 8}, Linked: true}}
}

func (n *node) Drop(_ string, attempts ...string) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	for _, a := range attempts {
		delete(n.w.held, a)
	}
}

func (n *node) Collect(_ context.Context, c wire.Collect) map[string]wire.Held {
	n.gate()
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	var h wire.Held
	for _, p := range n.w.held {
		if p.Slot.Run == c.Run && p.Slot.Step == c.Step {
			h.Samples = append(h.Samples, p)
		}
	}
	sort.Slice(h.Samples, func(i, j int) bool { return h.Samples[i].Attempt < h.Samples[j].Attempt })
	for _, p := range n.w.runs {
		h.Running = append(h.Running, wire.HeldSample{Attempt: p.Attempt, Slot: p.Slot})
	}
	return map[string]wire.Held{"d": h}
}

func (n *node) Forward(ctx context.Context, entry string, f wire.Forward) (wire.Batch, error) {
	n.gate()
	defer n.gate()
	for _, o := range n.w.nodes {
		if o.name != entry {
			continue
		}
		if o.isPaused() {
			time.Sleep(time.Second)
			return wire.Batch{}, errors.New("absent")
		}
		answer := make(chan wire.Batch, 1)
		go func() {
			b := o.trainer.Pull(ctx, f)
			o.gate()
			answer <- b
		}()
		select {
		case b := <-answer:
			return b, nil
		case <-ctx.Done():
			return wire.Batch{}, ctx.Err()
		}
	}
	return wire.Batch{}, errors.New("absent")
}

func (n *node) Verdict(string, wire.Verdict) error { return nil }

func (n *node) Profile(name string) (wire.Profile, bool) {
	return wire.Profile{Name: name, Class: "train", Staleness: 2, Deadline: "10m", Tokens: 1000, Concurrency: 10}, true
}

func (n *node) Version(string) int64 { return n.w.running(time.Second) }

func (n *node) Publish(context.Context, string, int64) error { return nil }
