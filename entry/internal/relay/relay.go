// Package relay reaches the platform's store through other entries while it turns this one away.
//
// # Usage
//
//	r := relay.New(objects, peers, logger)
//	r.Register(peers)
//	revision, err := r.Create(ctx, kind, name, spec)
//
// A call goes to the store itself first. After a call without an answer, calls go to linked entries and the store is
// tried again from time to time. A write that may have taken effect already is made again by the other entry: all writes
// are conditional, so the second one conflicts with the first, and callers read from a conflict what stands.
package relay

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"bulrushspoke/internal/event"
	"bulrushspoke/internal/link"
	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

const (
	// probeEvery is the time between two direct calls while the store does not answer this entry.
	probeEvery = 500 * time.Millisecond
	// askTime bounds a call through another entry beside the time that a watch may wait.
	askTime = 1200 * time.Millisecond
	// watchWait bounds a watch through another entry, so that the direct one is soon tried again.
	watchWait = 2 * time.Second
	// asks is how many other entries are asked for one call.
	asks = 2
)

// Operations of a call.
const (
	opGet    = "get"
	opCreate = "create"
	opUpdate = "update"
	opList   = "list"
	opWatch  = "watch"
)

// Codes of a reply.
const (
	codeAbsent   = "absent"
	codeConflict = "conflict"
	codeGone     = "gone"
	codeDown     = "down"    // nothing was done
	codeUnknown  = "unknown" // a write may have taken effect
	codeOther    = "other"
)

// Store is the platform's store.
type Store interface {
	Get(ctx context.Context, kind, name string) (store.Record, error)
	Create(ctx context.Context, kind, name string, spec []byte) (int64, error)
	Update(ctx context.Context, kind, name string, spec []byte, revision int64) (int64, error)
	List(ctx context.Context, kind string) ([]store.Record, int64, error)
	Watch(ctx context.Context, kind string, after int64, wait time.Duration) ([]store.Change, int64, error)
}

// Peers reaches the other entries.
type Peers interface {
	Ask(ctx context.Context, name, kind string, body, answer any) error
	Linked() []string
}

// Handlers takes the functions that answer messages of other entries.
type Handlers interface {
	Handle(kind string, f func(context.Context, link.Frame) (string, any, error))
}

// Relay is a store that is reached directly or through another entry.
type Relay struct {
	direct Store
	peers  Peers
	logger *slog.Logger

	mu    sync.Mutex
	down  bool
	since time.Time // when it went down
	probe time.Time // when the store is to be tried again
	next  int       // rotates the entries asked
}

// New returns a Relay.
func New(direct Store, peers Peers, logger *slog.Logger) *Relay {
	return &Relay{direct: direct, peers: peers, logger: logger}
}

// Get reads one object.
func (r *Relay) Get(ctx context.Context, kind, name string) (store.Record, error) {
	_, l, err := r.call(ctx, wire.StoreCall{Op: opGet, Kind: kind, Name: name})
	if err != nil {
		return store.Record{}, err
	}
	return l[0].Record, nil
}

// Create writes an object only if it is absent and returns its revision.
func (r *Relay) Create(ctx context.Context, kind, name string, spec []byte) (int64, error) {
	revision, _, err := r.call(ctx, wire.StoreCall{Op: opCreate, Kind: kind, Name: name, Spec: spec})
	return revision, err
}

// Update replaces the spec of an object only if it is at the given revision.
func (r *Relay) Update(ctx context.Context, kind, name string, spec []byte, revision int64) (int64, error) {
	rev, _, err := r.call(ctx, wire.StoreCall{Op: opUpdate, Kind: kind, Name: name, Spec: spec, Rev: revision})
	return rev, err
}

// List returns all objects of a kind and the store's revision.
func (r *Relay) List(ctx context.Context, kind string) ([]store.Record, int64, error) {
	revision, l, err := r.call(ctx, wire.StoreCall{Op: opList, Kind: kind})
	if err != nil {
		return nil, 0, err
	}
	records := make([]store.Record, 0, len(l))
	for _, c := range l {
		records = append(records, c.Record)
	}
	return records, revision, nil
}

