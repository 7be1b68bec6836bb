// Package occupancy tells the other entries what this one has in flight at the engines, and how fast it sees them.
//
// # Usage
//
//	s := occupancy.New("front-1", tracker, peers)
//	s.Register()
//	err := s.Run(ctx)
//
// It answers a load in which several entries send items to the same engines: each knows its own requests only, so that
// together they send more than an engine runs at once, and the items wait there while other engines have free slots. An
// entry that runs no items tells nothing.
package occupancy

import (
	"context"
	"time"

	"bulrushspoke/entry/internal/place"
	"bulrushspoke/internal/link"
	"bulrushspoke/wire"
)

const (
	// tellEvery is the time between two messages while items run: far less than an item takes, and about as long as it
	// takes to see that an engine is disturbed.
	tellEvery = 100 * time.Millisecond
	// tellSoon is the least time from new work at engines to a message: the items of a step begin together, and those of
	// other entries often at the same moment.
	tellSoon = 5 * time.Millisecond
	// tellLeast is the least time between two messages.
	tellLeast = 50 * time.Millisecond
)

// Tracker knows what is in flight.
type Tracker interface {
	Busy() <-chan struct{} // receives when work begins at an engine
	Load(now time.Time) place.Load
	Told(entry string, l place.Load, now time.Time)
}

// Peers reaches the other entries.
type Peers interface {
	Tell(kind string, body any)
	Handle(kind string, f func(context.Context, link.Frame) (string, any, error))
}

// Sharer tells the other entries.
type Sharer struct {
	name    string
	tracker Tracker
	peers   Peers
}

// New returns the Sharer of the entry with the given name.
func New(name string, t Tracker, p Peers) *Sharer { return &Sharer{name: name, tracker: t, peers: p} }

// Register takes what other entries tell. It must be called before the peers are served.
func (s *Sharer) Register() {
	s.peers.Handle(link.Taken, func(_ context.Context, f link.Frame) (string, any, error) {
		var o wire.Occupancy
		if err := f.Decode(&o); err != nil {
			return "", nil, err
		}
		l := place.Load{Counts: o.Counts, Paces: make(map[string]time.Duration, len(o.Paces))}
		for id, p := range o.Paces {
			l.Paces[id] = time.Duration(p) * time.Microsecond
		}
		s.tracker.Told(o.Entry, l, time.Now())
		return "", nil, nil
	})
}

// Run tells the others until ctx ends. While nothing is in flight it sleeps.
func (s *Sharer) Run(ctx context.Context) error {
	for {
		select {
		case <-s.tracker.Busy():
			s.follow(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// follow tells the others until nothing is in flight any more, which it tells as well.
func (s *Sharer) follow(ctx context.Context) {
	next := time.NewTimer(tellSoon)
	defer next.Stop()
	var told time.Time
	for {
		select {
		case now := <-next.C:
			if !s.tell(now) {
				return
			}
			told = now
			next.Reset(tellEvery)
		case <-s.tracker.Busy():
			next.Reset(max(tellLeast-time.Since(told), tellSoon))
		case <-ctx.Done():
			return
		}
	}
}

// tell sends what is in flight; false if that is nothing.
func (s *Sharer) tell(now time.Time) bool {
	l := s.tracker.Load(now)
	o := wire.Occupancy{Entry: s.name, Counts: l.Counts, Paces: make(map[string]int, len(l.Paces))}
	for id, p := range l.Paces {
		o.Paces[id] = int(p.Microseconds())
	}
	s.peers.Tell(link.Taken, o)
	return len(l.Counts) > 0
}
