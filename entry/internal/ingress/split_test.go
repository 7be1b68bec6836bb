package ingress

import (
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"bulrushspoke/entry/internal/place"
	"bulrushspoke/entry/internal/turn"
	"bulrushspoke/internal/call"
	"bulrushspoke/internal/catalog"
)

// nearlyAll is the weight of a service beside which one of weight 1 is not drawn.
const nearlyAll = 1 << 30

// split splits the route of a rig between the service "new", of the given weight and servers with the ids new0, new1 and so on,
// and the former service.
func (r *rig) split(weight, former int, servers ...*server) {
	c := *r.catalog.Config()
	route := c.Routes[0]
	route.Shares = []catalog.Share{{Service: "new", Weight: weight}, {Service: "v", Weight: former}}
	c.Revision, c.Routes = c.Revision+1, append([]catalog.Route{route}, c.Routes[1:]...)
	r.catalog.ApplyConfig(c)
	for i, s := range servers {
		r.catalog.ApplyServer(catalog.Server{
			ID: "new" + string(rune('0'+i)), Revision: int64(i + 100), Service: "new", Address: s.Addr().String(), Domain: "d", Slots: 4,
		})
	}
}

// Guards against requests of a split route that are refused because the service picked for them has no server that takes them,
// while another one has, and against services that get requests in another proportion than that of their weights.
func TestRequestsUseServersOfSplitRoute(t *testing.T) {
	const requests = 40
	closed := func() *server {
		s := newServer(t, respondOK)
		_ = s.Close()
		return s
	}
	for _, c := range []struct {
		name    string
		weight  int
		servers []*server    // of the new service
		prepare func(r *rig) // before requests are sent
		least   int          // requests that the new service gets
		most    int
	}{
		{name: "sound", weight: 50, servers: []*server{newServer(t, respondOK)}, least: 10, most: 30},
		{name: "sound, a tenth", weight: 10, servers: []*server{newServer(t, respondOK)}, least: 1, most: 12},
		{name: "without servers", weight: 90},
		{name: "refuses", weight: 90, servers: []*server{newServer(t, refuse)}, most: requests},
		{name: "refuses connections", weight: 90, servers: []*server{closed()}},
		{name: "at its limit", weight: 90, servers: []*server{newServer(t, respondOK)}, most: 5, prepare: func(r *rig) {
			now := time.Now()
			r.catalog.Limits().Record("new0", call.Limit{Stated: true, Rate: 0.1}, now, now)
		}},
		{name: "full", weight: 90, servers: []*server{newServer(t, respondOK)}, prepare: func(r *rig) {
			for range 4 {
				r.ingress.Tracker.Began("new0", time.Now())
			}
		}},
	} {
		for _, kind := range []catalog.Kind{catalog.Unsafe, catalog.Safe, catalog.Stream} {
			before := 0
			for _, s := range c.servers {
				before += len(s.requests())
			}
			r := newRig(t, catalog.Route{Kind: kind, MaxAttempts: 2}, newServer(t, respondOK))
			r.split(c.weight, 100-c.weight, c.servers...)
			if c.prepare != nil {
				c.prepare(r)
			}
			for i := range requests {
				resp, _, err := r.send(t, "POST", "/p/", "x", nil)
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Fatalf("%s, kind %d: request %d: %v, %v", c.name, kind, i, resp, err)
				}
			}
			got := -before
			for _, s := range c.servers {
				got += len(s.requests())
			}
			if got < c.least || got > c.most {
				t.Errorf("%s, kind %d: the new service got %d of %d requests, want %d to %d", c.name, kind, got, requests, c.least, c.most)
			}
		}
	}
}

// Guards against a request that does not go to another service of its route after the server of the first has failed, and
// against one that runs twice though it must not.
func TestAttemptsAcrossServicesOfSplitRoute(t *testing.T) {
	for _, c := range []struct {
		name   string
		kind   catalog.Kind
		answer script // of the new service
		status int
		sent   int // requests that the other service gets
	}{
		{name: "safe, lost", kind: catalog.Safe, answer: closeConn, status: http.StatusOK, sent: 1},
		{name: "safe, refused", kind: catalog.Safe, answer: refuse, status: http.StatusOK, sent: 1},
		{name: "unsafe, refused", kind: catalog.Unsafe, answer: refuse, status: http.StatusOK, sent: 1},
		{name: "unsafe, lost", kind: catalog.Unsafe, answer: closeConn, status: http.StatusBadGateway},
	} {
		other := newServer(t, respondOK)
		r := newRig(t, catalog.Route{Kind: c.kind, MaxAttempts: 2}, other)
		r.split(nearlyAll, 1, newServer(t, c.answer))
		resp, _, err := r.send(t, "POST", "/p/", "x", nil)
		if err != nil || resp.StatusCode != c.status || len(other.requests()) != c.sent {
			t.Errorf("%s: got %v, %v, %d requests at the other service", c.name, resp, err, len(other.requests()))
		}
	}
}

