package fairness

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// scarceTime is how long a service counts as short of slots after no server had room for a request. Under overload entries ask for
	// a little more than the servers take, so that refusals follow each other much faster.
	scarceTime = 500 * time.Millisecond
	// reportTTL is how long a report of another entry counts: that of three reports (package turn), so that a lost message
	// changes nothing.
	reportTTL = 500 * time.Millisecond
	// settleTime is the time until the reports of other entries have arrived. Until then an entry assumes equal demand at all
	// entries.
	settleTime = 50 * time.Millisecond
	// headroom is the factor by which entries exceed the measured rate of a service while it refuses requests. Without it
	// they would not notice that it has become faster; with 1.1 a third more attempts were refused. headroomStep is the time
	// without refusals in which it grows by the same factor once more, up to maxHeadroom.
	headroom     = 1.05
	headroomStep = 50 * time.Millisecond
	maxHeadroom  = 8
	// connectedTTL is how long the rate counts that a service had when all entries heard each other. Entries that cannot hear
	// each other use their part of it for at most 15 s (peer.Share).
	connectedTTL = 30 * time.Second
	// allocateInterval is the time between two divisions of the capacity, unless a demand doubles. A division among 81
	// workspaces with the reports of 22 entries takes 130 us, so that this costs 0.5% of a core.
	allocateInterval = 25 * time.Millisecond
	// wakeInterval is the longest time between two looks at waiting requests, whose shares change as others come and go.
	wakeInterval = 20 * time.Millisecond
	// burstTime is the time for which an unused rate accumulates.
	burstTime = 20 * time.Millisecond
	// returnPause is the shortest pause before a request is tried again that all servers had no room for. The first pause is
	// a part of the mean duration, in which slots become free at several servers: 1/returnPart for limited flows, and
	// 1/satisfiedReturnPart for the others. Later pauses double, so that a request is tried a few times within its objective.
	returnPause         = 10 * time.Millisecond
	returnPart          = 4
	satisfiedReturnPart = 16
	// maxReturned is the number of times that all servers may refuse a request until it is refused. It bounds the attempts at
	// servers of one request; with 4, small workspaces were served 0.875 of what they asked for when servers became slower.
	maxReturned = 6
	// returnMargin is the factor by which the times between the returns of refused requests exceed those between the requests
	// that are served. The rate is an estimate, and a request that is refused twice often has no third try.
	returnMargin = 1.5
	// estimateMargin is the factor by which the estimated wait may be exceeded.
	estimateMargin = 1.6
	// defaultDuration is assumed for a service that has not answered yet, as in package place.
	defaultDuration = 30 * time.Millisecond
	// maxSampleRatio bounds what one answer counts in a mean duration, as a multiple of the mean. Without a bound, one answer of
	// 5 s among those of 25 ms would keep requests from waiting until about thirty more answers have come. With it, the mean of a
	// service of 1 s reaches its value after about fourteen answers.
	maxSampleRatio = 4
	// routeTTL is how long the mean duration of a route is kept that gets no answers.
	routeTTL = time.Minute
	// maxWaiting bounds the requests that wait for a service at one entry. Their bodies are in memory.
	maxWaiting = 256
	// minRetryAfter is the shortest time to come back, about one round trip of a client. maxRetryAfter is the longest one:
	// an overload that lasts longer changes too much for a better estimate.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// returnsWithinDeadline is the number of tries that the time left must suffice for: a client that comes back when all of its
	// time has passed gets no answer.
	returnsWithinDeadline = 3
	// maxReportedFlows bounds a report. It is above a hundred workspaces at two levels; the flows with less demand are reported
	// as one.
	maxReportedFlows = 256
	// minFlowRate is the rate in requests a second below which a demand is neither reported nor divided.
	minFlowRate = 0.05
	// minReallocationRate is the rate in requests a second up to which the growth of a demand changes the shares only at the next regular
	// division.
	minReallocationRate = 10
	// flowTTL is how long the state of an idle flow is kept.
	flowTTL = 10 * time.Second
	// satisfiedPart is the part of its demand from which a flow counts as getting what it asks for.
	satisfiedPart = 0.999
)

