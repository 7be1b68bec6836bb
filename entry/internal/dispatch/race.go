package dispatch

import (
	"context"
	"errors"
	"slices"
	"time"

	"bulrushspoke/internal/event"
	"bulrushspoke/internal/refusal"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/wire"
)

const (
	// startTimeout bounds the wait for the acknowledgement of an attempt, including the resend on a new link.
	startTimeout = 10 * time.Second
	// speedWindowTokens is the number of tokens after which the speed of a stream is judged; it also sets how fast the
	// average adapts.
	speedWindowTokens = 8
	// stallTimeout is the silence after which an attempt is abandoned and resumed on another server. Either its server
	// hangs, or it delays preempted training for longer than recomputing the prompt elsewhere takes.
	stallTimeout = 30 * time.Second
	// idleCheckInterval is the check interval when there is nothing to watch.
	idleCheckInterval = time.Minute
	// midStreamLateFactor scales the lateness limit of the first token to that of a pause later in the stream.
	midStreamLateFactor = 2
	// maxHold bounds how long the tokens of a slow primary are held back in favour of its hedge.
	maxHold = 500 * time.Millisecond
	// unlinkedTimeout is the silence after which an attempt is abandoned if its daemon has no link, and the interval of
	// that check. The pool waits longer than this for the daemon to return, although it may have died.
	unlinkedTimeout = time.Second
)

// Errors that end an attempt, or the causes with which it is cancelled.
var (
	errRaceLost     = errors.New("dispatch: another attempt was faster")
	errStale        = errors.New("dispatch: the version floor has risen")
	errRequestEnded = errors.New("dispatch: the request has ended")
	errStalled      = refusal.New(refusal.OutcomeUnknown, refusal.Unknown, "dispatch: the server makes no progress")
	errPanicked     = errors.New("dispatch: attempt ended by a panic")
)

// message is what the goroutine of an attempt reports to its race.
type message struct {
	attempt *attempt
	event   Event
	err     error
}

// attempt is the state of one running attempt.
type attempt struct {
	lease           *lease
	work            wire.Work
	buffered        []string // received but not delivered, because a race is undecided
	spans           []wire.Span
	produced        int // tokens received from this attempt
	started         time.Time
	lastProgress    time.Time
	secondsPerToken float64 // moving average
	cancel          context.CancelCauseFunc
}

// offset returns the position of the next token within the answer.
func (a *attempt) offset() int { return len(a.work.Held) + a.produced }

// race runs a primary attempt and, if that is late, a hedge beside it.
type race struct {
	*jobRun
	attempts    []*attempt
	hedgedAt    time.Time // start of the hedge that runs
	primarySlow bool      // the primary is slow, so its tokens do not decide the race
	nextHedge   time.Time // earliest time of the next hedge
	gotStale    bool      // an attempt sent tokens below the version floor
}

// race runs an attempt on the leased server. It returns the result or the final refusal, or neither if another attempt
// is to be made.
func (r *jobRun) race(ctx context.Context, l *lease) (*Result, error) {
	rc := &race{jobRun: r}
	defer rc.cancelAll(errRequestEnded)
	rc.launch(ctx, l)
	timer := time.NewTimer(idleCheckInterval)
	defer timer.Stop()
	for {
		timer.Reset(rc.untilNextCheck(time.Now()))
		select {
		case m := <-r.messages:
			if !slices.Contains(rc.attempts, m.attempt) {
				continue
			}
			res, over, err := rc.handle(ctx, m)
			if over {
				return res, err
			}
		case <-timer.C:
			rc.checkLate(ctx, time.Now())
			if a := rc.stalledAttempt(time.Now()); a != nil {
				if res, over, err := rc.failAttempt(ctx, a, errStalled); over {
					return res, err
				}
			}
		case <-ctx.Done():
			for _, a := range rc.attempts {
				r.recordUnknownEnd(a)
			}
			return nil, r.contextRefusal(ctx)
		}
		if rc.hasStaleTokens() {
			r.recordRan(refusal.Partial)
			rc.cancelAll(errStale)
			return nil, r.afterStale(ctx)
		}
		rc.hedgeSlow(ctx, time.Now())
	}
}

