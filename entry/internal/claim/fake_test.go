package claim

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"bulrushspoke/entry/internal/dispatch"
	"bulrushspoke/internal/refusal"
	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

// script gives out drawn numbers in turn, and 0 after its end.
type script struct {
	mu    sync.Mutex
	steps []int
}

func (s *script) next() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.steps) == 0 {
		return 0
	}
	n := s.steps[0]
	s.steps = s.steps[1:]
	return n
}

// Behaviours of the store.
const (
	storeWorks  = iota
	answerLost  // the write takes effect, its answer is lost
	writeLost   // the write never arrives and the client cannot know
	writeLate   // as writeLost, but the write arrives later
	storeAbsent // the store cannot be reached
	storeKinds
)

// objects is a stand-in for the store.
type objects struct {
	mu      sync.Mutex
	version int64
	values  map[string]store.Object
	script  *script
}

func (o *objects) Get(_ context.Context, _, name string) (store.Object, error) {
	time.Sleep(time.Millisecond)
	if o.script.next() >= storeAbsent {
		return store.Object{}, store.NewDownError(false, "down")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	v, ok := o.values[name]
	if !ok {
		return v, &store.AbsentError{}
	}
	return v, nil
}

func (o *objects) Create(_ context.Context, _, name string, value []byte) (int64, error) {
	return o.write(name, value, 0)
}

func (o *objects) Update(_ context.Context, _, name string, value []byte, version int64) (int64, error) {
	return o.write(name, value, version)
}

func (o *objects) write(name string, value []byte, version int64) (int64, error) {
	time.Sleep(time.Millisecond)
	switch o.script.next() {
	case answerLost:
		_, _ = o.put(name, value, version)
		return 0, store.NewDownError(true, "answer lost")
	case writeLost:
		return 0, store.NewDownError(true, "write lost")
	case writeLate:
		time.AfterFunc(20*time.Millisecond, func() { _, _ = o.put(name, value, version) })
		return 0, store.NewDownError(true, "write late")
	case storeAbsent:
		return 0, store.NewDownError(false, "down")
	default:
		return o.put(name, value, version)
	}
}

func (o *objects) put(name string, value []byte, version int64) (int64, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if v := o.values[name]; v.Version != version {
		return 0, store.NewConflictError(Kind, name, v)
	}
	o.version++
	o.values[name] = store.Object{Value: value, Version: o.version}
	return o.version, nil
}

// Behaviours of a start.
const (
	startWorks     = iota
	startBusy      // refused as not run
	startUnsent    // the message never arrives
	startLate      // the message arrives after the sender has given up
	startNoAnswer  // the call runs, but the link is lost
	startQueued    // acknowledged, then refused as not run
	startCrash     // the service crashes in the middle
	startRestart   // the daemon restarts and forgets everything, and the message with it
	startRestarted // the daemon restarts before the message is sent
	startUnlinked  // there is no link for some time, and nothing is sent
	startKinds
)

type attempt struct {
	id    string
	state string
}

// daemons is a stand-in for the pool of daemons that counts what really runs.
type daemons struct {
	mu       sync.Mutex
	incs     []int
	keys     []map[string]*attempt // by daemon: seen keys, or nil for a tombstone
	starts   *script
	asks     *script
	runs     map[string]int // by key
	requests map[string]int // by request
}

func newDaemons(n int, starts, asks []int) *daemons {
	d := &daemons{starts: &script{steps: starts}, asks: &script{steps: asks}, runs: map[string]int{}, requests: map[string]int{}}
	for range n {
		d.incs = append(d.incs, 1)
		d.keys = append(d.keys, map[string]*attempt{})
	}
	return d
}

func inc(i, n int) string { return fmt.Sprintf("d%d-%d", i, n) }

func (d *daemons) Candidates(kind, _ string) []dispatch.Candidate {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []dispatch.Candidate
	for i, n := range d.incs {
		out = append(out, dispatch.Candidate{
			Server: wire.Server{Kind: kind, Model: "ledger", Name: fmt.Sprintf("s%d", i), Slots: 8, Up: true},
			Daemon: fmt.Sprintf("d%d", i), Inc: inc(i, n), Era: 1, Region: "nord", Linked: true,
		})
	}
	return out
}

func (d *daemons) Drop(string, ...string) {}

func index(daemon string) int {
	var i int
	_, _ = fmt.Sscanf(daemon, "d%d", &i)
	return i
}

// arrive lets a work message arrive at a daemon.
func (d *daemons) arrive(i int, w wire.Work) (*attempt, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// A link leads to one incarnation. A message that names none is taken by any.
	if w.Inc != "" && w.Inc != inc(i, d.incs[i]) {
		return nil, refusal.New(refusal.NoUpstream, refusal.NotRun, "restarted")
	}
	if a, seen := d.keys[i][w.Key]; seen {
		if a == nil {
			return nil, refusal.New(refusal.Tombstoned, refusal.NotRun, "tombstoned")
		}
		return nil, refusal.New(refusal.OutcomeUnknown, refusal.Unknown, "key seen")
	}
	a := &attempt{id: w.Attempt, state: "running"}
	d.keys[i][w.Key] = a
	d.runs[w.Key]++
	d.requests[w.Request]++
	time.AfterFunc(30*time.Millisecond, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		a.state = "finished"
	})
	return a, nil
}

