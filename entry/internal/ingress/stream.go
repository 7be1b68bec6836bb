package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"bulrushspoke/entry/internal/place"
	"bulrushspoke/entry/internal/prefill"
	"bulrushspoke/internal/call"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/sse"
	"bulrushspoke/internal/upstream"
)

// maxResumes is the maximum number of times that a stream is resumed at another server; one that breaks more often is not
// expected to complete.
const maxResumes = 8

const (
	// initialStallTimeout is the timeout for the first event of a resumable stream, after which it is resumed at another
	// server. It is below two seconds, the shortest timeout of a client.
	initialStallTimeout = 1500 * time.Millisecond
	// minStallTimeout is the minimum timeout for a later event. The timeout is stallFactor times the longest wait for an
	// event of the stream so far, so that a slow but healthy stream is not interrupted.
	minStallTimeout = time.Second
	stallFactor     = 8
)

// stallTimer interrupts a stream whose server has stopped sending events. Only complete events count as progress, not other
// bytes such as comments, and the time that the client takes to receive an event is not counted.
type stallTimer struct {
	timer     *time.Timer
	waitStart time.Time     // start of the current wait for the server
	maxWait   time.Duration // longest wait for an event
}

// newStallTimer returns a started timer that calls onTimeout on a timeout.
func newStallTimer(onTimeout func(), now time.Time) *stallTimer {
	return &stallTimer{timer: time.AfterFunc(initialStallTimeout, onTimeout), waitStart: now}
}

// eventReceived records the arrival of an event and stops the timer.
func (s *stallTimer) eventReceived(now time.Time) {
	s.timer.Stop()
	s.maxWait = max(s.maxWait, now.Sub(s.waitStart))
}

// awaitEvent restarts the timer for the next event.
func (s *stallTimer) awaitEvent(now time.Time) {
	s.waitStart = now
	s.timer.Reset(s.timeout())
}

// timeout returns the timeout for the next event.
func (s *stallTimer) timeout() time.Duration { return max(stallFactor*s.maxWait, minStallTimeout) }

// stream forwards the events of a response as they arrive. If the stream breaks, it is resumed at another server if the
// route allows it; otherwise the client's connection is closed, so that the response does not appear complete.
//
// A response that ends with its connection may be that of a server that has died between two events. If the stream can
// be resumed, it is complete once a server that is asked to go on has no further event. The response to the client has
// chunks in any case, so that it can be seen to be broken.
func (g *Ingress) stream(
	ctx context.Context, w http.ResponseWriter, q *request, current run, ticket *prefill.Ticket, resp *upstream.Response,
) attempt {
	g.copyResponseHeader(w, resp.Header)
	w.WriteHeader(resp.StatusCode)
	out := http.NewResponseController(w)
	last := q.LastEvent
	service := current.server.Service
	var unconfirmed *run      // ended with its connection; its server has died if another one has further events
	var resumed *continuation // nil while the first server sends the stream
	defer func() { g.abortContinuation(q, resumed) }()
	for resumes := 0; ; resumes++ {
		next, err := g.copyEvents(w, out, q, ticket, resp, last)
		// Without event ids nobody can be asked to go on.
		certain := resp.Framed() || !q.route.Resumable || next == last || next == 0
		if unconfirmed != nil && next > last {
			g.recordCrash(q, *unconfirmed, time.Now())
		}
		unconfirmed, last = nil, next
		if err == nil && certain {
			resp.Close()
			whole := resumed == nil
			if resumed != nil {
				// Its ticket does not count as complete, since the server generated only a part of the output.
				now := time.Now()
				g.Tracker.Ended(resumed.server.ID, "", place.Answered, 0, now)
				g.Tracker.Release(resumed.ticket, false, now)
				resumed = nil
			}
			g.recordRequest(q, resp.StatusCode, "")
			return attempt{outcome: delivered, streamed: whole}
		}
		now := time.Now()
		current.endedAt = now
		if err == nil {
			ended := current
			unconfirmed = &ended
		} else {
			g.recordBreak(ctx, q, current, err, now)
		}
		resp.Abandon()
		g.Tracker.Release(ticket, false, now)
		g.abortContinuation(q, resumed)
		resumed = nil
		if ctx.Err() != nil || !q.route.Resumable || resumes >= maxResumes {
			break
		}
		if resp, resumed = g.resume(ctx, q, service, last); resumed == nil {
			break
		}
		ticket = resumed.ticket
		current = run{server: resumed.server, startedAt: resp.SentAt, headAt: time.Now()}
	}
	g.recordRequest(q, http.StatusOK, "stream interrupted")
	panic(http.ErrAbortHandler)
}

// Errors of the sequence of events.
var (
	errGap  = errors.New("ingress: gap in the event ids")
	errNoID = errors.New("ingress: event without an id in a stream with ids")
)