// Watch waits for changes of a kind after a revision.
func (r *Relay) Watch(
	ctx context.Context, kind string, after int64, wait time.Duration,
) ([]store.Change, int64, error) {
	revision, l, err := r.call(ctx, wire.StoreCall{Op: opWatch, Kind: kind, Rev: after, Wait: wait.Milliseconds()})
	return l, revision, err
}

// call makes a call directly or through another entry.
func (r *Relay) call(ctx context.Context, c wire.StoreCall) (int64, []store.Change, error) {
	var failed error
	if r.tryDirect(time.Now()) {
		revision, l, err := r.perform(ctx, c)
		var down *store.DownError
		if !errors.As(err, &down) {
			r.note(false, time.Now())
			return revision, l, err
		}
		if ctx.Err() != nil {
			return 0, nil, err
		}
		r.note(true, time.Now())
		failed = err
	}
	return r.ask(ctx, c, failed)
}

// tryDirect reports whether a call is to go to the store itself.
func (r *Relay) tryDirect(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.down {
		return true
	}
	if now.Before(r.probe) {
		return false
	}
	r.probe = now.Add(probeEvery)
	return true
}

func (r *Relay) note(down bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if down && !r.down {
		r.since, r.probe = now, now.Add(probeEvery)
	}
	r.down = down
}

// Outage returns how long the store has not answered this entry, 0 if it does.
func (r *Relay) Outage(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.down {
		return 0
	}
	return now.Sub(r.since)
}

// ask makes a call through other entries. If none reaches the store, the error tells whether any attempt of a write may
// have taken effect.
func (r *Relay) ask(ctx context.Context, c wire.StoreCall, failed error) (int64, []store.Change, error) {
	ambiguous, cause := false, "no other entry is linked"
	var down *store.DownError
	if errors.As(failed, &down) {
		ambiguous, cause = down.Ambiguous(), down.Error()
	}
	wait := askTime
	if c.Op == opWatch {
		c.Wait = min(c.Wait, watchWait.Milliseconds())
		wait += time.Duration(c.Wait) * time.Millisecond
	}
	for _, name := range r.some() {
		var reply wire.StoreReply
		short, cancel := context.WithTimeout(ctx, wait)
		err := r.peers.Ask(short, name, link.Store, c, &reply)
		cancel()
		if err != nil {
			ambiguous = ambiguous || c.Op == opCreate || c.Op == opUpdate
			cause = err.Error()
			continue
		}
		if reply.Code == codeDown || reply.Code == codeUnknown {
			ambiguous = ambiguous || reply.Code == codeUnknown
			cause = reply.Text
			continue
		}
		event.StoreRelayed.Log(r.logger, "peer", name, "op", c.Op, "kind", c.Kind, "object", c.Name, "code", reply.Code,
			"revision", reply.Rev)
		return outcome(c, reply)
	}
	return 0, nil, store.NewDownError(ambiguous, cause)
}

// some returns the entries to ask.
func (r *Relay) some() []string {
	all := r.peers.Linked()
	r.mu.Lock()
	defer r.mu.Unlock()
	l := make([]string, 0, asks)
	for i := range min(asks, len(all)) {
		l = append(l, all[(r.next+i)%len(all)])
	}
	r.next++
	return l
}

