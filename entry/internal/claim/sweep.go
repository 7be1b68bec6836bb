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
	// Retention is how long a claim is kept. A repeat after that runs the call again.
	Retention = 24 * time.Hour
	// sweepInterval is the mean interval between two sweeps by one entry.
	sweepInterval = time.Hour
	// deletesPerSecond limits deletions because the store accepts only a few hundred writes per second in total.
	deletesPerSecond = 10
)

// SweepStore is the part of the object store that a sweep uses.
type SweepStore interface {
	List(ctx context.Context, kind, prefix string) (wire.Listing, error)
	Get(ctx context.Context, kind, name string) (store.Object, error)
	Delete(ctx context.Context, kind, name string, version int64) error
}

// Random is a source of random numbers in [0, 1).
type Random interface {
	Float64() float64
}

// Sweeper deletes expired claims. Every entry runs one, with a random interval between sweeps.
type Sweeper struct {
	store   SweepStore
	random  Random
	limiter *rate.Limiter
}

// NewSweeper returns a Sweeper. The random source spreads the sweeps of several entries over time.
func NewSweeper(s SweepStore, random Random) *Sweeper {
	return &Sweeper{store: s, random: random, limiter: rate.NewLimiter(deletesPerSecond, 1)}
}

// Serve sweeps periodically until ctx is done. Errors of a sweep are ignored because the next one tries again.
func (s *Sweeper) Serve(ctx context.Context) error {
	for {
		t := time.NewTimer(time.Duration((0.5 + s.random.Float64()) * float64(sweepInterval)))
		select {
		case <-t.C:
			_, _ = s.Sweep(ctx, time.Now())
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		}
	}
}

// Sweep deletes the claims that are older than Retention at the given time and returns how many it deleted. It returns
// errors of the store unchanged, and an error if a claim cannot be decoded or ctx ends.
func (s *Sweeper) Sweep(ctx context.Context, now time.Time) (int, error) {
	l, err := s.store.List(ctx, Kind, "")
	if err != nil {
		return 0, err
	}
	// Versions increase across the whole store, so sorting by version sorts claims by their last write, and a binary
	// search finds the first claim to keep with few reads.
	slices.SortFunc(l.Objects, func(a, b wire.Entry) int { return int(a.Version - b.Version) })
	first, last := 0, len(l.Objects)
	for first < last {
		middle := (first + last) / 2
		expired, err := s.expired(ctx, now, l.Objects[middle].Name)
		if err != nil {
			return 0, err
		}
		if expired {
			first = middle + 1
		} else {
			last = middle
		}
	}
	deleted := 0
	for _, o := range l.Objects[:first] {
		if err := s.limiter.Wait(ctx); err != nil {
			return deleted, err
		}
		var down *store.UnavailableError
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

// expired reports whether a claim is older than Retention, based on the timestamp in the ULID of its writer.
func (s *Sweeper) expired(ctx context.Context, now time.Time, name string) (bool, error) {
	o, err := s.store.Get(ctx, Kind, name)
	var absent *store.NotFoundError
	if errors.As(err, &absent) {
		// Claims are deleted only after they have expired.
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
	return now.Sub(ulid.Time(id.Time())) > Retention, nil
}
