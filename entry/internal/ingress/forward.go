package ingress

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bulrushspoke/entry/internal/place"
	"bulrushspoke/internal/call"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/upstream"
)

const (
	// wholeAnswer is the largest answer that is read whole before its first byte goes to the client, so that a broken
	// one can be asked for again; in bytes.
	wholeAnswer = 256 << 10
	// silentShare is the part of the time left after which a server that shows no sign of an answer is given up in favour
	// of another, for requests that may be repeated.
	silentShare = 0.5
	// minLeft is the least time for another attempt: about the work of a short request and the way there.
	minLeft = 20 * time.Millisecond
)

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// outcome is how one attempt ended.
type outcome int

const (
	delivered outcome = iota // the client has its answer, or has left
	notRun                   // the server did not run the request
	lost                     // it may have run, and nothing of its answer reached the client
	failed                   // the server answered with a failure of its own, held in the attempt
)

// attempt is one request sent to one server.
type attempt struct {
	outcome outcome
	cause   string
	status  int
	header  http.Header
	body    []byte
}

// forward passes a request on until it is answered or given up.
func (g *Ingress) forward(w http.ResponseWriter, q *request) {
	ctx, cancel := context.WithDeadline(q.http.Context(), q.arrived.Add(q.left(q.arrived)))
	defer cancel()
	fingerprint := Fingerprint(q.http.URL.RequestURI(), q.body)
	if g.Suspects.Blocked(fingerprint, time.Now()) {
		g.reply(w, q, Reply{Status: http.StatusBadGateway, Cause: "the request broke several servers"})
		return
	}
	service := q.route.Draw(g.Random.IntN)
	tried := make(map[string]bool)
	mayHaveRun := false
	last := attempt{outcome: notRun, cause: "no server"}
	for sent := 0; sent < q.route.Attempts && (!mayHaveRun || q.route.Repeatable()); {
		now := time.Now()
		left := q.left(now)
		if sent > 0 && left < minLeft || ctx.Err() != nil {
			break
		}
		s, ok := g.Tracker.Pick(now, g.Catalog.Servers(service), place.Need{Tried: tried})
		if !ok {
			break
		}
		tried[s.ID] = true
		q.servers = append(q.servers, s.ID)
		q.attempts++
		a := g.try(ctx, w, q, s, sent == 0)
		switch a.outcome {
		case delivered:
			if q.http.Context().Err() == nil {
				g.Suspects.Answered(fingerprint)
			}
			return
		case lost:
			mayHaveRun = true
			sent++
			if a.cause == causeReset {
				g.Suspects.Crashed(fingerprint, time.Now())
			}
		case failed:
			mayHaveRun = true
			sent++
		}
		if last.outcome != failed || a.outcome == failed {
			last = a
		}
	}
	g.giveUp(w, q, last, mayHaveRun)
}

// giveUp sends the final answer of a request that no server served.
func (g *Ingress) giveUp(w http.ResponseWriter, q *request, last attempt, mayHaveRun bool) {
	switch {
	case q.http.Context().Err() != nil:
		g.decided(q, 0, "client left")
		panic(http.ErrAbortHandler)
	case last.outcome == failed:
		g.deliver(w, q, last)
	case mayHaveRun && q.left(time.Now()) <= 0:
		g.reply(w, q, Reply{Status: http.StatusGatewayTimeout, Cause: last.cause})
	case mayHaveRun:
		g.reply(w, q, Reply{Status: http.StatusBadGateway, Cause: last.cause})
	case len(q.servers) == 0:
		g.reply(w, q, Reply{Status: http.StatusServiceUnavailable, Retry: retryNoServer, Cause: "no server is known"})
	default:
		g.reply(w, q, Reply{Status: http.StatusServiceUnavailable, Retry: retryFull, Cause: last.cause})
	}
}

const causeReset = "the server broke the connection"

// try sends the request to one server once.
func (g *Ingress) try(
	ctx context.Context, w http.ResponseWriter, q *request, s catalog.Server, first bool,
) attempt {
	began := time.Now()
	g.Tracker.Began(s.ID, began)
	left := q.left(began)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answering := func() {}
	if q.route.Repeatable() && q.route.Attempts > 1 && first {
		t := time.AfterFunc(time.Duration(silentShare*float64(left)), cancel)
		defer t.Stop()
		answering = func() { t.Stop() }
	}
	noted := false
	defer func() {
		if !noted {
			g.noteCut(q, s) // an answer that was broken off ends with a panic
		}
	}()
	a := g.exchange(ctx, w, q, s, left, answering)
	noted = true
	g.noteEnd(ctx, q, s, a, began)
	return a
}

// noteCut tells the tracker that a server, or the client, broke off in the middle of an answer.
func (g *Ingress) noteCut(q *request, s catalog.Server) {
	outcome := place.Broken
	if q.http.Context().Err() != nil {
		outcome = place.Abandoned
	}
	g.Tracker.Ended(s.ID, "", outcome, 0, time.Now())
}