func (d *daemons) restart(i int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.incs[i]++
	d.keys[i] = map[string]*attempt{}
}

func (d *daemons) Start(_ context.Context, daemon string, w wire.Work) (dispatch.Stream, error) {
	i := index(daemon)
	lost := refusal.New(refusal.OutcomeUnknown, refusal.Unknown, "not acknowledged")
	time.Sleep(time.Millisecond)
	kind := d.starts.next()
	switch kind {
	case startBusy:
		return nil, refusal.New(refusal.Busy, refusal.NotRun, "busy")
	case startUnlinked:
		time.Sleep(50 * time.Millisecond)
		return nil, refusal.New(refusal.NoUpstream, refusal.NotRun, "no link")
	case startUnsent:
		return nil, lost
	case startLate:
		time.AfterFunc(40*time.Millisecond, func() { _, _ = d.arrive(i, w) })
		return nil, lost
	case startRestart:
		d.restart(i)
		return nil, lost
	case startRestarted:
		d.restart(i)
	case startQueued:
		return &stream{daemons: d, kind: kind}, nil
	}
	a, err := d.arrive(i, w)
	if err != nil {
		return nil, err
	}
	return &stream{daemons: d, attempt: a, kind: kind}, nil
}

func (d *daemons) Ask(_ context.Context, daemon string, q wire.Ask) (wire.Fate, error) {
	time.Sleep(time.Millisecond)
	if d.asks.next() != 0 {
		return wire.Fate{}, errors.New("no link")
	}
	i := index(daemon)
	d.mu.Lock()
	defer d.mu.Unlock()
	a, seen := d.keys[i][q.Key]
	switch {
	case q.Inc != inc(i, d.incs[i]):
		return wire.Fate{State: "unknown"}, nil
	case !seen || a == nil:
		d.keys[i][q.Key] = nil
		return wire.Fate{State: "none"}, nil
	case a.state == "finished":
		return wire.Fate{State: a.state, Attempt: a.id, Reply: answer(a)}, nil
	default:
		return wire.Fate{State: a.state, Attempt: a.id}, nil
	}
}

func answer(a *attempt) *wire.Reply { return &wire.Reply{Status: 201, Body: []byte(a.id)} }

type stream struct {
	daemons *daemons
	attempt *attempt
	kind    int
}

func (s *stream) Cancel(string) {}

func (s *stream) Next(ctx context.Context) (dispatch.Event, error) {
	select {
	case <-time.After(35 * time.Millisecond):
	case <-ctx.Done():
		return dispatch.Event{}, ctx.Err()
	}
	switch s.kind {
	case startNoAnswer:
		return dispatch.Event{}, errors.New("link lost")
	case startQueued:
		return dispatch.Event{Refuse: &wire.Refuse{Code: "leaving", Ran: "no"}}, nil
	case startCrash:
		return dispatch.Event{Refuse: &wire.Refuse{Code: "crashed", Ran: "partial", Crashed: true}}, nil
	default:
		return dispatch.Event{Done: &wire.Done{Reply: answer(s.attempt)}}, nil
	}
}

// claims returns one entry's runner with a dispatcher of its own.
func claims(o *objects, d *daemons, seed byte) *Claims {
	logger := slog.New(slog.DiscardHandler)
	chooser := dispatch.New(d, nil, nil, "nord", [32]byte{seed}, dispatch.Defaults(), logger)
	return New(o, d, chooser, nil, Defaults(), logger)
}

func newCall(request, key, body string) Call {
	return Call{
		Work: wire.Work{
			Request: request, Workspace: "t", Class: dispatch.Live, Model: "ledger",
			Call: &wire.Call{Method: "POST", Path: "/x", Body: []byte(body)},
		},
		Key: key, Deadline: time.Now().Add(time.Minute),
	}
}
