package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"

	"bulrushspoke/internal/balance"
	"bulrushspoke/internal/refusal"
	"bulrushspoke/wire"
)

const (
	// maxIdle bounds the attempts of a job that produce nothing, one after the other.
	maxIdle = 32
	// maxHedges bounds the hedges of one job.
	maxHedges = 2
	// resumeWait is how long started live work waits for a server to go on; work that was not started is refused.
	resumeWait = 5 * time.Second
	// startedPause divides the mean retry time for a started stream that finds every server busy.
	startedPause = 4
	// floorEvery is how often the floor of a running job is read; hopeless work must stop within a second.
	floorEvery = 250 * time.Millisecond
	// configWait is how long a job waits for a revision that a daemon has already seen, and configPoll how often it
	// looks.
	configWait = 2 * time.Second
	configPoll = 20 * time.Millisecond
)

// run is one job on its way.
type run struct {
	d        *Dispatcher
	job      Job
	work     wire.Work
	tokens   []string
	spans    []wire.Span
	ran      refusal.Ran
	last     *refusal.Error
	newest   *try // attempt that produced tokens last
	except   []string
	idle     int
	hedges   int
	trial    bool
	first    time.Time
	wait     time.Duration
	trace    *Trace
	messages chan message
}

func newRun(d *Dispatcher, j Job) *run {
	r := &run{d: d, job: j, work: j.Work, ran: refusal.NotRun, messages: make(chan message)}
	if r.work.Print == 0 {
		r.work.Print = Print(&r.work)
	}
	r.work.Predicted = d.predict(&r.work)
	r.trace = d.traces.begin(&r.work)
	return r
}

func (r *run) offer() { r.d.Offer(r.work.Workspace, r.job.Hedge) }

// run makes attempts until the job is finished or refused.
func (r *run) run(ctx context.Context) (Result, error) {
	defer r.release()
	for {
		if err := r.checkFloor(); err != nil {
			return r.result(), err
		}
		if r.whole() {
			return r.finish("length", nil, r.newest), nil
		}
		if err := r.admit(ctx); err != nil {
			return r.result(), err
		}
		l, err := r.lease(ctx)
		if err != nil {
			return r.result(), err
		}
		done, err := r.race(ctx, l)
		if err != nil {
			return r.result(), err
		}
		if done != nil {
			return *done, nil
		}
		r.release()
	}
}

// whole reports whether the tokens held are the whole answer, of which only the end was lost.
func (r *run) whole() bool { return r.work.Max > 0 && len(r.tokens) >= r.work.Max }

func (r *run) result() Result { return Result{Tokens: r.tokens, Spans: slices.Clone(r.spans)} }

func (r *run) finish(reason string, reply *wire.Reply, t *try) Result {
	res := r.result()
	res.Finish, res.Reply = reason, reply
	res.First, res.Wait = r.first, r.wait
	res.Attempt, res.Daemon, res.Server = t.work.Attempt, t.lease.place.Daemon, t.work.Server
	r.d.learn(&r.work, len(r.tokens))
	return res
}

// mark records what an ended attempt proves; the strongest statement stays.
func (r *run) mark(ran refusal.Ran) {
	rank := map[refusal.Ran]int{refusal.NotRun: 0, refusal.Unknown: 1, refusal.Partial: 2}
	if rank[ran] > rank[r.ran] {
		r.ran = ran
	}
}

// refuse returns a refusal with what all attempts together prove.
func (r *run) refuse(code refusal.Code, format string, args ...any) error {
	return refusal.New(code, r.ran, format, args...).After(r.d.retryAfter())
}

// repeated returns the refusal of the last attempt with what all attempts together prove.
func (r *run) repeated(e *refusal.Error) error {
	return refusal.New(e.Code(), r.ran, "%s", e.Message()).After(max(e.Retry(), r.d.retryAfter()))
}

// ended returns the refusal for a context that has ended.
func (r *run) ended(ctx context.Context) error {
	switch {
	case !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refusal.New(refusal.Cancelled, r.ran, "dispatch: the caller has gone")
	case r.ran == refusal.Unknown:
		return refusal.New(refusal.OutcomeUnknown, r.ran, "dispatch: no answer before the deadline")
	default:
		return refusal.New(refusal.Deadline, r.ran, "dispatch: deadline passed")
	}
}

// checkFloor drops tokens of versions below the floor, or refuses if the caller already has them.
func (r *run) checkFloor() error {
	if !r.stale(r.spans) {
		return nil
	}
	if r.job.Sink != nil {
		return r.refuse(refusal.StaleVersion, "dispatch: the floor rose above tokens that were already given")
	}
	r.tokens, r.spans = nil, nil
	return nil
}

func (r *run) stale(spans []wire.Span) bool {
	if r.job.Floor == nil || len(spans) == 0 {
		return false
	}
	floor := r.job.Floor()
	for _, s := range spans {
		if s.Version < floor {
			return true
		}
	}
	return false
}

// restart counts an attempt that the floor has made useless.
func (r *run) restart(ctx context.Context) error {
	if r.idle++; r.idle > maxIdle {
		return r.tired(ctx, refusal.New(refusal.StaleVersion, refusal.Partial, "dispatch: servers produce versions below the floor"))
	}
	return nil
}

