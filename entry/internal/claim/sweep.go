package claim

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/oklog/ulid/v2"
	"golang.org/x/time/rate"

	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

const (
	// Keep is how long a claim is kept. A repeat that comes later runs again.
	Keep = 24 * time.Hour
	// sweepEvery is the mean pause between two sweeps of one entry.
	sweepEvery = time.Hour
	// deleteRate bounds the deletions a second, since the store takes only several hundred writes a second in all.
	deleteRate = 10
)

// Swept is the part of the object store that a sweep uses.
type Swept interface {
	List(ctx context.Context, kind, prefix string) (wire.Listing, error)
	Get(ctx context.Context, kind, name string) (store.Object, error)
	Delete(ctx context.Context, kind, name string, version int64) error
}

// Random is a source of numbers from 0 to 1.
type Random interface {
	Float64() float64
}

// Sweeper deletes old claims. Every entry runs one, at times of its own.
type Sweeper struct {
	store  Swept
	random Random
	limit  *rate.Limiter
}

// NewSweeper returns a sweeper.
func NewSweeper(s Swept, random Random) *Sweeper {
	return &Sweeper{store: s, random: random, limit: rate.NewLimiter(deleteRate, 1)}
}

// Serve sweeps until ctx ends. A sweep that fails is left to the next one.
func (s *Sweeper) Serve(ctx context.Context) error {
	for {
		t := time.NewTimer(time.Duration((0.5 + s.random.Float64()) * float64(sweepEvery)))
		select {
		case <-t.C:
			_, _ = s.Sweep(ctx, time.Now())
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		}
	}
}

// Sweep deletes the claims that are older than Keep at the given time and returns their number. Its errors are those
// of the store.
func (s *Sweeper) Sweep(ctx context.Context, now time.Time) (int, error) {
	l, err := s.store.List(ctx, Kind, "")
	if err != nil {
		return 0, err
	}
	// Versions increase over the whole store, so the claims are in order of their last write, and a few reads find the
	// first one that is young enough.
	slices.SortFunc(l.Objects, func(a, b wire.Entry) int { return int(a.Version - b.Version) })
	first, last := 0, len(l.Objects)
	for first < last {
		middle := (first + last) / 2
		old, err := s.old(ctx, now, l.Objects[middle].Name)
		if err != nil {
			return 0, err
		}
		if old {
			first = middle + 1
		} else {
			last = middle
		}
	}
	deleted := 0
	for _, o := range l.Objects[:first] {
		if err := s.limit.Wait(ctx); err != nil {
			return deleted, err
		}
		var down *store.DownError
		err := s.store.Delete(ctx, Kind, o.Name, o.Version)
		if errors.As(err, &down) {
			return deleted, err
		}
		if err == nil {
			deleted++
		}
	}
	return deleted, nil
}

// old reports whether a claim is older than Keep, by the time in its writer's identifier.
func (s *Sweeper) old(ctx context.Context, now time.Time, name string) (bool, error) {
	o, err := s.store.Get(ctx, Kind, name)
	var absent *store.AbsentError
	if errors.As(err, &absent) {
		// Only claims that are old enough are deleted.
		return true, nil
	}
	if err != nil {
		return false, err
	}
	var k wire.Claim
	if err := json.Unmarshal(o.Value, &k); err != nil {
		return false, err
	}
	id, err := ulid.Parse(k.Writer)
	if err != nil {
		return false, err
	}
	return now.Sub(ulid.Time(id.Time())) > Keep, nil
}
