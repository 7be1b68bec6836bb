package fairness

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

var large = Flow{Workspace: "large"}

// crowd returns n workspaces with the given rate each, and a large one that asks for the rest of a load.
func crowd(n int, perSecond, total float64) []source {
	l := []source{{flow: large, perSecond: total - float64(n)*perSecond}}
	for i := range n {
		l = append(l, source{flow: Flow{Workspace: fmt.Sprintf("w%02d", i)}, perSecond: perSecond})
	}
	return l
}

// worst returns the lowest ratio of served requests among the small workspaces, and the tally of all flows together.
func (s *sim) worst() (small float64, all tally) {
	small = 1
	for f, t := range s.tallies {
		if f != large {
			small = min(small, t.ratio())
		}
		all.asked += t.asked
		all.served += t.served
		all.inTime += t.inTime
	}
	return small, all
}

// rate returns the answers per second in the measured part, as a fraction of the capacity.
func (s *sim) rate() float64 { return float64(s.answers) / (s.end - s.from).Seconds() / s.capacity() }

func (s *sim) log(t *testing.T, name string) {
	small, all := s.worst()
	ratio := 0.0
	if l := s.tallies[large]; l != nil {
		ratio = l.ratio()
	}
	t.Logf("%-20s fair=%-5t served: small (worst) %.3f, large %.3f, all %.3f, in time %.3f; rate/capacity %.3f, attempts/answer %.1f, late refusals %d, reports %d",
		name, s.fair, small, ratio, all.ratio(), float64(all.inTime)/float64(all.asked), s.rate(),
		float64(s.sent)/float64(s.answers), s.late, s.reports)
}

// maxAttempts is the number of attempts for each answer that a service may be asked for: without shares, three times the
// capacity of 6 servers makes 30.
const maxAttempts = 5

const (
	simFrom = 2 * time.Second
	simEnd  = 6 * time.Second
)

// Guards against a workspace with many requests that takes the slots of those that ask for less than their share, and against
// shares that cost throughput.
func TestSmallWorkspacesGetWhatTheyAskFor(t *testing.T) {
	for _, c := range []struct {
		name    string
		entries int
		change  func(s *sim)
		from    time.Duration // of the measured part
		rate    float64       // least rate of answers, as a fraction of the capacity: 0.9 after a change, 5/6 with a server less
		largeAt []int         // entries that the large workspace uses
		compare bool          // play it without the Queue as well, for the log
	}{
		{name: "one entry", entries: 1, rate: 0.95},
		{name: "6 entries", entries: 6, rate: 0.95},
		{name: "deadline named", entries: 6, rate: 0.95, change: func(s *sim) { s.named = true }},
		{name: "23 entries", entries: 23, rate: 0.95, compare: true},
		{name: "lost link", entries: 6, rate: 0.95, change: func(s *sim) {
			s.cut = func(a, b int) bool { return min(a, b) == 0 && max(a, b) == 1 }
		}},
		{name: "two halves", entries: 6, compare: true, rate: 0.9, from: 4 * time.Second, change: func(s *sim) {
			s.after(3*time.Second, func() {
				s.part = 0.5
				s.cut = func(a, b int) bool { return a/3 != b/3 }
			})
		}},
		{name: "dead entry", entries: 6, rate: 0.9, from: 4 * time.Second, change: func(s *sim) {
			s.after(3*time.Second, func() { s.entries[5].dead, s.part = true, 5.0/6 })
		}},
		{name: "slower servers", entries: 6, rate: 0.95, from: 4 * time.Second, change: func(s *sim) {
			s.after(3*time.Second, func() { s.work = s.work * 3 / 2 })
		}},
		{name: "large at one entry", entries: 6, rate: 0.95, largeAt: []int{2}},
		{name: "server sheds all", entries: 6, rate: 0.8, from: 4 * time.Second, change: func(s *sim) {
			s.after(3*time.Second, func() { s.servers[0].shed = true })
		}},
	} {
		for _, fair := range []bool{false, true} {
			if !fair && !c.compare {
				continue
			}
			s := newSim(fair, c.entries, 6)
			if c.change != nil {
				c.change(s)
			}
			load := crowd(80, 9, 3*s.capacity())
			load[0].entries = c.largeAt
			s.run(load, max(c.from, simFrom), simEnd)
			s.log(t, c.name)
			if !fair {
				continue
			}
			// All that they ask for, but for one request in 36 of the worst of 80 workspaces, which have about 36 requests each.
			if small, _ := s.worst(); small < 0.97 {
				t.Errorf("%s: a small workspace is served %.3f of its requests", c.name, small)
			}
			if s.rate() < c.rate {
				t.Errorf("%s: the servers answer %.3f of their capacity", c.name, s.rate())
			}
			_, all := s.worst()
			if s.tallies[large].ratio() < 0.25*all.ratio() {
				t.Errorf("%s: the large workspace is served %.3f, all %.3f", c.name, s.tallies[large].ratio(), all.ratio())
			}
			if perAnswer := float64(s.sent) / float64(s.answers); perAnswer > maxAttempts {
				t.Errorf("%s: %.1f attempts for each answer", c.name, perAnswer)
			}
			// Late refusals cost: the estimate of the wait is to be wrong for at most one request in 50.
			if s.late > all.asked/50 {
				t.Errorf("%s: %d of %d requests are refused after they have waited", c.name, s.late, all.asked)
			}
		}
	}
}

