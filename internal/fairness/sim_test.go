package fairness

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

var epoch = time.Unix(1_800_000_000, 0)

const (
	hop       = 500 * time.Microsecond // one way between an entry and a server
	objective = 200 * time.Millisecond
	deadline  = 2 * time.Second
)

// event is something that happens in the simulation.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(a, b int) bool {
	return e[a].at < e[b].at || e[a].at == e[b].at && e[a].seq < e[b].seq
}
func (e events) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// source is a workspace of a simulation.
type source struct {
	flow      Flow
	perSecond float64
	entries   []int // entries that it sends to; all if empty
}

// tally counts what the requests of a flow have got in the measured part of a simulation.
type tally struct{ asked, served, inTime int }

func (t tally) ratio() float64 { return float64(t.served) / float64(max(t.asked, 1)) }

// sim plays requests against servers with a few places for waiting requests in virtual time. Placement is that of
// place.Tracker in outline: the server with the fewest requests of the entry, and another one after a refusal.
type sim struct {
	random    *rand.Rand
	now       time.Duration
	events    events
	seq       int
	fair      bool // false for the behaviour without Queue
	slots     int  // of each server
	extra     int  // waiting requests of each server
	work      time.Duration
	objective time.Duration
	deadline  time.Duration
	named     bool // clients name their deadline
	servers   []*simServer
	entries   []*simEntry
	cut       func(from, to int) bool // link is lost
	part      float64                 // what peer.Share returns
	from      time.Duration           // start of the measured part
	end       time.Duration           // end of the load
	tallies   map[Flow]*tally
	refused   []time.Duration // times at which refused clients come back
	answers   int             // in the measured part
	sent      int             // attempts at servers
	late      int             // refused after they have waited
	reports   int
}

type simServer struct {
	shed    bool // refuses all requests
	running int
	waiting []func()
}

type simEntry struct {
	dead     bool // clients use it no more; those whose requests wait are lost
	queue    *Queue
	inflight []int // by server
	waiting  map[*Ticket]func()
	wakes    time.Duration
	reportAt time.Duration
}

func newSim(fair bool, entries, servers int) *sim {
	s := &sim{
		random: rand.New(rand.NewPCG(7, 7)), fair: fair, slots: 6, extra: 4, work: 25 * time.Millisecond, part: 1,
		objective: objective, deadline: deadline,
		tallies: make(map[Flow]*tally), cut: func(int, int) bool { return false },
	}
	for range servers {
		s.servers = append(s.servers, &simServer{})
	}
	for range entries {
		s.entries = append(s.entries, &simEntry{
			queue:    NewQueue(func(time.Time) float64 { return s.part }, func() int { return entries }),
			inflight: make([]int, servers), waiting: make(map[*Ticket]func()),
		})
	}
	return s
}

func (s *sim) capacity() float64 { return float64(len(s.servers)*s.slots) / s.work.Seconds() }

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + d, seq: s.seq, run: run})
}

func (s *sim) clock() time.Time { return epoch.Add(s.now) }