// noteEnd tells the tracker how the attempt went.
func (g *Ingress) noteEnd(ctx context.Context, q *request, s catalog.Server, a attempt, began time.Time) {
	now := time.Now()
	switch {
	case q.http.Context().Err() != nil:
		g.Tracker.Ended(s.ID, "", place.Abandoned, 0, now)
	case a.outcome == notRun:
		g.Tracker.Ended(s.ID, "", place.Refused, 0, now)
	case a.outcome == lost:
		g.Tracker.Ended(s.ID, "", place.Broken, 0, now)
	case ctx.Err() != nil:
		g.Tracker.Ended(s.ID, "", place.Abandoned, 0, now)
	default:
		g.Tracker.Ended(s.ID, "", place.Answered, now.Sub(began), now)
	}
}

// exchange sends the request and passes on its answer; answering is called when the client begins to get it.
func (g *Ingress) exchange(
	ctx context.Context, w http.ResponseWriter, q *request, s catalog.Server, left time.Duration, answering func(),
) attempt {
	svc := q.config.Services[s.Service]
	target := upstream.Target{Address: s.Address, Incarnation: s.ID, Conns: svc.Conns}
	resp, err := g.Pool.Send(ctx, target, g.outgoing(q, call.Attempt{Server: s.ID, Left: left}))
	if err != nil {
		return broken(err)
	}
	answer := g.headers.Answer(resp.StatusCode, resp.Header)
	meaning := g.Catalog.Heard(s, answer, q.ID, time.Now())
	switch {
	case meaning == call.NotRun:
		resp.Discard()
		return attempt{outcome: notRun, cause: "the server refused: " + strconv.Itoa(resp.StatusCode)}
	case meaning == call.Foreign, resp.Header.Get("Content-Encoding") != "":
		resp.Abandon()
		return attempt{outcome: lost, cause: call.CauseForeign}
	case isStream(resp.Header) && resp.StatusCode == http.StatusOK:
		answering()
		return g.stream(ctx, w, q, s, resp)
	case resp.ContentLength > wholeAnswer:
		answering()
		return g.relay(w, q, resp, nil)
	}
	return g.whole(w, q, resp, answering)
}

// outgoing returns the request as one server gets it.
func (g *Ingress) outgoing(q *request, a call.Attempt) upstream.Request {
	h := copyHeader(q.http.Header)
	g.headers.Attempt(h, a)
	return upstream.Request{
		Method: q.http.Method,
		URI:    q.http.RequestURI,
		Host:   q.http.Host,
		Header: h,
		Body:   q.body,
		Fresh:  !q.route.Repeatable(),
	}
}

// broken returns the attempt that ended with an error of Send.
func broken(err error) attempt {
	var e *upstream.Error
	if errors.As(err, &e) && !e.Sent() {
		return attempt{outcome: notRun, cause: err.Error()}
	}
	if e != nil && e.Reset() {
		return attempt{outcome: lost, cause: causeReset}
	}
	return attempt{outcome: lost, cause: err.Error()}
}

// whole reads an answer of moderate size and delivers it, so that a spoilt one can be asked for again.
func (g *Ingress) whole(w http.ResponseWriter, q *request, resp *upstream.Response, answering func()) attempt {
	body, err := io.ReadAll(io.LimitReader(resp.Body, wholeAnswer+1))
	if err != nil {
		resp.Abandon()
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return attempt{outcome: lost, cause: "the answer was cut off"}
		}
		return attempt{outcome: lost, cause: err.Error()}
	}
	answering()
	if len(body) > wholeAnswer {
		return g.relay(w, q, resp, body)
	}
	resp.Close()
	a := attempt{outcome: delivered, status: resp.StatusCode, header: resp.Header, body: body}
	if resp.StatusCode >= http.StatusInternalServerError && q.route.Repeatable() {
		a.outcome, a.cause = failed, "the server failed: "+strconv.Itoa(resp.StatusCode)
		return a
	}
	g.deliver(w, q, a)
	return a
}

// deliver sends an answer that was read whole.
func (g *Ingress) deliver(w http.ResponseWriter, q *request, a attempt) {
	g.head(w, a.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	cause := ""
	if _, err := w.Write(a.body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		cause = "client left: " + err.Error()
	}
	g.decided(q, a.status, cause)
}

// head copies the headers of a server's answer.
func (g *Ingress) head(w http.ResponseWriter, from http.Header) {
	to := w.Header()
	leaving := to.Get("Connection")
	for name, values := range copyHeader(from) {
		to[name] = values
	}
	if leaving != "" {
		to.Set("Connection", leaving)
	}
	if to.Get("Content-Type") == "" {
		to["Content-Type"] = nil // keeps net/http from guessing one
	}
	if to.Get("Date") == "" {
		to["Date"] = nil
	}
}

// relay passes a large answer on as it comes, after the first bytes that have been read. The client's connection is broken off if the
// answer is, so that it does not look complete.
func (g *Ingress) relay(w http.ResponseWriter, q *request, resp *upstream.Response, first []byte) attempt {
	g.head(w, resp.Header)
	if resp.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	w.WriteHeader(resp.StatusCode)
	_, err := w.Write(first)
	if err == nil {
		_, err = io.Copy(w, resp.Body)
	}
	if err != nil {
		resp.Abandon()
		g.decided(q, resp.StatusCode, "broken off: "+err.Error())
		panic(http.ErrAbortHandler)
	}
	resp.Close()
	g.decided(q, resp.StatusCode, "")
	return attempt{outcome: delivered}
}

// copyHeader returns the headers that do not concern one connection only.
func copyHeader(h http.Header) http.Header {
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

func isStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}
