package place

import "time"

const (
	// told is how long the pace that another entry has told is believed: entries tell several times a second, and a
	// disturbance ends within about a second.
	told = 300 * time.Millisecond
	// counted is how long the requests of another entry count after it last told of them; it may have lost its link.
	counted = 3 * time.Second
)

// Load is what one entry knows of the engines that it sends work to, by their ids.
type Load struct {
	Counts map[string]int           // requests in flight
	Paces  map[string]time.Duration // present time between two events
}

// foreign is the load that another entry has told.
type foreign struct {
	load Load
	at   time.Time
}

// Busy receives when work begins at an engine.
func (t *Tracker) Busy() <-chan struct{} { return t.busy }

// Load returns what this process has in flight at engines.
func (t *Tracker) Load(now time.Time) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := Load{Counts: make(map[string]int), Paces: make(map[string]time.Duration)}
	late := t.late(now)
	for id, s := range t.state {
		if s.inflight == 0 || !s.engine {
			continue
		}
		l.Counts[id] = s.inflight
		if s.pace.present > 0 && now.Sub(s.pace.at) < told && !late {
			l.Paces[id] = s.pace.present
		}
	}
	return l
}

// Told takes the load of another entry, in place of what it told before.
func (t *Tracker) Told(entry string, l Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, o := range t.others {
		if now.Sub(o.at) > counted {
			delete(t.others, name)
		}
	}
	t.others[entry] = foreign{load: l, at: now}
}

// inflight returns the requests at a server, those of other entries included.
func (t *Tracker) inflight(id string, now time.Time) int {
	n := 0
	if s := t.state[id]; s != nil {
		n = s.inflight
	}
	for _, o := range t.others {
		if now.Sub(o.at) <= counted {
			n += o.load.Counts[id]
		}
	}
	return n
}

// foreignPace returns the slowest present pace of an engine that another entry tells, 0 if none does.
func (t *Tracker) foreignPace(id string, now time.Time) time.Duration {
	var p time.Duration
	for _, o := range t.others {
		if now.Sub(o.at) < told {
			p = max(p, o.load.Paces[id])
		}
	}
	return p
}