// Guards against slots that stay idle while a single workspace wants them all, and against a load that begins at once.
func TestIdleSharesAreUsed(t *testing.T) {
	for _, entries := range []int{1, 6} {
		s := newSim(true, entries, 6)
		s.run(crowd(80, 0.01, 3*s.capacity()), 0, 2*time.Second)
		s.log(t, "one busy workspace")
		// The first answers come after the work of a request, and shares are found within half a second.
		if s.rate() < 0.93 {
			t.Errorf("%d entries: the servers answer %.3f of their capacity", entries, s.rate())
		}
		steady := newSim(true, entries, 6)
		steady.run(crowd(80, 0.01, 3*steady.capacity()), simFrom, simEnd)
		steady.log(t, "one busy, later")
		if perAnswer := float64(steady.sent) / float64(steady.answers); perAnswer > maxAttempts || steady.rate() < 0.95 {
			t.Errorf("%d entries: %.1f attempts for each answer, rate %.3f", entries, perAnswer, steady.rate())
		}
	}
}

// Guards against delays, refusals and messages while there is room.
func TestCalmLoadIsLeftAlone(t *testing.T) {
	s := newSim(true, 6, 6)
	s.run(crowd(80, 2, 0.5*s.capacity()), simFrom, simEnd)
	s.log(t, "calm")
	if _, all := s.worst(); all.inTime < all.asked || s.reports > 0 || s.late > 0 {
		t.Errorf("%d of %d requests in time, %d reports", all.inTime, all.asked, s.reports)
	}
	q := NewQueue(func(time.Time) float64 { return 1 }, func() int { return 1 })
	r := Request{Flow: large, Within: objective, Slots: 36}
	q.Admit(epoch, r)
	if n := testing.AllocsPerRun(100, func() { q.Admit(epoch, r) }); n > 0 {
		t.Errorf("a request allocates %v times", n)
	}
}

// Guards against a service that counts as short of slots, and whose growing load is refused, because one of its servers
// sheds requests that the others take.
func TestSheddingServerIsNoShortage(t *testing.T) {
	s := newSim(true, 6, 6)
	s.servers[0].shed = true
	newcomer := Flow{Workspace: "new"}
	s.after(3*time.Second, func() {
		s.arrive(source{flow: newcomer, perSecond: 0.4 * s.capacity()}, simEnd)
	})
	s.run(crowd(80, 0.2*s.capacity()/90, 0.2*s.capacity()), simFrom, simEnd)
	s.log(t, "load grows")
	if _, all := s.worst(); len(s.refused) > 0 || all.inTime < all.asked || s.reports > 0 {
		t.Errorf("%d requests refused, %d of %d in time, %d reports", len(s.refused), all.inTime, all.asked, s.reports)
	}
}

