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
	for name, o := range t.remote {
		if now.Sub(o.receivedAt) > remoteCountTTL {
			delete(t.remote, name)
		}
	}
	t.remote[entry] = remoteLoad{load: l, receivedAt: now}
	if len(l.Waiting) > 0 {
		t.remoteWaits = now
	}
}

// countedServer holds the number of requests at the server that a choice looks at, which it needs several times.
type countedServer struct {
	id       string
	requests int
}

// count counts the requests at a server, unless the need does not depend on them, until forgetCount is called.
func (t *Tracker) count(id string, n Need, now time.Time) {
	t.forgetCount()
	if n.RequireSlot || n.RemainingEvents > 0 || n.Ticket != nil {
		t.counted = countedServer{id: id, requests: t.inflight(id, now)}
	}
}

func (t *Tracker) forgetCount() { t.counted = countedServer{} }

// inflight returns the number of requests at a server, including those of other entries.
func (t *Tracker) inflight(id string, now time.Time) int {
	if t.counted.id == id && id != "" {
		return t.counted.requests
	}
	n := 0
	if s := t.state[id]; s != nil {
		n = s.inflight
	}
	for _, o := range t.remote {
		if now.Sub(o.receivedAt) <= remoteCountTTL {
			n += o.load.Counts[id]
		}
	}
	return n
}

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

// remoteWaiting returns the prompt tokens of other entries that wait at an engine.
func (t *Tracker) remoteWaiting(id string, now time.Time) int {
	if now.Sub(t.remoteWaits) >= remoteIntervalTTL {
		return 0
	}
	n := 0
	for _, o := range t.remote {
		if now.Sub(o.receivedAt) < remoteIntervalTTL {
			n += o.load.Waiting[id]
		}
	}
	return n
}
