package place

import "time"

const (
	// remoteIntervalTTL is how long an event interval that another entry reported is used: entries report several times a
	// second, and a transient slowdown ends within about a second. Intervals observed by this entry are preferred to
	// reported ones, and reported to others, up to the same age.
	remoteIntervalTTL = 300 * time.Millisecond
	// minReportedTokens is the number of waiting prompt tokens from which an engine is reported; fewer take a few milliseconds.
	minReportedTokens = 1000
	// remoteCountTTL is how long the requests of another entry count after its last report; it may have lost its link.
	remoteCountTTL = 3 * time.Second
)

// Load is the load of engines as one entry knows it, by engine id.
type Load struct {
	Counts    map[string]int           // requests in flight
	Intervals map[string]time.Duration // current time between two events
	Waiting   map[string]int           // prompt tokens that wait; engines with few are omitted
}

// remoteLoad is the load that another entry reported last.
type remoteLoad struct {
	load       Load
	receivedAt time.Time
	waits      bool // its waiting prompts are in the sums
}

// WorkStarted returns a channel that is signalled when work starts at an engine.
func (t *Tracker) WorkStarted() <-chan struct{} { return t.workStarted }

// Load returns what this process has in flight at engines, their current event intervals and the prompts that wait there.
// Requests that state the sizes of their prompts are counted as long as long prompts wait somewhere.
func (t *Tracker) Load(now time.Time) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := Load{Counts: make(map[string]int), Intervals: make(map[string]time.Duration), Waiting: make(map[string]int)}
	lagging := t.lagging(now)
	for id, s := range t.state {
		if s.inflight == 0 {
			continue
		}
		if n := t.prompts.Waiting(id); n >= minReportedTokens {
			l.Waiting[id] = n
		}
		if !s.engine {
			continue
		}
		l.Counts[id] = s.inflight
		if s.intervals.current > 0 && now.Sub(s.intervals.updated) < remoteIntervalTTL && !lagging {
			l.Intervals[id] = s.intervals.current
		}
	}
	if len(l.Waiting) == 0 {
		return l
	}
	for id, s := range t.state {
		if s.inflight > 0 && t.prompts.Active(id) {
			l.Counts[id] = s.inflight
		}
	}
	return l
}

// SetRemoteLoad replaces the load that another entry reported last.
func (t *Tracker) SetRemoteLoad(entry string, l Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeRemote(entry)
	t.remote[entry] = remoteLoad{load: l, receivedAt: now, waits: true}
	t.addRemote(l.Counts, l.Waiting, 1)
	t.remoteExpires = now
	t.expireRemote(now)
}

// remoteSum is the load of an engine by all other entries.
type remoteSum struct {
	requests int
	waiting  int // prompt tokens
}

// addRemote adds the requests and waiting prompts of a load, times sign, to the sums.
func (t *Tracker) addRemote(requests, waiting map[string]int, sign int) {
	add := func(id string, o remoteSum) {
		sum := t.remoteSums[id]
		sum.requests += sign * o.requests
		sum.waiting += sign * o.waiting
		if sum == (remoteSum{}) {
			delete(t.remoteSums, id)
			return
		}
		t.remoteSums[id] = sum
	}
	for id, n := range requests {
		add(id, remoteSum{requests: n})
	}
	for id, n := range waiting {
		add(id, remoteSum{waiting: n})
	}
}

// expireRemote removes what other entries reported too long ago.
func (t *Tracker) expireRemote(now time.Time) {
	if now.Before(t.remoteExpires) {
		return
	}
	t.remoteExpires = now.Add(remoteCountTTL)
	for name, o := range t.remote {
		if now.Sub(o.receivedAt) > remoteCountTTL {
			t.removeRemote(name)
			continue
		}
		expires := o.receivedAt.Add(remoteCountTTL + 1)
		if o.waits {
			if expires = o.receivedAt.Add(remoteIntervalTTL); !now.Before(expires) {
				t.addRemote(nil, o.load.Waiting, -1)
				o.waits = false
				t.remote[name] = o
				expires = o.receivedAt.Add(remoteCountTTL + 1)
			}
		}
		if expires.Before(t.remoteExpires) {
			t.remoteExpires = expires
		}
	}
}

// removeRemote removes the report of an entry.
func (t *Tracker) removeRemote(name string) {
	o := t.remote[name]
	t.addRemote(o.load.Counts, nil, -1)
	if o.waits {
		t.addRemote(nil, o.load.Waiting, -1)
	}
	delete(t.remote, name)
}

// remoteAt returns the load of an engine by all other entries.
func (t *Tracker) remoteAt(id string, now time.Time) remoteSum {
	t.expireRemote(now)
	return t.remoteSums[id]
}

// requestCount holds the load of the server that a choice looks at, which it needs several times.
type requestCount struct {
	id       string
	requests int // of all entries
	waiting  int // prompt tokens of other entries
}

// cacheRequestCount counts the requests at a server, unless the need does not depend on them, until dropRequestCount is called.
func (t *Tracker) cacheRequestCount(id string, n Need, now time.Time) {
	t.dropRequestCount()
	if n.RequireSlot || n.RemainingEvents > 0 || n.Ticket != nil {
		t.counted = t.countRequests(id, now)
	}
}

func (t *Tracker) dropRequestCount() { t.counted = requestCount{} }

// countRequests returns the load of a server.
func (t *Tracker) countRequests(id string, now time.Time) requestCount {
	if t.counted.id == id && id != "" {
		return t.counted
	}
	remote := t.remoteAt(id, now)
	c := requestCount{id: id, requests: remote.requests, waiting: remote.waiting}
	if s := t.state[id]; s != nil {
		c.requests += s.inflight
	}
	return c
}

// inflight returns the number of requests at a server, including those of other entries.
func (t *Tracker) inflight(id string, now time.Time) int { return t.countRequests(id, now).requests }

// remoteInterval returns the longest event interval that other entries report for an engine, 0 if none does.
func (t *Tracker) remoteInterval(id string, now time.Time) time.Duration {
	var longest time.Duration
	for _, o := range t.remote {
		if now.Sub(o.receivedAt) < remoteIntervalTTL {
			longest = max(longest, o.load.Intervals[id])
		}
	}
	return longest
}
