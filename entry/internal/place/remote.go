package place

import "time"

const (
	// remoteIntervalTTL is how long an event interval that another entry reported is used: entries report several times a
	// second, and a transient slowdown ends within about a second. Intervals observed by this entry are preferred to
	// reported ones, and reported to others, up to the same age.
	remoteIntervalTTL = 300 * time.Millisecond
	// remoteCountTTL is how long the requests of another entry count after its last report; it may have lost its link.
	remoteCountTTL = 3 * time.Second
)

// Load is the load of engines as one entry knows it, by engine id.
type Load struct {
	Counts    map[string]int           // requests in flight
	Intervals map[string]time.Duration // current time between two events
}

// remoteLoad is the load that another entry reported last.
type remoteLoad struct {
	load       Load
	receivedAt time.Time
}

// WorkStarted returns a channel that is signalled when work starts at an engine.
func (t *Tracker) WorkStarted() <-chan struct{} { return t.workStarted }

// Load returns what this process has in flight at engines, and their current event intervals.
func (t *Tracker) Load(now time.Time) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := Load{Counts: make(map[string]int), Intervals: make(map[string]time.Duration)}
	lagging := t.lagging(now)
	for id, s := range t.state {
		if s.inflight == 0 || !s.engine {
			continue
		}
		l.Counts[id] = s.inflight
		if s.intervals.current > 0 && now.Sub(s.intervals.updated) < remoteIntervalTTL && !lagging {
			l.Intervals[id] = s.intervals.current
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
}

// inflight returns the number of requests at a server, including those of other entries.
func (t *Tracker) inflight(id string, now time.Time) int {
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
