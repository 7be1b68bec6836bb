package daemon

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"bulrushspoke/internal/link"
	"bulrushspoke/internal/refusal"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/wire"
)

// resends bounds how often an attempt is sent again after a stale_config refusal or for a missing part.
const resends = 4

// Event is one message of a stream; exactly one field is set.
type Event struct {
	Chunk  *wire.Chunk
	Done   *wire.Done
	Refuse *wire.Refuse
}

// LostError tells that an attempt could not be resumed.
type LostError struct {
	sent   bool
	offset int
	cause  string
}

// Sent reports whether the attempt may have reached the daemon.
func (e *LostError) Sent() bool { return e.sent }

// Offset returns the number of tokens of the answer that are held in order.
func (e *LostError) Offset() int { return e.offset }

// Error implements error.
func (e *LostError) Error() string {
	return fmt.Sprintf("daemon: attempt lost at offset %d: %s", e.offset, e.cause)
}

// Stream is one attempt on a daemon.
type Stream struct {
	pool     *Pool
	peer     *peer
	work     wire.Work
	deadline time.Time
	wake     chan struct{} // holds one token while something changed

	mu       sync.Mutex
	inc      string     // incarnation that the attempt was sent to
	link     *link.Conn // that the attempt runs over
	resuming bool
	order    order
	last     *Event // done or refuse
	fault    error
	ended    bool
	asked    int  // times that a missing part was asked for
	cutShort bool // true if the missing part before a refusal was given up
}

// Start sends an attempt and returns once the daemon has acknowledged it. The identifier of the attempt must be new
// unless the attempt was sent to the same incarnation before. Errors are *refusal.Error: a refusal of the daemon,
// no_upstream if no byte was sent, outcome_unknown otherwise.
func (p *Pool) Start(ctx context.Context, daemon string, w wire.Work) (*Stream, error) {
	r := p.peer(daemon)
	if r == nil || !r.linked() {
		return nil, refusal.New(refusal.NoUpstream, refusal.NotRun, "daemon %s has no link", daemon)
	}
	s := &Stream{
		pool:     p,
		peer:     r,
		work:     w,
		deadline: time.Now().Add(time.Duration(w.Left) * time.Millisecond),
		wake:     make(chan struct{}, 1),
		resuming: true,
		order:    order{have: len(w.Held), limit: w.Max},
	}
	p.add(s)
	err := s.attach(ctx, true)
	if err == nil {
		return s, nil
	}
	// An unrepeatable call that may run must run to its end, so that its result can be asked for.
	if e := (*refusal.Error)(nil); errors.As(err, &e) && e.Code() == refusal.OutcomeUnknown && !w.Once {
		s.Cancel("not acknowledged")
	}
	s.forget()
	return nil, err
}

// attach sends the attempt until the daemon acknowledges it over a link that still works. It sets resuming to false on
// success. A refusal is an error of the first attach, and the end of the stream later. Its error is a *refusal.Error.
func (s *Stream) attach(ctx context.Context, first bool) error {
	ctx, cancel := context.WithTimeout(ctx, s.pool.options.Resume)
	defer cancel()
	stale := 0
	for {
		c := s.peer.wait(ctx)
		if c == nil {
			return s.unresolved("no link in time")
		}
		if !s.bind(c) {
			return s.unresolved("the daemon restarted")
		}
		f, err := s.peer.call(ctx, c, link.Work, s.message())
		var format *link.FormatError
		switch {
		case errors.As(err, &format):
			return refusal.New(refusal.TooLarge, refusal.NotRun, "%s", format)
		case err != nil && ctx.Err() != nil:
			return s.unresolved("not acknowledged in time")
		case err != nil:
		case f.Kind == link.Ack:
			if s.acknowledged(c, f) {
				return nil
			}
		case f.Kind == link.Refuse:
			var m wire.Refuse
			if err := f.Decode(&m); err != nil {
				c.Close()
				continue
			}
			if m.Code != string(refusal.StaleConfig) || stale == resends {
				if first {
					return refusal.FromWire(m)
				}
				s.refuse(m)
				return nil
			}
			stale++
			s.pool.config.Offer(ctx, m.Rev)
		default:
			c.Close()
		}
	}
}

// bind notes that the attempt is about to be sent over c. It reports false if the attempt was sent to another
// incarnation before, or if a claim binds it to another one.
func (s *Stream) bind(c *link.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	inc := c.Peer().Inc
	if s.inc != "" && s.inc != inc || s.work.Inc != "" && s.work.Inc != inc {
		return false
	}
	s.inc = inc
	s.link = c
	return true
}

// message returns the work with what is held of it now and the present revision.
func (s *Stream) message() wire.Work {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.work
	w.Offset = s.order.have
	w.Left = max(1, time.Until(s.deadline).Milliseconds())
	w.Rev = max(w.Rev, s.pool.config.Revision())
	return w
}

// acknowledged ends an attach; it reports false if the link broke meanwhile or the message is malformed.
func (s *Stream) acknowledged(c *link.Conn, f link.Frame) bool {
	var m wire.Ack
	if err := f.Decode(&m); err != nil {
		c.Close()
		return false
	}
	if m.Rev > s.pool.config.Revision() {
		s.pool.noticed(wire.Notice{Rev: m.Rev})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-c.Done():
		// The peer's task may have looked for streams of this link already.
		return false
	default:
	}
	s.resuming = false
	return true
}