// Guards against attempts that servers refuse by the dozen for each answer, and against shares that cost throughput, at
// services with long work, few slots or a single server.
func TestSlowAndSmallServices(t *testing.T) {
	for _, work := range []time.Duration{25 * time.Millisecond, 300 * time.Millisecond, time.Second} {
		for _, servers := range []int{1, 2} {
			s := newSim(true, 6, servers)
			s.slots, s.work, s.objective, s.deadline = 2, work, 4*work, 40*work
			s.run(crowd(5, 0.05*s.capacity(), 2*s.capacity()), 160*work, 1600*work)
			s.log(t, fmt.Sprintf("%v servers %d", work, servers))
			small, _ := s.worst()
			if perAnswer := float64(s.sent) / float64(s.answers); perAnswer > maxAttempts {
				t.Errorf("work of %v at %d servers: %.1f attempts for each answer", work, servers, perAnswer)
			}
			if s.rate() < 0.9 || small < s.tallies[large].ratio() {
				t.Errorf("work of %v at %d servers: rate %.3f, a small workspace is served %.3f, the large one %.3f", work, servers,
					s.rate(), small, s.tallies[large].ratio())
			}
		}
	}
}

// Guards against an urgent level that starves a less urgent one, and against a less urgent one that is served more often.
func TestUrgencyHasAFloor(t *testing.T) {
	for _, fair := range []bool{false, true} {
		s := newSim(fair, 6, 6)
		var l []source
		for i := range 20 {
			l = append(l, source{flow: Flow{Workspace: fmt.Sprint("w", i), Level: i % 2}, perSecond: s.capacity() * 3 / 20})
		}
		s.run(l, simFrom, simEnd)
		var levels [2]tally
		for f, c := range s.tallies {
			levels[f.Level].asked += c.asked
			levels[f.Level].served += c.served
		}
		_, all := s.worst()
		s.log(t, "levels")
		t.Logf("fair=%-5t served: level 0 %.3f, level 1 %.3f, all %.3f", fair, levels[0].ratio(), levels[1].ratio(), all.ratio())
		if !fair {
			continue
		}
		if levels[1].ratio() < 0.25*all.ratio() || levels[0].ratio() < 1.5*all.ratio() {
			t.Errorf("level 0 is served %.3f, level 1 %.3f, all %.3f", levels[0].ratio(), levels[1].ratio(), all.ratio())
		}
	}
}

// Guards against refused clients that come back together and collide again.
func TestRefusedCrowdReturnsSpread(t *testing.T) {
	for _, c := range []struct {
		fair    bool
		entries int
	}{{false, 6}, {true, 1}, {true, 6}, {true, 23}} {
		s := newSim(c.fair, c.entries, 2)
		client := source{flow: large}
		s.after(time.Second, func() {
			for range 400 {
				s.client(client)
			}
		})
		s.run(crowd(1, 10, 10.1), time.Second, 3*time.Second)
		slices.Sort(s.refused)
		most := 0
		for i, at := range s.refused {
			end, _ := slices.BinarySearch(s.refused, at+s.work)
			most = max(most, end-i)
		}
		t.Logf("fair=%-5t entries=%d: served %d of 400; most returns within %v: %d", c.fair, c.entries, s.tallies[large].served, s.work, most)
		// The entries do not agree on the order of the returns. Twice as many as are served in that time find places.
		if done := len(s.servers) * s.slots; c.fair && (most > 2*done || s.tallies[large].served < 320) {
			t.Errorf("%d entries: %d requests served; %d return within %v, in which %d are served", c.entries,
				s.tallies[large].served, most, s.work, done)
		}
	}
}

// saturated returns a Queue of one entry that is measured to answer 100 requests per second in 20 ms each, and at which a
// large workspace asks for 400 per second.
func saturated(t *testing.T) (*Queue, time.Time) {
	t.Helper()
	q := NewQueue(func(time.Time) float64 { return 0.999 }, func() int { return 1 }) // not the sole entry: it goes by rates
	now := epoch
	for i := range 2000 {
		now = now.Add(2500 * time.Microsecond)
		if i%4 == 0 {
			q.Answered(now, "r", 20*time.Millisecond)
		}
		q.Refused(now)
		q.Admit(now, Request{Flow: large, Within: 50 * time.Millisecond, Slots: 2})
		for _, ok := q.Next(now, false); ok; _, ok = q.Next(now, false) {
			continue
		}
	}
	return q, now
}

