package turn

import (
	"sync"
	"time"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/fairness"
)

// offerTTL is how long an offer may be used without being renewed. Jobs with waiting items renew theirs every 100 ms.
const offerTTL = 250 * time.Millisecond

// failureTTL is how long an offer whose items found no server is passed over, unless an item ends. The job that made the
// offer tries again by itself.
const failureTTL = 20 * time.Millisecond

// Offer describes the items of a job that wait for slots of a service.
//
// Whichever job notices a free slot, the item of the job whose workspace has least of its share is started: each job offers
// its items, and a call of StartItems starts items of all offers in that order. An offer whose items find no server is
// passed over, so that no slot stays free for it.
type Offer struct {
	Service string
	Flow    fairness.Flow
	Waiting int
	// Start starts one item, and returns false if no item of the job finds a server. Calls for jobs of one service follow one
	// another, but may come from the goroutines of other jobs. It must not call Turns.
	Start func(now time.Time) bool
}

// items is the state of the items of one service.
type items struct {
	mu       sync.Mutex
	slots    *fairness.Slots
	offers   map[any]*offer // by job
	sequence int
	ended    int // items that have ended
}

type offer struct {
	Offer
	sequence    int // of its first offer: older jobs of a workspace come first
	renewedAt   time.Time
	failedAt    time.Time
	failedEnded int // value of items.ended when no server was found last
}

// StartItems renews the offer of a job, starts items of all jobs while there are slots, and returns how many items of this
// job still wait.
func (t *Turns) StartItems(now time.Time, job any, o Offer) int {
	s := t.service(o.Service)
	servers := t.Catalog.Servers(o.Service)
	left, waiting := s.items.renewAndStart(now, job, o, servers, t.Tracker)
	if waiting {
		t.signalScarce()
	}
	return left
}

// renewAndStart renews an offer and starts items of all offers unless all slots are in use. It returns how many items of
// this offer and whether any items still wait.
func (i *items) renewAndStart(
	now time.Time, job any, o Offer, servers []catalog.Server, tracker Tracker,
) (left int, waiting bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	own := i.renew(job, o, now)
	i.count(now)
	if o.Waiting > 0 && !tracker.Full(now, servers, 0) {
		i.start(now, servers)
	}
	return own.Waiting, i.slots.Waiting() > 0
}

// Withdraw removes the offer of a job.
func (t *Turns) Withdraw(now time.Time, service string, job any) {
	s := t.known(service)
	if s == nil {
		return
	}
	s.items.mu.Lock()
	defer s.items.mu.Unlock()
	if o := s.items.offers[job]; o != nil {
		delete(s.items.offers, job)
		s.items.slots.SetWaiting(o.Flow, 0)
		s.items.count(now)
	}
}

// ItemEnded records that a started item has ended or waits again.
func (t *Turns) ItemEnded(service string, f fairness.Flow) {
	s := t.service(service)
	s.items.mu.Lock()
	defer s.items.mu.Unlock()
	s.items.ended++
	s.items.slots.Ended(f)
}

func (i *items) renew(job any, o Offer, now time.Time) *offer {
	own := i.offers[job]
	if own == nil {
		i.sequence++
		own = &offer{sequence: i.sequence}
		i.offers[job] = own
	}
	if own.Flow != o.Flow {
		i.slots.SetWaiting(own.Flow, 0)
	}
	own.Offer, own.renewedAt, own.failedAt = o, now, time.Time{}
	return own
}

// count brings the numbers of waiting items by flow up to date.
func (i *items) count(now time.Time) {
	waiting := make(map[fairness.Flow]int, len(i.offers))
	for job, o := range i.offers {
		if now.Sub(o.renewedAt) >= offerTTL {
			delete(i.offers, job)
			waiting[o.Flow] += 0
			continue
		}
		waiting[o.Flow] += o.Waiting
	}
	for f, n := range waiting {
		i.slots.SetWaiting(f, n)
	}
}

// start starts items of all offers until none finds a server.
func (i *items) start(now time.Time, servers []catalog.Server) {
	i.slots.Begin(now, slots(servers))
	for {
		candidates := i.candidates(now)
		f, ok := i.slots.Next(now, candidates)
		if !ok {
			return
		}
		o := i.oldest(f, now)
		if !o.Start(now) {
			o.failedAt, o.failedEnded = now, i.ended
			continue
		}
		o.Waiting--
		i.slots.Started(f)
	}
}

// usable reports whether an offer has items that may find a server.
func (i *items) usable(o *offer, now time.Time) bool {
	if o.Waiting <= 0 || now.Sub(o.renewedAt) >= offerTTL {
		return false
	}
	return o.failedAt.IsZero() || !o.failedAt.Equal(now) && (o.failedEnded != i.ended || now.Sub(o.failedAt) >= failureTTL)
}

// candidates returns the flows with a usable offer.
func (i *items) candidates(now time.Time) []fairness.Flow {
	var l []fairness.Flow
	seen := make(map[fairness.Flow]bool, len(i.offers))
	for _, o := range i.offers {
		if i.usable(o, now) && !seen[o.Flow] {
			seen[o.Flow] = true
			l = append(l, o.Flow)
		}
	}
	return l
}

// oldest returns the usable offer of a flow that was made first.
func (i *items) oldest(f fairness.Flow, now time.Time) *offer {
	var first *offer
	for _, o := range i.offers {
		if o.Flow == f && i.usable(o, now) && (first == nil || o.sequence < first.sequence) {
			first = o
		}
	}
	return first
}