// recordUnknownEnd records that it is unknown how an attempt ended, or that it ran in part if it produced tokens.
func (r *jobRun) recordUnknownEnd(a *attempt) {
	r.recordRan(refusal.Unknown)
	if a.produced > 0 {
		r.recordRan(refusal.Partial)
	}
}

// launch starts an attempt on the leased server.
func (rc *race) launch(ctx context.Context, l *lease) {
	now := time.Now()
	w := rc.nextWork(now)
	w.Server = l.candidate.Server.Name
	a := &attempt{lease: l, work: w, started: now, lastProgress: now}
	rc.attempts = append(rc.attempts, a)
	rc.d.countAttempt()
	rc.trace.StartAttempt(now, w.Attempt, l.candidate.Daemon, w.Server)
	ctx, a.cancel = context.WithCancelCause(ctx)
	go func() {
		completed := false
		supervise.Guard(rc.d.logger, "attempt", func() {
			a.pump(ctx, rc.d.pool, rc.messages)
			completed = true
		})
		if !completed {
			_ = send(ctx, rc.messages, message{attempt: a, err: errPanicked})
		}
	}()
}

// pump starts the attempt at its daemon and forwards its messages until it ends or ctx is done.
func (a *attempt) pump(ctx context.Context, pool Pool, out chan<- message) {
	// Start is not cancelled with ctx, because its outcome decides whether the work ran.
	sctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), startTimeout)
	s, err := pool.Start(sctx, a.lease.candidate.Daemon, a.work)
	cancel()
	if err != nil {
		_ = send(ctx, out, message{attempt: a, err: err})
		return
	}
	for {
		e, err := s.Next(ctx)
		if ctx.Err() != nil || send(ctx, out, message{attempt: a, event: e, err: err}) != nil {
			s.Cancel(context.Cause(ctx).Error())
			if a.work.Slot == nil {
				pool.Drop(a.lease.candidate.Daemon, a.work.Attempt)
			}
			return
		}
		if err != nil || e.Done != nil || e.Refuse != nil {
			return
		}
	}
}

