// Package relay gives access to the platform's object store, through other entries while this entry cannot reach it.
//
// # Usage
//
//	r := relay.New(objects, peers, logger)
//	r.Register(peers)
//	revision, err := r.Create(ctx, kind, name, spec)
//
// Calls go directly to the store by default. After a direct call has failed because the store is unavailable, calls are
// relayed through linked entries, and the store is probed at intervals. A failed write that may already have taken effect
// is repeated through the other entry. This is safe because all writes are conditional: the second write conflicts with
// the first, and the conflict error carries the stored object.
//
// Relayed errors keep the types of the store package. A *store.UnavailableError means that neither this entry nor the entries
// asked could reach the store, and tells whether a write may have taken effect.
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
	// probeInterval is the interval between direct calls while the store is unavailable to this entry.
	probeInterval = 500 * time.Millisecond
	// relayTimeout limits a call through another entry. For a watch, its wait time is added.
	relayTimeout = 1200 * time.Millisecond
	// maxRelayedWatch limits the wait of a watch through another entry, so that a direct watch is soon tried again.
	maxRelayedWatch = 2 * time.Second
	// maxPeersPerCall is the number of other entries that one call tries.
	maxPeersPerCall = 2
)

// Operations of a wire.StoreCall.
const (
	opGet    = "get"
	opCreate = "create"
	opUpdate = "update"
	opList   = "list"
	opWatch  = "watch"
)

// Result codes of a wire.StoreReply.
const (
	codeAbsent   = "absent"
	codeConflict = "conflict"
	codeGone     = "gone"
	codeLarge    = "large"
	codeDown     = "down"    // the store is unavailable and the call had no effect
	codeUnknown  = "unknown" // the store is unavailable and a write may have taken effect
	codeOther    = "other"
)

// Store is the platform's object store.
type Store interface {
	Get(ctx context.Context, kind, name string) (store.Record, error)
	Create(ctx context.Context, kind, name string, spec []byte) (int64, error)
	Update(ctx context.Context, kind, name string, spec []byte, revision int64) (int64, error)
	List(ctx context.Context, kind string) ([]store.Record, int64, error)
	Watch(ctx context.Context, kind string, after int64, wait time.Duration) ([]store.Change, int64, error)
}

// Peers sends requests to other entries.
type Peers interface {
	Request(ctx context.Context, name, kind string, body, reply any) error
	Connected() []string
}

// Handlers registers handlers for messages from other entries.
type Handlers interface {
	Handle(kind string, f func(context.Context, link.Frame) (string, any, error))
}

// Relay is a store client that uses the store directly or through another entry. It is safe for concurrent use.
type Relay struct {
	direct Store
	peers  Peers
	logger *slog.Logger

	mu        sync.Mutex
	down      bool
	downSince time.Time // start of the outage
	nextProbe time.Time // time of the next direct call during an outage
	nextPeer  int       // offset for rotating through the linked entries
}

// New returns a Relay that uses direct and, while that is unavailable, the stores of the peers.
func New(direct Store, peers Peers, logger *slog.Logger) *Relay {
	return &Relay{direct: direct, peers: peers, logger: logger}
}

// Get returns one object.
func (r *Relay) Get(ctx context.Context, kind, name string) (store.Record, error) {
	_, l, err := r.call(ctx, wire.StoreCall{Op: opGet, Kind: kind, Name: name})
	if err != nil {
		return store.Record{}, err
	}
	return l[0].Record, nil
}

// Create creates an object if it does not exist and returns its revision.
func (r *Relay) Create(ctx context.Context, kind, name string, spec []byte) (int64, error) {
	revision, _, err := r.call(ctx, wire.StoreCall{Op: opCreate, Kind: kind, Name: name, Spec: spec})
	return revision, err
}

// Update replaces the spec of an object if it is at the given revision, and returns the new revision.
func (r *Relay) Update(ctx context.Context, kind, name string, spec []byte, revision int64) (int64, error) {
	rev, _, err := r.call(ctx, wire.StoreCall{Op: opUpdate, Kind: kind, Name: name, Spec: spec, Rev: revision})
	return rev, err
}

// List returns all objects of a kind and the revision of the store.
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

// Watch waits for changes of a kind after a revision. It returns the changes and the revision that they lead to. Through another entry, the wait is limited to maxRelayedWatch.
func (r *Relay) Watch(
	ctx context.Context, kind string, after int64, wait time.Duration,
) ([]store.Change, int64, error) {
	revision, l, err := r.call(ctx, wire.StoreCall{Op: opWatch, Kind: kind, Rev: after, Wait: wait.Milliseconds()})
	return l, revision, err
}

// call makes a call directly or, if the store is unavailable to this entry, through another entry.
func (r *Relay) call(ctx context.Context, c wire.StoreCall) (int64, []store.Change, error) {
	var directErr error
	if r.tryDirect(time.Now()) {
		revision, l, err := r.callDirect(ctx, c)
		var down *store.UnavailableError
		if !errors.As(err, &down) {
			r.setDown(false, time.Now())
			return revision, l, err
		}
		if ctx.Err() != nil {
			return 0, nil, err
		}
		r.setDown(true, time.Now())
		directErr = err
	}
	return r.callPeers(ctx, c, directErr)
}

// tryDirect reports whether a call should go directly to the store. During an outage it allows one call per
// probeInterval.
func (r *Relay) tryDirect(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.down {
		return true
	}
	if now.Before(r.nextProbe) {
		return false
	}
	r.nextProbe = now.Add(probeInterval)
	return true
}

