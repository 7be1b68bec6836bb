package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"bulrushspoke/entry/internal/place"
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
	ctx context.Context, w http.ResponseWriter, q *request, s catalog.Server, resp *upstream.Response,
) attempt {
	g.copyResponseHeader(w, resp.Header)
	w.WriteHeader(resp.StatusCode)
	out := http.NewResponseController(w)
	last := q.LastEvent
	var resumed *catalog.Server // server that continues the stream; nil while it is the first one
	defer func() {
		if resumed != nil {
			g.recordAbort(q, *resumed)
		}
	}()
	for resumes := 0; ; resumes++ {
		next, err := g.copyEvents(w, out, q, resp, last)
		// Without event ids nobody can be asked to go on.
		certain := resp.Framed() || !q.route.Resumable || next == last || next == 0
		last = next
		if err == nil && certain {
			resp.Close()
			if resumed != nil {
				g.Tracker.Ended(resumed.ID, "", place.Answered, 0, time.Now())
				resumed = nil
			}
			g.recordRequest(q, resp.StatusCode, "")
			return attempt{outcome: delivered}
		}
		resp.Abandon()
		if resumed != nil {
			g.recordAbort(q, *resumed)
			resumed = nil
		}
		if ctx.Err() != nil || !q.route.Resumable || resumes >= maxResumes {
			break
		}
		if resp, resumed = g.resume(ctx, q, s.Service, last); resp == nil {
			break
		}
	}
	g.recordRequest(q, http.StatusOK, "stream interrupted")
	panic(http.ErrAbortHandler)
}

// Errors of the sequence of events.
var (
	errGap  = errors.New("ingress: gap in the event ids")
	errNoID = errors.New("ingress: event without an id in a stream with ids")
)

// copyEvents forwards all events except those with an id up to last, and returns the highest id sent. The error is nil at
// the end of the stream.
func (g *Ingress) copyEvents(
	w http.ResponseWriter, out *http.ResponseController, q *request, resp *upstream.Response, last int,
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
		onEvent(time.Now())
		if _, err := w.Write(e.Raw); err != nil {
			return last, err
		}
		if err := out.Flush(); err != nil {
			return last, err
		}
		awaitNext(time.Now())
		if e.ID != 0 {
			last = e.ID
		}
	}
}

// resume asks one server after another to continue the stream after the event last. It returns the response and its server,
// or nil if no server continues. The caller records the end of the attempt in the tracker.
func (g *Ingress) resume(
	ctx context.Context, q *request, service string, last int,
) (*upstream.Response, *catalog.Server) {
	conns := q.config.Services[service].MaxConns
	tried := make(map[string]bool)
	for ctx.Err() == nil {
		now := time.Now()
		s, ok := g.Tracker.Start(now, g.Catalog.Servers(service), place.Need{Tried: tried})
		if !ok {
			return nil, nil
		}
		tried[s.ID] = true
		q.servers = append(q.servers, s.ID)
		q.attempts++
		resp, err := g.Pool.Send(ctx, upstream.Target{Address: s.Address, Incarnation: s.ID, Conns: conns},
			g.upstreamRequest(q, s, call.Attempt{Server: s.ID, Timeout: q.remaining(now), ResumeAfter: last}))
		if err != nil {
			g.recordAbort(q, s)
			continue
		}
		a := g.headers.Answer(resp.StatusCode, resp.Header)
		meaning := g.Catalog.RecordAnswer(s, a, q.ID, now, time.Now())
		if resp.StatusCode == http.StatusOK && meaning == call.Genuine && isEventStream(resp.Header) {
			return resp, &s
		}
		resp.Abandon()
		g.Tracker.Ended(s.ID, "", place.Refused, 0, time.Now())
	}
	return nil, nil
}
