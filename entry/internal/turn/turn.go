// Package turn lets the requests of clients and the items of jobs go to the servers of a service in the order of the shares
// of their workspaces (package fairness).
//
// # Usage
//
//	t := turn.New(turn.Options{Name: "front-1", Catalog: catalog, Tracker: tracker, Peers: peers, …})
//	t.Register()
//	go t.Run(ctx)
//
//	v := t.Admit(ctx, now, turn.Request{Service: "v", Flow: flow, Within: within})
//	if !v.OK { … } // refused, to be repeated after v.RetryAfter
//	t.Answered("v", "r", duration, now) // or t.NoRoom("v", now)
//
// While slots are free, Admit returns at once. Otherwise it may block until a slot frees, for no longer than the request
// can be expected to be answered in time, and until ctx ends.
//
// Entries report to each other what workspaces ask for at a service, only while its slots are short. Items of jobs are
// described at Offer.
package turn

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/event"
	"bulrushspoke/internal/fairness"
	"bulrushspoke/internal/link"
	"bulrushspoke/internal/supervise"
)

// minWake bounds the processor time of dispatching. It is far shorter than a request takes.
const minWake = time.Millisecond

// queuedRequests is how many requests may wait at each server beyond its slots while this entry alone uses them: one keeps
// a server busy for the time of a round trip.
const queuedRequests = 1

// Causes of refusals.
const (
	causeShare     = "the share of the workspace is used up"
	causeLate      = "no slot became free in time"
	causeCancelled = "the wait was cancelled"
)

// Tracker knows the requests in flight at servers.
type Tracker interface {
	Full(now time.Time, servers []catalog.Server, extra int) bool
}

// Peers exchanges messages with the other entries.
type Peers interface {
	Broadcast(kind string, body any)
	Handle(kind string, f func(context.Context, link.Frame) (string, any, error))
	Share(now time.Time) float64
	Connected() []string
}

// Counter counts events by the values of its labels.
type Counter interface {
	Add(n int64, values ...string)
}

// Histogram records values by two labels.
type Histogram interface {
	Record(service, outcome string, value float64)
}

// Options are the dependencies of Turns.
type Options struct {
	Name    string // of this entry
	Catalog *catalog.Catalog
	Tracker Tracker
	Peers   Peers
	Waits   Histogram // seconds that requests waited, by service and outcome
	Refused Counter   // refused requests, by service and cause
	Logger  *slog.Logger
}

// Turns holds the order of work for each service. It is safe for concurrent use.
type Turns struct {
	Options
	scarce chan struct{} // signalled while there is something to report

	mu       sync.RWMutex
	services map[string]*service
}

// service is the state of one service.
type service struct {
	name string

	mu      sync.Mutex
	queue   *fairness.Queue
	waiting map[*fairness.Ticket]chan struct{} // closed when the ticket is decided
	timer   *time.Timer
	short   bool // event.SlotsShort has been logged last

	items items
}

// Request is a request of a client.
type Request struct {
	Service  string
	Flow     fairness.Flow
	Route    string
	Within   time.Duration // time left to answer it within its objective and its deadline
	Left     time.Duration // time left until the deadline that its client has named, or 0
	Returned int           // times that all servers have refused it for lack of room
}

// Verdict says whether a request may go to a server now.
type Verdict struct {
	OK         bool
	RetryAfter time.Duration // of a refused request
	Cause      string        // of the refusal
}

// New returns Turns that know no service.
func New(o Options) *Turns {
	return &Turns{Options: o, scarce: make(chan struct{}, 1), services: make(map[string]*service)}
}