// perform makes a call to the store itself.
func (r *Relay) perform(ctx context.Context, c wire.StoreCall) (int64, []store.Change, error) {
	switch c.Op {
	case opGet:
		rec, err := r.direct.Get(ctx, c.Kind, c.Name)
		return rec.Revision, []store.Change{{Record: rec}}, err
	case opCreate:
		revision, err := r.direct.Create(ctx, c.Kind, c.Name, c.Spec)
		return revision, nil, err
	case opUpdate:
		revision, err := r.direct.Update(ctx, c.Kind, c.Name, c.Spec, c.Rev)
		return revision, nil, err
	case opList:
		list, revision, err := r.direct.List(ctx, c.Kind)
		l := make([]store.Change, 0, len(list))
		for _, rec := range list {
			l = append(l, store.Change{Record: rec})
		}
		return revision, l, err
	default:
		l, revision, err := r.direct.Watch(ctx, c.Kind, c.Rev, time.Duration(c.Wait)*time.Millisecond)
		return revision, l, err
	}
}

// Register answers calls that other entries pass on.
func (r *Relay) Register(h Handlers) {
	h.Handle(link.Store, func(ctx context.Context, f link.Frame) (string, any, error) {
		var c wire.StoreCall
		if err := f.Decode(&c); err != nil {
			return "", nil, err
		}
		return link.Stored, r.answer(ctx, c), nil
	})
}

// answer makes a call for another entry.
func (r *Relay) answer(ctx context.Context, c wire.StoreCall) wire.StoreReply {
	if !r.tryDirect(time.Now()) {
		return wire.StoreReply{Code: codeDown, Text: "the store does not answer here either", Records: []wire.StoreRecord{}}
	}
	revision, l, err := r.perform(ctx, c)
	reply := wire.StoreReply{Rev: revision, Records: make([]wire.StoreRecord, 0, len(l))}
	var absent *store.AbsentError
	var conflict *store.ConflictError
	var gone *store.GoneError
	var down *store.DownError
	switch {
	case err == nil:
		for _, rec := range l {
			reply.Records = append(reply.Records, ToWire(rec))
		}
	case errors.As(err, &absent):
		reply.Code = codeAbsent
	case errors.As(err, &gone):
		reply.Code = codeGone
	case errors.As(err, &conflict):
		reply.Code = codeConflict
		w := conflict.Winner()
		reply.Records = append(reply.Records, wire.StoreRecord{Name: c.Name, Rev: w.Version, Spec: w.Value})
	case errors.As(err, &down):
		r.note(true, time.Now())
		reply.Code, reply.Text = codeDown, err.Error()
		if down.Ambiguous() {
			reply.Code = codeUnknown
		}
	default:
		reply.Code, reply.Text = codeOther, err.Error()
	}
	if !errors.As(err, &down) {
		r.note(false, time.Now())
	}
	return reply
}

// outcome turns a reply into what the store itself would have returned.
func outcome(c wire.StoreCall, reply wire.StoreReply) (int64, []store.Change, error) {
	l := make([]store.Change, 0, len(reply.Records))
	for _, w := range reply.Records {
		l = append(l, FromWire(w))
	}
	switch reply.Code {
	case "":
		if c.Op == opGet && len(l) == 0 {
			return 0, nil, store.NewDownError(false, "malformed reply of another entry")
		}
		return reply.Rev, l, nil
	case codeAbsent:
		return 0, nil, store.NewAbsentError(c.Kind, c.Name)
	case codeGone:
		return 0, nil, store.NewGoneError(c.Kind, c.Rev)
	case codeConflict:
		winner := store.Object{}
		if len(l) > 0 {
			winner = store.Object{Value: l[0].Spec, Version: l[0].Revision}
		}
		return 0, nil, store.NewConflictError(c.Kind, c.Name, winner)
	default:
		return 0, nil, errors.New("relay: " + reply.Text)
	}
}

// ToWire encodes an object for another entry.
func ToWire(c store.Change) wire.StoreRecord {
	return wire.StoreRecord{Name: c.Name, Rev: c.Revision, Spec: c.Spec, Status: c.Status, Gone: c.Deleted}
}

// FromWire decodes an object of another entry.
func FromWire(w wire.StoreRecord) store.Change {
	return store.Change{
		Record:  store.Record{Name: w.Name, Revision: w.Rev, Spec: w.Spec, Status: w.Status},
		Deleted: w.Gone,
	}
}
