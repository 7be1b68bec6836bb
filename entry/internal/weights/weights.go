// Package weights maintains the target of each model: the weight version that its engines are to run.
//
// # Usage
//
//	t := weights.New(client, pool, peers, newID, random, logger)
//	tree.Add(supervise.Task("watch weights", t.Run))
//	err := t.Publish(ctx, "plan", 8)
//	v := t.Version("plan")
//
// The target of a model is stored in the object weights/<model>. It is written by conditional updates and its weight
// version never decreases. The store version of the object is the fencing token of the target: daemons and engines
// refuse an older one. Entries learn of a target from their watch of the store, from a notice of another entry or from
// their own Publish, and announce it once to all daemons.
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
	// watchWait is how long the store holds a watch request that has nothing to report.
	watchWait = 30 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed watch. Half of each pause is random, so that not all
	// entries return to the store at the same moment.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
	// maxAttempts bounds the conditional writes of one Publish when other writers keep winning.
	maxAttempts = 8
	// storeRetryAfter is the retry delay that a publisher is told while the store is down.
	storeRetryAfter = 2 * time.Second
)

// Store is the subset of the object store's client that Targets uses.
type Store interface {
	Get(ctx context.Context, kind, name string) (store.Object, error)
	Create(ctx context.Context, kind, name string, value []byte) (int64, error)
	Update(ctx context.Context, kind, name string, value []byte, version int64) (int64, error)
	List(ctx context.Context, kind, prefix string) (wire.Listing, error)
	Watch(ctx context.Context, kind, prefix string, after int64, wait time.Duration) (wire.Listing, error)
}

// Announcer sends a notice over all of its links.
type Announcer interface {
	Announce(n wire.Notice)
}

// Targets holds, for each model, the target with the highest fencing token seen.
type Targets struct {
	store   Store
	daemons Announcer
	peers   Announcer
	newID   func() string
	random  *rand.Rand // used by Run only
	logger  *slog.Logger

	mu      sync.Mutex
	targets map[string]wire.Target
}

// New returns empty targets; Run keeps them up to date.
func New(s Store, daemons, peers Announcer, newID func() string, random *rand.Rand, logger *slog.Logger) *Targets {
	return &Targets{
		store: s, daemons: daemons, peers: peers, newID: newID, random: random, logger: logger,
		targets: make(map[string]wire.Target),
	}
}

// Version returns the weight version of the model's target, or 0 if no target is known.
func (t *Targets) Version(model string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.targets[model].Version
}

// All returns the targets sorted by model, for the first message on a link.
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

// Apply merges the targets of a notice and announces the newer ones to the daemons.
func (t *Targets) Apply(targets []wire.Target) {
	if newer := t.merge(targets); len(newer) > 0 {
		t.daemons.Announce(wire.Notice{Targets: newer})
	}
}

// merge stores the targets whose fencing token is higher than that of the known one, and returns them.
func (t *Targets) merge(targets []wire.Target) []wire.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	var newer []wire.Target
	for _, g := range targets {
		if g.Fence > t.targets[g.Model].Fence {
			t.targets[g.Model] = g
			newer = append(newer, g)
		}
	}
	return newer
}

// broadcast announces targets that are newer than the known ones to all daemons and entries.
func (t *Targets) broadcast(targets ...wire.Target) {
	newer := t.merge(targets)
	if len(newer) == 0 {
		return
	}
	n := wire.Notice{Targets: newer}
	t.daemons.Announce(n)
	t.peers.Announce(n)
}

