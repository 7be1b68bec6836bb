package fairness

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// yieldTime is how long an entry leaves a free slot to a flow that has less than its share at another entry. That entry
	// learns of the slot within 100 ms (package occupancy) and looks for slots as often.
	yieldTime = 250 * time.Millisecond
	// declineTime is how long flows at other entries are passed over that did not take the slots that were left to them, such as
	// those whose items need a weight version that the engine does not have. All of them are tried again at the same time: one
	// after another, eight of them would keep a slot idle for good.
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
	own        map[Flow]*Use
	remote     map[string]remoteUse
	lacking    map[Flow]*lack // flows that free slots have been left to
	declinedAt time.Time      // when the first of the declined flows declined, or zero

	usages map[Flow]flowUsage // as of Begin
}

type remoteUse struct {
	uses []Use
	at   time.Time
}

// lack is what an entry knows of a flow at other entries that it leaves free slots to.
type lack struct {
	waited   time.Duration // for which slots were left to it
	at       time.Time     // of the last look
	running  int           // at that time
	declined bool
}

// NewSlots returns a Slots without any work.
func NewSlots() *Slots {
	return &Slots{own: make(map[Flow]*Use), remote: make(map[string]remoteUse), lacking: make(map[Flow]*lack)}
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
func (s *Slots) Begin(now time.Time, slots int) {
	s.usages = s.usage(now, slots)
	// A flow is remembered after it has stopped to wait, so that one whose reports change all the time is not new each time.
	maps.DeleteFunc(s.lacking, func(_ Flow, l *lack) bool { return now.Sub(l.at) >= declineTime })
}

// Next returns which of the candidates, flows with work that waits at this entry, is to start next. It returns false if a
// free slot is left to another entry for the moment. A candidate that cannot use the free slots is to be left out of the
// next call.
func (s *Slots) Next(now time.Time, candidates []Flow) (Flow, bool) {
	remaining := slices.Clone(candidates)
	slices.SortFunc(remaining, func(a, b Flow) int {
		return cmp.Or(cmp.Compare(s.usages[a].fillRatio(), s.usages[b].fillRatio()), a.compare(b))
	})
	for _, f := range remaining {
		if !s.yields(now, f) {
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

// yields reports whether a flow leaves a free slot to flows that wait at other entries and lack a whole slot of their shares,
// while this flow has its share. Each of them has yieldTime from the moment when it begins to lack, and from each slot that it
// takes.
func (s *Slots) yields(now time.Time, f Flow) bool {
	if !s.usages[f].wouldExceedShare() {
		return false
	}
	if !s.declinedAt.IsZero() && now.Sub(s.declinedAt) >= declineTime {
		s.declinedAt = time.Time{}
		for _, l := range s.lacking {
			if l.declined {
				l.declined, l.waited, l.at = false, 0, now
			}
		}
	}
	yields := false
	for _, r := range s.remote {
		for _, u := range r.uses {
			if u.Flow != f && u.Waiting > 0 && !s.usages[u.Flow].wouldExceedShare() && s.awaits(now, u.Flow) {
				yields = true
			}
		}
	}
	return yields
}

// awaits reports whether a free slot is left to a flow that lacks one, and counts the time for which that has been so.
func (s *Slots) awaits(now time.Time, f Flow) bool {
	// Between two looks there may have been no free slot, so that a long time between them does not count in full.
	const maxStep = yieldTime / 2
	running := s.usages[f].use.Running
	l := s.lacking[f]
	if l == nil {
		l = &lack{at: now, running: running}
		s.lacking[f] = l
	}
	if running > l.running {
		l.waited, l.declined = 0, false
	} else {
		l.waited += min(now.Sub(l.at), maxStep)
	}
	l.at, l.running = now, running
	if !l.declined && l.waited >= yieldTime {
		l.declined = true
		if s.declinedAt.IsZero() {
			s.declinedAt = now
		}
	}
	return !l.declined
}
