// Package config holds the configuration of the highest revision that this entry has seen.
//
// # Usage
//
//	h := config.New(store, random, logger)
//	h.Use(peers)
//	h.OnChange(func(rev int64) { … })
//	err := h.Serve(ctx)
//
// The store version of the object config/current is the revision. Only higher revisions are applied, so that a late
// watch event or an older peer never turns the configuration back. One waiting call watches the store; while the store
// is down, the holder asks the other entries.
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
	// watchWait keeps one silent connection from delaying a change beyond the 15 s in which it must be in force.
	watchWait = 8 * time.Second
	// firstPause and longestPause bound the pause between tries while the store is down; the jitter over them spreads
	// the reads of all entries when it returns.
	firstPause   = 100 * time.Millisecond
	longestPause = 3 * time.Second
	// watchLead is how long word of a revision from a link waits for the watch to bring it.
	watchLead = 50 * time.Millisecond
	// readBackLimit bounds the tries to find out whether a write took effect.
	readBackLimit = 5 * time.Second
)

// Store is the part of the object store's client that the holder uses.
type Store interface {
	Get(ctx context.Context, kind, name string) (store.Object, error)
	Create(ctx context.Context, kind, name string, value []byte) (int64, error)
	Update(ctx context.Context, kind, name string, value []byte, version int64) (int64, error)
	Watch(ctx context.Context, kind, prefix string, after int64, wait time.Duration) (wire.Listing, error)
}

// Peers asks the other entries for their configuration.
type Peers interface {
	// Fetch returns the highest revision of all peers, if one is at or above rev.
	Fetch(ctx context.Context, rev int64) (wire.Config, bool)
}

// ConflictError tells that another change won; it holds the winner.
type ConflictError struct {
	winner   wire.Document
	rev      int64
	possible bool
}

// Winner returns the configuration in force and its revision, 0 if there is none.
func (e *ConflictError) Winner() (wire.Document, int64) { return e.winner, e.rev }

// Possible reports whether the lost change may have been in force before the winner replaced it.
func (e *ConflictError) Possible() bool { return e.possible }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("config: change %s is in force at revision %d", e.winner.Change, e.rev)
}

// held is one revision with its content.
type held struct {
	rev      int64
	value    []byte
	doc      wire.Document
	profiles map[string]wire.Profile
}

// Holder holds the configuration.
type Holder struct {
	store  Store
	random redial.Random
	logger *slog.Logger
	reader chan struct{} // holds a token while somebody reads for Offer
	wake   chan struct{}

	mu       sync.Mutex
	peers    Peers
	onChange []func(int64)
	now      held
	known    int64         // highest revision that exists
	rejected int64         // highest revision whose content was invalid
	change   chan struct{} // closed when now changes
}

// New returns a holder without a configuration.
func New(s Store, random redial.Random, logger *slog.Logger) *Holder {
	return &Holder{
		store:  s,
		random: random,
		logger: logger,
		reader: make(chan struct{}, 1),
		wake:   make(chan struct{}, 1),
		change: make(chan struct{}),
	}
}

// Use names the peers to ask while the store is down.
func (h *Holder) Use(p Peers) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peers = p
}

// OnChange calls f with each new revision; f must not block.
func (h *Holder) OnChange(f func(rev int64)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.onChange = append(h.onChange, f)
}

// Revision returns the revision held, 0 if none.
func (h *Holder) Revision() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.now.rev
}

// Profile returns a profile of the configuration held.
func (h *Holder) Profile(name string) (wire.Profile, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p, ok := h.now.profiles[name]
	return p, ok
}

// Document returns the configuration held and its revision, 0 if none.
func (h *Holder) Document() (wire.Document, int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.now.doc, h.now.rev
}

// Content returns the configuration held for a peer that asks for it.
func (h *Holder) Content() wire.Config {
	h.mu.Lock()
	defer h.mu.Unlock()
	return wire.Config{Rev: h.now.rev, Value: h.now.value}
}

// Notice takes word of a revision; it does not block.
func (h *Holder) Notice(rev int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if rev <= h.known {
		return
	}
	h.known = rev
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// Serve keeps the configuration current until ctx ends.
func (h *Holder) Serve(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { h.chase(ctx) })
	pause := firstPause
	first := true
	for ctx.Err() == nil {
		var err error
		if first {
			err = h.read(ctx)
		} else {
			err = h.watch(ctx)
		}
		if err == nil {
			pause, first = firstPause, false
			continue
		}
		if h.Revision() == 0 {
			h.ask(ctx, 1)
		}
		sleep.For(ctx, time.Duration(h.random.Float64()*float64(pause)))
		pause = min(2*pause, longestPause)
	}
	return ctx.Err()
}

