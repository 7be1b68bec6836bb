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
	"bulrushspoke/internal/events"
	"bulrushspoke/internal/upstream"
)

// resumeMost bounds how often one answer is resumed at another server; a stream that breaks more often is not going to
// end.
const resumeMost = 8

const (
	// stallFirst is how long a stream that may be resumed may bring no event before it goes on at another server, until
	// its own pace is known. Clients leave after two seconds at the earliest.
	stallFirst = 1500 * time.Millisecond
	// stallLeast and stallFactor times its longest pause so far bound the pauses after that: a slow stream is sound.
	stallLeast  = time.Second
	stallFactor = 8
)

// stall ends a stream whose server brings no event any more. Only whole events are progress, whatever other bytes come,
// and the time in which the client takes an event does not count.
type stall struct {
	timer   *time.Timer
	last    time.Time     // when the server was last waited for
	longest time.Duration // wait for an event so far
}

// newStall calls cut once no event has come for too long.
func newStall(cut func(), now time.Time) *stall {
	return &stall{timer: time.AfterFunc(stallFirst, cut), last: now}
}

// came notes an event, which is now passed on.
func (s *stall) came(now time.Time) {
	s.timer.Stop()
	s.longest = max(s.longest, now.Sub(s.last))
}

// wait notes that the next event is waited for.
func (s *stall) wait(now time.Time) {
	s.last = now
	s.timer.Reset(s.allowed())
}

// allowed returns how long the next event may take.
func (s *stall) allowed() time.Duration { return max(stallFactor*s.longest, stallLeast) }

// stream passes the events of an answer on as they come. Where the route allows it, a broken stream goes on at another
// server; else the client's connection is broken off, so that the answer does not look complete.
func (g *Ingress) stream(
	ctx context.Context, w http.ResponseWriter, q *request, s catalog.Server, resp *upstream.Response,
) attempt {
	g.head(w, resp.Header)
	w.WriteHeader(resp.StatusCode)
	out := http.NewResponseController(w)
	last := q.After
	var resumed *catalog.Server // that goes on with the stream; nil while the first one does
	defer func() {
		if resumed != nil {
			g.noteCut(q, *resumed)
		}
	}()
	for resumes := 0; ; resumes++ {
		next, err := g.pump(w, out, q, resp, last)
		last = next
		if err == nil {
			resp.Close()
			if resumed != nil {
				g.Tracker.Ended(resumed.ID, "", place.Answered, 0, time.Now())
				resumed = nil
			}
			g.decided(q, resp.StatusCode, "")
			return attempt{outcome: delivered}
		}
		resp.Abandon()
		if resumed != nil {
			g.noteCut(q, *resumed)
			resumed = nil
		}
		if ctx.Err() != nil || !q.route.Resumable || resumes >= resumeMost {
			break
		}
		if resp, resumed = g.resume(ctx, q, s.Service, last); resp == nil {
			break
		}
	}
	g.decided(q, http.StatusOK, "the stream was broken off")
	panic(http.ErrAbortHandler)
}

// errGap tells that events are missing.
var errGap = errors.New("ingress: events are missing")

// pump passes on the events after last and returns the number of the newest; the error is nil at the end of the stream.
func (g *Ingress) pump(
	w http.ResponseWriter, out *http.ResponseController, q *request, resp *upstream.Response, last int,
) (int, error) {
	came, wait := func(time.Time) {}, func(time.Time) {}
	if q.route.Resumable {
		s := newStall(resp.Cut, time.Now())
		defer s.timer.Stop()
		came, wait = s.came, s.wait
	}
	in := events.NewReader(resp.Body, g.headers.VersionLine())
	for {
		e, err := in.Next()
		if errors.Is(err, io.EOF) {
			return last, nil
		}
		if err != nil {
			return last, err
		}
		if e.ID != 0 && e.ID <= last {
			continue
		}
		if e.ID > last+1 && last > 0 {
			return last, errGap
		}
		came(time.Now())
		if _, err := w.Write(e.Raw); err != nil {
			return last, err
		}
		if err := out.Flush(); err != nil {
			return last, err
		}
		wait(time.Now())
		if e.ID != 0 {
			last = e.ID
		}
	}
}

// resume asks servers to go on after an event until one does, and returns its answer and the server; nil if none will. The
// tracker is to be told of the end.
func (g *Ingress) resume(
	ctx context.Context, q *request, service string, last int,
) (*upstream.Response, *catalog.Server) {
	conns := q.config.Services[service].Conns
	tried := make(map[string]bool)
	for ctx.Err() == nil {
		now := time.Now()
		s, ok := g.Tracker.Pick(now, g.Catalog.Servers(service), place.Need{Tried: tried})
		if !ok {
			return nil, nil
		}
		tried[s.ID] = true
		q.servers = append(q.servers, s.ID)
		q.attempts++
		g.Tracker.Began(s.ID, now)
		resp, err := g.Pool.Send(ctx, upstream.Target{Address: s.Address, Incarnation: s.ID, Conns: conns},
			g.outgoing(q, call.Attempt{Server: s.ID, Left: q.left(now), After: last}))
		if err != nil {
			g.noteCut(q, s)
			continue
		}
		a := g.headers.Answer(resp.StatusCode, resp.Header)
		meaning := g.Catalog.Heard(s, a, q.ID, time.Now())
		if resp.StatusCode == http.StatusOK && meaning == call.Genuine && isStream(resp.Header) {
			return resp, &s
		}
		resp.Abandon()
		g.Tracker.Ended(s.ID, "", place.Refused, 0, time.Now())
	}
	return nil, nil
}
