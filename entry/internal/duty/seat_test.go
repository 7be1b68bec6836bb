package duty

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"bulrushspoke/internal/node"
	"bulrushspoke/wire"
)

const (
	testStep   = 50 * time.Millisecond
	testWindow = 5 * time.Second
	testLease  = 3 * time.Second
)

func testTiming() Timing {
	return timing(Options{
		Bounds: node.Bounds{Lease: testLease, Thaw: 300 * time.Millisecond, ReportWindow: testWindow}, Rate: 50, MaxObject: 1 << 20,
	})
}

// sim runs several Seats in virtual time against a store and a platform that fail at random.
type sim struct {
	t      *testing.T
	r      *rand.Rand
	now    time.Duration
	queue  events
	order  int
	nodes  []*simNode
	faulty bool

	object   wire.DutySeat
	revision int64 // of the last change of the object
	exists   bool
	last     int64          // newest window in any object so far
	replaced bool           // the object is new, or was replaced by another writer, so that windows may be missing
	excused  map[int64]bool // windows that need not be reported, as they were skipped or lost with an object
	reads    int
	writes   int
	down     time.Duration // the store does not answer until then
	apiDown  time.Duration
	tenures  []tenure
	written  map[int64]string // bodies in the store
	reported map[int64]string
	token    int64 // of the last call
	tokens   map[int64]string
}

type tenure struct {
	holder string
	token  int64
	at     time.Duration
}

type simNode struct {
	name, inc string
	seat      *Seat
	paused    time.Duration
	cut       time.Duration // from all other nodes
	noStore   time.Duration
	clock     time.Duration     // error of its idea of the time
	keptConn  bool              // its last call left a connection, on which the next one is sent though it is cut off
	greeted   map[string]string // incarnations of the nodes that were told about the object
	inbox     []func()          // results and messages that wait for the end of a pause
}

type simEvent struct {
	at    time.Duration
	order int
	run   func()
}

type events []simEvent

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].order, e[j].order)) < 0
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(simEvent)) } //nolint:forcetypeassert // used through container/heap only
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newSim(t *testing.T, seed uint64, nodes int) *sim {
	w := &sim{
		t: t, r: rand.New(rand.NewPCG(seed, 1)), written: make(map[int64]string), reported: make(map[int64]string),
		tokens: make(map[int64]string), excused: make(map[int64]bool), replaced: true,
	}
	for i := range nodes {
		w.nodes = append(w.nodes, &simNode{name: string(rune('a' + i))})
		w.start(w.nodes[i])
	}
	return w
}

func (w *sim) start(n *simNode) {
	w.order++
	n.inc, n.inbox, n.paused, n.greeted = n.name+strconv.Itoa(w.order), nil, 0, make(map[string]string)
	n.seat = NewSeat(n.name, n.inc, testTiming(), w.now)
}

func (w *sim) after(d time.Duration, f func()) {
	w.order++
	heap.Push(&w.queue, simEvent{at: w.now + d, order: w.order, run: f})
}

func (w *sim) millis(least, most int) time.Duration {
	return time.Duration(least+w.r.IntN(most-least+1)) * time.Millisecond
}

// run advances the time.
func (w *sim) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += testStep {
		for len(w.queue) > 0 && w.queue[0].at <= w.now {
			heap.Pop(&w.queue).(simEvent).run() //nolint:forcetypeassert // the queue holds nothing else
		}
		if w.faulty {
			w.fault()
		}
		for _, n := range w.nodes {
			if w.now >= n.paused {
				w.stepNode(n)
			}
		}
	}
}

// deliver passes a result or message to a node, after its pause if it is paused, and drops it if the process has ended.
func (w *sim) deliver(n *simNode, inc string, f func()) {
	if n.inc == inc {
		n.inbox = append(n.inbox, f)
	}
}

func (w *sim) linked(a, b *simNode) bool { return w.now >= a.cut && w.now >= b.cut }

