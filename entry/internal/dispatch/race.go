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
	// startTimeout bounds the acknowledgement of an attempt, with the resend on a new link.
	startTimeout = 10 * time.Second
	// slowTokens is the number of tokens after which the speed of a stream is judged.
	slowTokens = 8
	// stallAfter is the silence after which an attempt is given up and continued elsewhere: its server hangs, or holds
	// back preempted training for longer than it takes to compute its prompt anew.
	stallAfter = 30 * time.Second
	// idleTimer is used when nothing is to be watched.
	idleTimer = time.Minute
	// pauseFactor is the silence of a begun stream that counts as late, in units of that of a first token.
	pauseFactor = 2
	// holdFor bounds how long the tokens of a slow stream are held back for its hedge.
	holdFor = 500 * time.Millisecond
	// unlinkedAfter is the silence after which an attempt is given up if its daemon has no link, and how often this is
	// looked at. The pool waits longer for the daemon, which may have died.
	unlinkedAfter = time.Second
)

// Reasons for which an attempt is cancelled.
var (
	errLost    = errors.New("dispatch: another attempt was faster")
	errStale   = errors.New("dispatch: the version floor has risen")
	errEnded   = errors.New("dispatch: the request has ended")
	errStalled = refusal.New(refusal.OutcomeUnknown, refusal.Unknown, "dispatch: the server makes no progress")
	errPump    = errors.New("dispatch: attempt ended by a panic")
)

// message is what the task of an attempt reports.
type message struct {
	try   *try
	event Event
	err   error
}

// try is one attempt.
type try struct {
	lease    *lease
	work     wire.Work
	tokens   []string // produced, but held back while a race is open
	spans    []wire.Span
	produced int
	began    time.Time
	last     time.Time
	pace     float64 // seconds per token, averaged
	cancel   context.CancelCauseFunc
}

// at returns the offset of the next token.
func (t *try) at() int { return len(t.work.Held) + t.produced }

// race is one attempt and, while it is late, the hedge beside it.
type race struct {
	*run
	tries  []*try
	hedged time.Time // start of the open race
	slow   bool      // the first attempt is slow, so that its tokens do not decide the race
	check  time.Time // earliest time of the next hedge
	old    bool      // tokens below the version floor arrived
}

// race runs an attempt on the leased server. It returns the result, or the final refusal, or neither if another
// attempt is to be made.
func (r *run) race(ctx context.Context, l *lease) (*Result, error) {
	c := &race{run: r}
	defer c.stop(errEnded)
	c.launch(ctx, l)
	timer := time.NewTimer(idleTimer)
	defer timer.Stop()
	for {
		timer.Reset(c.until(time.Now()))
		select {
		case m := <-r.messages:
			if !slices.Contains(c.tries, m.try) {
				continue
			}
			res, over, err := c.handle(ctx, m)
			if over {
				return res, err
			}
		case <-timer.C:
			c.watch(ctx, time.Now())
			if t := c.stalled(time.Now()); t != nil {
				if res, over, err := c.fail(ctx, t, errStalled); over {
					return res, err
				}
			}
		case <-ctx.Done():
			for _, t := range c.tries {
				r.unproved(t)
			}
			return nil, r.ended(ctx)
		}
		if c.outdated() {
			r.mark(refusal.Partial)
			c.stop(errStale)
			return nil, r.restart(ctx)
		}
		c.hedgeLate(ctx, time.Now())
	}
}

// unproved marks an attempt whose end is not known.
func (r *run) unproved(t *try) {
	r.mark(refusal.Unknown)
	if t.produced > 0 {
		r.mark(refusal.Partial)
	}
}

// launch starts an attempt.
func (c *race) launch(ctx context.Context, l *lease) {
	now := time.Now()
	w := c.next(now)
	w.Server = l.place.Server.Name
	t := &try{lease: l, work: w, began: now, last: now}
	c.tries = append(c.tries, t)
	c.d.sent()
	c.trace.Start(now, w.Attempt, l.place.Daemon, w.Server)
	ctx, t.cancel = context.WithCancelCause(ctx)
	go func() {
		whole := false
		supervise.Guard(c.d.logger, "attempt", func() {
			t.pump(ctx, c.d.pool, c.messages)
			whole = true
		})
		if !whole {
			_ = send(ctx, c.messages, message{try: t, err: errPump})
		}
	}()
}

