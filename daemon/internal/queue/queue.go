// Package queue runs the attempts of one server in the order that its admission policy determines.
//
// # Usage
//
//	q := queue.New(policy, upstream, table, meters, logger)
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

// Causes with which the context of a running attempt is cancelled.
var (
	errPreempted = errors.New("queue: preempted by urgent work")
	errCancelled = errors.New("queue: cancelled")
	errDeadline  = errors.New("queue: deadline passed")
)

// Upstream runs attempts on a server.
type Upstream interface {
	// Run runs an attempt until it ends or ctx is done; stopped is true if ctx ended it.
	Run(ctx context.Context, a *attempt.Attempt, run int) (end attempt.End, stopped bool)
	// Server returns the state of the server.
	Server() wire.Server
}

// Meters are the metrics that queues record.
type Meters struct {
	QueueWait   *meter.Histogram
	FirstToken  *meter.Histogram
	Total       *meter.Histogram
	Ended       *meter.Counter
	Preemptions *meter.Counter
}

// NewMeters registers the metrics.
func NewMeters(m *meter.Meter) Meters {
	return Meters{
		QueueWait:   m.Histogram("queue_wait", "s", "Time from arrival to the start on the server."),
		FirstToken:  m.Histogram("first_token", "s", "Time from arrival to the first token."),
		Total:       m.Histogram("total", "s", "Time from arrival to the end."),
		Ended:       m.Counter("attempts", "Attempts that ended, by server and outcome.", "server", "outcome"),
		Preemptions: m.Counter("preemptions", "Streams preempted by urgent work.", "server"),
	}
}

// Queue is the queue of one server.
type Queue struct {
	upstream Upstream
	table    *attempt.Table
	meters   Meters
	logger   *slog.Logger
	wake     chan struct{}

	mu     sync.Mutex
	policy admit.Policy
	items  map[string]*admit.Item // queued and running attempts, by id
	tasks  map[*admit.Item]*task  // running attempts
}

// task is one run of an attempt.
type task struct {
	stop      context.CancelCauseFunc
	cancelled bool // must not be queued again
}

// New returns the queue of a server. The policy must not be shared with another queue.
func New(policy admit.Policy, u Upstream, t *attempt.Table, m Meters, logger *slog.Logger) *Queue {
	return &Queue{
		upstream: u,
		table:    t,
		meters:   m,
		logger:   logger.With("server", u.Server().Name),
		wake:     make(chan struct{}, 1),
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

// Submit queues an attempt. If it returns a refusal, the attempt will not run.
func (q *Queue) Submit(now time.Time, a *attempt.Attempt) *refusal.Error {
	s := q.Server()
	if !s.Up {
		return ServerDown(s.Name)
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
		return refusal.New(refusal.Busy, refusal.NotRun, "%v", err).WithRetryAfter(busy.Retry())
	}
	q.items[a.ID()] = i
	q.applyDecisions(now)
	return nil
}

// downRetryAfter is the retry-after time of a server that does not answer; engines restart within seconds.
const downRetryAfter = time.Second

// spec returns the description of an attempt for the policy.
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
	s.PredictedTokens = w.Predicted
	if s.PredictedTokens <= 0 {
		s.PredictedTokens = w.Max
	}
	s.PredictedTokens = max(0, s.PredictedTokens-len(a.Tokens()))
	return s
}

// Cancel stops an attempt. A non-idempotent call that already runs is not stopped, so that its outcome becomes known.
func (q *Queue) Cancel(now time.Time, a *attempt.Attempt, reason string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := q.items[a.ID()]
	if i == nil {
		return
	}
	if q.policy.Remove(i) {
		q.finish(now, a, attempt.End{Refusal: refusal.New(refusal.Cancelled, ran(a), "cancelled: %s", reason)})
		q.applyDecisions(now)
		return
	}
	if t := q.tasks[i]; t != nil && !a.Work().Once {
		t.cancelled = true
		t.stop(errCancelled)
	}
}

// CancelAll stops all attempts that can be stopped. It is used when a drain exceeds its limit.
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

// RefuseWaiting refuses all waiting attempts for the given reason, each with what is known about its execution.
func (q *Queue) RefuseWaiting(now time.Time, why *refusal.Error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, i := range q.items {
		if !q.policy.Remove(i) {
			continue
		}
		a := i.Value().(*attempt.Attempt)
		q.finish(now, a, attempt.End{Refusal: why.WithRan(ran(a))})
	}
}

// ServerDown returns the refusal for work whose server does not answer.
func ServerDown(server string) *refusal.Error {
	return refusal.New(refusal.NoUpstream, refusal.NotRun, "server %s does not answer", server).WithRetryAfter(downRetryAfter)
}

// Serve applies the time-dependent decisions of the policy, such as deadlines and ageing, until ctx is done.
func (q *Queue) Serve(ctx context.Context) error {
	const idle = time.Hour
	t := time.NewTimer(idle)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-q.wake:
		case <-t.C:
		}
		now := time.Now()
		q.mu.Lock()
		q.applyDecisions(now)
		at, ok := q.policy.Wake(now)
		q.mu.Unlock()
		wait := idle
		if ok {
			wait = max(time.Until(at), time.Millisecond)
		}
		t.Reset(wait)
	}
}