func (w *sim) stepNode(n *simNode) {
	for _, f := range n.inbox {
		f()
	}
	n.inbox = nil
	// Windows that any of the clocks has ended may have been written.
	v := View{Overdue: int64((w.now-10*time.Second)/testWindow) - 1, FirstWindow: max(1, int64((w.now+2*time.Second)/testWindow))}
	reachable := 1
	for _, o := range w.nodes {
		if !w.linked(n, o) {
			delete(n.greeted, o.name)
		}
		if o != n && w.linked(n, o) {
			if known := n.seat.Known(); n.greeted[o.name] != o.inc {
				n.greeted[o.name] = o.inc
				inc := o.inc
				w.after(w.millis(1, 30), func() { w.deliver(o, inc, func() { o.seat.Heard(known, w.now) }) })
			}
			reachable++
			v.HolderLinked = v.HolderLinked || o.name == n.seat.Holder() && o.inc == n.seat.HolderIncarnation()
			if o.name < n.name && o.name != n.seat.LastHolder() {
				v.Rank++
			}
		}
	}
	v.Alone = reachable == 1
	v.Quorum = 2*reachable >= len(w.nodes)
	if c, ok := n.seat.NextStore(w.now, v, func(after int64) []wire.DutyReport { return w.closed(n, after) }); ok {
		w.callStore(n, c)
	}
	if c, ok := n.seat.NextCall(w.now); ok {
		w.callAPI(n, c)
	}
}

// closed makes up reports. Each one is unique, so that a window that is reported by two processes on their own is noticed.
func (w *sim) closed(n *simNode, after int64) []wire.DutyReport {
	var l []wire.DutyReport
	for k := after + 1; time.Duration(k+1)*testWindow+2100*time.Millisecond <= w.now+n.clock; k++ {
		l = append(l, wire.DutyReport{Window: k, Body: fmt.Sprint(n.inc, w.r.Uint64())})
	}
	return l
}

func (w *sim) callStore(n *simNode, c StoreCall) {
	inc := n.inc
	fail := func(ambiguous bool) {
		w.after(w.millis(100, 1000), func() {
			w.deliver(n, inc, func() {
				n.seat.Failed(c, ambiguous, w.now)
				w.broadcast(n, wire.DutyNotice{Sender: n.name, Trying: true})
			})
		})
	}
	relayed := w.now < n.noStore
	if relayed && !slices.ContainsFunc(w.nodes, func(o *simNode) bool { return o != n && w.linked(n, o) && w.now >= o.noStore && w.now >= o.paused }) ||
		w.now < w.down {
		fail(w.r.IntN(2) == 0)
		return
	}
	lost, late := w.faulty && w.r.IntN(8) == 0, w.faulty && w.r.IntN(8) == 0
	switch {
	case late:
		w.after(w.millis(1000, 6000), func() { w.apply(c) })
		fail(true)
	case lost:
		w.after(w.millis(1, 100), func() { w.apply(c) })
		fail(true)
	default:
		delay := w.millis(1, 40)
		if relayed {
			delay += 100 * time.Millisecond
		}
		w.after(delay, func() {
			ok := w.apply(c)
			object, revision := w.object, w.revision
			if !w.exists {
				revision = 0
			}
			w.after(w.millis(1, 20), func() {
				w.deliver(n, inc, func() { w.result(n, c, ok, object, revision) })
			})
		})
	}
}

// apply carries out a call at the store and reports whether a write took effect.
func (w *sim) apply(c StoreCall) bool {
	if c.Op == Read {
		w.reads++
		return false
	}
	w.writes++
	if c.Op == Create && w.exists || c.Op == Update && (!w.exists || c.Revision != w.revision) {
		return false
	}
	if n := len(w.tenures); n == 0 || w.tenures[n-1].token != c.Spec.Token {
		if n > 0 && c.Spec.Token <= w.tenures[n-1].token {
			w.t.Fatalf("token %d of %s follows %d", c.Spec.Token, c.Spec.Holder, w.tenures[n-1].token)
		}
		w.tenures = append(w.tenures, tenure{holder: c.Spec.Holder, token: c.Spec.Token, at: w.now})
	}
	w.object, w.exists = c.Spec, true
	w.revision++
	for _, r := range c.Spec.Reports {
		if old, ok := w.written[r.Window]; ok && old != r.Body {
			w.t.Fatalf("window %d was written twice", r.Window)
		}
		w.written[r.Window] = r.Body
	}
	for ; w.last < c.Spec.Last; w.last++ {
		if w.written[w.last+1] == "" {
			if !w.replaced {
				w.t.Fatalf("window %d is skipped", w.last+1)
			}
			w.excused[w.last+1] = true
		}
	}
	w.replaced = false
	return true
}