// service returns the state of a service, which it creates for a new one.
func (t *Turns) service(name string) *service {
	t.mu.RLock()
	s := t.services[name]
	t.mu.RUnlock()
	if s != nil {
		return s
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s = t.services[name]; s == nil {
		s = &service{
			name: name, queue: fairness.NewQueue(t.Peers.Share, func() int { return len(t.Peers.Connected()) + 1 }),
			waiting: make(map[*fairness.Ticket]chan struct{}), items: items{slots: fairness.NewSlots(), offers: make(map[any]*offer)},
		}
		t.services[name] = s
	}
	return s
}

// known returns the state of a service that a request has been admitted for, or nil.
func (t *Turns) known(name string) *service {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.services[name]
}

// Admit decides whether a request may go to a server of its service now. It blocks while the request waits for its turn. A
// request whose service has no server goes: the placement refuses it.
func (t *Turns) Admit(ctx context.Context, now time.Time, r Request) Verdict {
	servers := t.Catalog.Servers(r.Service)
	if len(servers) == 0 {
		return Verdict{OK: true}
	}
	full := t.full(now, servers)
	s := t.service(r.Service)
	d, decided := t.decide(s, now, fairness.Request{
		Flow: r.Flow, Route: r.Route, Within: r.Within, Left: r.Left, Returned: r.Returned, Slots: slots(servers), Full: full,
	})
	switch d.Action {
	case fairness.Go:
		return Verdict{OK: true}
	case fairness.Refuse:
		t.Refused.Add(1, r.Service, causeShare)
		return Verdict{RetryAfter: d.RetryAfter, Cause: causeShare}
	default:
		return t.await(ctx, s, d.Ticket, decided, now)
	}
}

// decide returns the decision about a request, and for one that waits a channel that is closed when its ticket is decided.
func (t *Turns) decide(s *service, now time.Time, r fairness.Request) (fairness.Decision, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.queue.Admit(now, r)
	if scarce := s.queue.Scarce(now); scarce || s.short {
		t.noteScarcity(s, scarce)
	}
	if d.Action != fairness.Wait {
		return d, nil
	}
	decided := make(chan struct{})
	s.waiting[d.Ticket] = decided
	t.dispatch(s, now)
	return d, decided
}

// await waits until a ticket is decided, ctx ends, or the service has no server left.
func (t *Turns) await(ctx context.Context, s *service, ticket *fairness.Ticket, decided chan struct{}, since time.Time) Verdict {
	for waiting := true; waiting; {
		changed := t.Catalog.Changed()
		if len(t.Catalog.Servers(s.name)) == 0 {
			t.leave(s, ticket, "no_server", since)
			return Verdict{OK: true}
		}
		select {
		case <-decided:
			waiting = false
		case <-changed:
		case <-ctx.Done():
			t.leave(s, ticket, "cancelled", since)
			return Verdict{Cause: causeCancelled}
		}
	}
	after, refused := ticket.Refused()
	if refused {
		t.Waits.Record(s.name, "refused", time.Since(since).Seconds())
		t.Refused.Add(1, s.name, causeLate)
		return Verdict{RetryAfter: after, Cause: causeLate}
	}
	t.Waits.Record(s.name, "served", time.Since(since).Seconds())
	return Verdict{OK: true}
}

// leave removes a ticket that waits no more and records how long it has waited.
func (t *Turns) leave(s *service, ticket *fairness.Ticket, outcome string, since time.Time) {
	s.mu.Lock()
	s.queue.Leave(ticket)
	delete(s.waiting, ticket)
	s.mu.Unlock()
	t.Waits.Record(s.name, outcome, time.Since(since).Seconds())
}

// full reports whether all slots are in use as far as known. The slots of engines do not count: items of jobs fill them, and
// the engines queue requests of clients.
func (t *Turns) full(now time.Time, servers []catalog.Server) bool {
	return len(servers) > 0 && servers[0].Versions == nil && t.Tracker.Full(now, servers, queuedRequests)
}

// slots returns the sum of the slots of servers.
func slots(servers []catalog.Server) int {
	n := 0
	for _, s := range servers {
		n += max(s.Slots, 1)
	}
	return n
}

// dispatch decides the tickets whose turn it is and sets the timer for the next ones; the caller holds s.mu.
func (t *Turns) dispatch(s *service, now time.Time) {
	if s.queue.Waiting() == 0 {
		return
	}
	servers := t.Catalog.Servers(s.name)
	// A released request is counted in the tracker only after it was placed. Each call therefore releases at most one request
	// beyond the shares, and the next one soon after.
	full, released := t.full(now, servers), false
	for ticket, ok := s.queue.Next(now, full); ok; ticket, ok = s.queue.Next(now, full) {
		close(s.waiting[ticket])
		delete(s.waiting, ticket)
		if _, refused := ticket.Refused(); !refused {
			full, released = true, true
		}
	}
	at, ok := s.queue.Wake(now)
	if !ok {
		return
	}
	wait := max(at.Sub(now), minWake)
	if released {
		wait = minWake
	}
	t.wakeAfter(s, wait)
}

// wakeAfter has wake called after a time, in place of an earlier call of wakeAfter; the caller holds s.mu.
func (t *Turns) wakeAfter(s *service, wait time.Duration) {
	if s.timer == nil {
		s.timer = time.AfterFunc(wait, func() { supervise.Guard(t.Logger, "turn", func() { t.wake(s) }) })
		return
	}
	s.timer.Reset(wait)
}

func (t *Turns) wake(s *service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	t.noteScarcity(s, s.queue.Scarce(now))
	t.dispatch(s, now)
	if s.short && s.queue.Waiting() == 0 {
		t.wakeAfter(s, s.queue.ScarceFor(now))
	}
}

// Answered records that a server of a service has answered a request of a route, and how long it has needed.
func (t *Turns) Answered(service, route string, duration time.Duration, now time.Time) {
	s := t.known(service)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Answered(now, route, duration)
	t.noteScarcity(s, s.queue.Scarce(now))
	t.dispatch(s, now)
}

// NoRoom records that no server of a service had room for a request.
func (t *Turns) NoRoom(service string, now time.Time) {
	s := t.known(service)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Refused(now)
	t.noteScarcity(s, true)
	t.dispatch(s, now)
}

// Waiting returns the number of requests that wait for a slot.
func (t *Turns) Waiting() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	n := 0
	for _, s := range t.services {
		s.mu.Lock()
		n += s.queue.Waiting()
		s.mu.Unlock()
	}
	return n
}

// noteScarcity has reports sent while the slots of a service are short, and logs the beginning and the end of that; the
// caller holds s.mu.
func (t *Turns) noteScarcity(s *service, scarce bool) {
	if scarce {
		t.signalScarce()
	}
	if scarce == s.short {
		return
	}
	s.short = scarce
	if scarce {
		event.SlotsShort.Log(t.Logger, "service", s.name)
		if s.queue.Waiting() == 0 { // otherwise the timer is set; no request may follow that sees the end
			t.wakeAfter(s, s.queue.ScarceFor(time.Now()))
		}
		return
	}
	event.SlotsSufficient.Log(t.Logger, "service", s.name)
}

func (t *Turns) signalScarce() {
	select {
	case t.scarce <- struct{}{}:
	default:
	}
}
