package ingress

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bulrushspoke/entry/internal/place"
	"bulrushspoke/entry/internal/prefill"
	"bulrushspoke/internal/call"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/event"
	"bulrushspoke/internal/upstream"
)

const (
	// maxBufferedResponse is the size in bytes up to which a response is buffered before it is sent to the client, so that
	// the request can be retried if the response is truncated.
	maxBufferedResponse = 256 << 10
	// firstAttemptShare is the share of the remaining time after which the first attempt of a repeatable request is cancelled
	// in favour of another server, if there is one that takes it, unless its response can be sent to the client by then.
	firstAttemptShare = 0.5
	// minAttemptTime is the remaining time below which no further attempt is made: about the service time of a short request
	// and the network round trip.
	minAttemptTime = 20 * time.Millisecond
)

// hopHeaders are the headers that concern a single connection. They are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// outcome is the result of one attempt.
type outcome int

const (
	delivered outcome = iota // the client has received its response, or has disconnected
	notRun                   // the server did not execute the request
	lost                     // it may have been executed, and no part of the response reached the client
	failed                   // the server responded with an error, which the attempt holds
)

// attempt is one request sent to one server.
type attempt struct {
	outcome    outcome
	cause      string
	retryAfter time.Duration // time until a server may take the request, 0 if unknown
	status     int
	header     http.Header
	body       []byte
	unframed   bool      // the body ended with the connection
	streamed   bool      // an event stream was delivered whole by this server
	answeredAt time.Time // when the server had answered; for a response that is not buffered, when its header had arrived
	noRoom     bool      // the server refused the request by its status
}

// forward sends a request to servers until one responds or no further attempt is allowed.
func (g *Ingress) forward(w http.ResponseWriter, q *request) {
	work, stop := g.workContext(q)
	defer stop()
	ctx, cancel := context.WithDeadline(work, q.arrived.Add(q.remaining(q.arrived)))
	defer cancel()
	services := q.route.Order(g.Random.IntN)
	tried := make(map[string]bool)
	services, a, ok := g.takeTurn(ctx, q, services, 0)
	if !ok {
		g.replyUnserved(w, q, a, false)
		return
	}
	mayHaveRun, noRoom, returned := false, false, 0
	last := attempt{outcome: notRun, cause: causeNoServer}
	for sent := 0; sent < q.route.MaxAttempts && (!mayHaveRun || q.route.Repeatable()); {
		now := time.Now()
		left := q.remaining(now)
		if sent > 0 && (left < minAttemptTime || g.Suspects.Blocked(q.fingerprint, now)) || ctx.Err() != nil {
			break
		}
		if !g.fits(q, now) {
			if last.outcome == notRun {
				last = attempt{outcome: notRun, cause: causeLeaving, retryAfter: retryLeaving}
			}
			break
		}
		pools := g.pools(services)
		need := place.Need{Tried: tried, NewConn: !q.route.Repeatable(), Ticket: prefill.NewTicket(q.Prompt, q.workspace.Name)}
		s, ok := g.Tracker.StartAmong(now, pools, need)
		if !ok {
			if wait, limited := g.Tracker.Reject(now, pools.Servers(), need, left); limited && last.outcome == notRun {
				last = attempt{outcome: notRun, cause: causeLimits, retryAfter: max(wait, minRetryAfter)}
				g.recordNoRoom(services, now)
			} else if noRoom && !mayHaveRun && g.takesTurns(q) {
				returned++
				if services, a, ok = g.takeTurn(ctx, q, services, returned); ok {
					clear(tried)
					noRoom = false
					continue
				}
				last = a
			}
			break
		}
		tried[s.ID] = true
		q.servers = append(q.servers, s.ID)
		q.attempts++
		var otherAvailable func(now time.Time) bool
		// A request that has waited for a trial has no time left for a second attempt.
		if sent == 0 && q.route.Repeatable() && q.route.MaxAttempts > 1 && !q.permit.waited {
			otherAvailable = g.otherServerAvailable(services, maps.Clone(tried))
		}
		a := g.try(ctx, w, q, s, need.Ticket, now, otherAvailable)
		noRoom = noRoom || a.noRoom
		switch a.outcome {
		case delivered:
			if q.http.Context().Err() == nil {
				g.Suspects.RecordResponse(q.fingerprint)
			}
			return
		case lost:
			mayHaveRun = true
			sent++
		case failed:
			mayHaveRun = true
			sent++
		}
		if last.outcome != failed || a.outcome == failed {
			last = a
		}
	}
	g.replyUnserved(w, q, last, mayHaveRun)
}