func (r *Relay) setDown(down bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if down && !r.down {
		r.downSince, r.nextProbe = now, now.Add(probeInterval)
	}
	r.down = down
}

// Outage returns how long the store has been unavailable to this entry, or 0 if it is available.
func (r *Relay) Outage(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.down {
		return 0
	}
	return now.Sub(r.downSince)
}

// callPeers makes a call through other entries. If none of them reaches the store, the returned *store.UnavailableError is
// ambiguous if any attempt, including the direct one that failed with directErr, may have taken effect.
func (r *Relay) callPeers(ctx context.Context, c wire.StoreCall, directErr error) (int64, []store.Change, error) {
	ambiguous, cause := false, "no other entry is connected"
	var down *store.UnavailableError
	if errors.As(directErr, &down) {
		ambiguous, cause = down.Ambiguous(), down.Error()
	}
	timeout := relayTimeout
	if c.Op == opWatch {
		c.Wait = min(c.Wait, maxRelayedWatch.Milliseconds())
		timeout += time.Duration(c.Wait) * time.Millisecond
	}
	for _, name := range r.selectPeers() {
		var reply wire.StoreReply
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		err := r.peers.Request(callCtx, name, link.Store, c, &reply)
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
		return fromReply(c, reply)
	}
	return 0, nil, store.NewUnavailableError(ambiguous, cause)
}

// selectPeers returns the entries to try, in rotation. They lie apart in the order of the names, since entries whose names
// are close to each other are often in one place and without a path to the store together.
func (r *Relay) selectPeers() []string {
	all := r.peers.Connected()
	r.mu.Lock()
	defer r.mu.Unlock()
	l := make([]string, 0, maxPeersPerCall)
	for i := range min(maxPeersPerCall, len(all)) {
		l = append(l, all[(r.nextPeer+i*len(all)/maxPeersPerCall)%len(all)])
	}
	r.nextPeer++
	return l
}

// callDirect makes a call to the store.
func (r *Relay) callDirect(ctx context.Context, c wire.StoreCall) (int64, []store.Change, error) {
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

// Register registers the handler for calls relayed by other entries.
func (r *Relay) Register(h Handlers) {
	h.Handle(link.Store, func(ctx context.Context, f link.Frame) (string, any, error) {
		var c wire.StoreCall
		if err := f.Decode(&c); err != nil {
			return "", nil, err
		}
		return link.Stored, r.serve(ctx, c), nil
	})
}

// serve makes a call on behalf of another entry. It never relays the call further.
func (r *Relay) serve(ctx context.Context, c wire.StoreCall) wire.StoreReply {
	if !r.tryDirect(time.Now()) {
		return wire.StoreReply{Code: codeDown, Text: "the store does not answer here either", Records: []wire.StoreRecord{}}
	}
	revision, l, err := r.callDirect(ctx, c)
	reply := wire.StoreReply{Rev: revision, Records: make([]wire.StoreRecord, 0, len(l))}
	var absent *store.NotFoundError
	var conflict *store.ConflictError
	var gone *store.ExpiredError
	var large *store.TooLargeError
	var down *store.UnavailableError
	switch {
	case err == nil:
		for _, rec := range l {
			reply.Records = append(reply.Records, ToWire(rec))
		}
	case errors.As(err, &absent):
		reply.Code = codeAbsent
	case errors.As(err, &gone):
		reply.Code = codeGone
	case errors.As(err, &large):
		reply.Code = codeLarge
	case errors.As(err, &conflict):
		reply.Code = codeConflict
		w := conflict.Current()
		reply.Records = append(reply.Records, wire.StoreRecord{Name: c.Name, Rev: w.Version, Spec: w.Value})
	case errors.As(err, &down):
		r.setDown(true, time.Now())
		reply.Code, reply.Text = codeDown, err.Error()
		if down.Ambiguous() {
			reply.Code = codeUnknown
		}
	default:
		reply.Code, reply.Text = codeOther, err.Error()
	}
	if !errors.As(err, &down) {
		r.setDown(false, time.Now())
	}
	return reply
}

// fromReply converts the reply of another entry to the results and errors of a direct call.
func fromReply(c wire.StoreCall, reply wire.StoreReply) (int64, []store.Change, error) {
	l := make([]store.Change, 0, len(reply.Records))
	for _, w := range reply.Records {
		l = append(l, FromWire(w))
	}
	switch reply.Code {
	case "":
		if c.Op == opGet && len(l) == 0 {
			return 0, nil, store.NewUnavailableError(false, "malformed reply from another entry: no object for get")
		}
		return reply.Rev, l, nil
	case codeAbsent:
		return 0, nil, store.NewNotFoundError(c.Kind, c.Name)
	case codeGone:
		return 0, nil, store.NewExpiredError(c.Kind, c.Rev)
	case codeLarge:
		return 0, nil, store.NewTooLargeError(c.Kind, c.Name)
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

// ToWire converts an object or a change to its wire form.
func ToWire(c store.Change) wire.StoreRecord {
	return wire.StoreRecord{Name: c.Name, Rev: c.Revision, Spec: c.Spec, Status: c.Status, Gone: c.Deleted}
}

// FromWire converts an object or a change from its wire form.
func FromWire(w wire.StoreRecord) store.Change {
	return store.Change{
		Record:  store.Record{Name: w.Name, Revision: w.Rev, Spec: w.Spec, Status: w.Status},
		Deleted: w.Gone,
	}
}