func (w *sim) result(n *simNode, c StoreCall, ok bool, object wire.DutySeat, revision int64) {
	before := n.seat.Notice().Rev
	switch {
	case ok:
		n.seat.Wrote(c, revision, w.now)
	case revision == 0:
		n.seat.Absent(w.now)
	default:
		n.seat.Saw(c, object, revision, w.now)
	}
	if m := n.seat.Notice(); m.Rev != before && m.Rev > 0 {
		w.broadcast(n, m)
	}
}

func (w *sim) broadcast(n *simNode, m wire.DutyNotice) {
	for _, o := range w.nodes {
		inc := o.inc
		if o != n && w.linked(n, o) {
			w.after(w.millis(1, 30), func() { w.deliver(o, inc, func() { o.seat.Heard(m, w.now) }) })
		}
	}
}

func (w *sim) callAPI(n *simNode, c APICall) {
	inc := n.inc
	if w.faulty && w.r.IntN(20) == 0 { // suspended between the decision and the call
		n.paused = w.now + w.millis(50, 8000)
		w.after(n.paused-w.now, func() {
			switch {
			case n.inc != inc:
			case w.now >= c.Until:
				w.deliver(n, inc, func() { n.seat.Called(Expired, w.now) })
			default:
				c.Timeout = min(c.Timeout, c.Until+callGrace-w.now)
				w.sendCall(n, c)
			}
		})
		return
	}
	w.sendCall(n, c)
}

func (w *sim) sendCall(n *simNode, c APICall) {
	inc, holder := n.inc, n.name
	silent := w.now < w.apiDown || w.now < n.noStore
	lost := w.faulty && w.r.IntN(6) == 0
	late := w.faulty && w.r.IntN(6) == 0 // given up, but on its way
	arrival := min(w.millis(1, 250), c.Timeout)
	if late {
		arrival = c.Timeout + w.millis(1, int(arrivalMargin.Milliseconds()))
	}
	if !silent {
		w.after(arrival, func() { w.arrive(holder, inc, c) })
	}
	result, delay := Confirmed, arrival+w.millis(1, 30)
	if silent || lost || delay > c.Timeout {
		result, delay = Unanswered, c.Timeout
		if w.now < n.noStore && !n.keptConn {
			result = Unreached
		}
	}
	n.keptConn = result == Confirmed
	w.after(delay, func() { w.deliver(n, inc, func() { n.seat.Called(result, w.now) }) })
}

// arrive checks a call at the platform.
func (w *sim) arrive(holder, inc string, c APICall) {
	if c.Token < w.token {
		w.t.Fatalf("%v: %s sends token %d after %d", w.now, holder, c.Token, w.token)
	}
	w.token = c.Token
	if other, ok := w.tokens[c.Token]; ok && other != inc {
		w.t.Fatalf("token %d is sent by %s and %s", c.Token, other, inc)
	}
	w.tokens[c.Token] = inc
	if w.written[c.Report.Window] != c.Report.Body {
		w.t.Fatalf("window %d was sent with a body that is not in the store", c.Report.Window)
	}
	w.reported[c.Report.Window] = c.Report.Body
}