// clientError reports that a response could not be written to the client. It does not wrap its cause, which may look like an
// error of the connection to the server.
type clientError struct{ cause error }

// Error implements error.
func (e *clientError) Error() string { return "ingress: write to the client: " + e.cause.Error() }

// copyEvents forwards all events except those with an id up to last, and returns the highest id sent. The error is nil at
// the end of the stream. The first event ends the wait of the prompt.
func (g *Ingress) copyEvents(
	w http.ResponseWriter, out *http.ResponseController, q *request, ticket *prefill.Ticket, resp *upstream.Response, last int,
) (int, error) {
	onEvent, awaitNext := func(time.Time) {}, func(time.Time) {}
	if q.route.Resumable {
		s := newStallTimer(resp.Interrupt, time.Now())
		defer s.timer.Stop()
		onEvent, awaitNext = s.eventReceived, s.awaitEvent
	}
	in := sse.NewReader(resp.Body, g.headers.VersionLine())
	for {
		e, err := in.Next()
		if errors.Is(err, io.EOF) {
			return last, nil
		}
		if err != nil {
			return last, err
		}
		if e.ID == 0 && last > 0 && !e.Comment {
			return last, errNoID
		}
		if e.ID != 0 && e.ID <= last {
			continue
		}
		if e.ID > last+1 && last > 0 {
			return last, errGap
		}
		now := time.Now()
		onEvent(now)
		if !e.Comment {
			g.Tracker.FirstEvent(ticket, now)
		}
		if _, err := w.Write(e.Raw); err != nil {
			return last, &clientError{cause: err}
		}
		if err := out.Flush(); err != nil {
			return last, &clientError{cause: err}
		}
		awaitNext(time.Now())
		if e.ID != 0 {
			last = e.ID
		}
	}
}

// continuation is an attempt of a server to continue a stream.
type continuation struct {
	server catalog.Server
	ticket *prefill.Ticket
}

// abortContinuation records in the tracker that a continuation, which may be nil, has ended early.
func (g *Ingress) abortContinuation(q *request, c *continuation) {
	if c == nil {
		return
	}
	g.recordAbort(q, c.server)
	g.Tracker.Release(c.ticket, false, time.Now())
}

// resume asks one server after another to continue the stream after the event last. It returns the response and the attempt,
// or nil if no server continues. The caller records the end of the attempt in the tracker.
func (g *Ingress) resume(
	ctx context.Context, q *request, service string, last int,
) (*upstream.Response, *continuation) {
	tried := make(map[string]bool)
	for ctx.Err() == nil && !g.Suspects.Blocked(q.fingerprint, time.Now()) {
		now := time.Now()
		need := place.Need{Tried: tried, Ticket: prefill.NewTicket(q.Prompt, q.workspace.Name)}
		s, ok := g.Tracker.Start(now, g.Catalog.Servers(service), need)
		if !ok {
			return nil, nil
		}
		tried[s.ID] = true
		q.servers = append(q.servers, s.ID)
		q.attempts++
		c := &continuation{server: s, ticket: need.Ticket}
		if resp := g.resumeAt(ctx, q, c, last, now); resp != nil {
			return resp, c
		}
	}
	return nil, nil
}

// resumeAt asks a server to continue the stream after the event last. If it does not, the result is nil and the end of the
// attempt is recorded in the tracker.
func (g *Ingress) resumeAt(ctx context.Context, q *request, c *continuation, last int, now time.Time) *upstream.Response {
	s, aborted := c.server, true
	defer func() {
		if aborted {
			g.abortContinuation(q, c)
		}
	}()
	conns := q.config.Services[s.Service].MaxConns
	resp, err := g.Pool.Send(ctx, upstream.Target{Service: s.Service, Address: s.Address, Incarnation: s.ID, Conns: conns},
		g.upstreamRequest(q, s, call.Attempt{Server: s.ID, Timeout: q.remaining(now), ResumeAfter: last}))
	if err != nil {
		g.recordUnanswered(q, err)
		if sendFailure(err).outcome == lost {
			g.recordBreak(ctx, q, run{server: s, startedAt: now}, err, time.Now())
		}
		return nil
	}
	a := g.headers.Answer(resp.StatusCode, resp.Header)
	meaning := g.recordHead(q, s, resp, a, now, time.Now())
	aborted = false
	if resp.StatusCode == http.StatusOK && meaning == call.Genuine && isEventStream(resp.Header) {
		return resp
	}
	if meaning == call.Foreign || resp.StatusCode == http.StatusOK {
		resp.Abandon()
	} else {
		resp.Discard()
	}
	now = time.Now()
	g.Tracker.Ended(s.ID, "", place.Refused, 0, now)
	g.Tracker.Release(c.ticket, false, now)
	return nil
}