// Guards against a stream that breaks for good when the only server of its service dies, though another service of its route
// has servers.
func TestStreamResumesAtOtherServiceOfSplitRoute(t *testing.T) {
	dies := newServer(t, func(c net.Conn, q *http.Request, _ string) bool {
		streamHead(c, q)
		sendEvent(c, 1)
		return false
	})
	goesOn := newServer(t, func(c net.Conn, q *http.Request, _ string) bool {
		streamHead(c, q)
		sendEvent(c, 2)
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	})
	r := newRig(t, catalog.Route{Kind: catalog.Stream, Resumable: true, MaxAttempts: 2}, goesOn)
	r.split(nearlyAll, 1, dies)
	resp, body, err := r.send(t, "POST", "/p/", "x", nil)
	if want := "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"; err != nil || resp.StatusCode != http.StatusOK || body != want {
		t.Errorf("got %v, %q, %v, want %q", resp, body, err, want)
	}
}

// Guards against a stream that is resumed, among several other services of its route, at the first one of the configuration,
// whatever the weights.
func TestResumptionsFollowWeights(t *testing.T) {
	dies := newServer(t, func(c net.Conn, q *http.Request, _ string) bool {
		streamHead(c, q)
		sendEvent(c, 1)
		return false
	})
	goesOn := func(c net.Conn, q *http.Request, _ string) bool {
		streamHead(c, q)
		sendEvent(c, 2)
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	}
	least, most := newServer(t, goesOn), newServer(t, goesOn)
	r := newRig(t, catalog.Route{Kind: catalog.Stream, Resumable: true, MaxAttempts: 2}, most)
	r.split(nearlyAll, 1, dies)
	config := *r.catalog.Config()
	config.Revision++
	route := config.Routes[0]
	route.Shares = []catalog.Share{{Service: "new", Weight: 1 << 40}, {Service: "least", Weight: 1}, {Service: "v", Weight: 1 << 20}}
	config.Routes = []catalog.Route{route}
	r.catalog.ApplyConfig(config)
	r.catalog.ApplyServer(catalog.Server{ID: "l0", Revision: 200, Service: "least", Address: least.Addr().String(), Domain: "d", Slots: 4})
	if _, _, err := r.send(t, "POST", "/p/", "x", nil); err != nil {
		t.Fatal(err)
	}
	if a, b := len(least.requests()), len(most.requests()); a != 0 || b != 1 {
		t.Errorf("%d resumptions at the service of weight 1, %d at the other, want 0 and 1", a, b)
	}
}

// Guards against a request that waits for a slot of one service of a split route, or is refused there, while another service
// has a slot for it.
func TestTurnsAtServicesOfSplitRoute(t *testing.T) {
	ok, refused := turn.Verdict{OK: true}, turn.Verdict{RetryAfter: 700 * time.Millisecond, Cause: "no slot"}
	sooner := turn.Verdict{RetryAfter: 300 * time.Millisecond, Cause: "no slot"}
	for _, c := range []struct {
		name       string
		verdicts   []turn.Verdict
		prepare    func(tracker *place.Tracker)
		empty      bool
		asked      []string
		status     int
		retryAfter string
	}{
		{name: "first", verdicts: []turn.Verdict{ok}, asked: []string{"new"}, status: 200},
		{name: "refused", verdicts: []turn.Verdict{refused, ok}, asked: []string{"new", "v"}, status: 200},
		{name: "refused twice", verdicts: []turn.Verdict{refused, sooner}, asked: []string{"new", "v"}, status: 503, retryAfter: "0.3"},
		{name: "without servers", verdicts: []turn.Verdict{ok}, empty: true, asked: []string{"v"}, status: 200},
		{name: "full", verdicts: []turn.Verdict{ok}, asked: []string{"v"}, status: 200, prepare: func(tracker *place.Tracker) {
			for range 4 {
				tracker.Began("new0", time.Now())
			}
		}},
	} {
		r := newRig(t, catalog.Route{Kind: catalog.Unsafe, Objective: 200 * time.Millisecond}, newServer(t, respondOK))
		f := &fakeTurns{verdicts: c.verdicts}
		r.ingress.Turns = f
		r.withKeys(t)
		servers := []*server{newServer(t, respondOK)}
		if c.empty {
			servers = nil
		}
		r.split(nearlyAll, 1, servers...)
		if c.prepare != nil {
			c.prepare(r.ingress.Tracker)
		}
		resp, _, err := r.send(t, "POST", "/p/", "x", keyHeader)
		if err != nil {
			t.Fatal(err)
		}
		var asked []string
		for _, a := range f.asked {
			asked = append(asked, a.Service)
		}
		if resp.StatusCode != c.status || resp.Header.Get("Retry-After") != c.retryAfter || !slices.Equal(asked, c.asked) {
			t.Errorf("%s: got %d with Retry-After %q, asked for turns at %v", c.name, resp.StatusCode, resp.Header.Get("Retry-After"), asked)
		}
	}
}