// chase fetches revisions that links have brought word of.
func (h *Holder) chase(ctx context.Context) {
	for {
		select {
		case <-h.wake:
		case <-ctx.Done():
			return
		}
		h.mu.Lock()
		known, change := h.known, h.change
		h.mu.Unlock()
		select {
		case <-change:
		case <-time.After(watchLead):
		case <-ctx.Done():
		}
		h.Offer(ctx, known)
	}
}

// read reads the object; an absent one is no error.
func (h *Holder) read(ctx context.Context) error {
	o, err := h.store.Get(ctx, Kind, Name)
	var absent *store.AbsentError
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
	after := max(h.now.rev, h.rejected)
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

// ask takes the highest configuration of the peers at or above rev.
func (h *Holder) ask(ctx context.Context, rev int64) {
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
	if rev <= h.now.rev {
		h.mu.Unlock()
		return
	}
	h.known = max(h.known, rev)
	if err != nil {
		fresh := rev > h.rejected
		h.rejected = max(h.rejected, rev)
		h.mu.Unlock()
		if fresh {
			event.ConfigInvalid.Log(h.logger, "rev", rev, "cause", err.Error())
		}
		return
	}
	profiles := make(map[string]wire.Profile, len(doc.Profiles))
	for _, p := range doc.Profiles {
		profiles[p.Name] = p
	}
	h.now = held{rev: rev, value: value, doc: doc, profiles: profiles}
	close(h.change)
	h.change = make(chan struct{})
	calls := h.onChange
	h.mu.Unlock()
	event.ConfigApplied.Log(h.logger, "rev", rev, "change", doc.Change)
	for _, f := range calls {
		f(rev)
	}
}

// Offer fetches a revision from the store or a peer and returns once it or a higher one is held, or ctx ends.
func (h *Holder) Offer(ctx context.Context, rev int64) {
	pause := firstPause
	for ctx.Err() == nil {
		h.mu.Lock()
		done, change := h.now.rev >= rev || h.rejected >= rev, h.change
		h.mu.Unlock()
		if done {
			return
		}
		// One reader fetches for all who wait.
		select {
		case h.reader <- struct{}{}:
			if err := h.read(ctx); err != nil {
				h.ask(ctx, rev)
			}
			<-h.reader
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
		pause = min(2*pause, longestPause)
	}
}

// Apply writes a configuration if revision base is still in force, 0 standing for none, and returns its revision. A
// change with the same identifier is written once however often it is applied. Errors are *ConflictError,
// *store.DownError, ambiguous if the change may be in force, or *settings.Error.
func (h *Holder) Apply(ctx context.Context, doc wire.Document, base int64) (int64, error) {
	doc, err := profile.Check(doc)
	if err != nil {
		return 0, err
	}
	value, err := json.Marshal(doc)
	if err != nil {
		return 0, eris.Wrap(err, "config: encode")
	}
	if len(value) > store.MaxValue {
		return 0, eris.Errorf("config: %d bytes, at most %d", len(value), store.MaxValue)
	}
	rev, err := h.write(ctx, value, base)
	if err == nil {
		h.accept(rev, value)
		return rev, nil
	}
	return h.settle(ctx, doc.Change, value, base, err)
}

func (h *Holder) write(ctx context.Context, value []byte, base int64) (int64, error) {
	if base == 0 {
		return h.store.Create(ctx, Kind, Name, value)
	}
	return h.store.Update(ctx, Kind, Name, value, base)
}

// settle finds out what became of a write that did not plainly succeed.
func (h *Holder) settle(ctx context.Context, change string, value []byte, base int64, cause error) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, readBackLimit)
	defer cancel()
	lost := false // an answer was lost, so that the change may have been in force
	doubt := cause
	pause := firstPause
	for {
		var conflict *store.ConflictError
		var down *store.DownError
		switch {
		case errors.As(cause, &conflict):
			return h.lose(change, conflict.Winner(), lost)
		case !errors.As(cause, &down) || !down.Ambiguous() && !lost:
			return 0, cause
		}
		if lost {
			sleep.For(ctx, time.Duration(h.random.Float64()*float64(pause)))
			pause = min(2*pause, longestPause)
		}
		lost = true
		if ctx.Err() != nil {
			return 0, doubt
		}
		// The first write may still be on its way, so only a second write under the same condition decides.
		o, err := h.store.Get(ctx, Kind, Name)
		var absent *store.AbsentError
		switch {
		case err == nil && o.Version != base:
			return h.lose(change, o, true)
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

// lose returns the conflict with the winner, which may be the change itself.
func (h *Holder) lose(change string, winner store.Object, lost bool) (int64, error) {
	doc, err := profile.Parse(winner.Value)
	if winner.Version != 0 && err == nil {
		h.accept(winner.Version, winner.Value)
		if doc.Change == change {
			event.StoreReadBack.Log(h.logger, "change", change, "rev", winner.Version)
			return winner.Version, nil
		}
	}
	return 0, &ConflictError{winner: doc, rev: winner.Version, possible: lost}
}