// replyUnserved sends the final response to a request that no server has served.
func (g *Ingress) replyUnserved(w http.ResponseWriter, q *request, last attempt, mayHaveRun bool) {
	switch {
	case q.http.Context().Err() != nil:
		g.recordRequest(q, 0, "client disconnected")
		panic(http.ErrAbortHandler)
	case last.outcome == failed:
		g.writeBuffered(w, q, last)
	case mayHaveRun && q.remaining(time.Now()) <= 0:
		g.reply(w, q, Reply{Status: http.StatusGatewayTimeout, Cause: last.cause})
	case mayHaveRun:
		g.reply(w, q, Reply{Status: http.StatusBadGateway, Cause: last.cause})
	case last.retryAfter > 0:
		g.reply(w, q, Reply{Status: http.StatusServiceUnavailable, RetryAfter: last.retryAfter, Cause: last.cause})
	case len(q.servers) == 0:
		g.reply(w, q, Reply{Status: http.StatusServiceUnavailable, RetryAfter: retryNoServer, Cause: last.cause})
	default:
		g.reply(w, q, Reply{Status: http.StatusServiceUnavailable, RetryAfter: retryNoCapacity, Cause: last.cause})
	}
}

// Causes of attempts that did not succeed.
const (
	causeReset    = "connection reset by the server"
	causeNoServer = "no server available"
	causeLeaving  = "the entry is leaving and the request may take too long"
	causeLimits   = "all servers are at the limits of their request rates"
)

// pools returns the servers of services.
func (g *Ingress) pools(services []string) place.Pools {
	p := make(place.Pools, 0, len(services))
	for _, name := range services {
		p = append(p, g.Catalog.Servers(name))
	}
	return p
}

// otherServerAvailable returns a function that reports whether a server of the services that was not tried takes a request.
func (g *Ingress) otherServerAvailable(services []string, tried map[string]bool) func(now time.Time) bool {
	return func(now time.Time) bool {
		_, ok := g.Tracker.PickAmong(now, g.pools(services), place.Need{Tried: tried})
		return ok
	}
}

// try makes one attempt, started in the tracker, at a server and reports its outcome to the tracker; ticket is that of its
// prompt. The attempt is cancelled early if otherAvailable, which may be nil, then reports that another server takes the
// request.
func (g *Ingress) try(
	ctx context.Context, w http.ResponseWriter, q *request, s catalog.Server, ticket *prefill.Ticket, start time.Time,
	otherAvailable func(now time.Time) bool,
) attempt {
	left := q.remaining(start)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	onResponse := func() {}
	if otherAvailable != nil {
		t := time.AfterFunc(time.Duration(firstAttemptShare*float64(left)), func() {
			if otherAvailable(time.Now()) {
				cancel()
			}
		})
		defer t.Stop()
		onResponse = func() { t.Stop() }
	}
	recorded, complete := false, false
	defer func() {
		g.Tracker.Release(ticket, complete, time.Now())
		if !recorded {
			g.recordAbort(q, s) // an aborted response ends with a panic
		}
	}()
	a := g.roundTrip(ctx, w, q, s, ticket, left, onResponse)
	recorded, complete = true, a.streamed
	g.recordOutcome(ctx, q, s, a, start)
	return a
}

// recordAbort records in the tracker that the server failed, or the client disconnected, in the middle of a response.
func (g *Ingress) recordAbort(q *request, s catalog.Server) {
	outcome := place.Failed
	if q.http.Context().Err() != nil {
		outcome = place.Abandoned
	}
	g.Tracker.Ended(s.ID, "", outcome, 0, time.Now())
}

// recordOutcome records the outcome of an attempt in the tracker.
func (g *Ingress) recordOutcome(ctx context.Context, q *request, s catalog.Server, a attempt, start time.Time) {
	now := time.Now()
	switch {
	case q.http.Context().Err() != nil:
		g.Tracker.Ended(s.ID, "", place.Abandoned, 0, now)
	case a.outcome == notRun:
		g.Tracker.Ended(s.ID, "", place.Refused, 0, now)
	case a.outcome == lost:
		g.Tracker.Ended(s.ID, "", place.Failed, 0, now)
	case ctx.Err() != nil:
		g.Tracker.Ended(s.ID, "", place.Abandoned, 0, now)
	default:
		g.Tracker.Ended(s.ID, "", place.Answered, now.Sub(start), now)
		// A failing server may answer with errors at once, which says nothing about the time or the capacity for answers.
		if g.Turns != nil && a.status < http.StatusInternalServerError {
			g.Turns.Answered(s.Service, q.route.Name, a.answeredAt.Sub(start), now)
		}
	}
}

