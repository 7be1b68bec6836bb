// Package config holds the configuration with the highest revision that this entry has seen.
//
// # Usage
//
//	h := config.New(store, random, logger)
//	h.SetPeers(peers)
//	h.OnChange(func(rev int64) { … })
//	err := h.Serve(ctx)
//
// The store version of the object config/current is the revision. Only higher revisions are applied, so that a late
// watch event or a peer with an older one never reverts the configuration. One long-polling watch follows the store;
// while the store is down, the holder fetches the configuration from other entries.
package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"bulrushspoke/entry/internal/redial"
	"bulrushspoke/internal/event"
	"bulrushspoke/internal/profile"
	"bulrushspoke/internal/sleep"
	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

// Kind and Name of the configuration object in the store.
const (
	Kind = "config"
	Name = "current"
)

const (
	// watchWait bounds a watch, so that one silent connection cannot delay a change beyond the 15 s within which it
	// must be in force.
	watchWait = 8 * time.Second
	// minBackoff and maxBackoff bound the pause between attempts while the store is down. Full jitter spreads the reads of
	// all entries when the store recovers.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 3 * time.Second
	// watchGrace is how long a revision announced over a link may arrive by the watch before it is fetched.
	watchGrace = 50 * time.Millisecond
	// readBackTimeout bounds the attempts to find out whether a write took effect.
	readBackTimeout = 5 * time.Second
)

// Store is the subset of the object store's client that a Holder uses.
type Store interface {
	Get(ctx context.Context, kind, name string) (store.Object, error)
	Create(ctx context.Context, kind, name string, value []byte) (int64, error)
	Update(ctx context.Context, kind, name string, value []byte, version int64) (int64, error)
	Watch(ctx context.Context, kind, prefix string, after int64, wait time.Duration) (wire.Listing, error)
}

// Peers fetches the configuration from other entries.
type Peers interface {
	// Fetch returns the configuration with the highest revision of all peers, and false if none is at or above rev.
	Fetch(ctx context.Context, rev int64) (wire.Config, bool)
}

// ConflictError reports that another change won the conditional write; it holds the winner.
type ConflictError struct {
	winner   wire.Document
	rev      int64
	possible bool
}

// Winner returns the configuration in force and its revision, 0 if there is none.
func (e *ConflictError) Winner() (wire.Document, int64) { return e.winner, e.rev }

// Possible reports whether the losing change may have been in force before the winner replaced it.
func (e *ConflictError) Possible() bool { return e.possible }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("config: change %s is in force at revision %d", e.winner.Change, e.rev)
}

// revision is one revision of the configuration with its content.
type revision struct {
	rev      int64
	value    []byte
	doc      wire.Document
	profiles map[string]wire.Profile
}

// Holder holds the configuration in force and keeps it up to date.
type Holder struct {
	store    Store
	random   redial.Random
	logger   *slog.Logger
	readSlot chan struct{} // semaphore: one EnsureRevision reads at a time
	wake     chan struct{}

	mu          sync.Mutex
	peers       Peers
	onChange    []func(int64)
	current     revision
	latestKnown int64         // highest revision known to exist
	rejected    int64         // highest revision whose content was invalid
	changed     chan struct{} // closed when current changes
}

// New returns a holder without a configuration.
func New(s Store, random redial.Random, logger *slog.Logger) *Holder {
	return &Holder{
		store:    s,
		random:   random,
		logger:   logger,
		readSlot: make(chan struct{}, 1),
		wake:     make(chan struct{}, 1),
		changed:  make(chan struct{}),
	}
}

// SetPeers sets the peers to fetch from while the store is down.
func (h *Holder) SetPeers(p Peers) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peers = p
}

// OnChange registers f to be called with each new revision; f must not block.
func (h *Holder) OnChange(f func(rev int64)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onChange = append(h.onChange, f)
}

// Revision returns the revision held, or 0 if there is none.
func (h *Holder) Revision() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current.rev
}

// Profile returns a profile of the configuration held.
func (h *Holder) Profile(name string) (wire.Profile, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, ok := h.current.profiles[name]
	return p, ok
}