// Request is a request that asks for a server.
type Request struct {
	Flow     Flow
	Route    string        // requests of one route take about equally long
	Within   time.Duration // time left to answer it within its objective and its deadline
	Left     time.Duration // time left until the deadline that its client has named, or 0
	Returned int           // times that all servers have refused it
	Slots    int           // slots of the service
	Full     bool          // all slots are in use as far as known
}

// Action says what is to be done with a request.
type Action int

// Actions.
const (
	Go Action = iota
	Wait
	Refuse
)

// Decision is the decision about a request that has just arrived.
type Decision struct {
	Action     Action
	Ticket     *Ticket       // of a request that waits
	RetryAfter time.Duration // of a refused request
}

// Ticket is a waiting request.
type Ticket struct {
	flow       *flowState
	returned   bool
	notBefore  time.Time
	due        time.Time // latest time to start
	deadline   time.Time // of the client; zero if unknown
	refused    bool
	retryAfter time.Duration
}

// Refused returns whether the time of the request has run out, and when it may come back.
func (t *Ticket) Refused() (time.Duration, bool) { return t.retryAfter, t.refused }

// leftAt returns the time left until the deadline of the client, or 0 if that is unknown.
func (t *Ticket) leftAt(now time.Time) time.Duration {
	if t.deadline.IsZero() {
		return 0
	}
	return max(t.deadline.Sub(now), time.Nanosecond)
}

// Report is what an entry tells the others about a service that is short of slots.
type Report struct {
	Refused bool    // all servers have refused a request of this entry, or all slots known to it are in use
	Served  float64 // answers per second
	Demands []Demand
}

// Queue decides at one entry which requests of a service go to its servers, which wait and which are refused.
//
// While there is room, each request goes at once. While slots are short, flows that ask for no more than their share go
// first, and at once unless all slots known to this entry are in use. The others go at the rate of their shares, in a
// weighted fair order. Requests that can be served in time wait for their turn, the others are refused.
type Queue struct {
	share   func(now time.Time) float64
	entries func() int

	flows           map[Flow]*flowState
	list            []*flowState // in the order of their first requests, so that the same calls give the same decisions
	waiting         int
	waitingReturned int // those of them that servers have had no room for
	answered        rate
	meanDuration    time.Duration // moving average of the time of an answer, over all routes
	routes          map[string]*routeMean
	slots           int
	remote          map[string]remoteReport

	refusedAt           time.Time // last sign of this entry's own that slots are short
	heardAt             time.Time // last sign of that from another entry
	connectedCapacity   float64   // rate of the service when all entries heard each other
	connectedCapacityAt time.Time

	scarceSince      time.Time
	lastCapacity     float64 // last estimate of the capacity
	lastCapacityAt   time.Time
	prunedAt         time.Time
	allocatedAt      time.Time
	limitedRate      float64   // sum of the rates of the limited flows
	localDemandShare float64   // part of the demand that has come to this entry
	returnAt         time.Time // when the next refused request of a flow within its share may come back
	entryRate        float64   // sum of the rates of all flows
	order            *Order    // of the limited flows
	satisfied        *Order    // of the flows within their share
	tokens           float64   // requests of limited flows that may go now
	tokensAt         time.Time
}

type remoteReport struct {
	report Report
	at     time.Time
}

// flowState is the state of a flow at one entry.
type flowState struct {
	flow     Flow
	arrivals rate
	usedAt   time.Time
	waiting  []*Ticket
	limited  bool
	demand   float64   // requests a second, when the capacity was divided last
	rate     float64   // share of the flow at this entry in requests a second
	returnAt time.Time // when the next refused request may come back
	returns  int       // refused requests
}

