package claim

import (
	"context"
	"errors"
	"time"

	"github.com/oklog/ulid/v2"

	"bulrushspoke/entry/internal/dispatch"
	"bulrushspoke/internal/event"
	"bulrushspoke/internal/refusal"
	"bulrushspoke/wire"
)

const (
	// startTimeout limits the wait for a daemon to acknowledge a call, including the resend of the same attempt on a new link.
	startTimeout = 10 * time.Second
	// queryTimeout limits one status query.
	queryTimeout = 5 * time.Second
)

// send sends the call to the incarnation named by the claim. The call is not cancelled when its caller disconnects: it
// runs to completion, and a repeat with the same key returns its result.
func (r *request) send(ctx context.Context, h storedClaim, place *dispatch.Reservation) (storedClaim, *dispatch.Reservation, *outcome) {
	w := r.work
	// A restarted daemon has lost the tombstones of its previous incarnation, so the call is bound to the incarnation.
	w.Server, w.Inc, w.Era = h.Server, h.Inc, h.Era
	if r.config != nil {
		w.Rev = max(w.Rev, r.config.Revision())
	}
	if !r.call.Deadline.IsZero() {
		w.Left = max(1, time.Until(r.call.Deadline).Milliseconds())
	}
	if ctx.Err() != nil {
		place.Release(time.Now(), false)
		return h, nil, r.refuse(refusal.Cancelled, refusal.Unknown, "claim: the caller has gone or the deadline has passed")
	}
	r.trace.StartAttempt(time.Now(), w.Attempt, h.Daemon, h.Server)
	sctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), startTimeout)
	s, err := r.pool.Start(sctx, h.Daemon, w)
	cancel()
	if err != nil {
		r.recordEnd(place, &w, err)
		return r.handleRefusal(ctx, h, err)
	}
	for {
		e, err := s.Next(ctx)
		switch {
		case err != nil:
			r.recordEnd(place, &w, err)
			if ctx.Err() != nil {
				return h, nil, r.outcomeUnknown("no answer before the deadline or the end of the caller")
			}
			return r.resolve(ctx, h)
		case e.Done != nil:
			r.recordEnd(place, &w, nil)
			return h, nil, r.finish(h, w.Attempt, e.Done.Reply)
		case e.Refuse != nil:
			refused := refusal.FromWire(*e.Refuse)
			r.recordEnd(place, &w, refused)
			return r.handleRefusal(ctx, h, refused)
		}
	}
}

// recordEnd records the end of an attempt in the trace and releases its place.
func (r *request) recordEnd(place *dispatch.Reservation, w *wire.Work, err error) {
	now := time.Now()
	place.Release(now, err == nil)
	outcome := dispatch.Finished
	if err != nil {
		outcome = string(refusal.OutcomeUnknown)
		var e *refusal.Error
		if errors.As(err, &e) {
			outcome = string(e.Code())
		}
	}
	r.trace.EndAttempt(now, w.Attempt, outcome, nil)
}

func (r *request) finish(h storedClaim, attempt string, a *wire.Reply) *outcome {
	r.pool.Drop(h.Daemon, attempt)
	if a == nil {
		return &outcome{err: refusal.New(refusal.Broken, refusal.Unknown, "claim: answer without a reply")}
	}
	return &outcome{reply: *a}
}

// handleRefusal decides how to proceed after the daemon has refused the call or the send has failed.
func (r *request) handleRefusal(ctx context.Context, h storedClaim, err error) (storedClaim, *dispatch.Reservation, *outcome) {
	var e *refusal.Error
	switch {
	case !errors.As(err, &e) || e.Ran() == refusal.Unknown:
		return r.resolve(ctx, h)
	case e.Ran() != refusal.NotRun:
		return h, nil, &outcome{err: e}
	case e.Code() == refusal.Tombstoned:
		// Another request with this key has queried the daemon and may have moved the claim.
		return r.reread(ctx)
	case permanent(e.Code()), e.Code() == refusal.Busy && !r.dispatcher.AllowRetry(r.work.Workspace):
		return r.refuseNotRun(ctx, h, e)
	default:
		return r.move(ctx, h, e)
	}
}

