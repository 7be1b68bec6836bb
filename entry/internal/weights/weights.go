// Package weights keeps the weight version that each model's engines are to run.
//
// # Usage
//
//	t := weights.New(client, pool, peers, ids, logger)
//	tree.Add(supervise.Task("watch weights", t.Run))
//	err := t.Publish(ctx, "plan", 8)
//	v := t.Version("plan")
//
// The target of a model is the object weights/<model>. It is written by conditional update and its version never falls.
// The store version of the object is the fencing token of the target: daemons and engines refuse an older one. Entries
// learn of a target from their watch of the store, from a notice of another entry or from their own Publish, and tell
// all daemons once.
package weights

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"bulrushspoke/internal/event"
	"bulrushspoke/internal/refusal"
	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

const (
	kind = "weights"
	// watchWait is how long one watch waits in the store.
	watchWait = 30 * time.Second
	// firstPause and lastPause bound the pause after a failed watch; half of each pause is random, so that entries do not
	// return to the store at once.
	firstPause = 200 * time.Millisecond
	lastPause  = 5 * time.Second
	// tries bounds the conditional updates of one Publish that lose to others.
	tries = 8
	// retryStore is the pause that a publisher is asked for while the store is down.
	retryStore = 2 * time.Second
)

// Store is the part of the object store's client that targets use.
type Store interface {
	Get(ctx context.Context, kind, name string) (store.Object, error)
	Create(ctx context.Context, kind, name string, value []byte) (int64, error)
	Update(ctx context.Context, kind, name string, value []byte, version int64) (int64, error)
	List(ctx context.Context, kind, prefix string) (wire.Listing, error)
	Watch(ctx context.Context, kind, prefix string, after int64, wait time.Duration) (wire.Listing, error)
}

// Announcer passes a notice over all of its links.
type Announcer interface {
	Announce(n wire.Notice)
}

// Targets holds the highest targets seen.
type Targets struct {
	store   Store
	daemons Announcer
	peers   Announcer
	ids     func() string
	random  *rand.Rand // used by Run only
	logger  *slog.Logger

	mu      sync.Mutex
	targets map[string]wire.Target
}

// New returns targets that know nothing; Run keeps them up to date.
func New(s Store, daemons, peers Announcer, ids func() string, random *rand.Rand, logger *slog.Logger) *Targets {
	return &Targets{
		store: s, daemons: daemons, peers: peers, ids: ids, random: random, logger: logger,
		targets: make(map[string]wire.Target),
	}
}

// Version returns the published weight version of the model, 0 if none is known.
func (t *Targets) Version(model string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.targets[model].Version
}

// All returns the targets in order of their models, for the first message on a link.
func (t *Targets) All() []wire.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]wire.Target, 0, len(t.targets))
	for _, g := range t.targets {
		list = append(list, g)
	}
	slices.SortFunc(list, func(a, b wire.Target) int { return strings.Compare(a.Model, b.Model) })
	return list
}

// Offer takes targets from a notice; newer ones are passed on to the daemons.
func (t *Targets) Offer(targets []wire.Target) {
	if fresh := t.take(targets); len(fresh) > 0 {
		t.daemons.Announce(wire.Notice{Targets: fresh})
	}
}

// take keeps the targets that are newer by their fencing token and returns them.
func (t *Targets) take(targets []wire.Target) []wire.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	var fresh []wire.Target
	for _, g := range targets {
		if g.Fence > t.targets[g.Model].Fence {
			t.targets[g.Model] = g
			fresh = append(fresh, g)
		}
	}
	return fresh
}

// spread tells all daemons and entries of newer targets.
func (t *Targets) spread(targets ...wire.Target) {
	fresh := t.take(targets)
	if len(fresh) == 0 {
		return
	}
	n := wire.Notice{Targets: fresh}
	t.daemons.Announce(n)
	t.peers.Announce(n)
}