// pump is the task of one attempt.
func (t *try) pump(ctx context.Context, pool Pool, out chan<- message) {
	// A start is never cut off: its outcome decides whether the work ran.
	sctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), startTimeout)
	s, err := pool.Start(sctx, t.lease.place.Daemon, t.work)
	cancel()
	if err != nil {
		_ = send(ctx, out, message{try: t, err: err})
		return
	}
	for {
		e, err := s.Next(ctx)
		if ctx.Err() != nil || send(ctx, out, message{try: t, event: e, err: err}) != nil {
			s.Cancel(context.Cause(ctx).Error())
			if t.work.Slot == nil {
				pool.Drop(t.lease.place.Daemon, t.work.Attempt)
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

// stop cancels all attempts that still run.
func (c *race) stop(cause error) {
	for len(c.tries) > 0 {
		c.remove(c.tries[0], outcomeCancelled, cause)
	}
}

// remove ends an attempt in the books.
func (c *race) remove(t *try, outcome string, cause error) {
	now := time.Now()
	t.cancel(cause)
	t.lease.end(now)
	c.trace.Stop(now, t.work.Attempt, outcome, t.spans)
	c.tries = slices.DeleteFunc(c.tries, func(o *try) bool { return o == t })
}

// handle takes one message of a running attempt and reports whether the race is over.
func (c *race) handle(ctx context.Context, m message) (*Result, bool, error) {
	t := m.try
	switch {
	case m.err != nil:
		return c.fail(ctx, t, lost(m.err))
	case m.event.Chunk != nil:
		k := m.event.Chunk
		if err := c.take(t, k.Offset, k.Tokens, k.Spans); err != nil {
			return c.fail(ctx, t, err)
		}
		return nil, false, nil
	case m.event.Done != nil:
		return c.done(ctx, t, m.event.Done)
	case m.event.Refuse != nil:
		return c.refused(ctx, t, m.event.Refuse)
	default:
		return c.fail(ctx, t, refusal.New(refusal.Broken, refusal.Unknown, "dispatch: empty message"))
	}
}

// lost returns the refusal for an attempt that has no answer.
func lost(err error) *refusal.Error {
	var e *refusal.Error
	if errors.As(err, &e) {
		return e
	}
	return refusal.New(refusal.OutcomeUnknown, refusal.Unknown, "dispatch: attempt lost: %s", err)
}

// take adds tokens of an attempt. Tokens that are already there are skipped; a gap is an error.
func (c *race) take(t *try, offset int, tokens []string, spans []wire.Span) *refusal.Error {
	at := t.at()
	if offset > at || (t.work.Max > 0 && offset+len(tokens) > t.work.Max) {
		return refusal.New(refusal.Broken, refusal.Partial, "dispatch: tokens at %d, expected at %d of %d", offset, at, t.work.Max)
	}
	if offset+len(tokens) <= at {
		return nil
	}
	tokens = tokens[at-offset:]
	spans, ok := cover(spans, at, at+len(tokens)-1)
	if !ok {
		return refusal.New(refusal.Broken, refusal.Partial, "dispatch: tokens at %d without version", at)
	}
	if c.stale(spans) {
		c.old = true
		return nil
	}
	now := time.Now()
	t.lease.progress(now, len(tokens))
	t.observe(now, len(tokens))
	t.produced += len(tokens)
	t.tokens = append(t.tokens, tokens...)
	t.spans = join(t.spans, spans)
	if len(c.tries) == 1 || t != c.tries[0] || !c.slow {
		c.win(t)
	}
	return nil
}

// observe updates the time per token. The wait for the first tokens is left out.
func (t *try) observe(now time.Time, tokens int) {
	gap := now.Sub(t.last).Seconds() / float64(tokens)
	switch {
	case t.produced == 0:
	case t.pace == 0:
		t.pace = gap
	default:
		t.pace += float64(tokens) / float64(tokens+slowTokens) * (gap - t.pace)
	}
	t.last = now
}

// late returns the silence after which the attempt is late. A stream that has begun gets more time: a pause in it costs
// the reader less than a late begin, and short ones are common on shared instances.
func (t *try) late() time.Duration {
	if t.produced > 0 {
		return pauseFactor * t.lease.late()
	}
	return t.lease.late()
}

// win ends the race in favour of t and passes its tokens on.
func (c *race) win(t *try) {
	for _, o := range slices.Clone(c.tries) {
		if o != t {
			c.remove(o, outcomeCancelled, errLost)
		}
	}
	c.slow = false
	if len(t.tokens) == 0 {
		return
	}
	at := len(c.tokens)
	c.idle = 0
	c.newest = t
	if c.first.IsZero() {
		c.first = time.Now()
	}
	spans, _ := cover(t.spans, at, at+len(t.tokens)-1)
	c.tokens = append(c.tokens, t.tokens...)
	c.spans = join(c.spans, spans)
	if c.job.Sink != nil {
		c.job.Sink(at, t.tokens, spans)
	}
	t.tokens = nil
}

func (c *race) done(ctx context.Context, t *try, d *wire.Done) (*Result, bool, error) {
	if t.work.Call == nil && d.Total != t.at() {
		e := refusal.New(refusal.Broken, refusal.Partial, "dispatch: answer of %d tokens, received %d", d.Total, t.at())
		return c.fail(ctx, t, e)
	}
	if t.work.Call != nil {
		t.lease.progress(time.Now(), 1)
	}
	c.win(t)
	c.d.report(t.lease, d.Running+d.Waiting)
	c.remove(t, Finished, errEnded)
	if t.work.Slot == nil {
		c.d.pool.Drop(t.lease.place.Daemon, t.work.Attempt)
	}
	if c.trial {
		c.trial = false
		c.d.share(c.d.suspects.settle(c.work.Print))
	}
	c.wait = time.Duration(d.Wait) * time.Millisecond
	res := c.finish(d.Finish, d.Reply, t)
	return &res, true, nil
}

func (c *race) refused(ctx context.Context, t *try, m *wire.Refuse) (*Result, bool, error) {
	if len(m.Tokens) > 0 {
		// Tokens that do not fit are left out; the next attempt makes them again.
		_ = c.take(t, m.Offset, m.Tokens, m.Spans)
	}
	if m.Crashed {
		m.Code = string(refusal.Crashed)
		if err := c.crashed(t, t.work.Solo || m.Sole); err != nil {
			c.mark(refusal.Partial)
			return nil, true, err
		}
	}
	return c.fail(ctx, t, refusal.FromWire(*m))
}

// crashed records a crash, and returns the final refusal if the content is to blame.
func (c *race) crashed(t *try, sole bool) error {
	s, condemned := c.d.suspects.crash(time.Now(), c.work.Print, sole)
	c.trial = c.trial && !t.work.Solo
	c.d.share(s)
	if !condemned {
		event.ContentSuspect.Log(c.d.logger, "request", c.work.Request, "server", t.work.Server, "print", c.work.Print)
		return nil
	}
	event.ContentCondemned.Log(c.d.logger, "request", c.work.Request, "server", t.work.Server, "print", c.work.Print)
	c.remove(t, string(refusal.Poison), errEnded)
	return refusal.New(refusal.Poison, refusal.Partial, "dispatch: this request crashes the servers that run it").
		After(c.d.settings.Suspicion)
}

// fail ends one attempt; the race goes on if another one runs.
func (c *race) fail(ctx context.Context, t *try, e *refusal.Error) (*Result, bool, error) {
	if e.Ran() != refusal.NotRun {
		c.mark(e.Ran())
	}
	if t.produced > 0 {
		c.mark(refusal.Partial)
	}
	c.except = append(c.except, t.work.Server)
	if len(c.tries) > 1 {
		c.remove(t, string(e.Code()), errEnded)
		c.win(c.tries[0])
		return nil, false, nil
	}
	c.win(t)
	c.remove(t, string(e.Code()), errEnded)
	return nil, true, c.failed(ctx, t, e)
}

// outdated reports whether the floor has risen above tokens that were made.
func (c *race) outdated() bool {
	if c.old || c.stale(c.spans) {
		return true
	}
	for _, t := range c.tries {
		if c.stale(t.spans) {
			return true
		}
	}
	return false
}

// report records the load that a daemon gave with an answer.
func (d *Dispatcher) report(l *lease, load int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l.route.fleet.Report(l.id, load)
}

// share tells the other entries of a suspicion.
func (d *Dispatcher) share(s wire.Suspect) {
	if d.peers != nil {
		d.peers.Suspect(s)
	}
}

// cover returns the parts of spans between first and last, and whether they cover all of it in order.
func cover(spans []wire.Span, first, last int) ([]wire.Span, bool) {
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

// join appends spans and unites neighbours of the same version.
func join(spans, more []wire.Span) []wire.Span {
	for _, s := range more {
		if n := len(spans); n > 0 && spans[n-1].Version == s.Version && spans[n-1].Last+1 == s.First {
			spans[n-1].Last = s.Last
			continue
		}
		spans = append(spans, s)
	}
	return spans
}