// roundTrip sends the request to a server and its response to the client. It calls onResponse before the first byte goes
// to the client.
func (g *Ingress) roundTrip(
	ctx context.Context, w http.ResponseWriter, q *request, s catalog.Server, ticket *prefill.Ticket, left time.Duration,
	onResponse func(),
) attempt {
	svc := q.config.Services[s.Service]
	target := upstream.Target{Service: s.Service, Address: s.Address, Incarnation: s.ID, Conns: svc.MaxConns}
	sentAt := time.Now()
	resp, err := g.Pool.Send(ctx, target, g.upstreamRequest(q, s, call.Attempt{Server: s.ID, Timeout: left}))
	if err != nil {
		g.recordUnanswered(q, err)
		a := sendFailure(err)
		if a.outcome == lost {
			g.recordBreak(ctx, q, run{server: s, startedAt: sentAt}, err, time.Now())
		}
		return a
	}
	headAt := time.Now()
	answer := g.headers.Answer(resp.StatusCode, resp.Header)
	meaning := g.recordHead(q, s, resp, answer, sentAt, headAt)
	started := run{server: s, startedAt: sentAt, headAt: headAt}
	switch {
	case meaning == call.NotRun:
		resp.Discard()
		return attempt{
			outcome: notRun, cause: "refused by the server with status " + strconv.Itoa(resp.StatusCode),
			noRoom: resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests,
		}
	case meaning == call.Foreign, resp.Header.Get("Content-Encoding") != "":
		resp.Abandon()
		return attempt{outcome: lost, cause: call.CauseForeign}
	case isEventStream(resp.Header) && resp.StatusCode == http.StatusOK:
		onResponse()
		a := g.stream(ctx, w, q, started, ticket, resp)
		a.status, a.answeredAt = resp.StatusCode, headAt
		return a
	case resp.ContentLength > maxBufferedResponse, !g.reserveAnswer(q, resp.ContentLength):
		onResponse()
		a := g.relay(ctx, w, q, started, resp, nil)
		a.status, a.answeredAt = resp.StatusCode, headAt
		return a
	}
	return g.buffer(ctx, w, q, started, resp, onResponse)
}

// recordHead records that a server has begun to answer a request that was sent at the given time, and returns what the answer
// means.
func (g *Ingress) recordHead(
	q *request, s catalog.Server, resp *upstream.Response, a call.Answer, sentAt, now time.Time,
) call.Meaning {
	meaning := g.Catalog.RecordAnswer(s, a, q.ID, sentAt, now)
	g.recordAnswered(q, resp, meaning)
	if meaning != call.Foreign {
		g.Suspects.RecordAnswer(s, sentAt, now)
	}
	return meaning
}

// recordBreak records that a run ended with an error of its connection. A server that breaks it without being about to leave
// may have crashed on the request.
func (g *Ingress) recordBreak(ctx context.Context, q *request, r run, err error, now time.Time) {
	if ctx.Err() != nil || !upstream.ClosedByPeer(err) {
		return
	}
	r.endedAt = now
	g.recordCrash(q, r, now)
}

// recordCrash records that a server may have crashed on a request.
func (g *Ingress) recordCrash(q *request, r run, now time.Time) {
	if g.Catalog.Leaving(r.server) {
		return
	}
	event.RequestBroken.Log(g.Logger, "request", q.redact(q.ID), "print", q.fingerprint, "server", r.server.ID, "answered", !r.headAt.IsZero(),
		"ms", r.endedAt.Sub(r.startedAt).Milliseconds())
	g.Suspects.RecordCrash(q.fingerprint, r, now)
}

// upstreamRequest returns the request to be sent to a server.
func (g *Ingress) upstreamRequest(q *request, s catalog.Server, a call.Attempt) upstream.Request {
	h := EndToEndHeader(q.http.Header)
	g.headers.Sender(h, q.config.Sender(q.workspace, q.route, s.Service, q.key))
	g.headers.Attempt(h, a)
	return upstream.Request{
		Method:  q.http.Method,
		URI:     q.http.RequestURI,
		Host:    q.http.Host,
		Header:  h,
		Body:    q.body,
		ID:      q.ID,
		NewConn: !q.route.Repeatable(),
	}
}