// Publish makes version the target of the model. A version that is in force already is no error, a lower one is a
// conflict. Its errors are *refusal.Error; store_down with ran unknown means that the target may be in force.
func (t *Targets) Publish(ctx context.Context, model string, version int64) error {
	mine := wire.Weights{Model: model, Version: version, Writer: t.ids()}
	value, err := json.Marshal(mine)
	if err != nil {
		return eris.Wrap(err, "weights: encode")
	}
	o, err := t.store.Get(ctx, kind, model)
	var none *store.AbsentError
	if err != nil && !errors.As(err, &none) {
		return down(err, refusal.NotRun)
	}
	for range tries {
		if o.Version != 0 {
			present, err := decode(o)
			if err != nil {
				return err
			}
			t.spread(wire.Target{Model: model, Version: present.Version, Fence: o.Version})
			if present.Version == version {
				return nil
			}
			if present.Version > version {
				return refusal.New(refusal.Conflict, refusal.NotRun, "weights: %s is at version %d already", model, present.Version)
			}
		}
		fence, err := t.put(ctx, model, value, o.Version)
		var conflict *store.ConflictError
		switch {
		case err == nil:
			t.spread(wire.Target{Model: model, Version: version, Fence: fence})
			return nil
		case errors.As(err, &conflict):
			o = conflict.Winner()
		case ambiguous(err):
			if o, err = t.readBack(ctx, model); err != nil {
				return down(err, refusal.Unknown)
			}
		default:
			return down(err, refusal.NotRun)
		}
	}
	return refusal.New(refusal.Busy, refusal.NotRun, "weights: %s is being changed by others", model).After(time.Second)
}

func (t *Targets) put(ctx context.Context, model string, value []byte, version int64) (int64, error) {
	if version == 0 {
		return t.store.Create(ctx, kind, model, value)
	}
	return t.store.Update(ctx, kind, model, value, version)
}

// readBack reads the target after a write whose answer was lost.
func (t *Targets) readBack(ctx context.Context, model string) (store.Object, error) {
	o, err := t.store.Get(ctx, kind, model)
	var none *store.AbsentError
	if errors.As(err, &none) {
		return store.Object{}, nil
	}
	if err == nil {
		event.StoreReadBack.Log(t.logger, "object", kind+"/"+model)
	}
	return o, err
}

func ambiguous(err error) bool {
	var d *store.DownError
	return errors.As(err, &d) && d.Ambiguous()
}

// down turns an error of the store into a refusal.
func down(err error, ran refusal.Ran) error {
	var d *store.DownError
	if errors.As(err, &d) {
		return refusal.New(refusal.StoreDown, ran, "weights: %v", err).After(retryStore)
	}
	return err
}

func decode(o store.Object) (wire.Weights, error) {
	var w wire.Weights
	if err := json.Unmarshal(o.Value, &w); err != nil {
		return w, eris.Wrap(err, "weights: decode")
	}
	return w, nil
}

// Run follows the targets in the store until ctx ends.
func (t *Targets) Run(ctx context.Context) error {
	after := int64(-1)
	pause := firstPause
	for ctx.Err() == nil {
		next, err := t.follow(ctx, after)
		if err == nil {
			after, pause = next, firstPause
			continue
		}
		sleep(ctx, pause/2+time.Duration(t.random.Int64N(int64(pause/2))))
		pause = min(2*pause, lastPause)
		// What changed while the store was away may have left its watch history.
		after = -1
	}
	return ctx.Err()
}

// follow reads all targets at first, and what has changed later; it returns the store version that was reached.
func (t *Targets) follow(ctx context.Context, after int64) (int64, error) {
	if after >= 0 {
		l, err := t.store.Watch(ctx, kind, "", after, watchWait)
		if err != nil {
			return 0, err
		}
		t.note(l.Objects)
		return max(after, l.Version), nil
	}
	l, err := t.store.List(ctx, kind, "")
	if err != nil {
		return 0, err
	}
	for i := range l.Objects {
		o, err := t.store.Get(ctx, kind, l.Objects[i].Name)
		var none *store.AbsentError
		if errors.As(err, &none) {
			continue
		}
		if err != nil {
			return 0, err
		}
		l.Objects[i].Value, l.Objects[i].Version = o.Value, o.Version
	}
	t.note(l.Objects)
	return l.Version, nil
}

// note takes targets from the store. Every entry watches the store, so other entries are not told.
func (t *Targets) note(objects []wire.Entry) {
	var targets []wire.Target
	for _, o := range objects {
		w, err := decode(store.Object{Value: o.Value})
		if o.Gone || err != nil {
			continue
		}
		targets = append(targets, wire.Target{Model: w.Model, Version: w.Version, Fence: o.Version})
	}
	t.Offer(targets)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
