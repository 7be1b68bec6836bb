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
	// settleOthers is that of the others. They watch the store too, since the reader may be cut off without knowing it;
	// a leaving server must get no new requests after a bound of two seconds and more.
	settleOthers = time.Second
	// waitReader bounds a watch of the entry that passes changes on: if the store loses the answer to it, the others wait
	// for the change as long. News must be everywhere within two seconds and more.
	waitReader = 1500 * time.Millisecond
	// waitOthers is that of the others, which learn of changes from the reader too.
	waitOthers = 25 * time.Second
	// silentReader is how long an entry relies on readers that it does not hear: they tell something after each of their
	// watches, and one message may be lost.
	silentReader = 2*(waitReader+settleReader) + 200*time.Millisecond
)

// Broadcaster reaches all other entries.
type Broadcaster interface {
	Handlers
	Linked() []string
	Tell(kind string, body any)
}

// Spread makes one entry pass the changes of a feed on to the others, so that these can watch the store less often. The
// reader also tells how far it is. An entry that misses something, since a message or the answer to its own watch was
// lost, watches again at once; one that hears no reader reads like one.
func Spread(f catalog.Feed, self string, b Broadcaster, now time.Time) catalog.Feed {
	s := &spreader{feed: f, self: self, peers: b, heard: now, renew: make(chan struct{}, 1)}
	s.silence = time.AfterFunc(silentReader, s.again)
	f.Replace, f.Apply, f.Heard, f.Settle, f.Wait, f.Renew = s.replace, s.apply, s.reached, s.settle, s.wait, s.renew
	b.Handle(s.kind(), s.told)
	return f
}

// spreader is one feed of one entry.
type spreader struct {
	feed  catalog.Feed // as it was without spreading
	self  string
	peers Broadcaster
	renew chan struct{}

	mu      sync.Mutex
	newest  int64 // revision of the newest change known
	seen    int64 // all changes up to this revision are known
	heard   time.Time
	silence *time.Timer // ends the reliance on readers
	hurry   bool        // the next watch is to show quickly how far the store is
	spoke   bool        // something was told since the last call of the store
}

func (s *spreader) kind() string { return link.News + " " + s.feed.Kind }

// reads reports whether this entry reads for others, or for itself since it hears no reader.
func (s *spreader) reads(now time.Time) bool {
	s.mu.Lock()
	silent := now.Sub(s.heard) >= silentReader
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

// replace takes a list. The changes that it stands for were not told.
func (s *spreader) replace(list []store.Record, revision int64, now time.Time) {
	s.feed.Replace(list, revision, now)
	records := make([]wire.StoreRecord, 0, len(list))
	for _, r := range list {
		s.know(r.Revision)
		records = append(records, ToWire(store.Change{Record: r}))
	}
	if s.reads(now) {
		s.tell(records)
	}
}

// apply takes a change that this entry has read itself.
func (s *spreader) apply(c store.Change, now time.Time) {
	s.feed.Apply(c, now)
	s.know(c.Revision)
	if s.reads(now) {
		s.tell([]wire.StoreRecord{ToWire(c)})
	}
}

func (s *spreader) tell(records []wire.StoreRecord) {
	s.mu.Lock()
	s.spoke = true
	newest := s.newest
	s.mu.Unlock()
	s.peers.Tell(s.kind(), wire.News{Kind: s.feed.Kind, Records: records, Newest: newest})
}

// reached notes that a call has brought everything up to a revision.
func (s *spreader) reached(revision int64, now time.Time) {
	s.mu.Lock()
	s.seen, s.hurry = max(s.seen, revision), false
	spoke := s.spoke
	s.spoke = false
	s.mu.Unlock()
	if !spoke && s.reads(now) {
		s.tell([]wire.StoreRecord{})
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
		return waitReader
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
	for _, w := range n.Records {
		c := FromWire(w)
		s.feed.Apply(c, now)
		s.know(c.Revision)
	}
	s.mu.Lock()
	s.heard = now
	s.silence.Reset(silentReader)
	behind := n.Newest > s.seen && !s.hurry
	s.mu.Unlock()
	if behind {
		s.again()
	}
	return "", nil, nil
}