// Publish makes version the target of the model. It returns nil if that version is the target already, and a conflict
// if it is lower than the target. Errors are *refusal.Error; ran unknown means that the version may be in force or have
// been.
func (t *Targets) Publish(ctx context.Context, model string, version int64) error {
	desired := wire.Weights{Model: model, Version: version, Writer: t.newID()}
	value, err := json.Marshal(desired)
	if err != nil {
		return eris.Wrap(err, "weights: encode")
	}
	o, err := t.store.Get(ctx, kind, model)
	var absent *store.NotFoundError
	if err != nil && !errors.As(err, &absent) {
		return storeRefusal(err, refusal.NotRun)
	}
	// Once a write is unanswered, the version may be in force for a while, or later.
	ran := refusal.NotRun
	for range maxAttempts {
		if o.Version != 0 {
			current, err := decode(o)
			if err != nil {
				return err
			}
			t.broadcast(wire.Target{Model: model, Version: current.Version, Fence: o.Version})
			if current.Version == version {
				return nil
			}
			if current.Version > version {
				return refusal.New(refusal.Conflict, ran, "weights: %s is at version %d already", model, current.Version)
			}
		}
		fence, err := t.put(ctx, model, value, o.Version)
		var conflict *store.ConflictError
		switch {
		case err == nil:
			t.broadcast(wire.Target{Model: model, Version: version, Fence: fence})
			return nil
		case errors.As(err, &conflict):
			o = conflict.Current()
		case ambiguous(err):
			ran = refusal.Unknown
			if o, err = t.readBack(ctx, model); err != nil {
				return storeRefusal(err, ran)
			}
		default:
			return storeRefusal(err, ran)
		}
	}
	return refusal.New(refusal.Busy, ran, "weights: %s is being changed by others", model).WithRetryAfter(time.Second)
}

func (t *Targets) put(ctx context.Context, model string, value []byte, version int64) (int64, error) {
	if version == 0 {
		return t.store.Create(ctx, kind, model, value)
	}
	return t.store.Update(ctx, kind, model, value, version)
}

// readBack reads the target after a write whose response was lost.
func (t *Targets) readBack(ctx context.Context, model string) (store.Object, error) {
	o, err := t.store.Get(ctx, kind, model)
	var none *store.NotFoundError
	if errors.As(err, &none) {
		return store.Object{}, nil
	}
	if err == nil {
		event.StoreReadBack.Log(t.logger, "object", kind+"/"+model)
	}
	return o, err
}

func ambiguous(err error) bool {
	var d *store.UnavailableError
	return errors.As(err, &d) && d.Ambiguous()
}

// storeRefusal converts a *store.UnavailableError to a refusal with the given proof of execution; other errors are returned as
// they are.
func storeRefusal(err error, ran refusal.Ran) error {
	var d *store.UnavailableError
	if errors.As(err, &d) {
		return refusal.New(refusal.StoreDown, ran, "weights: %v", err).WithRetryAfter(storeRetryAfter)
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

// Run keeps the targets in step with the store until ctx ends.
func (t *Targets) Run(ctx context.Context) error {
	after := int64(-1)
	pause := minBackoff
	for ctx.Err() == nil {
		next, err := t.sync(ctx, after)
		if err == nil {
			after, pause = next, minBackoff
			continue
		}
		sleep(ctx, pause/2+time.Duration(t.random.Int64N(int64(pause/2))))
		pause = min(2*pause, maxBackoff)
		// Changes made while the store did not answer may no longer be in its watch history, so all targets are listed
		// again.
		after = -1
	}
	return ctx.Err()
}

// sync lists all targets if after is negative, and otherwise watches for changes after that store version. It returns
// the store version reached.
func (t *Targets) sync(ctx context.Context, after int64) (int64, error) {
	if after >= 0 {
		l, err := t.store.Watch(ctx, kind, "", after, watchWait)
		if err != nil {
			return 0, err
		}
		t.applyObjects(l.Objects)
		return max(after, l.Version), nil
	}
	l, err := t.store.List(ctx, kind, "")
	if err != nil {
		return 0, err
	}
	for i := range l.Objects {
		o, err := t.store.Get(ctx, kind, l.Objects[i].Name)
		var none *store.NotFoundError
		if errors.As(err, &none) {
			continue
		}
		if err != nil {
			return 0, err
		}
		l.Objects[i].Value, l.Objects[i].Version = o.Value, o.Version
	}
	t.applyObjects(l.Objects)
	return l.Version, nil
}

// applyObjects merges targets read from the store. Every entry watches the store, so other entries are not notified.
func (t *Targets) applyObjects(objects []wire.Entry) {
	var targets []wire.Target
	for _, o := range objects {
		w, err := decode(store.Object{Value: o.Value})
		if o.Gone || err != nil {
			continue
		}
		targets = append(targets, wire.Target{Model: w.Model, Version: w.Version, Fence: o.Version})
	}
	t.Apply(targets)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