// Guards against a request that waits in vain, and against one that is refused although a short wait would serve it.
func TestWaitsOnlyIfServedInTime(t *testing.T) {
	q, now := saturated(t)
	hopeless := q.Admit(now, Request{Flow: large, Within: 20 * time.Millisecond, Slots: 2})
	if hopeless.Action != Refuse || hopeless.RetryAfter < minRetryAfter || hopeless.RetryAfter > maxRetryAfter {
		t.Errorf("a request that cannot be served in time gets %+v", hopeless)
	}
	d := q.Admit(now, Request{Flow: large, Within: 500 * time.Millisecond, Slots: 2})
	if d.Action != Wait {
		t.Fatalf("a request that can be served in time gets %+v", d)
	}
	at, _ := q.Wake(now)
	for at.Before(now.Add(480 * time.Millisecond)) {
		q.Answered(at, "r", 20*time.Millisecond)
		for ticket, ok := q.Next(at, false); ok; ticket, ok = q.Next(at, false) {
			if _, refused := ticket.Refused(); ticket == d.Ticket && !refused {
				return
			}
		}
		at = at.Add(10 * time.Millisecond)
	}
	t.Error("the request was not served in time")
}

// Guards against a slow answer, or a route with long work, after which no request of a service may wait for a slot.
func TestSlowAnswersDoNotPreventWaiting(t *testing.T) {
	r := Request{Flow: large, Route: "short", Within: objective, Slots: 36, Full: true}
	for _, c := range []struct {
		name  string
		route string
		slow  int  // answers of 5 s
		first bool // before all others
	}{{name: "slow first answer", route: "short", slow: 1, first: true}, {name: "slow answer", route: "short", slow: 1}, {name: "long route", route: "long", slow: 100}} {
		q := NewQueue(func(time.Time) float64 { return 1 }, func() int { return 1 })
		now := epoch
		slow := func() {
			for range c.slow {
				q.Answered(now, c.route, 5*time.Second)
			}
		}
		if c.first {
			slow()
		}
		for range 20 {
			now = now.Add(10 * time.Millisecond)
			q.Answered(now, "short", 25*time.Millisecond)
		}
		if !c.first {
			slow()
		}
		if d := q.Admit(now, r); d.Action != Wait {
			t.Errorf("%s: a request that can be served in time gets %+v", c.name, d)
		}
	}
}

// overloaded returns a Queue of one entry whose slots are all in use.
func overloaded(now time.Time) *Queue {
	q := NewQueue(func(time.Time) float64 { return 0.999 }, func() int { return 1 })
	q.Answered(now, "r", 20*time.Millisecond)
	q.Refused(now)
	return q
}

// Guards against returns that are put off because of an earlier shortage.
func TestNewShortageForgetsEarlierReturns(t *testing.T) {
	now := epoch
	q := overloaded(now)
	r := Request{Flow: large, Within: 10 * time.Millisecond, Slots: 2, Full: true}
	var first, last time.Duration
	for i := range 200 {
		d := q.Admit(now, r)
		if d.Action != Refuse {
			t.Fatalf("request %d gets %+v", i, d)
		}
		if last = d.RetryAfter; i == 0 {
			first = last
		}
		now = now.Add(time.Millisecond)
	}
	now = now.Add(scarceTime + time.Millisecond)
	if d := q.Admit(now, r); last < time.Second || d.RetryAfter > first {
		t.Errorf("the first request of a shortage gets %v, the last one %v, the first one of the next shortage %v", first, last, d.RetryAfter)
	}
}