// fault starts a random fault now and then.
func (w *sim) fault() {
	if w.r.IntN(40) != 0 {
		return
	}
	n := w.nodes[w.r.IntN(len(w.nodes))]
	if w.r.IntN(2) == 0 { // mostly the holder
		for _, o := range w.nodes {
			if o.seat.Holding() {
				n = o
			}
		}
	}
	switch w.r.IntN(9) {
	case 8: // at a twentieth of the rate of the others
		if w.exists && w.r.IntN(20) == 0 {
			for _, r := range w.object.Reports {
				w.excused[r.Window] = true
			}
			w.object = wire.DutySeat{}
			w.revision++
			w.exists = w.r.IntN(2) == 0
			w.replaced = true
		}
	case 0:
		n.paused = w.now + w.millis(200, 8000)
	case 1:
		w.start(n) // killed and started again
	case 2:
		n.cut = w.now + w.millis(500, 9000)
	case 3:
		n.noStore = w.now + w.millis(500, 9000)
	case 4:
		w.down = w.now + w.millis(1000, 9000)
	case 5:
		w.apiDown = w.now + w.millis(1000, 9000)
	case 6:
		n.clock = w.millis(0, 4000) - 2*time.Second
	case 7:
		n.seat.Stop()
		w.after(w.millis(1000, 3000), func() { w.start(n) })
	}
}

// heal ends all faults.
func (w *sim) heal() {
	w.faulty, w.down, w.apiDown = false, 0, 0
	for _, n := range w.nodes {
		n.paused, n.cut, n.noStore, n.clock = 0, 0, 0, 0
		if n.seat.stopping {
			w.start(n)
		}
	}
}

// check checks that the duty never returned to a former holder too soon, and that all windows were reported.
func (w *sim) check() {
	for i, t := range w.tenures {
		for _, former := range w.tenures[:i] {
			// The former holder lost the duty when the next tenure began.
			next := w.tenures[slices.IndexFunc(w.tenures, func(o tenure) bool { return o.token == former.token })+1]
			if former.holder == t.holder && next.holder != t.holder && t.at-next.at < testLease {
				w.t.Errorf("the duty returned to %s with token %d after %v", t.holder, t.token, t.at-next.at)
			}
		}
	}
	for k := int64(1); time.Duration(k+1)*testWindow+10*time.Second <= w.now; k++ {
		if w.reported[k] == "" && !w.excused[k] {
			w.t.Errorf("window %d is not reported after all faults; holders %v", k, w.tenures[max(len(w.tenures)-3, 0):])
			return
		}
	}
}

// Guards against two counts for a window, tokens that repeat or fall, calls of a former holder, a duty that returns to its
// former holder too soon, and windows that are never reported, whatever fails.
func TestSeatUnderFaults(t *testing.T) {
	seeds := 100
	if testing.Short() {
		seeds = 20
	}
	changes, reports := 0, 0
	for seed := range seeds {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			w := newSim(t, uint64(seed), 2+seed%5)
			w.faulty = true
			w.run(5 * time.Minute)
			w.heal()
			w.run(time.Minute)
			w.check()
			changes += len(w.tenures)
			reports += len(slices.Collect(maps.Keys(w.reported)))
		})
	}
	t.Logf("%d seeds, %d tenures, %d windows reported", seeds, changes, reports)
	if changes < 3*seeds {
		t.Errorf("only %d tenures: the faults do not test takeovers", changes)
	}
}

// Guards against store calls beyond one write for each window while nothing fails, since every call is billed.
func TestCalmCost(t *testing.T) {
	w := newSim(t, 1, 23)
	const windows = 60
	w.run(windows * testWindow)
	if len(w.tenures) != 1 || len(w.reported) < windows-3 {
		t.Fatalf("%d tenures and %d windows reported, want 1 and about %d", len(w.tenures), len(w.reported), windows)
	}
	if w.writes > windows+2 || w.reads > 2 {
		t.Errorf("%d writes and %d reads for %d windows", w.writes, w.reads, windows)
	}
}

