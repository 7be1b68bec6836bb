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
	// maxEmptyAttempts bounds the consecutive attempts of a job that produce no tokens.
	maxEmptyAttempts = 32
	// maxHedges bounds the hedges of one job.
	maxHedges = 2
	// resumeTimeout is how long live work that may have run waits for a server; live work that has not run is refused.
	resumeTimeout = 5 * time.Second
	// startedRetryDivisor divides the mean retry delay for a started stream that finds every server busy.
	startedRetryDivisor = 4
	// floorCheckInterval is how often the floor of a running job is read. Work below the floor must stop within a
	// second.
	floorCheckInterval = 250 * time.Millisecond
	// configTimeout is how long a job waits for a revision that a daemon has already seen, and configPollInterval how
	// often it checks.
	configTimeout      = 2 * time.Second
	configPollInterval = 20 * time.Millisecond
)

// jobRun is the state of one running job.
type jobRun struct {
	d             *Dispatcher
	job           Job
	work          wire.Work
	tokens        []string
	spans         []wire.Span
	ran           refusal.Ran
	lastRefusal   *refusal.Error
	lastProducer  *attempt // attempt that last produced tokens
	excluded      []string
	emptyAttempts int
	hedges        int
	probe         bool // the content is suspect, and this run is its probe
	firstTokenAt  time.Time
	queueWait     time.Duration
	trace         *Trace
	messages      chan message
}

func newRun(d *Dispatcher, j Job) *jobRun {
	r := &jobRun{d: d, job: j, work: j.Work, ran: refusal.NotRun, messages: make(chan message)}
	if r.work.Print == 0 {
		r.work.Print = Fingerprint(&r.work)
	}
	r.work.Predicted = d.predictTokens(&r.work)
	r.trace = d.traces.begin(&r.work)
	return r
}

func (r *jobRun) countRequest() { r.d.CountRequest(r.work.Workspace, r.job.Hedge) }

// run makes attempts until the job is finished or refused.
func (r *jobRun) run(ctx context.Context) (Result, error) {
	defer r.abandonProbe()
	for {
		if err := r.checkFloor(); err != nil {
			return r.result(), err
		}
		if r.complete() {
			return r.finish("length", nil, r.lastProducer), nil
		}
		if err := r.admit(ctx); err != nil {
			return r.result(), err
		}
		l, err := r.acquireLease(ctx)
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
		r.abandonProbe()
	}
}

// complete reports whether all tokens were received, as when only the end message of an attempt was lost.
func (r *jobRun) complete() bool { return r.work.Max > 0 && len(r.tokens) >= r.work.Max }

func (r *jobRun) result() Result { return Result{Tokens: r.tokens, Spans: slices.Clone(r.spans)} }

func (r *jobRun) finish(reason string, reply *wire.Reply, a *attempt) Result {
	res := r.result()
	res.Finish, res.Reply = reason, reply
	res.FirstTokenAt, res.QueueWait = r.firstTokenAt, r.queueWait
	res.Attempt, res.Daemon, res.Server = a.work.Attempt, a.lease.candidate.Daemon, a.work.Server
	r.d.recordLength(&r.work, len(r.tokens))
	return res
}

// recordRan records what an ended attempt proves; the strongest statement is kept.
func (r *jobRun) recordRan(ran refusal.Ran) {
	rank := map[refusal.Ran]int{refusal.NotRun: 0, refusal.Unknown: 1, refusal.Partial: 2}
	if rank[ran] > rank[r.ran] {
		r.ran = ran
	}
}

// refuse returns a refusal that states what all attempts together prove.
func (r *jobRun) refuse(code refusal.Code, format string, args ...any) error {
	return refusal.New(code, r.ran, format, args...).WithRetryAfter(r.d.retryAfter())
}

// refuseAs returns e with what all attempts together prove.
func (r *jobRun) refuseAs(e *refusal.Error) error {
	return refusal.New(e.Code(), r.ran, "%s", e.Message()).WithRetryAfter(max(e.RetryAfter(), r.d.retryAfter()))
}

// contextRefusal returns the refusal for a context that is done.
func (r *jobRun) contextRefusal(ctx context.Context) error {
	switch {
	case !errors.Is(ctx.Err(), context.DeadlineExceeded):
		return refusal.New(refusal.Cancelled, r.ran, "dispatch: the caller has gone")
	case r.ran == refusal.Unknown:
		return refusal.New(refusal.OutcomeUnknown, r.ran, "dispatch: no answer before the deadline")
	default:
		return refusal.New(refusal.Deadline, r.ran, "dispatch: deadline passed")
	}
}

// checkFloor drops tokens of versions below the floor, or refuses the job if the caller already has them.
func (r *jobRun) checkFloor() error {
	if !r.belowFloor(r.spans) {
		return nil
	}
	if r.job.Sink != nil {
		return r.refuse(refusal.StaleVersion, "dispatch: the floor rose above tokens that were already given")
	}
	r.tokens, r.spans = nil, nil
	return nil
}