func (s *Stream) unresolved(cause string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inc == "" {
		return refusal.New(refusal.NoUpstream, refusal.NotRun, "daemon %s: %s", s.peer.name, cause)
	}
	return refusal.New(refusal.OutcomeUnknown, refusal.Unknown, "daemon %s: %s", s.peer.name, cause)
}

// over reports whether the stream runs over c and nobody resumes it.
func (s *Stream) over(c *link.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.link == c && !s.resuming && !s.ended
}

// from reports whether the attempt was sent to this incarnation of this daemon.
func (s *Stream) from(r *peer, inc string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peer == r && s.inc == inc
}

// resume sends the attempt again from the present offset; its failure is the stream's end.
func (s *Stream) resume() {
	s.mu.Lock()
	if s.resuming || s.ended || s.last != nil && s.order.complete() {
		s.mu.Unlock()
		return
	}
	s.resuming = true
	s.mu.Unlock()
	ctx, cancel := context.WithDeadline(context.Background(), s.deadline)
	defer cancel()
	err := s.attach(ctx, false)
	if err == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resuming = false
	s.fail(&LostError{sent: s.inc != "", offset: s.order.have, cause: err.Error()})
}

// chunk takes tokens from the link's reading task.
func (s *Stream) chunk(m wire.Chunk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.fault != nil {
		return
	}
	if err := s.order.add(m); err != nil {
		s.fail(refusal.New(refusal.Broken, refusal.Partial, "daemon %s: %s", s.peer.name, err))
		return
	}
	s.notify()
}

func (s *Stream) done(m wire.Done) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.Reply == nil {
		if err := s.order.finish(m.Total); err != nil {
			s.fail(refusal.New(refusal.Broken, refusal.Partial, "daemon %s: %s", s.peer.name, err))
			return
		}
	}
	s.end(Event{Done: &m})
}

// refuse takes a refusal; tokens that come with it are delivered as a chunk before it.
func (s *Stream) refuse(m wire.Refuse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(m.Tokens) > 0 {
		c := wire.Chunk{Attempt: m.Attempt, Offset: m.Offset, Tokens: m.Tokens, Spans: m.Spans}
		err := s.order.add(c)
		if err == nil {
			err = s.order.finish(m.Offset + len(m.Tokens))
		}
		if err != nil {
			s.fail(refusal.New(refusal.Broken, refusal.Partial, "daemon %s: %s", s.peer.name, err))
			return
		}
		m.Tokens, m.Spans = nil, nil
	}
	s.end(Event{Refuse: &m})
}

// end notes the last message; the caller holds mu.
func (s *Stream) end(e Event) {
	if s.last == nil {
		s.last = &e
	}
	s.notify()
}

// fail notes the error that ends the stream; the caller holds mu.
func (s *Stream) fail(err error) {
	if s.fault == nil {
		s.fault = err
	}
	s.notify()
}

func (s *Stream) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Next returns the next message. Chunks come in order without gaps or repeats. A broken link is replaced and the same
// attempt resumed from its offset; if that fails, Next returns a *LostError. A protocol error of the daemon is a
// *refusal.Error, and the end of ctx is returned as its error, after which the stream can still be read.
func (s *Stream) Next(ctx context.Context) (Event, error) {
	var timer *time.Timer
	for {
		e, gap, err := s.take()
		if e != (Event{}) || err != nil {
			if e.Chunk == nil {
				s.forget()
			}
			return e, err
		}
		var late <-chan time.Time
		if gap {
			if timer == nil {
				timer = time.NewTimer(s.pool.options.Ack)
				defer timer.Stop()
			}
			late = timer.C
		}
		select {
		case <-s.wake:
		case <-ctx.Done():
			return Event{}, ctx.Err()
		case <-late:
			timer = nil
			s.missing()
		}
	}
}

// take returns the next message, if there is one, and whether a part is missing.
func (s *Stream) take() (Event, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.order.take(s.work.Attempt); ok {
		return Event{Chunk: &c}, false, nil
	}
	if s.last != nil && (s.order.complete() || s.cutShort) {
		return *s.last, false, nil
	}
	if s.fault != nil {
		return Event{}, false, s.fault
	}
	return Event{}, s.order.gap(), nil
}

// missing asks the daemon for a part that has not come in time, by sending the attempt again with its offset. A refused
// attempt must not be sent again: its missing part is given up.
func (s *Stream) missing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last != nil && s.last.Refuse != nil {
		s.cutShort = true
		s.notify()
		return
	}
	if s.asked == resends {
		s.fail(&LostError{sent: true, offset: s.order.have, cause: "a part of the answer is missing"})
		return
	}
	s.asked++
	go supervise.Guard(s.pool.logger, "resume", s.resume)
}

// Cancel stops the attempt and forgets the stream; it does nothing after the stream's end.
func (s *Stream) Cancel(reason string) {
	if !s.forget() {
		return
	}
	s.mu.Lock()
	sent := s.inc != ""
	s.mu.Unlock()
	if sent {
		s.peer.urge(link.Cancel, wire.Cancel{Attempt: s.work.Attempt, Reason: reason})
	}
}

func (s *Stream) forget() bool {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	return s.pool.remove(s)
}
