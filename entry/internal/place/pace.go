package place

import (
	"slices"
	"time"
)

const (
	// paceTime is how long the present pace of a server is believed without a new event.
	paceTime = 3 * time.Second
	// paceSpan is the time over which the present pace is averaged: four events of a usual engine, so that the first slow
	// one shows and a single late one is soon forgotten.
	paceSpan = 150 * time.Millisecond
	// usualStep bounds, relative to the usual pace, by how much one event changes it, and usualFirst does so for the first
	// usualCount of them. Servers differ for good, and the usual pace is to stay what it is through a disturbance.
	usualStep  = 0.02
	usualFirst = 0.15
	usualCount = 20
	// lookEvery is the time between two looks whether this process is late, less than the pause between two events.
	lookEvery = 20 * time.Millisecond
	// paceLeast is how many servers must have a pace before one counts as slow.
	paceLeast = 3
	// slowFactor is how many times slower than the median, or than it usually is, a slow server is.
	slowFactor = 1.4
	// disturbance is how long a server that has become slower than it usually is is expected to stay so, beside the time
	// for which it has been: most of what else its hardware does ends within a second, some goes on for many.
	disturbance = 500 * time.Millisecond
	// silentFactor times the median pace is how long an engine may make no event before others with room are preferred,
	// within silentLeast and the caller's own bound.
	silentFactor = 12
	silentLeast  = 600 * time.Millisecond
)

// pace is how fast an engine makes events, as the streams of this process show it.
type pace struct {
	present   time.Duration // time between two events of a stream, averaged over paceSpan; 0 if none was seen
	usual     time.Duration // the same in the middle of all times seen
	at        time.Time     // when both were last updated
	updates   int           // of the usual pace
	disturbed time.Time     // since when the present pace exceeds the usual one by far; zero if it does not
}

// note takes the time between two events of one stream.
func (p *pace) note(gap time.Duration, now time.Time) {
	if p.usual == 0 {
		p.usual = gap
	}
	if p.present == 0 || now.Sub(p.at) > paceTime {
		p.present, p.at = gap, now
		return
	}
	since := now.Sub(p.at)
	p.present += time.Duration(float64(gap-p.present) * float64(since) / float64(since+paceSpan))
	p.at = now
	// The streams of an engine bring their events together, which count once.
	if since > p.usual/4 {
		p.adapt(gap)
	}
	switch {
	case float64(p.present) < slowFactor*float64(p.usual):
		p.disturbed = time.Time{}
	case p.disturbed.IsZero():
		p.disturbed = now
	}
}

// adapt moves the usual pace towards the time between two events.
func (p *pace) adapt(gap time.Duration) {
	step := usualStep
	if p.updates < usualCount {
		step = usualFirst
	}
	p.updates++
	bound := time.Duration(step * float64(p.usual))
	p.usual += min(max(gap-p.usual, -bound), bound)
}

// known reports whether there is a present pace.
func (p *pace) known(now time.Time) bool { return p.present > 0 && now.Sub(p.at) <= paceTime }

// slow reports whether the present pace exceeds the slowest that is usual among servers; 0 sets no bound.
func (p *pace) slow(slowest time.Duration, now time.Time) bool {
	return p.known(now) && slowest > 0 && p.present > slowest
}

// lost estimates the time that work loses to what disturbs the engine at present. One late event is no disturbance.
func (p *pace) lost(now time.Time) time.Duration {
	if p.disturbed.IsZero() || !p.known(now) || now.Sub(p.disturbed) < p.usual {
		return 0
	}
	return wasted(p.usual, p.present, p.at.Sub(p.disturbed))
}

// lingers estimates the same for an engine at which this process has nothing running any more: what disturbed it when it
// was last seen goes on for a while.
func (p *pace) lingers(now time.Time) time.Duration {
	left := 1 - float64(now.Sub(p.at))/float64(2*disturbance)
	if p.disturbed.IsZero() || left <= 0 {
		return 0
	}
	return time.Duration(left * float64(wasted(p.usual, p.present, p.at.Sub(p.disturbed))))
}

// wasted is the time that work loses in a disturbance to a pace below the usual one, which has gone on for some time.
func wasted(usual, present, age time.Duration) time.Duration {
	return time.Duration((1 - float64(usual)/float64(present)) * float64(disturbance+age))
}

// Paced tells the time between two events that a server made for one stream.
func (t *Tracker) Paced(id string, gap time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.state[id]; s != nil {
		s.pace.note(gap, now)
	}
}

// Disturbed reports whether an engine makes events much slower than it usually does.
func (t *Tracker) Disturbed(id string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state[id]
	return s != nil && s.pace.lost(now) > 0 && !t.late(now)
}

// late reports whether most engines seem disturbed at once: then this process is, which takes their events late.
func (t *Tracker) late(now time.Time) bool {
	if now.Sub(t.looked) < lookEvery {
		return t.behind
	}
	seen, disturbed := 0, 0
	for _, s := range t.state {
		if now.Sub(s.pace.at) >= told {
			continue
		}
		seen++
		if s.pace.lost(now) > 0 {
			disturbed++
		}
	}
	t.looked, t.behind = now, seen >= paceLeast && 2*disturbed > seen
	return t.behind
}

// Fastest returns the least usual pace of all engines, 0 if none is known.
func (t *Tracker) Fastest() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	var least time.Duration
	for _, s := range t.state {
		if u := s.pace.usual; u > 0 && (least == 0 || u < least) {
			least = u
		}
	}
	return least
}

// Patience returns how long an engine may make no event before others with room are preferred, most at the longest.
func (t *Tracker) Patience(most time.Duration, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return min(max(silentFactor*t.median(now), silentLeast), most)
}

// slowest returns the pace beyond which a server is slow at present, 0 if too few servers have one.
func (t *Tracker) slowest(now time.Time) time.Duration {
	return time.Duration(slowFactor * float64(t.median(now)))
}

// median returns the present pace in the middle of those of all servers, 0 if too few have one.
func (t *Tracker) median(now time.Time) time.Duration {
	var paces []time.Duration
	for _, o := range t.state {
		if o.pace.known(now) {
			paces = append(paces, o.pace.present)
		}
	}
	if len(paces) < paceLeast {
		return 0
	}
	slices.Sort(paces)
	return paces[(len(paces)-1)/2]
}

// typical is the time assumed of a server that has not answered yet: the mean of the usual paces of the others if it is
// an engine.
func (t *Tracker) typical(engine bool) time.Duration {
	if !engine {
		return firstTime
	}
	var sum time.Duration
	n := 0
	for _, o := range t.state {
		if o.pace.usual > 0 {
			sum += o.pace.usual
			n++
		}
	}
	if n == 0 {
		return firstTime
	}
	return sum / time.Duration(n)
}