// Guards against a time to come back that leaves a client no time for its request, and against clients that come back
// together because of that.
func TestRetryAfterLeavesTime(t *testing.T) {
	now := epoch
	q := overloaded(now)
	const left = 900 * time.Millisecond
	returns := make(map[time.Duration]int)
	for range 200 {
		d := q.Admit(now, Request{Flow: large, Within: 10 * time.Millisecond, Left: left, Slots: 2, Full: true})
		if d.RetryAfter > left/3 || d.RetryAfter < minRetryAfter {
			t.Fatalf("a client with %v left may come back after %v", left, d.RetryAfter)
		}
		returns[d.RetryAfter.Truncate(10*time.Millisecond)]++
		now = now.Add(time.Millisecond)
	}
	for at, n := range returns {
		if n > 200/5 {
			t.Errorf("%d of 200 clients may come back after %v", n, at)
		}
	}
}

// Guards against a request that all servers have just refused and that keeps the others of its workspace waiting for its
// pause.
func TestPauseOfAReturnedRequestBlocksNoOther(t *testing.T) {
	now := epoch
	q := overloaded(now)
	q.Answered(now, "r", 20*time.Millisecond)
	quiet := Flow{Workspace: "quiet"}
	r := Request{Flow: quiet, Within: time.Second, Slots: 4}
	first := r
	first.Full = true
	waiting := q.Admit(now, first)
	first.Full, first.Returned = false, 1
	returned := q.Admit(now, first)
	if waiting.Action != Wait || returned.Action != Wait {
		t.Fatalf("got %+v and %+v", waiting, returned)
	}
	if ticket, ok := q.Next(now, false); !ok || ticket != waiting.Ticket {
		t.Error("a request waits for the pause of a returned one")
	}
	if d := q.Admit(now, r); d.Action != Go {
		t.Errorf("a new request of a flow within its share gets %+v", d)
	}
	if _, ok := q.Next(now, false); ok {
		t.Error("a returned request goes before its pause has ended")
	}
	if at, ok := q.Wake(now); !ok || at.After(now.Add(returnPause)) {
		t.Errorf("wakes after %v", at.Sub(now))
	}
	if ticket, ok := q.Next(now.Add(returnPause), false); !ok || ticket != returned.Ticket {
		t.Error("a returned request does not go after its pause")
	}
}

// Guards against state that grows with all workspaces that ever sent a request, and reports that grow with those that send.
func TestStateAndReportsAreBounded(t *testing.T) {
	q := NewQueue(func(time.Time) float64 { return 1 }, func() int { return 1 })
	now := epoch
	for i := range 10000 {
		now = now.Add(10 * time.Millisecond)
		q.Admit(now, Request{Flow: Flow{Workspace: fmt.Sprint(i)}, Within: time.Second, Slots: 36})
	}
	// A flow is dropped within flowTTL after it has been idle for flowTTL.
	if most := int(2*flowTTL/(10*time.Millisecond)) + 1; len(q.list) > most || len(q.flows) > most {
		t.Errorf("%d flows are kept, want at most %d", len(q.list), most)
	}
	sent := 0.0
	for i := range 2 * maxReportedFlows {
		for range 1 + i/maxReportedFlows {
			q.Admit(now, Request{Flow: Flow{Workspace: fmt.Sprint("many", i)}, Within: time.Second, Slots: 36})
		}
	}
	for _, f := range q.list {
		if amount := f.arrivals.perSecond(now); amount >= minFlowRate {
			sent += amount
		}
	}
	q.Refused(now)
	r, ok := q.Report(now)
	sum, large := 0.0, 0
	for _, d := range r.Demands {
		if sum += d.Amount; d.Amount > 3 && d.Flow != restOfFlows {
			large++
		}
	}
	if !ok || len(r.Demands) != maxReportedFlows+1 || math.Abs(sum-sent) > 1e-6*sent || large != maxReportedFlows {
		t.Errorf("%d demands, %d of them large, with %.1f of %.1f requests per second", len(r.Demands), large, sum, sent)
	}
}

// Guards against a division whose cost grows with the number of levels: levels above maxLevel share one.
func TestLevelsAreMerged(t *testing.T) {
	demands := []Demand{{Flow: Flow{Workspace: "a", Level: maxLevel}, Amount: 10}, {Flow: Flow{Workspace: "b", Level: maxLevel + 7}, Amount: 10}}
	if g := Allocate(10, demands); math.Abs(g[0]-g[1]) > 0.01 {
		t.Errorf("levels %d and %d get %v", maxLevel, maxLevel+7, g)
	}
}
