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

// maxResends bounds how often an attempt is sent again after a stale_config refusal or to get a missing chunk.
const maxResends = 4

// Event is one message of a stream; exactly one field is set.
type Event struct {
	Chunk  *wire.Chunk
	Done   *wire.Done
	Refuse *wire.Refuse
}

// LostError reports that an attempt could not be resumed.
type LostError struct {
	sent   bool
	offset int
	cause  string
}

// Sent reports whether the attempt may have reached the daemon.
func (e *LostError) Sent() bool { return e.sent }

// Offset returns the number of tokens of the answer that were received in order.
func (e *LostError) Offset() int { return e.offset }

// Error implements error.
func (e *LostError) Error() string {
	return fmt.Sprintf("daemon: attempt lost at offset %d: %s", e.offset, e.cause)
}

// Stream is the answer of one attempt that runs on a daemon.
type Stream struct {
	pool     *Pool
	peer     *peer
	work     wire.Work
	deadline time.Time
	wake     chan struct{} // of capacity 1; signals Next that something changed

	mu           sync.Mutex
	inc          string     // incarnation that the attempt was sent to
	link         *link.Conn // link that the attempt was last sent over
	resuming     bool
	buffer       reorderBuffer
	final        *Event // done or refuse
	fault        error
	ended        bool
	resent       int  // number of resends to get a missing chunk
	gapAbandoned bool // the missing chunk before a refusal was given up
}

// Start sends an attempt and returns once the daemon has acknowledged it. The identifier of the attempt must be new
// unless the attempt was sent to the same incarnation before. Errors are *refusal.Error: a refusal of the daemon,
// no_upstream if nothing was sent, and outcome_unknown otherwise.
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
		buffer:   reorderBuffer{next: len(w.Held), maxTokens: w.Max},
	}
	p.add(s)
	err := s.attach(ctx, true)
	if err == nil {
		return s, nil
	}
	// A non-idempotent call that may be running must not be cancelled, so that its result can be queried later.
	if e := (*refusal.Error)(nil); errors.As(err, &e) && e.Code() == refusal.OutcomeUnknown && !w.Once {
		s.Cancel("not acknowledged")
	}
	s.release()
	return nil, err
}

// attach sends the attempt until the daemon acknowledges it over a link that still works, and then sets resuming to
// false. A refusal is returned as an error by the first attach and ends the stream in later ones. Errors are
// *refusal.Error.
func (s *Stream) attach(ctx context.Context, first bool) error {
	ctx, cancel := context.WithTimeout(ctx, s.pool.options.Resume)
	defer cancel()
	staleRefusals := 0
	for {
		c := s.peer.waitLink(ctx)
		if c == nil {
			return s.attachError("no link in time")
		}
		if !s.bind(c) {
			return s.attachError("the daemon restarted")
		}
		f, err := s.peer.call(ctx, c, link.Work, s.message())
		var format *link.FormatError
		switch {
		case errors.As(err, &format):
			return refusal.New(refusal.TooLarge, refusal.NotRun, "%s", format)
		case err != nil && ctx.Err() != nil:
			return s.attachError("not acknowledged in time")
		case err != nil:
		case f.Kind == link.Ack:
			if s.handleAck(c, f) {
				return nil
			}
		case f.Kind == link.Refuse:
			var m wire.Refuse
			if err := f.Decode(&m); err != nil {
				c.Close()
				continue
			}
			if m.Code != string(refusal.StaleConfig) || staleRefusals == maxResends {
				if first {
					return refusal.FromWire(m)
				}
				s.handleRefuse(m)
				return nil
			}
			staleRefusals++
			s.pool.config.EnsureRevision(ctx, m.Rev)
		default:
			c.Close()
		}
	}
}

// bind records that the attempt is about to be sent over c. It reports false if the attempt was sent to another
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

// message returns the work message with the present offset, the remaining time and the present revision.
func (s *Stream) message() wire.Work {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.work
	w.Offset = s.buffer.next
	w.Left = max(1, time.Until(s.deadline).Milliseconds())
	w.Rev = max(w.Rev, s.pool.config.Revision())
	return w
}

// handleAck completes an attach. It reports false if the link broke meanwhile or the message is malformed.
func (s *Stream) handleAck(c *link.Conn, f link.Frame) bool {
	var m wire.Ack
	if err := f.Decode(&m); err != nil {
		c.Close()
		return false
	}
	if m.Rev > s.pool.config.Revision() {
		s.pool.onNotice(wire.Notice{Rev: m.Rev})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-c.Done():
		// useLink may have looked for streams of this link already and would not resume this one.
		return false
	default:
	}
	s.resuming = false
	return true
}

func (s *Stream) attachError(cause string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inc == "" {
		return refusal.New(refusal.NoUpstream, refusal.NotRun, "daemon %s: %s", s.peer.name, cause)
	}
	return refusal.New(refusal.OutcomeUnknown, refusal.Unknown, "daemon %s: %s", s.peer.name, cause)
}