// Guards against a report that misses its time limit since the holder ends right before or after the write of a window, and
// against a graceful stop that costs a time-out.
func TestTakeoverInTime(t *testing.T) {
	for name, c := range map[string]struct {
		fault func(w *sim, n *simNode)
		limit time.Duration // from the end of the window
	}{
		"killed":                     {func(w *sim, n *simNode) { w.start(n) }, 10 * time.Second},
		"paused":                     {func(w *sim, n *simNode) { n.paused = w.now + time.Minute }, 10 * time.Second},
		"cut off":                    {func(w *sim, n *simNode) { n.cut = w.now + time.Minute }, 10 * time.Second},
		"cut off from store and API": {func(w *sim, n *simNode) { n.noStore = w.now + time.Minute }, 10 * time.Second},
		"released":                   {func(_ *sim, n *simNode) { n.seat.Stop() }, 3200 * time.Millisecond},
	} {
		for _, at := range []time.Duration{6 * time.Second, 7 * time.Second, 7200 * time.Millisecond, 8 * time.Second} {
			w := newSim(t, 3, 5)
			w.run(10*testWindow + at) // window 9 ends at 10 windows
			for _, n := range w.nodes {
				if n.seat.Holding() {
					c.fault(w, n)
					break
				}
			}
			for _, window := range []int64{9, 10, 11} {
				w.run(time.Duration(window+1)*testWindow + c.limit - w.now)
				if w.reported[window] == "" {
					t.Errorf("%s at %v: window %d is not reported %v after its end", name, at, window, c.limit)
				}
			}
		}
	}
}

// Guards against an object that outgrows the store while the platform's API is down, and against newer reports that wait for
// good behind one that the platform rejects.
func TestReportsAreBounded(t *testing.T) {
	w := newSim(t, 5, 2)
	w.apiDown = time.Hour
	w.run(15 * time.Minute)
	if n := len(w.object.Reports); n != maxReports {
		t.Errorf("%d reports are kept, want %d", n, maxReports)
	}
	w.apiDown = 0
	w.run(time.Minute)
	last := int64(w.now/testWindow) - 3
	if w.reported[last] == "" || w.reported[last-maxReports/2] == "" || w.reported[1] != "" {
		t.Errorf("after the outage %d windows are reported", len(w.reported))
	}
	for _, n := range w.nodes {
		s := n.seat
		if !s.Holding() {
			continue
		}
		before := s.Dropped()
		if before == 0 {
			t.Error("dropped reports are not counted")
		}
		s.object.Reports, s.leaseFrom = []wire.DutyReport{{Window: 900, Body: "a"}, {Window: 901, Body: "b"}}, w.now
		for range maxRejections {
			w.now = max(w.now, s.nextCall)
			s.leaseFrom = w.now
			if c, ok := s.NextCall(w.now); !ok || c.Report.Window != 900 {
				t.Fatalf("call %+v, %t", c, ok)
			}
			s.Called(Rejected, w.now)
		}
		w.now = s.nextCall
		if c, ok := s.NextCall(w.now); !ok || c.Report.Window != 901 || s.Dropped() != before+1 {
			t.Errorf("after the rejections %+v, %t", c, ok)
		}
	}
}

// Guards against reports that are dropped though their time limit has not passed, and against a report that blocks later ones
// since no object can hold it.
func TestFullObject(t *testing.T) {
	s := NewSeat("a", "a1", testTiming(), 0)
	body := func(share float64) string { return string(make([]byte, int(share*float64(s.timing.MaxBytes)))) }
	closed := []wire.DutyReport{{Window: 1, Body: body(0.4)}, {Window: 2, Body: body(0.4)}, {Window: 3, Body: body(1.1)}, {Window: 4, Body: body(0.4)}}
	kept, last, dropped, tooLarge := s.add(nil, closed, View{})
	if len(kept) != 2 || last != 3 || dropped != 0 || !slices.Equal(tooLarge, []int64{3}) {
		t.Errorf("in time: %d reports up to window %d, %d dropped, %v too large", len(kept), last, dropped, tooLarge)
	}
	kept, last, dropped, _ = s.add(kept, closed[3:], View{Overdue: 2})
	if len(kept) != 2 || kept[0].Window != 2 || last != 4 || dropped != 1 {
		t.Errorf("overdue: %d reports up to window %d, %d dropped", len(kept), last, dropped)
	}
}