// applyDecisions carries out the decisions that the policy makes now. q.mu must be held.
func (q *Queue) applyDecisions(now time.Time) {
	for d, ok := q.policy.Next(now); ok; d, ok = q.policy.Next(now) {
		a := d.Item.Value().(*attempt.Attempt)
		switch d.Kind {
		case admit.Start:
			q.start(now, d.Item, a)
		case admit.Preempt:
			q.meters.Preemptions.Add(1, q.Server().Name)
			q.tasks[d.Item].stop(errPreempted)
		case admit.Expire:
			q.finish(now, a, attempt.End{Refusal: refusal.New(refusal.Deadline, ran(a), "the deadline passed in the queue")})
		}
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *Queue) start(now time.Time, i *admit.Item, a *attempt.Attempt) {
	run := a.Start(now)
	if run == 1 {
		q.meters.QueueWait.Record(a.Work().Workspace, a.Work().Class, now.Sub(a.Arrived()).Seconds())
	}
	ctx, stop := context.WithCancelCause(context.Background())
	q.tasks[i] = &task{stop: stop}
	go q.run(ctx, stop, i, a, run)
}

// run runs an attempt on the server and releases its slot.
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
		q.applyDecisions(now)
		return
	}
	if stopped {
		end = endForCause(a, cause)
	}
	q.policy.Done(now, i)
	q.finish(now, a, end)
	q.applyDecisions(now)
}

// endForCause returns the end of an attempt that was stopped for a cause.
func endForCause(a *attempt.Attempt, cause error) attempt.End {
	code := refusal.Cancelled
	if errors.Is(cause, errDeadline) {
		code = refusal.Deadline
	}
	proof := ran(a)
	if a.Work().Call == nil {
		// The engine may have run the attempt without any token having arrived.
		proof = refusal.Partial
	}
	return attempt.End{Refusal: refusal.New(code, proof, "%v", cause)}
}

// ran returns what is known about the execution of an attempt that is not running now.
func ran(a *attempt.Attempt) refusal.Ran {
	if a.Work().Call == nil && a.State() != attempt.Queued {
		return refusal.Partial
	}
	return refusal.NotRun
}

// finish ends an attempt that neither waits nor runs any more and records its metrics. q.mu must be held.
func (q *Queue) finish(now time.Time, a *attempt.Attempt, e attempt.End) {
	delete(q.items, a.ID())
	e.Waiting, e.Running = q.policy.Len()
	q.table.Finish(now, a, e)
	w := a.Work()
	_, first, total := a.Times()
	if first > 0 {
		q.meters.FirstToken.Record(w.Workspace, w.Class, first.Seconds())
	}
	q.meters.Total.Record(w.Workspace, w.Class, total.Seconds())
	outcome := "finished"
	if e.Refusal != nil {
		outcome = string(e.Refusal.Code())
	}
	q.meters.Ended.Add(1, q.Server().Name, outcome)
}
