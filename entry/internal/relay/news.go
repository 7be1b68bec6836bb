package relay

import (
	"context"
	"sync"
	"time"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/link"
	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

const (
	// settleReader is the pause between two watches of the entry that passes changes on to the others.
	settleReader = 150 * time.Millisecond
	// settleOthers is that of the others, unless they learn that they have missed something: a watch each costs more than
	// a message each.
	settleOthers = 10 * time.Second
	// waitOthers bounds their watches; the store allows 30 s.
	waitOthers = 25 * time.Second
	// silentShare is the part of the time in which news must be everywhere after which an entry that hears no reader
	// reads by itself. The rest is for its call.
	silentShare = 0.75
	// spareWait is what a reader's watch leaves of that time for its answer and the message.
	spareWait = 200 * time.Millisecond
	// leastWait is the shortest watch of a reader, whatever the bound.
	leastWait = 300 * time.Millisecond
	// usualBound is assumed for a deployment that sets no bound.
	usualBound = 2500 * time.Millisecond
)

// Broadcaster reaches all other entries.
type Broadcaster interface {
	Handlers
	Linked() []string
	Tell(kind string, body any)
}

// Spread makes one entry pass the changes of a feed on to the others within a bound, so that these need not watch the
// store. The reader tells something after each of its calls, also if there is no news. An entry that misses something,
// since a message was lost, watches at once; one that hears no reader reads like one.
//
// It answers a load in which each change would otherwise cost one call for each entry.
func Spread(f catalog.Feed, self string, bound time.Duration, b Broadcaster, now time.Time) catalog.Feed {
	if bound <= 0 {
		bound = usualBound
	}
	silent := time.Duration(silentShare * float64(bound))
	s := &spreader{
		feed: f, self: self, peers: b, heard: now, renew: make(chan struct{}, 1), silent: silent,
		short: max(silent-settleReader-spareWait, leastWait),
	}
	s.silence = time.AfterFunc(silent, s.again)
	f.Replace, f.Apply, f.Heard, f.Failed, f.Restored = s.replace, s.apply, s.reached, s.failed, s.restored
	f.Settle, f.Wait, f.Renew = s.settle, s.wait, s.renew
	b.Handle(s.kind(), s.told)
	return f
}

// spreader is one feed of one entry.
type spreader struct {
	feed   catalog.Feed // as it was without spreading
	self   string
	peers  Broadcaster
	renew  chan struct{}
	silent time.Duration // after which a reader is not relied on
	short  time.Duration // longest watch of a reader

	// Used by the task that reads the store only.
	changes []wire.StoreRecord // not told yet
	before  int64              // newest change that was told
	back    bool               // the store answers again, which is not told yet

	mu      sync.Mutex
	newest  int64 // revision of the newest change known
	seen    int64 // all changes up to this revision are known
	heard   time.Time
	read    bool        // the reader heard last has had an answer of the store
	silence *time.Timer // ends the reliance on readers
	hurry   bool        // the next watch is to show quickly how far the store is
}

func (s *spreader) kind() string { return link.News + " " + s.feed.Kind }

// reads reports whether this entry reads for others, or for itself since it hears no reader.
func (s *spreader) reads(now time.Time) bool {
	s.mu.Lock()
	silent := now.Sub(s.heard) >= s.silent
	s.mu.Unlock()
	if silent {
		return true
	}
	for _, name := range s.peers.Linked() {
		if name < s.self {
			return false
		}
	}
	return true
}

// know notes that a change is known.
func (s *spreader) know(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newest, s.seen = max(s.newest, revision), max(s.seen, revision)
}

// replace takes a list. What it stands for was not told, and objects that are gone do not show in it.
func (s *spreader) replace(list []store.Record, revision int64, now time.Time) {
	s.feed.Replace(list, revision, now)
	for _, r := range list {
		s.know(r.Revision)
		s.changes = append(s.changes, ToWire(store.Change{Record: r}))
	}
	s.before = revision
}

// restored notes that the store answers this entry again. That is no end of an outage of the store if a reader has had
// answers all the while: only the calls of this entry have failed.
func (s *spreader) restored(now time.Time) {
	s.mu.Lock()
	own := s.read && now.Sub(s.heard) < s.silent
	s.mu.Unlock()
	if own || s.feed.Restored == nil {
		return
	}
	s.back = true
	s.feed.Restored(now)
}

// apply takes a change that this entry has read itself.
func (s *spreader) apply(c store.Change, now time.Time) {
	s.feed.Apply(c, now)
	s.know(c.Revision)
	s.changes = append(s.changes, ToWire(c))
}

// reached notes that a call has brought everything up to a revision, and tells the others if it is for them.
func (s *spreader) reached(revision int64, now time.Time) {
	s.mu.Lock()
	s.seen, s.hurry = max(s.seen, revision), false
	newest := s.newest
	s.mu.Unlock()
	n := wire.News{Kind: s.feed.Kind, Records: s.changes, Prev: s.before, Back: s.back}
	if len(n.Records) == 0 {
		n.Records, n.Prev = []wire.StoreRecord{}, newest
	}
	s.changes, s.before, s.back = nil, newest, false
	if s.reads(now) {
		s.peers.Tell(s.kind(), n)
	}
}

// failed tells the others that this entry goes on trying, so that they need not try too: its calls have gone through other
// entries before they count as failed.
func (s *spreader) failed(now time.Time) {
	if s.reads(now) {
		s.peers.Tell(s.kind(), wire.News{Kind: s.feed.Kind, Records: []wire.StoreRecord{}})
	}
}

func (s *spreader) settle() time.Duration {
	if s.reads(time.Now()) {
		return settleReader
	}
	return settleOthers
}

func (s *spreader) wait() time.Duration {
	s.mu.Lock()
	hurry := s.hurry
	s.mu.Unlock()
	if hurry || s.reads(time.Now()) {
		return s.short
	}
	return waitOthers
}

// again makes this entry give up its present watch for a new one.
func (s *spreader) again() {
	s.mu.Lock()
	s.hurry = true
	s.mu.Unlock()
	select {
	case s.renew <- struct{}{}:
	default: // it is being done
	}
}

// told takes what a reader tells.
func (s *spreader) told(_ context.Context, m link.Frame) (string, any, error) {
	var n wire.News
	if err := m.Decode(&n); err != nil {
		return "", nil, err
	}
	if n.Kind != s.feed.Kind {
		return "", nil, nil
	}
	now := time.Now()
	s.mu.Lock()
	behind := n.Prev > s.seen && !s.hurry
	s.read = n.Prev > 0 || len(n.Records) > 0
	s.mu.Unlock()
	if n.Back && s.feed.Restored != nil {
		s.feed.Restored(now)
	}
	for _, w := range n.Records {
		c := FromWire(w)
		s.feed.Apply(c, now)
		s.know(c.Revision)
	}
	s.mu.Lock()
	s.heard = now
	s.silence.Reset(s.silent)
	s.mu.Unlock()
	if behind {
		s.again()
	}
	return "", nil, nil
}
