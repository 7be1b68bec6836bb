package fairness

import (
	"cmp"
	"slices"
	"time"
)

const (
	// yieldTime is how long an entry leaves a free slot to a flow that has less than its share at another entry. That entry
	// learns of the slot within 100 ms (package occupancy) and looks for slots as often.
	yieldTime = 250 * time.Millisecond
	// declineTime is how long a flow at another entry is passed over that did not take the slots that were left to it, such as
	// one whose items need a weight version that the engine does not have.
	declineTime = 2 * time.Second
)

// Use is what a flow has and wants of the slots of a service.
type Use struct {
	Flow    Flow
	Running int
	Waiting int
}

// Slots divides the slots of a service among flows whose work holds a slot for a long time, such as the items of jobs.
//
// The flow that has least of its share goes next. A flow beyond its share takes any slot that no flow below its share
// wants.
type Slots struct {
	own      map[Flow]*Use
	remote   map[string]remoteUse
	declined map[Flow]time.Time
	yields   map[Flow]yield

	usages map[Flow]flowUsage // as of Begin
}

type remoteUse struct {
	uses []Use
	at   time.Time
}

// yield is a slot that is left to other flows.
type yield struct {
	since   time.Time
	to      Flow
	running int // of the other flow at that time
}

// NewSlots returns a Slots without any work.
func NewSlots() *Slots {
	return &Slots{
		own: make(map[Flow]*Use), remote: make(map[string]remoteUse), declined: make(map[Flow]time.Time),
		yields: make(map[Flow]yield),
	}
}

// Started records that work of a flow that waited has been started.
func (s *Slots) Started(f Flow) {
	u := s.use(f)
	u.Running++
	u.Waiting = max(u.Waiting-1, 0)
	if t, ok := s.usages[f]; ok {
		t.use.Running++
		s.usages[f] = t
	}
}

// Ended records that work of a flow has ended.
func (s *Slots) Ended(f Flow) {
	u := s.use(f)
	u.Running--
	s.drop(u)
}

// SetWaiting records how much work of a flow waits at this entry.
func (s *Slots) SetWaiting(f Flow, n int) {
	u := s.use(f)
	u.Waiting = n
	s.drop(u)
}

func (s *Slots) use(f Flow) *Use {
	u := s.own[f]
	if u == nil {
		u = &Use{Flow: f}
		s.own[f] = u
	}
	return u
}

func (s *Slots) drop(u *Use) {
	if u.Running == 0 && u.Waiting == 0 {
		delete(s.own, u.Flow)
		delete(s.yields, u.Flow)
	}
}

// Waiting returns how much work waits at this entry.
func (s *Slots) Waiting() int {
	n := 0
	for _, u := range s.own {
		n += u.Waiting
	}
	return n
}

// Report returns the use of the slots by this entry for the others. It returns false if nothing waits here or at an entry
// that has reported.
func (s *Slots) Report(now time.Time) ([]Use, bool) {
	l := make([]Use, 0, len(s.own))
	waiting := false
	for _, u := range s.own {
		l = append(l, *u)
		waiting = waiting || u.Waiting > 0
	}
	for _, r := range s.remote {
		waiting = waiting || now.Sub(r.at) < reportTTL && slices.ContainsFunc(r.uses, func(u Use) bool { return u.Waiting > 0 })
	}
	slices.SortFunc(l, func(a, b Use) int { return a.Flow.compare(b.Flow) })
	return l, waiting && len(l) > 0
}

// Apply records the report of another entry.
func (s *Slots) Apply(entry string, uses []Use, now time.Time) {
	s.remote[entry] = remoteUse{uses: uses, at: now}
}

// flowUsage is the use of the slots by one flow at all entries.
type flowUsage struct {
	use     Use
	granted float64 // slots
}

// Begin prepares for calls of Next at the given time, for a service with the given number of slots.
func (s *Slots) Begin(now time.Time, slots int) { s.usages = s.usage(now, slots) }