// Document returns the configuration held and its revision, or 0 if there is none.
func (h *Holder) Document() (wire.Document, int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current.doc, h.current.rev
}

// Content returns the configuration held in the form that is sent to peers.
func (h *Holder) Content() wire.Config {
	h.mu.Lock()
	defer h.mu.Unlock()
	return wire.Config{Rev: h.current.rev, Value: h.current.value}
}

// NoteRevision records that a revision exists and schedules its fetch; it does not block.
func (h *Holder) NoteRevision(rev int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if rev <= h.latestKnown {
		return
	}
	h.latestKnown = rev
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// Serve keeps the configuration current until ctx ends.
func (h *Holder) Serve(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { h.fetchAnnounced(ctx) })
	pause := minBackoff
	first := true
	for ctx.Err() == nil {
		var err error
		if first {
			err = h.read(ctx)
		} else {
			err = h.watch(ctx)
		}
		if err == nil {
			pause, first = minBackoff, false
			continue
		}
		if h.Revision() == 0 {
			h.fetchFromPeers(ctx, 1)
		}
		sleep.For(ctx, time.Duration(h.random.Float64()*float64(pause)))
		pause = min(2*pause, maxBackoff)
	}
	return ctx.Err()
}

// fetchAnnounced fetches revisions announced over links that the watch does not deliver first.
func (h *Holder) fetchAnnounced(ctx context.Context) {
	for {
		select {
		case <-h.wake:
		case <-ctx.Done():
			return
		}
		h.mu.Lock()
		known, change := h.latestKnown, h.changed
		h.mu.Unlock()
		select {
		case <-change:
		case <-time.After(watchGrace):
		case <-ctx.Done():
		}
		h.EnsureRevision(ctx, known)
	}
}

// read applies the object in the store; it returns no error if the object is absent.
func (h *Holder) read(ctx context.Context) error {
	o, err := h.store.Get(ctx, Kind, Name)
	var absent *store.NotFoundError
	if errors.As(err, &absent) {
		return nil
	}
	if err != nil {
		return err
	}
	h.accept(o.Version, o.Value)
	return nil
}

// watch waits for the next change in the store.
func (h *Holder) watch(ctx context.Context) error {
	h.mu.Lock()
	after := max(h.current.rev, h.rejected)
	h.mu.Unlock()
	l, err := h.store.Watch(ctx, Kind, Name, after, watchWait)
	if err != nil {
		return err
	}
	for _, e := range l.Objects {
		if e.Name == Name && !e.Gone {
			h.accept(e.Version, e.Value)
		}
	}
	return nil
}

// fetchFromPeers applies the configuration with the highest revision of all peers, if that is at or above rev.
func (h *Holder) fetchFromPeers(ctx context.Context, rev int64) {
	h.mu.Lock()
	p := h.peers
	h.mu.Unlock()
	if p == nil {
		return
	}
	if c, ok := p.Fetch(ctx, rev); ok {
		h.accept(c.Rev, c.Value)
	}
}

// accept applies a configuration if its revision is higher than the one held and its content valid.
func (h *Holder) accept(rev int64, value []byte) {
	doc, err := profile.Parse(value)
	h.mu.Lock()
	if rev <= h.current.rev {
		h.mu.Unlock()
		return
	}
	h.latestKnown = max(h.latestKnown, rev)
	if err != nil {
		newlyRejected := rev > h.rejected
		h.rejected = max(h.rejected, rev)
		h.mu.Unlock()
		if newlyRejected {
			event.ConfigInvalid.Log(h.logger, "rev", rev, "cause", err.Error())
		}
		return
	}
	profiles := make(map[string]wire.Profile, len(doc.Profiles))
	for _, p := range doc.Profiles {
		profiles[p.Name] = p
	}
	h.current = revision{rev: rev, value: value, doc: doc, profiles: profiles}
	close(h.changed)
	h.changed = make(chan struct{})
	callbacks := h.onChange
	h.mu.Unlock()
	event.ConfigApplied.Log(h.logger, "rev", rev, "change", doc.Change)
	for _, f := range callbacks {
		f(rev)
	}
}

