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
	// startTimeout bounds the acknowledgement of a call, with the resend of the same attempt on a new link.
	startTimeout = 10 * time.Second
	// askTimeout bounds the answer to one question.
	askTimeout = 5 * time.Second
)

// send sends the call to the incarnation that the claim names. The call is not cut off when its caller goes: it runs
// on, and a repeat finds its result.
func (r *run) send(ctx context.Context, h held, place *dispatch.Place) (held, *dispatch.Place, *outcome) {
	w := r.work
	// A daemon that was restarted has no tombstone of its earlier incarnation, so the call is bound to that one.
	w.Server, w.Inc, w.Era = h.Server, h.Inc, h.Era
	if r.config != nil {
		w.Rev = max(w.Rev, r.config.Revision())
	}
	if !r.call.Deadline.IsZero() {
		w.Left = max(1, time.Until(r.call.Deadline).Milliseconds())
	}
	if ctx.Err() != nil {
		place.End(time.Now(), false)
		return h, nil, r.refuse(refusal.Cancelled, refusal.Unknown, "claim: the caller has gone or the deadline has passed")
	}
	r.trace.Start(time.Now(), w.Attempt, h.Daemon, h.Server)
	sctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), startTimeout)
	s, err := r.pool.Start(sctx, h.Daemon, w)
	cancel()
	if err != nil {
		r.ended(place, &w, err)
		return r.refused(ctx, h, err)
	}
	for {
		e, err := s.Next(ctx)
		switch {
		case err != nil:
			r.ended(place, &w, err)
			if ctx.Err() != nil {
				return h, nil, r.unknown("no answer before the deadline or the end of the caller")
			}
			return r.resolve(ctx, h)
		case e.Done != nil:
			r.ended(place, &w, nil)
			return h, nil, r.finished(h, w.Attempt, e.Done.Reply)
		case e.Refuse != nil:
			refused := refusal.FromWire(*e.Refuse)
			r.ended(place, &w, refused)
			return r.refused(ctx, h, refused)
		}
	}
}

// ended records the end of an attempt and gives its place back.
func (r *run) ended(place *dispatch.Place, w *wire.Work, err error) {
	now := time.Now()
	place.End(now, err == nil)
	outcome := dispatch.Finished
	if err != nil {
		outcome = string(refusal.OutcomeUnknown)
		var e *refusal.Error
		if errors.As(err, &e) {
			outcome = string(e.Code())
		}
	}
	r.trace.Stop(now, w.Attempt, outcome, nil)
}

func (r *run) finished(h held, attempt string, a *wire.Reply) *outcome {
	r.pool.Drop(h.Daemon, attempt)
	if a == nil {
		return &outcome{err: refusal.New(refusal.Broken, refusal.Unknown, "claim: answer without a reply")}
	}
	return &outcome{reply: *a}
}

// refused goes on after the daemon has refused the call or the send has failed.
func (r *run) refused(ctx context.Context, h held, err error) (held, *dispatch.Place, *outcome) {
	var e *refusal.Error
	switch {
	case !errors.As(err, &e) || e.Ran() == refusal.Unknown:
		return r.resolve(ctx, h)
	case e.Ran() != refusal.NotRun:
		return h, nil, &outcome{err: e}
	case e.Code() == refusal.Tombstoned:
		// Another request with this key has asked and may have moved the claim.
		return r.reread(ctx)
	case permanent(e.Code()), e.Code() == refusal.Busy && !r.chooser.Repeat(r.work.Workspace):
		return r.deny(ctx, h, e)
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

func (r *run) reread(ctx context.Context) (held, *dispatch.Place, *outcome) {
	h, err := r.read(ctx)
	if err != nil {
		return h, nil, r.down(err)
	}
	if o := r.check(h); o != nil {
		return h, nil, o
	}
	return h, nil, nil
}

// resolve asks the incarnation that the claim names what became of the call.
func (r *run) resolve(ctx context.Context, h held) (held, *dispatch.Place, *outcome) {
	if !r.sleep(ctx, r.young(h)) {
		return h, nil, r.unknown("no answer before the deadline or the end of the caller")
	}
	pause, silent := r.settings.Poll, 0
	for {
		f, err := r.ask(ctx, h)
		switch {
		case err != nil:
			if silent++; silent >= r.settings.Asks {
				return h, nil, r.unknown("the daemon that may have run the call cannot be reached")
			}
		case f.State == "finished":
			return h, nil, r.finished(h, f.Attempt, f.Reply)
		case f.State == "none":
			return r.move(ctx, h, refusal.New(refusal.Tombstoned, refusal.NotRun, "claim: the call was never started"))
		case f.State != "running":
			return h, nil, r.unknown("the daemon that may have run the call does not know it any more")
		default:
			silent = 0
		}
		if !r.sleep(ctx, pause) {
			return h, nil, r.unknown("no answer before the deadline or the end of the caller")
		}
		pause = min(2*pause, r.settings.PollMost)
	}
}

// sleep waits and reports false if ctx ends before.
func (r *run) sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// young returns how long a claim is not to be asked about. A wrong clock of its writer makes this at most Grace longer.
func (r *run) young(h held) time.Duration {
	id, err := ulid.Parse(h.Writer)
	if err != nil || h.Writer == r.work.Attempt {
		return 0
	}
	return max(0, min(r.settings.Grace, r.settings.Grace-time.Since(ulid.Time(id.Time()))))
}

func (r *run) ask(ctx context.Context, h held) (wire.Fate, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return r.pool.Ask(ctx, h.Daemon, wire.Ask{Inc: h.Inc, Era: h.Era, Key: r.name})
}

// move gives the claim to another incarnation after its present one has proved that it will not run the call. The
// write is conditional on the version that was proved, so of several requests one moves it.
func (r *run) move(ctx context.Context, h held, why *refusal.Error) (held, *dispatch.Place, *outcome) {
	r.skip[h.Inc] = true
	if r.moves++; r.moves > r.settings.Moves {
		return r.deny(ctx, h, why.After(r.settings.Retry))
	}
	place, err := r.choose()
	if err != nil {
		return r.deny(ctx, h, err)
	}
	next, o := r.write(ctx, place, h.version)
	if o == nil && next.Writer == r.work.Attempt {
		event.ClaimMoved.Log(r.logger, "request", r.work.Request, "from", h.Daemon, "to", next.Daemon)
	}
	return r.mine(next, place, o)
}

// deny refuses as not run, unless another request with the key has moved the claim meanwhile and may have run the call.
func (r *run) deny(ctx context.Context, h held, why error) (held, *dispatch.Place, *outcome) {
	now, err := r.read(ctx)
	switch {
	case err != nil:
		return h, nil, r.down(err)
	case now.version == h.version:
		return h, nil, &outcome{err: why}
	default:
		return now, nil, r.check(now)
	}
}
