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

// script returns a fixed sequence of values, then 0.
type script struct {
	mu     sync.Mutex
	values []int
}

func (s *script) next() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.values) == 0 {
		return 0
	}
	n := s.values[0]
	s.values = s.values[1:]
	return n
}

// Behaviours of the fake store.
const (
	storeOK           = iota
	storeResponseLost // the write takes effect, but the response is lost
	storeWriteLost    // the write never arrives, which the client cannot detect
	storeWriteDelayed // like storeWriteLost, but the write takes effect later
	storeUnreachable  // the store refuses connections
	storeBehaviourCount
)

// fakeStore is an in-memory object store.
type fakeStore struct {
	mu      sync.Mutex
	version int64
	values  map[string]store.Object
	script  *script
}

func (o *fakeStore) Get(_ context.Context, _, name string) (store.Object, error) {
	time.Sleep(time.Millisecond)
	if o.script.next() >= storeUnreachable {
		return store.Object{}, store.NewUnavailableError(false, "down")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	v, ok := o.values[name]
	if !ok {
		return v, &store.NotFoundError{}
	}
	return v, nil
}

func (o *fakeStore) Create(_ context.Context, _, name string, value []byte) (int64, error) {
	return o.write(name, value, 0)
}

func (o *fakeStore) Update(_ context.Context, _, name string, value []byte, version int64) (int64, error) {
	return o.write(name, value, version)
}

func (o *fakeStore) write(name string, value []byte, version int64) (int64, error) {
	time.Sleep(time.Millisecond)
	switch o.script.next() {
	case storeResponseLost:
		_, _ = o.put(name, value, version)
		return 0, store.NewUnavailableError(true, "response lost")
	case storeWriteLost:
		return 0, store.NewUnavailableError(true, "write lost")
	case storeWriteDelayed:
		time.AfterFunc(20*time.Millisecond, func() { _, _ = o.put(name, value, version) })
		return 0, store.NewUnavailableError(true, "write delayed")
	case storeUnreachable:
		return 0, store.NewUnavailableError(false, "down")
	default:
		return o.put(name, value, version)
	}
}

func (o *fakeStore) put(name string, value []byte, version int64) (int64, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if v := o.values[name]; v.Version != version {
		return 0, store.NewConflictError(Kind, name, v)
	}
	o.version++
	o.values[name] = store.Object{Value: value, Version: o.version}
	return o.version, nil
}

// Behaviours of fakeDaemons.Start.
const (
	startOK            = iota
	startBusy          // refused as not run
	startLost          // the message never arrives
	startDelayed       // the message arrives after the sender has timed out
	startLinkLost      // the call runs, but the link closes before the reply
	startThenRefused   // acknowledged, then refused as not run
	startCrash         // the service crashes while it runs the call
	startDuringRestart // the daemon restarts and loses its state and the message
	startAfterRestart  // the daemon restarts before the message is sent
	startDisconnected  // no link can be opened, and nothing is sent
	startBehaviourCount
)

type attempt struct {
	id    string
	state string
}

// fakeDaemons implements Pool and counts the calls that actually run.
type fakeDaemons struct {
	mu       sync.Mutex
	incs     []int
	keys     []map[string]*attempt // seen keys by daemon index; a nil attempt is a tombstone
	starts   *script
	queries  *script
	runs     map[string]int // by key
	requests map[string]int // by request
}

func newFakeDaemons(n int, starts, queries []int) *fakeDaemons {
	d := &fakeDaemons{starts: &script{values: starts}, queries: &script{values: queries}, runs: map[string]int{}, requests: map[string]int{}}
	for range n {
		d.incs = append(d.incs, 1)
		d.keys = append(d.keys, map[string]*attempt{})
	}
	return d
}

func incarnation(i, n int) string { return fmt.Sprintf("d%d-%d", i, n) }

func (d *fakeDaemons) Candidates(kind, _ string) []dispatch.Candidate {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []dispatch.Candidate
	for i, n := range d.incs {
		out = append(out, dispatch.Candidate{
			Server: wire.Server{Kind: kind, Model: "ledger", Name: fmt.Sprintf("s%d", i), Slots: 8, Up: true},
			Daemon: fmt.Sprintf("d%d", i), Inc: incarnation(i, n), Era: 1, Region: "nord", Linked: true,
		})
	}
	return out
}

func (d *fakeDaemons) Drop(string, ...string) {}

func daemonIndex(daemon string) int {
	var i int
	_, _ = fmt.Sscanf(daemon, "d%d", &i)
	return i
}

// deliver hands a work message to a daemon.
func (d *fakeDaemons) deliver(i int, w wire.Work) (*attempt, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	// A link leads to one incarnation. A message that names none is accepted by any.
	if w.Inc != "" && w.Inc != incarnation(i, d.incs[i]) {
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

func (d *fakeDaemons) restart(i int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.incs[i]++
	d.keys[i] = map[string]*attempt{}
}

func (d *fakeDaemons) Start(_ context.Context, daemon string, w wire.Work) (dispatch.Stream, error) {
	i := daemonIndex(daemon)
	lost := refusal.New(refusal.OutcomeUnknown, refusal.Unknown, "not acknowledged")
	time.Sleep(time.Millisecond)
	kind := d.starts.next()
	switch kind {
	case startBusy:
		return nil, refusal.New(refusal.Busy, refusal.NotRun, "busy")
	case startDisconnected:
		time.Sleep(50 * time.Millisecond)
		return nil, refusal.New(refusal.NoUpstream, refusal.NotRun, "no link")
	case startLost:
		return nil, lost
	case startDelayed:
		time.AfterFunc(40*time.Millisecond, func() { _, _ = d.deliver(i, w) })
		return nil, lost
	case startDuringRestart:
		d.restart(i)
		return nil, lost
	case startAfterRestart:
		d.restart(i)
	case startThenRefused:
		return &fakeStream{daemons: d, kind: kind}, nil
	}
	a, err := d.deliver(i, w)
	if err != nil {
		return nil, err
	}
	return &fakeStream{daemons: d, attempt: a, kind: kind}, nil
}

func (d *fakeDaemons) Query(_ context.Context, daemon string, q wire.Ask) (wire.Fate, error) {
	time.Sleep(time.Millisecond)
	if d.queries.next() != 0 {
		return wire.Fate{}, errors.New("no link")
	}
	i := daemonIndex(daemon)
	d.mu.Lock()
	defer d.mu.Unlock()
	a, seen := d.keys[i][q.Key]
	switch {
	case q.Inc != incarnation(i, d.incs[i]):
		return wire.Fate{State: "unknown"}, nil
	case !seen || a == nil:
		d.keys[i][q.Key] = nil
		return wire.Fate{State: "none"}, nil
	case a.state == "finished":
		return wire.Fate{State: a.state, Attempt: a.id, Reply: replyOf(a)}, nil
	default:
		return wire.Fate{State: a.state, Attempt: a.id}, nil
	}
}

func replyOf(a *attempt) *wire.Reply { return &wire.Reply{Status: 201, Body: []byte(a.id)} }

type fakeStream struct {
	daemons *fakeDaemons
	attempt *attempt
	kind    int
}

func (s *fakeStream) Cancel(string) {}

func (s *fakeStream) Next(ctx context.Context) (dispatch.Event, error) {
	select {
	case <-time.After(35 * time.Millisecond):
	case <-ctx.Done():
		return dispatch.Event{}, ctx.Err()
	}
	switch s.kind {
	case startLinkLost:
		return dispatch.Event{}, errors.New("link lost")
	case startThenRefused:
		return dispatch.Event{Refuse: &wire.Refuse{Code: "leaving", Ran: "no"}}, nil
	case startCrash:
		return dispatch.Event{Refuse: &wire.Refuse{Code: "crashed", Ran: "partial", Crashed: true}}, nil
	default:
		return dispatch.Event{Done: &wire.Done{Reply: replyOf(s.attempt)}}, nil
	}
}

// newRunner returns a Runner with its own dispatcher, as one entry has.
func newRunner(o *fakeStore, d *fakeDaemons, seed byte) *Runner {
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
