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
	// leaderPause is the pause between two watches of the leader.
	leaderPause = 150 * time.Millisecond
	// followerPause is the pause between two watches of a follower that has missed nothing. It is long because a watch by
	// each follower costs more than a message to each.
	followerPause = 10 * time.Second
	// followerWatchWait is the wait of a follower's watch; the store allows at most 30 s.
	followerWatchWait = 25 * time.Second
	// leaderTimeoutShare is the fraction of the maximum propagation delay after which a follower that receives nothing from
	// a leader watches the store like one. The rest of the delay is left for its own call.
	leaderTimeoutShare = 0.75
	// deliveryReserve is the part of the leader timeout that a leader's watch leaves for the store's response and the
	// message to the followers.
	deliveryReserve = 200 * time.Millisecond
	// minLeaderWatchWait is the minimum wait of a leader's watch, whatever the maximum propagation delay.
	minLeaderWatchWait = 300 * time.Millisecond
	// deputyDelay is the time after which the next entry in line watches the store as well while the leader gets no response.
	// With a call of each entry at once, an outage of the store would cost as many calls as there are entries.
	deputyDelay = 500 * time.Millisecond
	// deputyRetryPause is the pause of such an entry after a call that failed, too.
	deputyRetryPause = 2 * time.Second
	// failedCall stands for the previous revision in a message that says that a call has failed.
	failedCall = -1
	// defaultMaxDelay is the maximum propagation delay of deployments that do not set one.
	defaultMaxDelay = 2500 * time.Millisecond
)

// Broadcaster sends messages to all other entries and receives theirs.
type Broadcaster interface {
	Handlers
	Connected() []string
	Broadcast(kind string, body any)
}

// ShareFeed returns a copy of f in which one entry, the leader, watches the store and sends the changes to all others within
// maxDelay. Otherwise each change would cost one store call per entry. The leader is the connected entry whose name sorts
// first; entries that are not connected to each other may both lead.
//
// The leader sends a message after each of its calls, even if nothing has changed. A follower that finds from a message
// that it has missed a change watches the store at once. A follower that receives no messages watches the store as often
// as a leader. If the messages say that the leader gets no response, the followers try one after the other, in the order of
// their names, and the first one that succeeds leads until the leader gets responses again. A maxDelay of 0 stands for
// 2.5 s.
func ShareFeed(f catalog.Feed, self string, maxDelay time.Duration, b Broadcaster, now time.Time) catalog.Feed {
	if maxDelay <= 0 {
		maxDelay = defaultMaxDelay
	}
	leaderTimeout := time.Duration(leaderTimeoutShare * float64(maxDelay))
	s := &sharedFeed{
		feed: f, self: self, peers: b, leaderHeardAt: now, leaderReadAt: now, renew: make(chan struct{}, 1), leaderTimeout: leaderTimeout,
		leaderWatchWait: max(leaderTimeout-leaderPause-deliveryReserve, minLeaderWatchWait),
	}
	s.leaderTimer = time.AfterFunc(leaderTimeout, s.renewWatch)
	f.Replace, f.Apply, f.OnSuccess, f.OnFailure, f.OnRestored = s.replace, s.apply, s.caughtUp, s.failed, s.restored
	f.Interval, f.Wait, f.Renew = s.pause, s.wait, s.renew
	b.Handle(s.kind(), s.receive)
	return f
}

// sharedFeed is the state of one shared feed at one entry.
type sharedFeed struct {
	feed            catalog.Feed // the original feed
	self            string
	peers           Broadcaster
	renew           chan struct{}
	leaderTimeout   time.Duration // how long a leader may send nothing before this entry stops relying on it
	leaderWatchWait time.Duration // wait of a leader's watch

	// The next three fields are used only by the goroutine that follows the feed.
	unsent         []wire.StoreRecord // changes not sent to the followers yet
	previous       int64              // revision of the newest change before the unsent ones
	restoredUnsent bool               // the store has become available again, and the followers have not been told

	mu            sync.Mutex
	newestChange  int64 // revision of the newest known change
	completeTo    int64 // revision up to which all changes are known
	missedTo      int64 // newest revision that messages have shown to be missing since the last call; 0 if none
	leaderHeardAt time.Time
	leaderReadAt  time.Time   // when a leader last sent that it had a response from the store
	leaderStoreUp bool        // the last leader to send a message had a response from the store
	readAt        time.Time   // when this entry last got a response from the store
	failing       bool        // the last call of this entry failed
	leaderTimer   *time.Timer // renews the watch when the leader times out
	shortWatch    bool        // the next watch must be short, to learn the current revision of the store soon
}

func (s *sharedFeed) kind() string { return link.News + " " + s.feed.Kind }

// isLeader reports whether this entry watches the store as a leader, because its name sorts before those of all connected
// entries, because it has received nothing from a leader within the timeout, or because those before it get no response.
func (s *sharedFeed) isLeader(now time.Time) bool {
	rank := s.rank()
	s.mu.Lock()
	defer s.mu.Unlock()
	return rank == 0 || now.Sub(s.leaderHeardAt) >= s.leaderTimeout || !now.Before(s.deputyTime(rank))
}

// rank returns the number of connected entries whose names sort before that of this one.
func (s *sharedFeed) rank() int {
	n := 0
	for _, name := range s.peers.Connected() {
		if name < s.self {
			n++
		}
	}
	return n
}

// deputyTime returns when an entry of the given rank watches the store as a leader unless it hears of a response until
// then; the caller holds mu.
func (s *sharedFeed) deputyTime(rank int) time.Time {
	return s.leaderReadAt.Add(s.leaderTimeout + time.Duration(max(rank-1, 0))*deputyDelay)
}

