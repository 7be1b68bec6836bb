package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
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
// A response that ends with its connection may be that of a server that has died. If the stream can be resumed, it is
// complete once the same server is asked to go on, and answers without a further event: it has not died, then. The response
// to the client has chunks in any case, so that it can be seen to be broken.
func (g *Ingress) stream(
	ctx context.Context, w http.ResponseWriter, q *request, current run, ticket *prefill.Ticket, resp *upstream.Response,
) attempt {
	g.copyResponseHeader(w, resp.Header)
	w.WriteHeader(resp.StatusCode)
	out := http.NewResponseController(w)
	last := q.LastEvent
	service := current.server.Service
	confirms := false         // the server is the one whose last response ended with its connection
	var resumed *continuation // nil while the first server sends the stream
	defer func() { g.abortContinuation(q, resumed) }()
	for resumes := 0; ; resumes++ {
		copied, err := g.copyEvents(w, out, q, ticket, resp, last)
		// Without event ids nobody can be asked to go on.
		certain := resp.Framed() || !q.route.Resumable || copied.withoutID || confirms && copied.last == last
		last = copied.last
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
		g.recordBreak(ctx, q, current, err, now)
		resp.Abandon()
		g.Tracker.Release(ticket, false, now)
		g.abortContinuation(q, resumed)
		resumed = nil
		if ctx.Err() != nil || !q.route.Resumable || resumes >= maxResumes {
			break
		}
		if err == nil {
			resp, resumed = g.confirm(ctx, q, current, last)
		}
		if confirms = resumed != nil; !confirms {
			resp, resumed = g.resume(ctx, q, catalog.StartWith(service, q.route.Order(g.Random.IntN)), last)
		}
		if resumed == nil {
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

// copiedEvents are the events of a stream that the client got.
type copiedEvents struct {
	last      int  // highest id sent
	withoutID bool // there were events without an id
}

// copyEvents forwards all events except those with an id up to last. The error is nil at the end of the stream. The first
// event ends the wait of the prompt.
func (g *Ingress) copyEvents(
	w http.ResponseWriter, out *http.ResponseController, q *request, ticket *prefill.Ticket, resp *upstream.Response, last int,
) (copiedEvents, error) {
	copied := copiedEvents{last: last}
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
			return copied, nil
		}
		if err != nil {
			return copied, err
		}
		if e.ID == 0 && copied.last > 0 && !e.Comment {
			return copied, errNoID
		}
		if e.ID != 0 && e.ID <= copied.last {
			continue
		}
		if e.ID > copied.last+1 && copied.last > 0 {
			return copied, errGap
		}
		now := time.Now()
		onEvent(now)
		if !e.Comment {
			g.Tracker.FirstEvent(ticket, now)
		}
		if _, err := w.Write(e.Raw); err != nil {
			return copied, &clientError{cause: err}
		}
		if err := out.Flush(); err != nil {
			return copied, &clientError{cause: err}
		}
		awaitNext(time.Now())
		switch {
		case e.ID != 0:
			copied.last = e.ID
		case !e.Comment:
			copied.withoutID = true
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

// resume asks one server of the services after another to continue the stream after the event last. It returns the response
// and the attempt, or nil if no server continues. The caller records the end of the attempt in the tracker.
func (g *Ingress) resume(
	ctx context.Context, q *request, services []string, last int,
) (*upstream.Response, *continuation) {
	tried := make(map[string]bool)
	for ctx.Err() == nil && !g.Suspects.Blocked(q.fingerprint, time.Now()) {
		now := time.Now()
		need := place.Need{Tried: tried, Ticket: prefill.NewTicket(q.Prompt, q.workspace.Name)}
		s, ok := g.Tracker.StartAmong(now, g.pools(services), need)
		if !ok {
			return nil, nil
		}
		tried[s.ID] = true
		q.servers = append(q.servers, s.ID)
		q.attempts++
		c := &continuation{server: s, ticket: need.Ticket}
		if resp, _ := g.resumeAt(ctx, q, c, last, now); resp != nil {
			return resp, c
		}
	}
	return nil, nil
}

// confirm asks the server of a run that has ended with its connection to continue the stream after the event last. If it is
// gone, it has died in that run. The result is that of resume.
func (g *Ingress) confirm(ctx context.Context, q *request, r run, last int) (*upstream.Response, *continuation) {
	now := time.Now()
	same := slices.DeleteFunc(slices.Clone(g.Catalog.Servers(r.server.Service)), func(s catalog.Server) bool {
		return s.ID != r.server.ID || s.StartedAt != r.server.StartedAt
	})
	need := place.Need{Ticket: prefill.NewTicket(q.Prompt, q.workspace.Name)}
	s, ok := g.Tracker.Start(now, same, need)
	if !ok {
		return nil, nil
	}
	q.servers = append(q.servers, s.ID)
	q.attempts++
	c := &continuation{server: s, ticket: need.Ticket}
	resp, err := g.resumeAt(ctx, q, c, last, now)
	if resp == nil {
		g.recordBreak(ctx, q, r, err, r.endedAt)
		return nil, nil
	}
	return resp, c
}

// resumeAt asks a server to continue the stream after the event last. If it does not, the response is nil and the end of the
// attempt is recorded in the tracker; the error is that of a server that did not answer.
func (g *Ingress) resumeAt(
	ctx context.Context, q *request, c *continuation, last int, now time.Time,
) (*upstream.Response, error) {
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
		return nil, err
	}
	a := g.headers.Answer(resp.StatusCode, resp.Header)
	meaning := g.recordHead(q, s, resp, a, now, time.Now())
	aborted = false
	if resp.StatusCode == http.StatusOK && meaning == call.Genuine && isEventStream(resp.Header) {
		return resp, nil
	}
	if meaning == call.Foreign || resp.StatusCode == http.StatusOK {
		resp.Abandon()
	} else {
		resp.Discard()
	}
	now = time.Now()
	g.Tracker.Ended(s.ID, "", place.Refused, 0, now)
	g.Tracker.Release(c.ticket, false, now)
	return nil, nil
}
