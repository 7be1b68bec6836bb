// Package queue runs the attempts of one server in the order that its policy decides.
//
// # Usage
//
//	q := queue.New(name, policy, upstream, table, meters, logger)
//	go q.Serve(ctx)
//	err := q.Submit(now, a)
package queue

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"bulrushspoke/daemon/internal/attempt"
	"bulrushspoke/internal/admit"
	"bulrushspoke/internal/meter"
	"bulrushspoke/internal/refusal"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/wire"
)

// Causes for which a running attempt is stopped.
var (
	errPreempted = errors.New("queue: preempted by urgent work")
	errCancelled = errors.New("queue: cancelled")
	errDeadline  = errors.New("queue: deadline passed")
)

// Upstream runs attempts on a server.
type Upstream interface {
	// Run runs an attempt until it ends or ctx ends; stopped tells that ctx ended it.
	Run(ctx context.Context, a *attempt.Attempt, run int) (end attempt.End, stopped bool)
	// Server returns the state of the server.
	Server() wire.Server
}

// Meters are the instruments that queues record with.
type Meters struct {
	Wait  *meter.Histogram
	First *meter.Histogram
	Total *meter.Histogram
	Ends  *meter.Counter
	Moves *meter.Counter
}

// NewMeters creates the instruments.
func NewMeters(m *meter.Meter) Meters {
	return Meters{
		Wait:  m.Histogram("queue_wait", "s", "Time from arrival to the start on the server."),
		First: m.Histogram("first_token", "s", "Time from arrival to the first token."),
		Total: m.Histogram("total", "s", "Time from arrival to the end."),
		Ends:  m.Counter("attempts", "Attempts that ended, by server and outcome.", "server", "outcome"),
		Moves: m.Counter("preemptions", "Streams preempted by urgent work.", "server"),
	}
}

// Queue is the queue of one server.
type Queue struct {
	upstream Upstream
	table    *attempt.Table
	meters   Meters
	logger   *slog.Logger
	kick     chan struct{}

	mu     sync.Mutex
	policy admit.Policy
	items  map[string]*admit.Item // by attempt id, queued and running
	tasks  map[*admit.Item]*task  // running ones
}

// task is one run of an attempt.
type task struct {
	stop      context.CancelCauseFunc
	cancelled bool // it is not to be queued again
}

// New returns the queue of a server; the policy is used by this queue only.
func New(policy admit.Policy, u Upstream, t *attempt.Table, m Meters, logger *slog.Logger) *Queue {
	return &Queue{
		upstream: u,
		table:    t,
		meters:   m,
		logger:   logger.With("server", u.Server().Name),
		kick:     make(chan struct{}, 1),
		policy:   policy,
		items:    make(map[string]*admit.Item),
		tasks:    make(map[*admit.Item]*task),
	}
}

// Server returns the state of the server.
func (q *Queue) Server() wire.Server { return q.upstream.Server() }

// Len returns the numbers of waiting and running attempts.
func (q *Queue) Len() (waiting, running int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.policy.Len()
}

// Submit queues an attempt; a refusal means that it will not run.
func (q *Queue) Submit(now time.Time, a *attempt.Attempt) *refusal.Error {
	s := q.Server()
	if !s.Up {
		return Down(s.Name)
	}
	if !now.Before(a.Deadline()) {
		return refusal.New(refusal.Deadline, refusal.NotRun, "the deadline has passed")
	}
	i := admit.NewItem(spec(a), a)
	q.mu.Lock()
	defer q.mu.Unlock()
	err := q.policy.Push(now, i)
	var busy *admit.BusyError
	if errors.As(err, &busy) {
		return refusal.New(refusal.Busy, refusal.NotRun, "%v", err).After(busy.Retry())
	}
	q.items[a.ID()] = i
	q.step(now)
	return nil
}

// retryDown is the retry-after time of a server that does not answer; engines restart within seconds.
const retryDown = time.Second

func spec(a *attempt.Attempt) admit.Spec {
	w := a.Work()
	s := admit.Spec{Class: admit.Live, Solo: w.Solo, Deadline: a.Deadline()}
	if w.Class == attempt.Train {
		s.Class = admit.Train
	}
	if w.Call != nil {
		return s
	}
	s.Preemptible = s.Class == admit.Train && !w.Once
	s.Predicted = w.Predicted
	if s.Predicted <= 0 {
		s.Predicted = w.Max
	}
	s.Predicted = max(0, s.Predicted-len(a.Tokens()))
	return s
}

// Cancel stops an attempt. The run of an unrepeatable call goes on, so that its outcome is known.
func (q *Queue) Cancel(now time.Time, a *attempt.Attempt, reason string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := q.items[a.ID()]
	if i == nil {
		return
	}
	if q.policy.Remove(i) {
		q.end(now, a, attempt.End{Refusal: refusal.New(refusal.Cancelled, ran(a), "cancelled: %s", reason)})
		q.step(now)
		return
	}
	if t := q.tasks[i]; t != nil && !a.Work().Once {
		t.cancelled = true
		t.stop(errCancelled)
	}
}