// sendFailure returns the result of an attempt for which Send returned an error.
func sendFailure(err error) attempt {
	var e *upstream.Error
	if errors.As(err, &e) && !e.Sent() {
		return attempt{outcome: notRun, cause: err.Error()}
	}
	if e != nil && e.ClosedByPeer() {
		return attempt{outcome: lost, cause: causeReset}
	}
	return attempt{outcome: lost, cause: err.Error()}
}

// buffer reads a response of at most maxBufferedResponse bytes before it is sent, so that the request can be retried if the
// response is truncated. A larger one is relayed.
func (g *Ingress) buffer(
	ctx context.Context, w http.ResponseWriter, q *request, r run, resp *upstream.Response, onResponse func(),
) attempt {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedResponse+1))
	if err != nil {
		g.recordBreak(ctx, q, r, err, time.Now())
		resp.Abandon()
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return attempt{outcome: lost, cause: "response truncated"}
		}
		return attempt{outcome: lost, cause: err.Error()}
	}
	answeredAt := time.Now()
	onResponse()
	if len(body) > maxBufferedResponse {
		a := g.relay(ctx, w, q, r, resp, body)
		a.status, a.answeredAt = resp.StatusCode, answeredAt
		return a
	}
	resp.Close()
	a := attempt{
		outcome: delivered, status: resp.StatusCode, header: resp.Header, body: body, unframed: !resp.Framed(),
		answeredAt: answeredAt,
	}
	if resp.StatusCode >= http.StatusInternalServerError && q.route.Repeatable() {
		a.outcome, a.cause = failed, "server error: status "+strconv.Itoa(resp.StatusCode)
		return a
	}
	g.writeBuffered(w, q, a)
	return a
}

// writeBuffered sends a buffered response.
func (g *Ingress) writeBuffered(w http.ResponseWriter, q *request, a attempt) {
	g.copyResponseHeader(w, a.header)
	if a.unframed {
		endWithConnection(w)
	} else {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	w.WriteHeader(a.status)
	cause := ""
	if _, err := w.Write(a.body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		cause = "client disconnected: " + err.Error()
	}
	g.recordRequest(q, a.status, cause)
}

// copyResponseHeader copies the headers of a server's response.
func (g *Ingress) copyResponseHeader(w http.ResponseWriter, from http.Header) {
	to := w.Header()
	leaving := to.Get("Connection")
	for name, values := range EndToEndHeader(from) {
		to[name] = values
	}
	if leaving != "" {
		to.Set("Connection", leaving)
	}
	if to.Get("Content-Type") == "" {
		to["Content-Type"] = nil // keeps net/http from detecting one
	}
	if to.Get("Date") == "" {
		to["Date"] = nil
	}
}

// endWithConnection makes a response end with the client's connection. That of a server which did so may be incomplete,
// and a length or a last chunk would tell the client otherwise.
func endWithConnection(w http.ResponseWriter) { w.Header().Set("Transfer-Encoding", "identity") }

// reset closes the client's connection with a reset, which tells the client that a response that ends with its
// connection is incomplete.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the connection is closed already
	}
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only if the connection is closed already
	}
	_ = c.Close()
}

// relay copies a large response to the client as it arrives; first holds the bytes already read. If the response is
// truncated, the client's connection is closed, so that the response does not appear complete.
func (g *Ingress) relay(
	ctx context.Context, w http.ResponseWriter, q *request, r run, resp *upstream.Response, first []byte,
) attempt {
	g.copyResponseHeader(w, resp.Header)
	if resp.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	if !resp.Framed() {
		endWithConnection(w)
	}
	w.WriteHeader(resp.StatusCode)
	_, err := w.Write(first)
	if err == nil {
		body := &bodyReader{body: resp.Body}
		_, err = io.Copy(w, body)
		g.recordBreak(ctx, q, r, body.err, time.Now())
	}
	if err != nil {
		resp.Abandon()
		g.recordRequest(q, resp.StatusCode, "response aborted: "+err.Error())
		if !resp.Framed() {
			reset(w)
		}
		panic(http.ErrAbortHandler)
	}
	resp.Close()
	g.recordRequest(q, resp.StatusCode, "")
	return attempt{outcome: delivered}
}

// bodyReader keeps the error of reading an answer apart from those of writing it to the client.
type bodyReader struct {
	body io.Reader
	err  error // nil at the end of the answer
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if !errors.Is(err, io.EOF) {
		b.err = err
	}
	return n, err
}

// EndToEndHeader returns a copy of h without the hop-by-hop headers.
func EndToEndHeader(h http.Header) http.Header {
	c := h.Clone()
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			c.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		c.Del(name)
	}
	return c
}

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}
