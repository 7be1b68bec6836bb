package ratelimit

import "time"

// Unreported returns a channel that receives when there are reports to take.
func (l *Limiter) Unreported() <-chan struct{} { return l.unreported }

// TakeReports returns what has changed since the last call.
func (l *Limiter) TakeReports() []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Report
	for id, k := range l.limits {
		if !k.changed {
			continue
		}
		r := k.report
		r.Rate = k.rate
		list = append(list, r)
		k.report, k.changed = Report{Server: id}, false
	}
	return list
}

// Snapshot returns all limits in force with their level, for a sender that has just become reachable.
func (l *Limiter) Snapshot(now time.Time) []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Report
	for id := range l.limits {
		if k := l.active(id); k != nil {
			l.drain(k, now)
			list = append(list, Report{Server: id, Rate: k.rate, Level: k.level})
		}
	}
	return list
}

// Apply applies a report of another sender about the present incarnation of a server. Reports with invalid numbers are
// ignored.
func (l *Limiter) Apply(r Report, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !r.valid() {
		return
	}
	known := l.limits[r.Server]
	k := l.active(r.Server)
	switch {
	case r.Ended:
		if k != nil {
			l.end(r.Server, k, now)
		}
		return
	case k == nil && known != nil && !r.Fresh && now.Sub(known.endedAt) < endedRetention:
		return
	case k == nil:
		k = l.set(r.Server, r.Rate, now)
	case r.Fresh:
		k = l.set(r.Server, r.Rate, now)
		k.knownAt = now
	}
	most := k.perSecond(l.drain(k, now)) * maxDebt.Seconds()
	k.level = min(max(k.level, r.Level)+float64(r.Sent), most)
	k.promised = min(max(k.promised+float64(r.Promised), 0), most)
}