// admit waits until the content of the job may run, and refuses content that crashes servers.
func (r *run) admit(ctx context.Context) error {
	for {
		s := r.d.suspects.admit(time.Now(), r.work.Print)
		if s.condemned > 0 {
			return refusal.New(refusal.Poison, r.ran, "dispatch: this request crashes the servers that run it").After(s.condemned)
		}
		if s.wait == nil {
			r.trial = s.solo
			return nil
		}
		select {
		case <-s.wait:
		case <-ctx.Done():
			return r.ended(ctx)
		}
	}
}

// release ends the trial of a suspect without a verdict.
func (r *run) release() {
	if r.trial {
		r.trial = false
		r.d.suspects.release(r.work.Print)
	}
}

// next returns the work message for the next attempt, still without server.
func (r *run) next(now time.Time) wire.Work {
	r.resolve()
	w := r.work
	w.Attempt = r.d.attempt(now)
	// The spans are changed in place as tokens arrive, so the message gets a copy.
	w.Held, w.Spans, w.Offset = r.tokens, slices.Clone(r.spans), len(r.tokens)
	w.Solo = r.trial
	if r.job.Floor != nil {
		w.Floor = r.job.Floor()
	}
	if !r.job.Deadline.IsZero() {
		w.Left = max(1, r.job.Deadline.Sub(now).Milliseconds())
	}
	return w
}

// resolve applies a configuration that is newer than the one under which the work was decided.
func (r *run) resolve() {
	if r.d.config == nil {
		return
	}
	rev := r.d.config.Revision()
	if rev <= r.work.Rev {
		return
	}
	r.work.Rev = rev
	if p, ok := r.d.config.Profile(r.work.Profile); ok {
		r.work.Class = p.Class
	}
}

// owed returns the tokens that are expected from an attempt.
func (r *run) owed() int { return max(1, r.work.Predicted-len(r.tokens)) }

// lease takes a place on a server. Live work that never started is refused if there is none; training waits.
func (r *run) lease(ctx context.Context) (*lease, error) {
	began := time.Now()
	for fresh := false; ; fresh = true {
		now := time.Now()
		w := r.next(now)
		l, verdict := r.d.place(now, &w, r.owed(), r.except, fresh)
		if l != nil {
			return l, nil
		}
		if !fresh {
			continue
		}
		if !r.patient(now.Sub(began)) {
			return nil, r.none(verdict)
		}
		if err := r.d.await(ctx, &w); err != nil {
			return nil, r.ended(ctx)
		}
		r.except = nil
	}
}

func (r *run) patient(waited time.Duration) bool {
	return r.work.Class == Train || (r.ran != refusal.NotRun && waited < resumeWait)
}

func (r *run) none(v balance.Verdict) error {
	if r.last != nil {
		return r.repeated(r.last)
	}
	switch v {
	case balance.Full:
		return r.refuse(refusal.Busy, "dispatch: every server of %s is full", r.work.Model)
	case balance.Stale:
		return r.refuse(refusal.StaleVersion, "dispatch: no server of %s has the version needed", r.work.Model)
	default:
		return r.refuse(refusal.NoUpstream, "dispatch: no server of %s", r.work.Model)
	}
}

// final reports whether a refusal would be the same on every server.
func final(c refusal.Code) bool {
	switch c {
	case refusal.BadRequest, refusal.TooLarge, refusal.Unauthorized, refusal.Forbidden, refusal.KeyReused,
		refusal.KeyRequired, refusal.Conflict, refusal.Tombstoned, refusal.Poison, refusal.Deadline:
		return true
	default:
		return false
	}
}

// failed decides after the last running attempt has ended without an answer: nil to try again, or the final refusal.
func (r *run) failed(ctx context.Context, t *try, e *refusal.Error) error {
	if final(e.Code()) {
		return refusal.New(e.Code(), r.ran, "%s", e.Message()).After(e.Retry())
	}
	r.last = e
	if t.produced > 0 {
		r.idle = 0
		return nil
	}
	if r.idle++; r.idle > maxIdle {
		return r.tired(ctx, e)
	}
	switch {
	case e.Code() == refusal.StaleConfig:
		return r.reconfigure(ctx)
	case e.Code() == refusal.Busy && r.work.Class == Train:
		return r.pause(ctx, max(e.Retry(), r.d.retryAfter()))
	case e.Code() == refusal.Busy && len(r.tokens) > 0:
		// A stream that its reader already sees is worth waiting for; maxIdle bounds the wait.
		return r.pause(ctx, r.d.retryAfter()/startedPause)
	case e.Ran() == refusal.NotRun && e.Code() != refusal.Busy:
		// The daemon proved that nothing was done, so the next attempt adds no load to the servers.
		return nil
	case r.d.Repeat(r.work.Workspace):
		return nil
	default:
		return r.repeated(e)
	}
}

// tired decides after many attempts that produced nothing: training goes on slowly until its deadline.
func (r *run) tired(ctx context.Context, e *refusal.Error) error {
	if r.work.Class != Train {
		return r.repeated(e)
	}
	return r.pause(ctx, r.d.retryAfter())
}

func (r *run) pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		r.except = nil
		return nil
	case <-ctx.Done():
		return r.ended(ctx)
	}
}

// reconfigure waits for the revision that the refusing daemon has seen; the pool makes it known.
func (r *run) reconfigure(ctx context.Context) error {
	for end := time.Now().Add(configWait); time.Now().Before(end); {
		if r.d.config == nil || r.d.config.Revision() > r.work.Rev {
			break
		}
		if err := r.pause(ctx, configPoll); err != nil {
			return err
		}
	}
	r.except = nil
	return nil
}