// permanent reports whether every server would refuse the call.
func permanent(c refusal.Code) bool {
	switch c {
	case refusal.BadRequest, refusal.TooLarge, refusal.Forbidden, refusal.Unauthorized, refusal.Deadline, refusal.KeyReused:
		return true
	default:
		return false
	}
}

func (r *request) reread(ctx context.Context) (storedClaim, *dispatch.Reservation, *outcome) {
	h, err := r.read(ctx)
	if err != nil {
		return h, nil, r.storeUnavailable(err)
	}
	if o := r.checkDigest(h); o != nil {
		return h, nil, o
	}
	return h, nil, nil
}

// resolve queries the incarnation named by the claim until the outcome of the call is known.
func (r *request) resolve(ctx context.Context, h storedClaim) (storedClaim, *dispatch.Reservation, *outcome) {
	if !r.sleep(ctx, r.remainingGrace(h)) {
		return h, nil, r.outcomeUnknown("no answer before the deadline or the end of the caller")
	}
	interval, failures := r.settings.PollInterval, 0
	for {
		f, err := r.query(ctx, h)
		switch {
		case err != nil:
			if failures++; failures >= r.settings.MaxFailedQueries {
				return h, nil, r.outcomeUnknown("the daemon that may have run the call cannot be reached")
			}
		case f.State == "finished":
			return h, nil, r.finish(h, f.Attempt, f.Reply)
		case f.State == "none":
			return r.move(ctx, h, refusal.New(refusal.Tombstoned, refusal.NotRun, "claim: the call was never started"))
		case f.State != "running":
			return h, nil, r.outcomeUnknown("the daemon that may have run the call does not know it any more")
		default:
			failures = 0
		}
		if !r.sleep(ctx, interval) {
			return h, nil, r.outcomeUnknown("no answer before the deadline or the end of the caller")
		}
		interval = min(2*interval, r.settings.MaxPollInterval)
	}
}

// sleep waits for d and reports whether ctx was still active at the end.
func (r *request) sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// remainingGrace returns how long to wait before the daemon of the claim may be queried. If the writer's clock is wrong,
// the wait is at most QueryGrace.
func (r *request) remainingGrace(h storedClaim) time.Duration {
	id, err := ulid.Parse(h.Writer)
	if err != nil || h.Writer == r.work.Attempt {
		return 0
	}
	return max(0, min(r.settings.QueryGrace, r.settings.QueryGrace-time.Since(ulid.Time(id.Time()))))
}

func (r *request) query(ctx context.Context, h storedClaim) (wire.Fate, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return r.pool.Query(ctx, h.Daemon, wire.Ask{Inc: h.Inc, Era: h.Era, Key: r.objectName})
}

// move assigns the claim to another incarnation after the current one has proved that it will not run the call. The
// write is conditional on the version that the proof applies to, so only one of several concurrent requests succeeds.
func (r *request) move(ctx context.Context, h storedClaim, cause *refusal.Error) (storedClaim, *dispatch.Reservation, *outcome) {
	r.excluded[h.Inc] = true
	if r.moves++; r.moves > r.settings.MaxMoves {
		return r.refuseNotRun(ctx, h, cause.WithRetryAfter(r.settings.RetryAfter))
	}
	place, err := r.choose()
	if err != nil {
		return r.refuseNotRun(ctx, h, err)
	}
	next, o := r.write(ctx, place, h.version)
	if o == nil && next.Writer == r.work.Attempt {
		event.ClaimMoved.Log(r.logger, "request", r.work.Request, "from", h.Daemon, "to", next.Daemon)
	}
	return r.releaseUnlessOwned(next, place, o)
}

// refuseNotRun refuses the request as not run, unless another request with the key has moved the claim in the meantime
// and may have run the call.
func (r *request) refuseNotRun(ctx context.Context, h storedClaim, cause error) (storedClaim, *dispatch.Reservation, *outcome) {
	current, err := r.read(ctx)
	switch {
	case err != nil:
		return h, nil, r.storeUnavailable(err)
	case current.version == h.version:
		return h, nil, &outcome{err: cause}
	default:
		return current, nil, r.checkDigest(current)
	}
}