// NewQueue returns the Queue of a service that is not short of slots. share returns which part of the running entries
// hear each other, from 0 to 1, and entries their number.
func NewQueue(share func(now time.Time) float64, entries func() int) *Queue {
	return &Queue{
		share: share, entries: entries, flows: make(map[Flow]*flowState), remote: make(map[string]remoteReport), order: NewOrder(),
		satisfied: NewOrder(), routes: make(map[string]*routeMean),
	}
}

// Scarce reports whether the service is short of slots.
func (q *Queue) Scarce(now time.Time) bool {
	return now.Sub(q.lastSign()) < scarceTime
}

// ScarceFor returns how long the service counts as short of slots if there is no further sign.
func (q *Queue) ScarceFor(now time.Time) time.Duration {
	return max(scarceTime-now.Sub(q.lastSign()), 0)
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.waiting }

// Admit decides about a request.
func (q *Queue) Admit(now time.Time, r Request) Decision {
	f := q.flow(r.Flow, now)
	if r.Returned == 0 {
		f.arrivals.add(now)
	}
	q.slots = r.Slots
	if r.Full || r.Returned > 0 {
		q.refusedAt = now
	}
	if !q.Scarce(now) {
		return Decision{}
	}
	// A burst of requests changes the shares at once.
	if f.arrivals.perSecond(now) > 2*max(f.demand, minReallocationRate) {
		q.allocatedAt = now.Add(-allocateInterval)
	}
	q.update(now)
	if r.Returned == 0 && f.ready(now) < 0 && q.eligible(f, now, r.Full) && q.first(f, now) {
		q.charge(f)
		return Decision{}
	}
	t := &Ticket{flow: f, returned: r.Returned > 0, due: now.Add(r.Within - q.durationOf(r.Route))}
	if r.Left > 0 {
		t.deadline = now.Add(r.Left)
	}
	wait := q.estimate(f, now)
	if r.Returned > 0 {
		pause := q.pause(f, r.Returned)
		t.notBefore = now.Add(pause)
		wait = pause + seconds(float64(q.waitingReturned)/q.rateHere(now))
	}
	if q.waiting >= maxWaiting || r.Returned >= maxReturned || now.Add(time.Duration(estimateMargin*float64(wait))).After(t.due) {
		return Decision{Action: Refuse, RetryAfter: q.retryAfter(f, wait, r.Left, now)}
	}
	q.enqueue(t)
	return Decision{Action: Wait, Ticket: t}
}

// pause returns the pause before a request of a flow is tried again that all servers have refused the given number of times.
// Flows within their share are tried more often at first: a slot that frees is theirs.
func (q *Queue) pause(f *flowState, returned int) time.Duration {
	const maxDoublings = 8
	if f.limited {
		return max(returnPause, q.meanDuration/returnPart) << min(returned-1, maxDoublings)
	}
	return max(returnPause, q.meanDuration/satisfiedReturnPart) << max(min(returned-3, maxDoublings), 0)
}

// enqueue adds a ticket to those of its flow. Requests that have been let go before come first.
func (q *Queue) enqueue(t *Ticket) {
	f, at := t.flow, len(t.flow.waiting)
	if t.returned {
		if at = slices.IndexFunc(f.waiting, func(o *Ticket) bool { return !o.returned }); at < 0 {
			at = len(f.waiting)
		}
		q.waitingReturned++
	}
	f.waiting = slices.Insert(f.waiting, at, t)
	q.waiting++
}

func (q *Queue) flow(k Flow, now time.Time) *flowState {
	f := q.flows[k]
	if f == nil {
		if now.Sub(q.prunedAt) >= flowTTL {
			q.prune(now)
		}
		f = &flowState{flow: k}
		q.flows[k] = f
		q.list = append(q.list, f)
	}
	f.usedAt = now
	return f
}

// eligible reports whether a request of a flow may go. Limited flows go by their rate, or by the slots known to be free if this
// entry shares the service with no other one.
func (q *Queue) eligible(f *flowState, now time.Time, full bool) bool {
	return !full && (!f.limited || q.tokens >= 1 || q.soleEntry(now))
}