// CancelAll stops all attempts that can be stopped; used when a drain takes too long.
func (q *Queue) CancelAll(now time.Time, reason string) {
	q.mu.Lock()
	var all []*attempt.Attempt
	for _, i := range q.items {
		all = append(all, i.Value().(*attempt.Attempt))
	}
	q.mu.Unlock()
	for _, a := range all {
		q.Cancel(now, a, reason)
	}
}

// RefuseWaiting refuses all attempts that wait, for the given reason and with what is proved of each.
func (q *Queue) RefuseWaiting(now time.Time, why *refusal.Error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, i := range q.items {
		if !q.policy.Remove(i) {
			continue
		}
		a := i.Value().(*attempt.Attempt)
		q.end(now, a, attempt.End{Refusal: why.WithRan(ran(a))})
	}
}

// Down returns the refusal for work that waits for a server that does not answer.
func Down(server string) *refusal.Error {
	return refusal.New(refusal.NoUpstream, refusal.NotRun, "server %s does not answer", server).After(retryDown)
}

// Serve acts on the passing of time until ctx ends: deadlines and ageing.
func (q *Queue) Serve(ctx context.Context) error {
	const idle = time.Hour
	t := time.NewTimer(idle)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-q.kick:
		case <-t.C:
		}
		now := time.Now()
		q.mu.Lock()
		q.step(now)
		at, ok := q.policy.Wake(now)
		q.mu.Unlock()
		wait := idle
		if ok {
			wait = max(time.Until(at), time.Millisecond)
		}
		t.Reset(wait)
	}
}

// step carries out what the policy decides now; q.mu is held.
func (q *Queue) step(now time.Time) {
	for d, ok := q.policy.Next(now); ok; d, ok = q.policy.Next(now) {
		a := d.Item.Value().(*attempt.Attempt)
		switch d.Kind {
		case admit.Start:
			q.start(now, d.Item, a)
		case admit.Preempt:
			q.meters.Moves.Add(1, q.Server().Name)
			q.tasks[d.Item].stop(errPreempted)
		case admit.Expire:
			q.end(now, a, attempt.End{Refusal: refusal.New(refusal.Deadline, ran(a), "the deadline passed in the queue")})
		}
	}
	select {
	case q.kick <- struct{}{}:
	default:
	}
}

func (q *Queue) start(now time.Time, i *admit.Item, a *attempt.Attempt) {
	run := a.Start(now)
	if run == 1 {
		q.meters.Wait.Record(a.Work().Workspace, a.Work().Class, now.Sub(a.Arrived()).Seconds())
	}
	ctx, stop := context.WithCancelCause(context.Background())
	q.tasks[i] = &task{stop: stop}
	go q.run(ctx, stop, i, a, run)
}

// run runs an attempt on the server and gives its slot back.
func (q *Queue) run(ctx context.Context, stop context.CancelCauseFunc, i *admit.Item, a *attempt.Attempt, run int) {
	defer stop(nil)
	ctx, release := context.WithDeadlineCause(ctx, a.Deadline(), errDeadline)
	defer release()
	end := attempt.End{Refusal: refusal.New(refusal.Internal, refusal.Unknown, "the task of the attempt failed")}
	stopped := false
	supervise.Guard(q.logger, "attempt", func() { end, stopped = q.upstream.Run(ctx, a, run) })
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	cancelled := q.tasks[i].cancelled
	delete(q.tasks, i)
	cause := context.Cause(ctx)
	if stopped && errors.Is(cause, errPreempted) && cancelled {
		cause = errCancelled
	}
	if stopped && errors.Is(cause, errPreempted) {
		q.policy.Requeue(now, i)
		q.step(now)
		return
	}
	if stopped {
		end = stopEnd(a, cause)
	}
	q.policy.Done(now, i)
	q.end(now, a, end)
	q.step(now)
}

func stopEnd(a *attempt.Attempt, cause error) attempt.End {
	code := refusal.Cancelled
	if errors.Is(cause, errDeadline) {
		code = refusal.Deadline
	}
	proof := ran(a)
	if a.Work().Call == nil {
		// The engine may have worked on it without a token that reached us.
		proof = refusal.Partial
	}
	return attempt.End{Refusal: refusal.New(code, proof, "%v", cause)}
}

// ran tells what is proved about an attempt that does not run now.
func ran(a *attempt.Attempt) refusal.Ran {
	if a.Work().Call == nil && a.State() != attempt.Queued {
		return refusal.Partial
	}
	return refusal.NotRun
}

// end finishes an attempt that neither waits nor runs any more; q.mu is held.
func (q *Queue) end(now time.Time, a *attempt.Attempt, e attempt.End) {
	delete(q.items, a.ID())
	e.Waiting, e.Running = q.policy.Len()
	q.table.Finish(now, a, e)
	w := a.Work()
	_, first, total := a.Times()
	if first > 0 {
		q.meters.First.Record(w.Workspace, w.Class, first.Seconds())
	}
	q.meters.Total.Record(w.Workspace, w.Class, total.Seconds())
	outcome := "finished"
	if e.Refusal != nil {
		outcome = string(e.Refusal.Code())
	}
	q.meters.Ends.Add(1, q.Server().Name, outcome)
}
