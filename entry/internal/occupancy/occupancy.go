// Package occupancy publishes to the other entries how many requests this entry has in flight at each engine, and the pace
// of each engine as seen by this entry, and the prompt tokens that wait there.
//
// # Usage
//
//	s := occupancy.New("front-1", tracker, peers)
//	s.Register()
//	err := s.Run(ctx)
//
// Entries that send items to the same engines know only their own requests. Without this exchange they together send more
// than an engine runs at once, and items queue there while other engines have free slots. An entry with nothing in flight
// sends nothing. The pace of an engine is sent as the time between two events, in microseconds.
package occupancy

import (
	"context"
	"time"

	"bulrushspoke/entry/internal/place"
	"bulrushspoke/internal/link"
	"bulrushspoke/wire"
)

const (
	// publishInterval is the interval between messages while requests are in flight. It is far shorter than an item takes, and
	// about as long as it takes to detect that an engine is disturbed.
	publishInterval = 100 * time.Millisecond
	// publishDelay is the minimum delay from the start of new work at engines to a message. The items of a step start
	// together, and often at the same time as those of other entries.
	publishDelay       = 5 * time.Millisecond
	minPublishInterval = 50 * time.Millisecond
)

// Tracker tracks the requests in flight.
type Tracker interface {
	WorkStarted() <-chan struct{} // receives when work starts at an engine
	Load(now time.Time) place.Load
	SetRemoteLoad(entry string, l place.Load, now time.Time)
}

// Peers exchanges messages with the other entries.
type Peers interface {
	Broadcast(kind string, body any)
	Handle(kind string, f func(context.Context, link.Frame) (string, any, error))
}

// Sharer publishes the occupancy of one entry and receives that of the others.
type Sharer struct {
	name    string
	tracker Tracker
	peers   Peers
}

// New returns a Sharer for the entry with the given name.
func New(name string, t Tracker, p Peers) *Sharer { return &Sharer{name: name, tracker: t, peers: p} }

// Register registers the handler for messages of other entries. It must be called before the peers are served.
func (s *Sharer) Register() {
	s.peers.Handle(link.Taken, func(_ context.Context, f link.Frame) (string, any, error) {
		var o wire.Occupancy
		if err := f.Decode(&o); err != nil {
			return "", nil, err
		}
		l := place.Load{Counts: o.Counts, Intervals: make(map[string]time.Duration, len(o.Paces)), Waiting: o.Waiting}
		for id, pace := range o.Paces {
			l.Intervals[id] = time.Duration(pace) * time.Microsecond
		}
		s.tracker.SetRemoteLoad(o.Entry, l, time.Now())
		return "", nil, nil
	})
}

// Run publishes until ctx is done and returns the error of ctx. It is idle while nothing is in flight.
func (s *Sharer) Run(ctx context.Context) error {
	for {
		select {
		case <-s.tracker.WorkStarted():
			s.publishWhileBusy(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// publishWhileBusy publishes until nothing is in flight. The last message reports that.
func (s *Sharer) publishWhileBusy(ctx context.Context) {
	timer := time.NewTimer(publishDelay)
	defer timer.Stop()
	var last time.Time
	for {
		select {
		case now := <-timer.C:
			if !s.publish(now) {
				return
			}
			last = now
			timer.Reset(publishInterval)
		case <-s.tracker.WorkStarted():
			timer.Reset(max(minPublishInterval-time.Since(last), publishDelay))
		case <-ctx.Done():
			return
		}
	}
}

// publish sends the current occupancy and reports whether anything is in flight.
func (s *Sharer) publish(now time.Time) bool {
	l := s.tracker.Load(now)
	o := wire.Occupancy{Entry: s.name, Counts: l.Counts, Paces: make(map[string]int, len(l.Intervals)), Waiting: l.Waiting}
	for id, pace := range l.Intervals {
		o.Paces[id] = int(pace.Microseconds())
	}
	s.peers.Broadcast(link.Taken, o)
	return len(l.Counts) > 0
}