// soleEntry reports whether no other entry is known to use the service, and none that runs is out of reach.
func (q *Queue) soleEntry(now time.Time) bool {
	for _, r := range q.remote {
		if now.Sub(r.at) < reportTTL && len(r.report.Demands) > 0 {
			return false
		}
	}
	return q.share(now) >= 1
}

// first reports whether no waiting request of another flow goes before one of f.
func (q *Queue) first(f *flowState, now time.Time) bool {
	if q.waiting == 0 {
		return true
	}
	for _, o := range q.list {
		if o != f && o.ready(now) >= 0 && q.before(o, f) {
			return false
		}
	}
	return true
}

// ready returns the index of the first waiting request of a flow that need not pause, or -1.
func (f *flowState) ready(now time.Time) int {
	return slices.IndexFunc(f.waiting, func(t *Ticket) bool { return !now.Before(t.notBefore) })
}

// before reports whether requests of flow a go before those of b: flows within their share before the others, and of
// those the more urgent ones.
func (q *Queue) before(a, b *flowState) bool {
	switch {
	case a.limited != b.limited:
		return !a.limited
	case !a.limited && a.flow.level() != b.flow.level():
		return a.flow.level() < b.flow.level()
	}
	return q.orderOf(a).Before(a.flow, b.flow)
}

// orderOf returns the order that a flow is in.
func (q *Queue) orderOf(f *flowState) *Order {
	if f.limited {
		return q.order
	}
	return q.satisfied
}

// weight returns the weight of a flow in its order. Flows within their share are equal; their rates are their demands.
func (f *flowState) weight() float64 {
	if f.limited {
		return max(f.rate, minFlowRate)
	}
	return 1
}

// charge records that a request of a flow goes.
func (q *Queue) charge(f *flowState) {
	if f.limited {
		q.tokens = max(q.tokens-1, 0)
	}
	q.orderOf(f).Serve(f.flow, f.weight())
}

// rateHere returns the rate at which requests of this entry are served.
func (q *Queue) rateHere(now time.Time) float64 {
	return max(q.entryRate, q.answered.corrected(now), q.lastCapacity*q.demandShare(now))
}

// demandShare returns the part of the demand that has come to this entry.
func (q *Queue) demandShare(now time.Time) float64 {
	if q.unsettled(now) {
		return 1 / float64(max(q.entries(), 1))
	}
	return q.localDemandShare
}

// unsettled reports whether slots have become short so recently that other entries have not reported yet.
func (q *Queue) unsettled(now time.Time) bool {
	return len(q.remote) == 0 && now.Sub(q.scarceSince) < settleTime
}

// estimate returns how long a new request of a flow has to wait. The tags of limited flows are in seconds while all of them
// have requests waiting, since their weights are rates.
func (q *Queue) estimate(f *flowState, now time.Time) time.Duration {
	order := q.orderOf(f)
	start := order.start(f.flow) + float64(len(f.waiting))/f.weight()
	ahead := float64(len(f.waiting))
	for _, o := range q.list {
		switch {
		case o == f || o.limited != f.limited || len(o.waiting) == 0:
		case f.limited || o.flow.level() == f.flow.level():
			lead := start - order.start(o.flow)
			ahead += min(float64(len(o.waiting)), max(math.Floor(lead*o.weight())+1, 0))
		case o.flow.level() < f.flow.level():
			ahead += float64(len(o.waiting))
		}
	}
	if !f.limited {
		return seconds(ahead / q.rateHere(now))
	}
	wait := (ahead + 1 - q.tokens) / max(q.limitedRate, minFlowRate)
	if ahead > 0 {
		wait = max(wait, start-order.virtual)
	}
	return seconds(max(wait, 0))
}