// Next returns which of the candidates, flows with work that waits at this entry, is to start next. It returns false if a
// free slot is left to another entry for the moment. A candidate that cannot use the free slots is to be left out of the
// next call.
func (s *Slots) Next(now time.Time, candidates []Flow) (Flow, bool) {
	remaining := slices.Clone(candidates)
	slices.SortFunc(remaining, func(a, b Flow) int {
		return cmp.Or(cmp.Compare(s.usages[a].fillRatio(), s.usages[b].fillRatio()), a.compare(b))
	})
	for _, f := range remaining {
		if !s.yieldsTo(now, f) {
			return f, true
		}
	}
	return Flow{}, false
}

// fillRatio returns which part of its share a flow would have with one more slot.
func (s flowUsage) fillRatio() float64 { return float64(s.use.Running+1) / max(s.granted, 1e-9) }

// wouldExceedShare reports whether a flow would have more than its share with one more slot. Each flow may have one.
func (s flowUsage) wouldExceedShare() bool { return float64(s.use.Running+1) > max(s.granted, 1) }

// usage returns the use of the slots by flow, over all entries that have reported.
func (s *Slots) usage(now time.Time, slots int) map[Flow]flowUsage {
	uses := make(map[Flow]Use)
	add := func(u Use) {
		sum := uses[u.Flow]
		uses[u.Flow] = Use{Flow: u.Flow, Running: sum.Running + u.Running, Waiting: sum.Waiting + u.Waiting}
	}
	for _, u := range s.own {
		add(*u)
	}
	for entry, r := range s.remote {
		if now.Sub(r.at) >= reportTTL {
			delete(s.remote, entry)
			continue
		}
		for _, u := range r.uses {
			add(u)
		}
	}
	demands := make([]Demand, 0, len(uses))
	for f, u := range uses {
		demands = append(demands, Demand{Flow: f, Amount: float64(u.Running + u.Waiting)})
	}
	slices.SortFunc(demands, func(a, b Demand) int { return a.Flow.compare(b.Flow) })
	granted := Allocate(float64(slots), demands)
	m := make(map[Flow]flowUsage, len(demands))
	for i, d := range demands {
		m[d.Flow] = flowUsage{use: uses[d.Flow], granted: granted[i]}
	}
	return m
}

// yieldsTo reports whether a flow leaves a free slot to a flow that waits at another entry and lacks a whole slot of its
// share, while this flow has its share.
func (s *Slots) yieldsTo(now time.Time, f Flow) bool {
	own := s.usages[f]
	if !own.wouldExceedShare() {
		delete(s.yields, f)
		return false
	}
	other, ok := s.lacking(now, f)
	if !ok {
		delete(s.yields, f)
		return false
	}
	y, yielding := s.yields[f]
	if !yielding || y.to != other.use.Flow || other.use.Running > y.running {
		s.yields[f] = yield{since: now, to: other.use.Flow, running: other.use.Running}
		return true
	}
	if now.Sub(y.since) < yieldTime {
		return true
	}
	s.declined[other.use.Flow] = now
	delete(s.yields, f)
	return false
}

// lacking returns the flow other than f that has least of its share of those that wait at other entries and lack a whole
// slot.
func (s *Slots) lacking(now time.Time, f Flow) (flowUsage, bool) {
	var least flowUsage
	found := false
	for _, r := range s.remote {
		for _, u := range r.uses {
			o := s.usages[u.Flow]
			if u.Flow == f || u.Waiting == 0 || o.wouldExceedShare() {
				continue
			}
			if at, ok := s.declined[u.Flow]; ok && now.Sub(at) < declineTime {
				continue
			}
			if !found || o.fillRatio() < least.fillRatio() ||
				o.fillRatio() == least.fillRatio() && u.Flow.compare(least.use.Flow) < 0 {
				least, found = o, true
			}
		}
	}
	return least, found
}