// run plays the sources until end and measures from the given time on.
func (s *sim) run(sources []source, from, end time.Duration) {
	s.from, s.end = from, end
	for _, c := range sources {
		s.arrive(c, end)
	}
	if s.fair {
		s.exchange()
	}
	for len(s.events) > 0 && s.events[0].at <= end+s.deadline {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

// arrive schedules the next request of a source.
func (s *sim) arrive(c source, end time.Duration) {
	s.after(seconds(s.random.ExpFloat64()/c.perSecond), func() {
		if s.now > end {
			return
		}
		s.arrive(c, end)
		s.client(c)
	})
}

// client sends a request and repeats it once if it is refused.
func (s *sim) client(c source) {
	began := s.now
	measured := began >= s.from
	t := s.tallies[c.flow]
	if t == nil {
		t = &tally{}
		s.tallies[c.flow] = t
	}
	if measured {
		t.asked++
	}
	answered := func() {
		if s.now >= s.from && s.now <= s.end {
			s.answers++
		}
		if measured {
			t.served++
			if s.now-began <= s.objective {
				t.inTime++
			}
		}
	}
	s.request(c, answered, func(after time.Duration) {
		s.refused = append(s.refused, s.now+after)
		if s.now-began+after < s.deadline {
			s.after(after, func() { s.request(c, answered, func(time.Duration) {}) })
		}
	})
}

// request brings one attempt of a client to an entry.
func (s *sim) request(c source, answered func(), refused func(time.Duration)) {
	n := s.random.IntN(len(s.entries))
	if len(c.entries) > 0 {
		n = c.entries[s.random.IntN(len(c.entries))]
	}
	for s.entries[n].dead {
		n = (n + 1) % len(s.entries)
	}
	e := s.entries[n]
	s.admit(e, c.flow, s.now, 0, answered, refused)
}

func (s *sim) admit(e *simEntry, f Flow, arrived time.Duration, returned int, answered func(), refused func(time.Duration)) {
	send := func() {
		s.send(e, nil, answered, func() {
			if !s.fair {
				refused(150 * time.Millisecond)
				return
			}
			s.admit(e, f, arrived, returned+1, answered, refused)
		})
	}
	if !s.fair {
		send()
		return
	}
	left := time.Duration(0)
	if s.named {
		left = s.deadline - (s.now - arrived)
	}
	d := e.queue.Admit(s.clock(), Request{
		Flow: f, Within: s.objective - (s.now - arrived), Left: left, Returned: returned, Slots: len(s.servers) * s.slots, Full: s.full(e),
	})
	switch d.Action {
	case Go:
		send()
	case Refuse:
		refused(d.RetryAfter)
	case Wait:
		e.waiting[d.Ticket] = func() {
			if after, gone := d.Ticket.Refused(); gone {
				s.late++
				refused(after)
				return
			}
			send()
		}
		s.dispatch(e)
	}
}

func (s *sim) full(e *simEntry) bool {
	for _, n := range e.inflight {
		if n < s.slots+1 {
			return false
		}
	}
	return true
}

func (s *sim) dispatch(e *simEntry) {
	if e.dead {
		return
	}
	for t, ok := e.queue.Next(s.clock(), s.full(e)); ok; t, ok = e.queue.Next(s.clock(), s.full(e)) {
		run := e.waiting[t]
		delete(e.waiting, t)
		run()
	}
	at, ok := e.queue.Wake(s.clock())
	if d := at.Sub(epoch); ok && (e.wakes <= s.now || d < e.wakes) {
		e.wakes = d
		s.after(d-s.now, func() { s.dispatch(e) })
	}
}

// send tries the servers one after another.
func (s *sim) send(e *simEntry, tried []int, answered, refused func()) {
	best := -1
	for i := range s.servers {
		if slices.Contains(tried, i) {
			continue
		}
		if best < 0 || e.inflight[i] < e.inflight[best] || e.inflight[i] == e.inflight[best] && s.random.IntN(2) == 0 {
			best = i
		}
	}
	if best < 0 {
		refused()
		return
	}
	began := s.now
	if s.now >= s.from && s.now <= s.end {
		s.sent++
	}
	e.inflight[best]++
	s.after(hop, func() {
		v := s.servers[best]
		if v.shed || v.running >= s.slots && len(v.waiting) >= s.extra {
			s.after(hop, func() {
				e.inflight[best]--
				s.send(e, append(slices.Clone(tried), best), answered, refused)
			})
			return
		}
		work := func() {
			v.running++
			s.after(time.Duration(float64(s.work)*(0.5+s.random.Float64())), func() {
				v.running--
				if len(v.waiting) > 0 {
					next := v.waiting[0]
					v.waiting = v.waiting[1:]
					next()
				}
				s.after(hop, func() {
					e.inflight[best]--
					e.queue.Answered(s.clock(), "", s.now-began)
					if s.fair {
						s.dispatch(e)
					}
					answered()
				})
			})
		}
		if v.running < s.slots {
			work()
			return
		}
		v.waiting = append(v.waiting, work)
	})
}

// exchange sends the reports that are due, the first one soon after slots have become short.
func (s *sim) exchange() {
	for a, e := range s.entries {
		if e.dead || s.now < e.reportAt {
			continue
		}
		r, ok := e.queue.Report(s.clock())
		if !ok {
			continue
		}
		e.reportAt = s.now + 150*time.Millisecond
		for b, o := range s.entries {
			if a != b && !s.cut(a, b) {
				s.reports++
				s.after(time.Millisecond, func() { o.queue.Apply(string(rune('a'+a)), r, s.clock()) })
			}
		}
	}
	if s.now < s.end {
		s.after(5*time.Millisecond, s.exchange)
	}
}