func send(ctx context.Context, out chan<- message, m message) error {
	select {
	case out <- m:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// cancelAll cancels all attempts that still run.
func (rc *race) cancelAll(cause error) {
	for len(rc.attempts) > 0 {
		rc.endAttempt(rc.attempts[0], outcomeCancelled, cause)
	}
}

// endAttempt cancels an attempt, releases its lease and records its outcome.
func (rc *race) endAttempt(a *attempt, outcome string, cause error) {
	now := time.Now()
	a.cancel(cause)
	a.lease.release(now)
	rc.trace.EndAttempt(now, a.work.Attempt, outcome, a.spans)
	rc.attempts = slices.DeleteFunc(rc.attempts, func(o *attempt) bool { return o == a })
}

// handle processes one message of a running attempt and reports whether the race is over.
func (rc *race) handle(ctx context.Context, m message) (*Result, bool, error) {
	a := m.attempt
	switch {
	case m.err != nil:
		return rc.failAttempt(ctx, a, toRefusal(m.err))
	case m.event.Chunk != nil:
		k := m.event.Chunk
		if err := rc.addTokens(a, k.Offset, k.Tokens, k.Spans); err != nil {
			return rc.failAttempt(ctx, a, err)
		}
		return nil, false, nil
	case m.event.Done != nil:
		return rc.handleDone(ctx, a, m.event.Done)
	case m.event.Refuse != nil:
		return rc.handleRefusal(ctx, a, m.event.Refuse)
	default:
		return rc.failAttempt(ctx, a, refusal.New(refusal.Broken, refusal.Unknown, "dispatch: empty message"))
	}
}

// toRefusal returns the refusal for an attempt that ended with err instead of an answer.
func toRefusal(err error) *refusal.Error {
	var e *refusal.Error
	if errors.As(err, &e) {
		return e
	}
	return refusal.New(refusal.OutcomeUnknown, refusal.Unknown, "dispatch: attempt lost: %s", err)
}

// addTokens adds tokens received from an attempt. Tokens that are already held are skipped; a gap is an error.
func (rc *race) addTokens(a *attempt, offset int, tokens []string, spans []wire.Span) *refusal.Error {
	at := a.offset()
	if offset > at || (a.work.Max > 0 && offset+len(tokens) > a.work.Max) {
		return refusal.New(refusal.Broken, refusal.Partial,
			"dispatch: tokens at %d, expected at %d of %d", offset, at, a.work.Max)
	}
	if offset+len(tokens) <= at {
		return nil
	}
	tokens = tokens[at-offset:]
	spans, ok := clipSpans(spans, at, at+len(tokens)-1)
	if !ok {
		return refusal.New(refusal.Broken, refusal.Partial, "dispatch: tokens at %d without version", at)
	}
	if rc.belowFloor(spans) {
		rc.gotStale = true
		return nil
	}
	now := time.Now()
	a.lease.recordProgress(now, len(tokens))
	a.observeSpeed(now, len(tokens))
	a.produced += len(tokens)
	a.buffered = append(a.buffered, tokens...)
	a.spans = appendSpans(a.spans, spans)
	if len(rc.attempts) == 1 || a != rc.attempts[0] || !rc.primarySlow {
		rc.commit(a)
	}
	return nil
}

// observeSpeed updates the average time per token. The wait for the first tokens is left out.
func (a *attempt) observeSpeed(now time.Time, tokens int) {
	gap := now.Sub(a.lastProgress).Seconds() / float64(tokens)
	switch {
	case a.produced == 0:
	case a.secondsPerToken == 0:
		a.secondsPerToken = gap
	default:
		a.secondsPerToken += float64(tokens) / float64(tokens+speedWindowTokens) * (gap - a.secondsPerToken)
	}
	a.lastProgress = now
}

// lateAfter returns the silence after which the attempt is late. The limit is higher in mid-stream: a pause there costs
// the reader less than a late start, and short pauses are common on shared instances.
func (a *attempt) lateAfter() time.Duration {
	if a.produced > 0 {
		return midStreamLateFactor * a.lease.lateAfter()
	}
	return a.lease.lateAfter()
}

// commit ends the race in favour of a: it cancels the other attempts and delivers the tokens held back from a.
func (rc *race) commit(a *attempt) {
	for _, o := range slices.Clone(rc.attempts) {
		if o != a {
			rc.endAttempt(o, outcomeCancelled, errRaceLost)
		}
	}
	rc.primarySlow = false
	if len(a.buffered) == 0 {
		return
	}
	at := len(rc.tokens)
	rc.emptyAttempts = 0
	rc.lastProducer = a
	if rc.firstTokenAt.IsZero() {
		rc.firstTokenAt = time.Now()
	}
	spans, _ := clipSpans(a.spans, at, at+len(a.buffered)-1)
	rc.tokens = append(rc.tokens, a.buffered...)
	rc.spans = appendSpans(rc.spans, spans)
	if rc.job.Sink != nil {
		rc.job.Sink(at, a.buffered, spans)
	}
	a.buffered = nil
}

func (rc *race) handleDone(ctx context.Context, a *attempt, d *wire.Done) (*Result, bool, error) {
	if a.work.Call == nil && d.Total != a.offset() {
		e := refusal.New(refusal.Broken, refusal.Partial,
			"dispatch: answer of %d tokens, received %d", d.Total, a.offset())
		return rc.failAttempt(ctx, a, e)
	}
	if a.work.Call != nil {
		a.lease.recordProgress(time.Now(), 1)
	}
	rc.commit(a)
	rc.d.recordLoad(a.lease, d.Running+d.Waiting)
	rc.endAttempt(a, Finished, errRequestEnded)
	if a.work.Slot == nil {
		rc.d.pool.Drop(a.lease.candidate.Daemon, a.work.Attempt)
	}
	if rc.probe {
		rc.probe = false
		rc.d.shareSuspect(rc.d.suspects.recordSuccess(rc.work.Print))
	}
	rc.queueWait = time.Duration(d.Wait) * time.Millisecond
	res := rc.finish(d.Finish, d.Reply, a)
	return &res, true, nil
}

func (rc *race) handleRefusal(ctx context.Context, a *attempt, m *wire.Refuse) (*Result, bool, error) {
	if len(m.Tokens) > 0 {
		// Tokens that do not fit are dropped; the next attempt generates them again.
		_ = rc.addTokens(a, m.Offset, m.Tokens, m.Spans)
	}
	if m.Crashed {
		m.Code = string(refusal.Crashed)
		if err := rc.handleCrash(a, a.work.Solo || m.Sole); err != nil {
			rc.recordRan(refusal.Partial)
			return nil, true, err
		}
	}
	return rc.failAttempt(ctx, a, refusal.FromWire(*m))
}

// handleCrash records a crash, and returns the final refusal if the content of the request caused it.
func (rc *race) handleCrash(a *attempt, alone bool) error {
	s, blocked := rc.d.suspects.recordCrash(time.Now(), rc.work.Print, alone)
	rc.probe = rc.probe && !a.work.Solo
	rc.d.shareSuspect(s)
	if !blocked || rc.mustComplete() {
		event.ContentSuspect.Log(rc.d.logger, "request", rc.work.Request, "server", a.work.Server, "print", rc.work.Print)
		return nil
	}
	event.ContentRejected.Log(rc.d.logger, "request", rc.work.Request, "server", a.work.Server, "print", rc.work.Print)
	rc.endAttempt(a, string(refusal.Poison), errRequestEnded)
	return refusal.New(refusal.Poison, refusal.Partial, "dispatch: this request crashes the servers that run it").
		WithRetryAfter(rc.d.settings.SuspectTTL)
}

// failAttempt ends one attempt. The race continues if another attempt runs.
func (rc *race) failAttempt(ctx context.Context, a *attempt, e *refusal.Error) (*Result, bool, error) {
	if e.Ran() != refusal.NotRun {
		rc.recordRan(e.Ran())
	}
	if a.produced > 0 {
		rc.recordRan(refusal.Partial)
	}
	rc.excluded = append(rc.excluded, a.work.Server)
	if len(rc.attempts) > 1 {
		rc.endAttempt(a, string(e.Code()), errRequestEnded)
		rc.commit(rc.attempts[0])
		return nil, false, nil
	}
	rc.commit(a)
	rc.endAttempt(a, string(e.Code()), errRequestEnded)
	return nil, true, rc.afterFailure(ctx, a, e)
}

// hasStaleTokens reports whether any received token is below the version floor.
func (rc *race) hasStaleTokens() bool {
	if rc.gotStale || rc.belowFloor(rc.spans) {
		return true
	}
	for _, a := range rc.attempts {
		if rc.belowFloor(a.spans) {
			return true
		}
	}
	return false
}

// recordLoad records the server load that a daemon reported with an answer.
func (d *Dispatcher) recordLoad(l *lease, load int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l.servers.fleet.SetReportedLoad(l.id, load)
}

// shareSuspect sends a suspicion to the other entries.
func (d *Dispatcher) shareSuspect(s wire.Suspect) {
	if d.peers != nil {
		d.peers.Suspect(s)
	}
}

// clipSpans returns the parts of spans between first and last, and whether they cover this range without gaps and in
// order.
func clipSpans(spans []wire.Span, first, last int) ([]wire.Span, bool) {
	out := make([]wire.Span, 0, len(spans))
	next := first
	for _, s := range spans {
		s.First, s.Last = max(s.First, first), min(s.Last, last)
		if s.First > s.Last {
			continue
		}
		if s.First != next {
			return nil, false
		}
		out = append(out, s)
		next = s.Last + 1
	}
	return out, next == last+1
}

// appendSpans appends spans and merges adjacent ones of the same version.
func appendSpans(spans, more []wire.Span) []wire.Span {
	for _, s := range more {
		if n := len(spans); n > 0 && spans[n-1].Version == s.Version && spans[n-1].Last+1 == s.First {
			spans[n-1].Last = s.Last
			continue
		}
		spans = append(spans, s)
	}
	return spans
}