func (r *jobRun) belowFloor(spans []wire.Span) bool {
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

// afterStale counts an attempt whose tokens fell below the floor. It returns nil to try again, or the final refusal.
func (r *jobRun) afterStale(ctx context.Context) error {
	if r.emptyAttempts++; r.emptyAttempts > maxEmptyAttempts {
		return r.emptyLimitReached(ctx, refusal.New(refusal.StaleVersion, refusal.Partial,
			"dispatch: servers produce versions below the floor"))
	}
	return nil
}

// mustComplete reports whether the job is retried until it succeeds, however often its servers crash. This holds for the
// samples of trainers; live requests may be refused.
func (r *jobRun) mustComplete() bool { return r.work.Class == Train }

// admit waits until the content of the job may run, and refuses content that crashes servers unless it must complete.
func (r *jobRun) admit(ctx context.Context) error {
	for {
		s := r.d.suspects.admit(time.Now(), r.work.Print, r.mustComplete())
		if s.blockedFor > 0 {
			return refusal.New(refusal.Poison, r.ran, "dispatch: this request crashes the servers that run it").WithRetryAfter(s.blockedFor)
		}
		if s.wait == nil {
			r.probe = s.solo
			return nil
		}
		select {
		case <-s.wait:
		case <-ctx.Done():
			return r.contextRefusal(ctx)
		}
	}
}

// abandonProbe ends the probe of suspect content without a result.
func (r *jobRun) abandonProbe() {
	if r.probe {
		r.probe = false
		r.d.suspects.abandonProbe(r.work.Print)
	}
}

// nextWork returns the work message for the next attempt, without a server.
func (r *jobRun) nextWork(now time.Time) wire.Work {
	r.applyConfig()
	w := r.work
	w.Attempt = r.d.newAttemptID(now)
	// The spans are changed in place as tokens arrive, so the message gets a copy.
	w.Held, w.Spans, w.Offset = r.tokens, slices.Clone(r.spans), len(r.tokens)
	w.Solo = r.probe
	if r.job.Floor != nil {
		w.Floor = r.job.Floor()
	}
	if !r.job.Deadline.IsZero() {
		w.Left = max(1, r.job.Deadline.Sub(now).Milliseconds())
	}
	return w
}

// applyConfig applies a configuration that is newer than the one the work was resolved with.
func (r *jobRun) applyConfig() {
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

// expectedTokens returns the number of tokens expected from the next attempt.
func (r *jobRun) expectedTokens() int { return max(1, r.work.Predicted-len(r.tokens)) }

// acquireLease reserves capacity on a server. If there is none, live work that has not run is refused; training waits.
func (r *jobRun) acquireLease(ctx context.Context) (*lease, error) {
	started := time.Now()
	for fresh := false; ; fresh = true {
		now := time.Now()
		w := r.nextWork(now)
		l, verdict := r.d.acquire(now, &w, r.expectedTokens(), r.excluded, fresh)
		if l != nil {
			return l, nil
		}
		if !fresh {
			continue
		}
		if !r.mayWait(now.Sub(started)) {
			return nil, r.noServer(verdict)
		}
		if err := r.d.waitForRelease(ctx, &w); err != nil {
			return nil, r.contextRefusal(ctx)
		}
		r.excluded = nil
	}
}

func (r *jobRun) mayWait(waited time.Duration) bool {
	return r.work.Class == Train || (r.ran != refusal.NotRun && waited < resumeTimeout)
}

func (r *jobRun) noServer(v balance.Outcome) error {
	if r.lastRefusal != nil {
		return r.refuseAs(r.lastRefusal)
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

// permanent reports whether every server would refuse with this code.
func permanent(c refusal.Code) bool {
	switch c {
	case refusal.BadRequest, refusal.TooLarge, refusal.Unauthorized, refusal.Forbidden, refusal.KeyReused,
		refusal.KeyRequired, refusal.Conflict, refusal.Tombstoned, refusal.Poison, refusal.Deadline:
		return true
	default:
		return false
	}
}

// afterFailure decides after the last running attempt has ended without an answer. It returns nil to try again, or the
// final refusal.
func (r *jobRun) afterFailure(ctx context.Context, a *attempt, e *refusal.Error) error {
	if permanent(e.Code()) {
		return refusal.New(e.Code(), r.ran, "%s", e.Message()).WithRetryAfter(e.RetryAfter())
	}
	r.lastRefusal = e
	if a.produced > 0 {
		r.emptyAttempts = 0
		return nil
	}
	if r.emptyAttempts++; r.emptyAttempts > maxEmptyAttempts {
		return r.emptyLimitReached(ctx, e)
	}
	switch {
	case e.Code() == refusal.StaleConfig:
		return r.waitForConfig(ctx)
	case e.Code() == refusal.Busy && r.work.Class == Train:
		return r.pause(ctx, max(e.RetryAfter(), r.d.retryAfter()))
	case e.Code() == refusal.Busy && len(r.tokens) > 0:
		// The reader already has tokens of this stream, so it is worth waiting; maxEmptyAttempts bounds the wait.
		return r.pause(ctx, r.d.retryAfter()/startedRetryDivisor)
	case e.Ran() == refusal.NotRun && e.Code() != refusal.Busy:
		// The daemon proved that the work did not run, so the next attempt adds no load to the servers.
		return nil
	case r.d.AllowRetry(r.work.Workspace):
		return nil
	default:
		return r.refuseAs(e)
	}
}

// emptyLimitReached decides after too many consecutive attempts without tokens: training continues slowly until its
// deadline.
func (r *jobRun) emptyLimitReached(ctx context.Context, e *refusal.Error) error {
	if r.work.Class != Train {
		return r.refuseAs(e)
	}
	return r.pause(ctx, r.d.retryAfter())
}

func (r *jobRun) pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		r.excluded = nil
		return nil
	case <-ctx.Done():
		return r.contextRefusal(ctx)
	}
}

// waitForConfig waits for the configuration revision that the refusing daemon has seen; the pool reports it to the
// holder.
func (r *jobRun) waitForConfig(ctx context.Context) error {
	for end := time.Now().Add(configTimeout); time.Now().Before(end); {
		if r.d.config == nil || r.d.config.Revision() > r.work.Rev {
			break
		}
		if err := r.pause(ctx, configPollInterval); err != nil {
			return err
		}
	}
	r.excluded = nil
	return nil
}