// runsOver reports whether the stream was last sent over c and is not being resumed.
func (s *Stream) runsOver(c *link.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.link == c && !s.resuming && !s.ended
}

// sentTo reports whether the attempt was sent to this incarnation of this daemon.
func (s *Stream) sentTo(r *peer, inc string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peer == r && s.inc == inc
}

// resume sends the attempt again from the present offset; if that fails, the stream ends.
func (s *Stream) resume() {
	s.mu.Lock()
	if s.resuming || s.ended || s.final != nil && s.buffer.complete() {
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
	s.fail(&LostError{sent: s.inc != "", offset: s.buffer.next, cause: err.Error()})
}

// handleChunk adds a chunk; it is called by the reader of the link.
func (s *Stream) handleChunk(m wire.Chunk) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.fault != nil {
		return
	}
	if err := s.buffer.add(m); err != nil {
		s.fail(refusal.New(refusal.Broken, refusal.Partial, "daemon %s: %s", s.peer.name, err))
		return
	}
	s.notify()
}

func (s *Stream) handleDone(m wire.Done) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.Reply == nil {
		if err := s.buffer.setTotal(m.Total); err != nil {
			s.fail(refusal.New(refusal.Broken, refusal.Partial, "daemon %s: %s", s.peer.name, err))
			return
		}
	}
	s.setFinal(Event{Done: &m})
}

// handleRefuse records a refusal as the last message. Tokens that it carries are delivered as a chunk before it.
func (s *Stream) handleRefuse(m wire.Refuse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(m.Tokens) > 0 {
		c := wire.Chunk{Attempt: m.Attempt, Offset: m.Offset, Tokens: m.Tokens, Spans: m.Spans}
		err := s.buffer.add(c)
		if err == nil {
			err = s.buffer.setTotal(m.Offset + len(m.Tokens))
		}
		if err != nil {
			s.fail(refusal.New(refusal.Broken, refusal.Partial, "daemon %s: %s", s.peer.name, err))
			return
		}
		m.Tokens, m.Spans = nil, nil
	}
	s.setFinal(Event{Refuse: &m})
}

// setFinal records the last message; the caller holds mu.
func (s *Stream) setFinal(e Event) {
	if s.final == nil {
		s.final = &e
	}
	s.notify()
}

// fail records the error that ends the stream; the caller holds mu.
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

// Next returns the next message. Chunks are in order, without gaps or duplicates. If the link breaks, the same attempt
// is resumed from its offset over a new one; if that fails, Next returns a *LostError. A protocol error of the daemon
// is returned as a *refusal.Error. When ctx ends, Next returns its error, and the stream can still be read.
func (s *Stream) Next(ctx context.Context) (Event, error) {
	var timer *time.Timer
	for {
		e, gap, err := s.take()
		if e != (Event{}) || err != nil {
			if e.Chunk == nil {
				s.release()
			}
			return e, err
		}
		var gapTimeout <-chan time.Time
		if gap {
			if timer == nil {
				timer = time.NewTimer(s.pool.options.Ack)
				defer timer.Stop()
			}
			gapTimeout = timer.C
		}
		select {
		case <-s.wake:
		case <-ctx.Done():
			return Event{}, ctx.Err()
		case <-gapTimeout:
			timer = nil
			s.handleGap()
		}
	}
}

// take returns the next message, if there is one, and whether a chunk is missing.
func (s *Stream) take() (Event, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.buffer.take(s.work.Attempt); ok {
		return Event{Chunk: &c}, false, nil
	}
	if s.final != nil && (s.buffer.complete() || s.gapAbandoned) {
		return *s.final, false, nil
	}
	if s.fault != nil {
		return Event{}, false, s.fault
	}
	return Event{}, s.buffer.gap(), nil
}

// handleGap requests a chunk that has not arrived in time by sending the attempt again with its offset. A refused
// attempt must not be sent again; its missing chunk is given up.
func (s *Stream) handleGap() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.final != nil && s.final.Refuse != nil {
		s.gapAbandoned = true
		s.notify()
		return
	}
	if s.resent == maxResends {
		s.fail(&LostError{sent: true, offset: s.buffer.next, cause: "a part of the answer is missing"})
		return
	}
	s.resent++
	go supervise.Guard(s.pool.logger, "resume", s.resume)
}

// Cancel stops the attempt and releases the stream; it does nothing after the stream's end.
func (s *Stream) Cancel(reason string) {
	if !s.release() {
		return
	}
	s.mu.Lock()
	sent := s.inc != ""
	s.mu.Unlock()
	if sent {
		s.peer.sendOrQueue(link.Cancel, wire.Cancel{Attempt: s.work.Attempt, Reason: reason})
	}
}

func (s *Stream) release() bool {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	return s.pool.remove(s)
}