// recordChange records that the change with the given revision is known.
func (s *sharedFeed) recordChange(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newestChange, s.completeTo = max(s.newestChange, revision), max(s.completeTo, revision)
}

// replace handles a full list. Its objects are sent to the followers as changes, but deleted objects do not appear in it.
// The previous revision is therefore set to that of the list, which makes followers that are behind watch the store
// themselves.
func (s *sharedFeed) replace(list []store.Record, revision int64, now time.Time) {
	s.feed.Replace(list, revision, now)
	for _, r := range list {
		s.recordChange(r.Revision)
		s.unsent = append(s.unsent, ToWire(store.Change{Record: r}))
	}
	s.previous = revision
}

// restored handles the end of an outage as seen by this entry. It is ignored if a leader has had responses from the store
// in the meantime, because then only the calls of this entry failed.
func (s *sharedFeed) restored(now time.Time) {
	s.mu.Lock()
	localFailure := s.leaderStoreUp && now.Sub(s.leaderHeardAt) < s.leaderTimeout
	s.mu.Unlock()
	if localFailure || s.feed.OnRestored == nil {
		return
	}
	s.restoredUnsent = true
	s.feed.OnRestored(now)
}

// apply handles a change that this entry has read from the store.
func (s *sharedFeed) apply(c store.Change, now time.Time) {
	s.feed.Apply(c, now)
	s.recordChange(c.Revision)
	s.unsent = append(s.unsent, ToWire(c))
}

// caughtUp records that all changes up to a revision are known. A leader sends the unsent changes to the followers.
func (s *sharedFeed) caughtUp(revision int64, now time.Time) {
	s.mu.Lock()
	// A call that was answered before a missed change does not count; the next one begins after it.
	behind := revision < s.missedTo
	s.completeTo, s.shortWatch, s.missedTo = max(s.completeTo, revision), false, 0
	s.readAt, s.failing = now, false
	newestChange := s.newestChange
	s.mu.Unlock()
	if behind {
		s.renewWatch()
	}
	n := wire.News{Kind: s.feed.Kind, Records: s.unsent, Prev: s.previous, Back: s.restoredUnsent}
	if len(n.Records) == 0 {
		n.Records, n.Prev = []wire.StoreRecord{}, newestChange
	}
	s.unsent, s.previous, s.restoredUnsent = nil, newestChange, false
	if s.isLeader(now) {
		s.peers.Broadcast(s.kind(), n)
	}
}

// failed handles a failed call. A leader tells the followers that it keeps trying, so that they need not try as well: a
// call counts as failed only after it has also been tried through other entries.
func (s *sharedFeed) failed(now time.Time) {
	s.mu.Lock()
	s.failing = true
	silent := now.Sub(s.leaderHeardAt) >= s.leaderTimeout
	s.mu.Unlock()
	if silent || s.rank() == 0 {
		s.peers.Broadcast(s.kind(), wire.News{Kind: s.feed.Kind, Prev: failedCall, Records: []wire.StoreRecord{}})
	}
}

// pause returns the pause after a call. A follower whose call for a missed change has failed repeats it like a leader. One
// that calls because the leader gets no response goes on like a leader if it got one itself.
func (s *sharedFeed) pause() time.Duration {
	now := time.Now()
	rank := s.rank()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.missedTo > 0, rank == 0, now.Sub(s.leaderHeardAt) >= s.leaderTimeout:
		return leaderPause
	case now.Before(s.deputyTime(rank)):
		return followerPause
	case s.failing:
		return deputyRetryPause
	case now.Sub(s.readAt) < s.leaderTimeout:
		return leaderPause
	default:
		return followerPause
	}
}

func (s *sharedFeed) wait() time.Duration {
	s.mu.Lock()
	shortWatch := s.shortWatch
	s.mu.Unlock()
	if shortWatch || s.isLeader(time.Now()) {
		return s.leaderWatchWait
	}
	return followerWatchWait
}

// renewWatch makes this entry replace its current watch with a new, short one.
func (s *sharedFeed) renewWatch() {
	s.mu.Lock()
	s.shortWatch = true
	s.mu.Unlock()
	select {
	case s.renew <- struct{}{}:
	default: // a renewal is already pending
	}
}

// receive handles a message from a leader.
func (s *sharedFeed) receive(_ context.Context, m link.Frame) (string, any, error) {
	var n wire.News
	if err := m.Decode(&n); err != nil {
		return "", nil, err
	}
	if n.Kind != s.feed.Kind {
		return "", nil, nil
	}
	now := time.Now()
	s.mu.Lock()
	missed := n.Prev > s.completeTo
	if missed {
		s.missedTo = max(s.missedTo, n.Prev)
	}
	renew := missed && !s.shortWatch
	s.leaderStoreUp = n.Prev != failedCall
	s.mu.Unlock()
	if n.Back && s.feed.OnRestored != nil {
		s.feed.OnRestored(now)
	}
	for _, w := range n.Records {
		c := FromWire(w)
		s.feed.Apply(c, now)
		s.recordChange(c.Revision)
	}
	rank := s.rank()
	s.mu.Lock()
	s.leaderHeardAt = now
	if s.leaderStoreUp {
		s.leaderReadAt = now
		s.leaderTimer.Reset(s.leaderTimeout)
	} else if until := s.deputyTime(rank).Sub(now); until > 0 {
		s.leaderTimer.Reset(until)
	}
	s.mu.Unlock()
	if renew {
		s.renewWatch()
	}
	return "", nil, nil
}