// retryAfter returns when a refused request may come back whose client has the given time left, or 0 if that is unknown. Those
// refused one after another get times at the distance at which their flow is served. Beyond maxRetryAfter, and beyond the
// part of its time that the client can use, they are spread evenly.
func (q *Queue) retryAfter(f *flowState, wait, left time.Duration, now time.Time) time.Duration {
	limit := maxRetryAfter
	if left > 0 {
		limit = max(min(limit, left/returnsWithinDeadline), minRetryAfter)
	}
	perSecond, returnAt := f.rate, &f.returnAt
	switch {
	case !f.limited: // refused because all slots are in use, by whatever flow
		perSecond, returnAt = q.lastCapacity*q.demandShare(now), &q.returnAt
	case q.unsettled(now):
		perSecond *= q.demandShare(now)
	}
	at := now.Add(max(wait, minRetryAfter))
	if at.Before(*returnAt) {
		at = *returnAt
	}
	f.returns++
	if at.Sub(now) > limit {
		// Multiples of the golden ratio modulo 1 are spread evenly, however many there are.
		_, part := math.Modf(float64(f.returns) * math.Phi)
		least := max(limit/2, minRetryAfter)
		return least + time.Duration(part*float64(limit-least))
	}
	*returnAt = at.Add(min(seconds(returnMargin/max(perSecond, minFlowRate)), maxRetryAfter))
	return at.Sub(now)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Next returns a ticket that goes now, or one whose time has run out. Call it until it returns false; full reports whether
// all slots are in use as far as known.
func (q *Queue) Next(now time.Time, full bool) (*Ticket, bool) {
	if q.waiting == 0 {
		return nil, false
	}
	scarce := q.Scarce(now)
	if scarce {
		q.update(now)
	}
	var best *flowState
	for _, f := range q.list {
		if i := slices.IndexFunc(f.waiting, func(t *Ticket) bool { return now.After(t.due) }); i >= 0 {
			t := f.waiting[i]
			q.Leave(t)
			t.refused, t.retryAfter = true, q.retryAfter(f, q.estimate(f, now), t.leftAt(now), now)
			return t, true
		}
		if f.ready(now) < 0 {
			continue
		}
		if scarce && !q.eligible(f, now, full) {
			continue
		}
		if best == nil || q.before(f, best) {
			best = f
		}
	}
	if best == nil {
		return nil, false
	}
	t := best.waiting[best.ready(now)]
	q.Leave(t)
	if scarce {
		q.charge(best)
	}
	return t, true
}

// Leave removes a ticket whose client has gone. It does nothing if the ticket does not wait any more.
func (q *Queue) Leave(t *Ticket) {
	if i := slices.Index(t.flow.waiting, t); i >= 0 {
		t.flow.waiting = slices.Delete(t.flow.waiting, i, i+1)
		q.waiting--
		if t.returned {
			q.waitingReturned--
		}
	}
}

// Wake returns when Next is to be called without any other call in between, or false if nothing waits.
func (q *Queue) Wake(now time.Time) (time.Time, bool) {
	if q.waiting == 0 {
		return time.Time{}, false
	}
	at := now.Add(wakeInterval)
	for _, f := range q.list {
		for _, t := range f.waiting {
			if t.due.Before(at) {
				at = t.due.Add(time.Nanosecond)
			}
			if t.notBefore.After(now) && t.notBefore.Before(at) {
				at = t.notBefore
			}
		}
	}
	if q.limitedRate > 0 && q.tokens < 1 {
		if t := q.tokensAt.Add(seconds((1-q.tokens)/q.limitedRate) + time.Microsecond); t.After(now) && t.Before(at) {
			at = t
		}
	}
	return at, true
}

// routeMean is the mean duration of the answers of a route.
type routeMean struct {
	duration time.Duration
	usedAt   time.Time
}

// Answered records that a server has answered a request of a route, and how long it has needed. Time that the client needs
// to receive the answer does not count.
func (q *Queue) Answered(now time.Time, route string, duration time.Duration) {
	q.answered.add(now)
	q.meanDuration = updatedMean(q.meanDuration, duration)
	m := q.routes[route]
	if m == nil {
		maps.DeleteFunc(q.routes, func(_ string, m *routeMean) bool { return now.Sub(m.usedAt) >= routeTTL })
		m = &routeMean{}
		q.routes[route] = m
	}
	m.duration, m.usedAt = updatedMean(m.duration, duration), now
}

// updatedMean returns a moving average with one more sample.
func updatedMean(mean, sample time.Duration) time.Duration {
	const weight = 0.1 // of the newest sample
	if mean == 0 {
		return min(sample, maxSampleRatio*defaultDuration)
	}
	return mean + time.Duration(weight*float64(min(sample, maxSampleRatio*mean)-mean))
}

// durationOf returns how long a request of a route is expected to take.
func (q *Queue) durationOf(route string) time.Duration {
	if m := q.routes[route]; m != nil {
		return m.duration
	}
	return q.expectedDuration()
}

// expectedDuration returns the mean duration of all routes, or the default before the first answer.
func (q *Queue) expectedDuration() time.Duration {
	if q.meanDuration == 0 {
		return defaultDuration
	}
	return q.meanDuration
}

// Refused records that no server had room for a request. A refusal that another server makes good is no sign of a shortage: the
// refusing server may shed load while the others are idle.
func (q *Queue) Refused(now time.Time) { q.refusedAt = now }

// Apply records the report of another entry.
func (q *Queue) Apply(entry string, r Report, now time.Time) {
	q.remote[entry] = remoteReport{report: r, at: now}
	if r.Refused {
		q.heardAt = now
	}
}

// restOfFlows stands for all flows that a report does not list. No workspace has this name.
var restOfFlows = Flow{Workspace: "\x00"}

// Report returns the report for the other entries, or false if there is nothing to tell them.
func (q *Queue) Report(now time.Time) (Report, bool) {
	if !q.Scarce(now) {
		return Report{}, false
	}
	r := Report{Refused: now.Sub(q.refusedAt) < scarceTime, Served: q.answered.corrected(now)}
	for _, f := range q.list {
		if amount := f.arrivals.perSecond(now); amount >= minFlowRate {
			r.Demands = append(r.Demands, Demand{Flow: f.flow, Amount: amount})
		}
	}
	if len(r.Demands) > maxReportedFlows {
		slices.SortFunc(r.Demands, func(a, b Demand) int {
			return cmp.Or(cmp.Compare(b.Amount, a.Amount), a.Flow.compare(b.Flow))
		})
		rest := Demand{Flow: restOfFlows}
		for _, d := range r.Demands[maxReportedFlows:] {
			rest.Amount += d.Amount
		}
		r.Demands = append(r.Demands[:maxReportedFlows], rest)
	}
	slices.SortFunc(r.Demands, func(a, b Demand) int { return a.Flow.compare(b.Flow) })
	return r, len(r.Demands) > 0
}

// update brings the tokens and the shares of the flows up to now.
func (q *Queue) update(now time.Time) {
	if now.Sub(q.tokensAt) >= scarceTime {
		q.scarceSince, q.lastCapacity, q.returnAt = now, 0, time.Time{}
		for _, f := range q.list {
			f.returnAt = time.Time{}
		}
	}
	if !q.tokensAt.IsZero() {
		q.tokens += max(now.Sub(q.tokensAt).Seconds(), 0) * q.limitedRate
	}
	q.tokens = min(q.tokens, max(q.limitedRate*burstTime.Seconds(), 1))
	q.tokensAt = now
	if now.Sub(q.allocatedAt) < allocateInterval {
		return
	}
	q.allocatedAt = now
	q.allocate(now)
}

// prune removes the flows that have been idle for long.
func (q *Queue) prune(now time.Time) {
	q.prunedAt = now
	q.list = slices.DeleteFunc(q.list, func(f *flowState) bool {
		idle := len(f.waiting) == 0 && now.Sub(f.usedAt) > flowTTL
		if idle {
			delete(q.flows, f.flow)
			q.order.Forget(f.flow)
			q.satisfied.Forget(f.flow)
		}
		return idle
	})
}

// allocate divides the capacity among the flows of all entries, and the share of each flow among the entries by demand.
func (q *Queue) allocate(now time.Time) {
	q.prune(now)
	total := make(map[Flow]float64, len(q.flows))
	for _, f := range q.list {
		if amount := f.arrivals.perSecond(now); amount >= minFlowRate {
			total[f.flow] += amount
		}
	}
	for _, entry := range slices.Sorted(maps.Keys(q.remote)) {
		r := q.remote[entry]
		if now.Sub(r.at) >= reportTTL {
			delete(q.remote, entry)
			continue
		}
		for _, d := range r.report.Demands {
			total[d.Flow] += d.Amount
		}
	}
	demands := make([]Demand, 0, len(total))
	for k, amount := range total {
		demands = append(demands, Demand{Flow: k, Amount: amount})
	}
	slices.SortFunc(demands, func(a, b Demand) int { return a.Flow.compare(b.Flow) })
	granted := Allocate(q.capacity(now)*q.headroom(now), demands)
	q.limitedRate, q.entryRate = 0, minFlowRate
	own, all := 0.0, 0.0
	for i, d := range demands {
		all += d.Amount
		f := q.flows[d.Flow]
		if f == nil {
			continue
		}
		f.demand = f.arrivals.perSecond(now)
		f.limited = granted[i] < satisfiedPart*d.Amount
		f.rate = granted[i] * f.demand / d.Amount
		own += f.demand
		q.entryRate += f.rate
		if f.limited {
			q.limitedRate += f.rate
		}
	}
	q.localDemandShare = own / max(all, own, minFlowRate)
}

// capacity estimates the rate at which the service answers the requests of the entries that hear each other.
func (q *Queue) capacity(now time.Time) float64 {
	estimate := q.answered.corrected(now)
	for _, entry := range slices.Sorted(maps.Keys(q.remote)) {
		estimate += q.remote[entry].report.Served
	}
	// Before slots became short, the rate of answers was that of the requests and said nothing about the capacity. Until it has
	// been replaced by measurements, the rate of all slots counts.
	old := math.Exp(-now.Sub(q.scarceSince).Seconds() / rateWindow.Seconds())
	if nominal := float64(q.slots) / q.expectedDuration().Seconds(); nominal > estimate {
		estimate += old * (nominal - estimate)
	}
	// Without refusals the rate of answers is that of the requests again, and the last estimate counts. A burst of refusals
	// may follow a pause, which the measured rate contains.
	if now.Sub(q.lastSign()) < headroomStep {
		q.lastCapacity *= math.Exp(-now.Sub(q.lastCapacityAt).Seconds() / rateWindow.Seconds())
	}
	estimate = max(estimate, q.lastCapacity)
	q.lastCapacity, q.lastCapacityAt = estimate, now
	share := q.share(now)
	if share >= 1 {
		q.connectedCapacity, q.connectedCapacityAt = estimate, now
		return max(estimate, minFlowRate)
	}
	if now.Sub(q.connectedCapacityAt) < connectedTTL {
		estimate = min(estimate, share*q.connectedCapacity)
	}
	return max(estimate, minFlowRate)
}

// headroom returns the factor by which the capacity is exceeded to find out whether it has grown.
func (q *Queue) headroom(now time.Time) float64 {
	steps := max(now.Sub(q.lastSign()), 0) / headroomStep
	return min(math.Pow(headroom, 1+float64(steps)), maxHeadroom)
}

// lastSign returns when an entry last found that slots are short.
func (q *Queue) lastSign() time.Time {
	if q.heardAt.After(q.refusedAt) {
		return q.heardAt
	}
	return q.refusedAt
}