// EnsureRevision fetches a revision from the store or a peer. It returns once that or a higher revision is held or
// found invalid, or ctx ends.
func (h *Holder) EnsureRevision(ctx context.Context, rev int64) {
	pause := minBackoff
	for ctx.Err() == nil {
		h.mu.Lock()
		done, change := h.current.rev >= rev || h.rejected >= rev, h.changed
		h.mu.Unlock()
		if done {
			return
		}
		// One reader fetches for all callers that wait.
		select {
		case h.readSlot <- struct{}{}:
			if err := h.read(ctx); err != nil {
				h.fetchFromPeers(ctx, rev)
			}
			<-h.readSlot
		case <-change:
			continue
		case <-ctx.Done():
			return
		}
		if h.Revision() >= rev {
			return
		}
		select {
		case <-change:
		case <-time.After(time.Duration(h.random.Float64() * float64(pause))):
		case <-ctx.Done():
		}
		pause = min(2*pause, maxBackoff)
	}
}

// Apply writes a configuration if revision base is still in force, where 0 stands for none, and returns the new
// revision. It is idempotent: a change with the same identifier is written once. Errors are *ConflictError,
// *store.UnavailableError, ambiguous if the change may be in force, or *settings.Error.
func (h *Holder) Apply(ctx context.Context, doc wire.Document, base int64) (int64, error) {
	doc, err := profile.Validate(doc)
	if err != nil {
		return 0, err
	}
	value, err := json.Marshal(doc)
	if err != nil {
		return 0, eris.Wrap(err, "config: encode")
	}
	if len(value) > store.MaxValueBytes {
		return 0, eris.Errorf("config: %d bytes, at most %d", len(value), store.MaxValueBytes)
	}
	rev, err := h.write(ctx, value, base)
	if err == nil {
		h.accept(rev, value)
		return rev, nil
	}
	return h.resolveWrite(ctx, doc.Change, value, base, err)
}

func (h *Holder) write(ctx context.Context, value []byte, base int64) (int64, error) {
	if base == 0 {
		return h.store.Create(ctx, Kind, Name, value)
	}
	return h.store.Update(ctx, Kind, Name, value, base)
}

// resolveWrite finds out whether a write that returned an error took effect.
func (h *Holder) resolveWrite(ctx context.Context, change string, value []byte, base int64, cause error) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, readBackTimeout)
	defer cancel()
	answerLost := false // a response was lost, so the change may have been in force
	firstErr := cause
	pause := minBackoff
	for {
		var conflict *store.ConflictError
		var down *store.UnavailableError
		switch {
		case errors.As(cause, &conflict):
			return h.resolveConflict(change, conflict.Current(), answerLost)
		case !errors.As(cause, &down) || !down.Ambiguous() && !answerLost:
			return 0, cause
		}
		if answerLost {
			sleep.For(ctx, time.Duration(h.random.Float64()*float64(pause)))
			pause = min(2*pause, maxBackoff)
		}
		answerLost = true
		if ctx.Err() != nil {
			return 0, firstErr
		}
		// The first write may still be in flight, so only a second write under the same condition is conclusive.
		o, err := h.store.Get(ctx, Kind, Name)
		var absent *store.NotFoundError
		switch {
		case err == nil && o.Version != base:
			return h.resolveConflict(change, o, true)
		case err != nil && !errors.As(err, &absent):
			continue
		}
		rev, err := h.write(ctx, value, base)
		if err == nil {
			h.accept(rev, value)
			return rev, nil
		}
		cause = err
	}
}

// resolveConflict returns the revision of the winner if that is the change itself, and a *ConflictError otherwise.
func (h *Holder) resolveConflict(change string, winner store.Object, answerLost bool) (int64, error) {
	doc, err := profile.Parse(winner.Value)
	if winner.Version != 0 && err == nil {
		h.accept(winner.Version, winner.Value)
		if doc.Change == change {
			event.StoreReadBack.Log(h.logger, "change", change, "rev", winner.Version)
			return winner.Version, nil
		}
	}
	return 0, &ConflictError{winner: doc, rev: winner.Version, possible: answerLost}
}
