package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushspoke/entry/internal/place"
	"bulrushspoke/internal/budget"
	"bulrushspoke/internal/call"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/upstream"
	"bulrushspoke/platform/platformtest"
	"bulrushspoke/wire"
)

// server is an upstream server whose responses a test writes directly to the connection.
type server struct {
	net.Listener
	mu   sync.Mutex
	seen []*http.Request
	left chan struct{}
}

// script responds to one request. It returns false to close the connection.
type script func(c net.Conn, q *http.Request, body string) bool

func newServer(t *testing.T, answer script) *server {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{Listener: l, left: make(chan struct{}, 16)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for {
					q, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					body, _ := io.ReadAll(q.Body)
					s.mu.Lock()
					s.seen = append(s.seen, q)
					s.mu.Unlock()
					if !answer(c, q, string(body)) {
						return
					}
				}
			}()
		}
	}()
	return s
}

func (s *server) requests() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*http.Request(nil), s.seen...)
}

func write(c net.Conn, head, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	return err == nil
}

// signed returns the header of a response signed by the server.
func signed(q *http.Request) string {
	return platformtest.RawResponseHeaders(call.Answer{ID: platformtest.DecodeServerRequest(q.Header).ID, Signature: platformtest.Signature})
}

func respondOK(c net.Conn, q *http.Request, _ string) bool {
	return write(c, "200 OK\r\n"+signed(q), "fine")
}

func refuse(c net.Conn, _ *http.Request, _ string) bool {
	return write(c, "503 Service Unavailable\r\n"+platformtest.RawResponseHeaders(call.Answer{NotRun: true}), "")
}

func closeConn(c net.Conn, _ *http.Request, _ string) bool { return false }

type rig struct {
	*httptest.Server
	ingress  *Ingress
	catalog  *catalog.Catalog
	deadline time.Duration // deadline of requests; 0 for none
}

// newRig starts an ingress with the given route to the servers.
func newRig(t *testing.T, route catalog.Route, servers ...*server) *rig {
	t.Helper()
	logger := slog.New(slog.DiscardHandler)
	c := catalog.New(logger)
	route.Host, route.Prefix = "h.example", "/p/"
	route.Shares = []catalog.Share{{Service: "v", Weight: 1}}
	if route.Timeout == 0 {
		route.Timeout = 5 * time.Second
	}
	route.MaxAttempts = max(route.MaxAttempts, 1)
	c.ApplyConfig(catalog.Config{
		Revision: 1, Routes: []catalog.Route{route}, Services: map[string]catalog.Service{"v": {Name: "v", MaxConns: 10}},
		Limits: catalog.Limits{MaxBodyBytes: 1 << 20},
	})
	for i, s := range servers {
		c.ApplyServer(catalog.Server{
			ID: fmt.Sprintf("i%d", i), Revision: int64(i + 1), Service: "v", Address: s.Addr().String(), Domain: "d", Slots: 4,
		})
	}
	home := place.Home{Domain: "d", Region: "r", Regions: map[string]string{"d": "r"}}
	g := New(Options{
		Catalog: c, Pool: upstream.New(upstream.Limits{Dial: time.Second, Idle: 8}),
		Tracker: place.New(home, c.Limits(), rand.New(rand.NewPCG(1, 1))), Random: rand.New(rand.NewPCG(1, 1)),
		Bodies: budget.New(1<<20).Account("bodies", 1<<20), Suspects: NewSuspects(func(wire.Crash) {}), Logger: logger,
	})
	s := httptest.NewServer(g)
	t.Cleanup(s.Close)
	return &rig{Server: s, ingress: g, catalog: c}
}

func (r *rig) send(t *testing.T, method, path, body string, header map[string]string) (*http.Response, string, error) {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), method, r.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	q.Host = "h.example"
	platformtest.SetRequestHeaders(q.Header, call.Request{ID: "r1", Deadline: r.deadline})
	for n, v := range header {
		q.Header.Set(n, v)
	}
	resp, err := r.Client().Do(q)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp, string(b), err
}

// Guards against requests that are modified on the way to the server, and responses that lose the server's signature.
func TestForwardsUnchanged(t *testing.T) {
	s := newServer(t, respondOK)
	r := newRig(t, catalog.Route{Kind: catalog.Unsafe}, s)
	r.deadline = 3 * time.Second
	resp, body, err := r.send(t, "PUT", "/p/a%20b?x=1&y=%2F", "payload", map[string]string{
		"X-Custom": "kept", "Te": "trailers",
	})
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != 200 || body != "fine" || platformtest.ServerSignature(resp.Header) != platformtest.Signature {
		t.Errorf("the client got %d %q with stamp %q", resp.StatusCode, body, platformtest.ServerSignature(resp.Header))
	}
	q := s.requests()[0]
	received := platformtest.DecodeServerRequest(q.Header)
	got := []string{q.Method, q.RequestURI, q.Host, q.Header.Get("X-Custom"), received.Server, q.Header.Get("Te")}
	want := []string{"PUT", "/p/a%20b?x=1&y=%2F", "h.example", "kept", "i0", ""}
	if d := cmp.Diff(want, got); d != "" {
		t.Errorf("the server saw (-want +got):\n%s", d)
	}
	if received.Timeout <= 0 || received.Timeout > r.deadline {
		t.Errorf("the server got %s of a deadline of %s", received.Timeout, r.deadline)
	}
}

// Guards against a retry of a request that must not be repeated, a status that wrongly says that the request was not executed,
// and a repeatable request that fails although another server is available.
func TestAttempts(t *testing.T) {
	truncated := func(c net.Conn, q *http.Request, _ string) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 100\r\n\r\nhalf", signed(q))
		return false
	}
	foreign := func(c net.Conn, _ *http.Request, _ string) bool {
		return write(c, "200 OK\r\n"+platformtest.RawResponseHeaders(call.Answer{ID: "other", Signature: platformtest.Signature}), "stale")
	}
	foreignRefusal := func(c net.Conn, _ *http.Request, _ string) bool {
		return write(c, "503 Service Unavailable\r\n"+platformtest.RawResponseHeaders(call.Answer{ID: "other", NotRun: true}), "")
	}
	unsigned := func(c net.Conn, q *http.Request, _ string) bool {
		return write(c, "200 OK\r\n"+platformtest.RawResponseHeaders(call.Answer{ID: platformtest.DecodeServerRequest(q.Header).ID}), "forged")
	}
	garbage := func(c net.Conn, _ *http.Request, _ string) bool {
		_, _ = io.WriteString(c, "no answer at all\r\n\r\n")
		return false
	}
	fails := func(c net.Conn, q *http.Request, _ string) bool { return write(c, "500 Oops\r\n"+signed(q), "sorry") }
	moved := func(c net.Conn, _ *http.Request, _ string) bool { return write(c, "421 Misdirected Request\r\n", "") }
	for _, tc := range []struct {
		name   string
		kind   catalog.Kind
		first  script
		status int
		runs   int // total number of requests that reach a server
	}{
		{"safe, refused", catalog.Safe, refuse, 200, 2},
		{"safe, reset", catalog.Safe, closeConn, 200, 2},
		{"safe, truncated", catalog.Safe, truncated, 200, 2},
		{"safe, foreign answer", catalog.Safe, foreign, 200, 2},
		{"safe, refusal of another request", catalog.Safe, foreignRefusal, 200, 2},
		{"unsafe, refusal of another request", catalog.Unsafe, foreignRefusal, 502, 1},
		{"safe, unsigned", catalog.Safe, unsigned, 200, 2},
		{"safe, garbage", catalog.Safe, garbage, 200, 2},
		{"safe, failed", catalog.Safe, fails, 200, 2},
		{"unsafe, refused", catalog.Unsafe, refuse, 200, 2},
		{"unsafe, another incarnation", catalog.Unsafe, moved, 200, 2},
		{"unsafe, reset", catalog.Unsafe, closeConn, 502, 1},
		{"unsafe, truncated", catalog.Unsafe, truncated, 502, 1},
		{"unsafe, foreign answer", catalog.Unsafe, foreign, 502, 1},
		{"unsafe, unsigned", catalog.Unsafe, unsigned, 502, 1},
		{"unsafe, failed", catalog.Unsafe, fails, 500, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			// The tracker decides which server is tried first, so the first request to either gets the scripted response.
			var once sync.Once
			answer := func(c net.Conn, q *http.Request, body string) bool {
				result, first := false, false
				once.Do(func() { first, result = true, tc.first(c, q, body) })
				if first {
					return result
				}
				return respondOK(c, q, body)
			}
			a, b := newServer(t, answer), newServer(t, answer)
			r := newRig(t, catalog.Route{Kind: tc.kind, MaxAttempts: 2}, a, b)
			resp, body, err := r.send(t, "POST", "/p/x", "payload", nil)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != tc.status || tc.status == 200 && body != "fine" {
				t.Errorf("the client got %d %q, want %d", resp.StatusCode, body, tc.status)
			}
			if runs := len(a.requests()) + len(b.requests()); runs != tc.runs {
				t.Errorf("%d requests reached servers, want %d", runs, tc.runs)
			}
			if tc.status == 502 && platformtest.ServerSignature(resp.Header) != "" {
				t.Error("a response generated by the entry has a server's signature")
			}
		})
	}
}

// Guards against a refusal without Retry-After, and against one that is delayed although all servers refuse at once.
func TestRefusesAtOnce(t *testing.T) {
	r := newRig(t, catalog.Route{Kind: catalog.Unsafe, MaxAttempts: 3}, newServer(t, refuse), newServer(t, refuse))
	began := time.Now()
	resp, _, err := r.send(t, "POST", "/p/x", "", nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != 503 || platformtest.Retry(resp.Header) <= 0 {
		t.Errorf("got %d, Retry-After %s", resp.StatusCode, platformtest.Retry(resp.Header))
	}
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("the refusal took %s of a timeout of 5 s", took)
	}
}

// Guards against a response 404 before a configuration is loaded, and against requests that exceed the timeout of their
// route.
func TestOwnAnswers(t *testing.T) {
	silent := newServer(t, func(c net.Conn, _ *http.Request, _ string) bool {
		_, _ = c.Read(make([]byte, 1))
		return false
	})
	r := newRig(t, catalog.Route{Kind: catalog.Unsafe, Timeout: 200 * time.Millisecond}, silent)
	if resp, _, err := r.send(t, "GET", "/elsewhere", "", nil); err != nil || resp.StatusCode != 404 {
		t.Errorf("a path without a route: %v %v", resp, err)
	}
	if resp, _, err := r.send(t, "POST", "/p/x", strings.Repeat("x", 2<<20), nil); err != nil || resp.StatusCode != 413 {
		t.Errorf("a body over the limit: %v %v", resp, err)
	}
	began := time.Now()
	resp, _, err := r.send(t, "POST", "/p/x", "", nil)
	if err != nil || resp.StatusCode != 504 {
		t.Errorf("at the timeout: %v %v", resp, err)
	}
	if took := time.Since(began); took > 700*time.Millisecond {
		t.Errorf("the answer came after %s, the route's timeout is 200ms, with a tolerance of 500ms", took)
	}
	r.ingress.Catalog = catalog.New(slog.New(slog.DiscardHandler))
	if resp, _, err := r.send(t, "GET", "/elsewhere", "", nil); err != nil || resp.StatusCode != 503 {
		t.Errorf("without a configuration: %v %v", resp, err)
	}
}

// Guards against a server that goes on with a request whose client has disconnected.
func TestClientLeaves(t *testing.T) {
	left := make(chan struct{})
	reached := make(chan struct{})
	s := newServer(t, func(c net.Conn, _ *http.Request, _ string) bool {
		close(reached)
		_, _ = c.Read(make([]byte, 1))
		close(left)
		return false
	})
	r := newRig(t, catalog.Route{Kind: catalog.Safe, MaxAttempts: 3}, s)
	ctx, cancel := context.WithCancel(t.Context())
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, r.URL+"/p/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	q.Host = "h.example"
	go func() {
		resp, err := r.Client().Do(q)
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
	<-reached
	cancel()
	select {
	case <-left:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection to the server was not closed")
	}
	if n := len(s.requests()); n != 1 {
		t.Errorf("%d requests reached the server", n)
	}
}

// sendEvent sends an event as one HTTP chunk.
func sendEvent(c net.Conn, id int) {
	text := fmt.Sprintf("id: %d\ndata: %d\n\n", id, id)
	_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
}

func streamHead(c net.Conn, q *http.Request) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", signed(q))
}

// Guards against lost or duplicated events after the server of a stream closes the connection, and against a truncated stream
// that appears complete.
func TestStreams(t *testing.T) {
	const last = 6
	answer := func(broken *sync.Once) script {
		return func(c net.Conn, q *http.Request, _ string) bool {
			streamHead(c, q)
			from := platformtest.DecodeServerRequest(q.Header).ResumeAfter + 1
			cut := false
			broken.Do(func() { cut = true })
			for id := from; id <= last; id++ {
				if cut && id == 4 {
					_, _ = io.WriteString(c, "9\r\nid: 4\nda\r\n") // in the middle of an event
					return false
				}
				sendEvent(c, id)
			}
			_, _ = io.WriteString(c, "0\r\n\r\n")
			return true
		}
	}
	var want strings.Builder
	for id := 1; id <= last; id++ {
		fmt.Fprintf(&want, "id: %d\ndata: %d\n\n", id, id)
	}
	t.Run("resumable", func(t *testing.T) {
		var once sync.Once
		a, b := newServer(t, answer(&once)), newServer(t, answer(&once))
		r := newRig(t, catalog.Route{Kind: catalog.Stream, Resumable: true, MaxAttempts: 2}, a, b)
		_, body, err := r.send(t, "POST", "/p/x", "", nil)
		if err != nil {
			t.Fatal(err)
		}
		if d := cmp.Diff(want.String(), body); d != "" {
			t.Errorf("the client got (-want +got):\n%s", d)
		}
	})
	t.Run("not resumable", func(t *testing.T) {
		var once sync.Once
		a, b := newServer(t, answer(&once)), newServer(t, answer(&once))
		r := newRig(t, catalog.Route{Kind: catalog.Stream, MaxAttempts: 2}, a, b)
		_, body, err := r.send(t, "POST", "/p/x", "", nil)
		if err == nil {
			t.Errorf("the truncated stream appears complete: %q", body)
		}
		if n := len(a.requests()) + len(b.requests()); n != 1 {
			t.Errorf("%d requests reached servers, want 1", n)
		}
	})
}

// Guards against slots that stay taken after a stream breaks, at its first server or at one where it was resumed, so that
// the server counts as full for ever.
func TestBrokenStreamsMakeRoom(t *testing.T) {
	const slots = 4 // of each server
	breaks := func(c net.Conn, q *http.Request, _ string) bool {
		streamHead(c, q)
		sendEvent(c, platformtest.DecodeServerRequest(q.Header).ResumeAfter+1)
		return false
	}
	for _, resumable := range []bool{false, true} {
		a, b := newServer(t, breaks), newServer(t, breaks)
		r := newRig(t, catalog.Route{Kind: catalog.Stream, Resumable: resumable, MaxAttempts: 2}, a, b)
		for i := range 3 * slots {
			// Each request has a path of its own, since one whose servers break the connection is blocked.
			if _, _, err := r.send(t, "POST", fmt.Sprintf("/p/%d", i), "", nil); err == nil {
				t.Fatal("the truncated stream appears complete")
			}
		}
		// Servers are not picked for some seconds after a failure.
		later := time.Now().Add(10 * time.Second)
		for _, s := range r.catalog.Servers("v") {
			if _, ok := r.ingress.Tracker.Pick(later, []catalog.Server{s}, place.Need{RequireSlot: true}); !ok {
				t.Errorf("resumable %t: server %s counts as full", resumable, s.ID)
			}
		}
	}
}

// Guards against a request that crashes one server after another: after three connection resets it is blocked, also when it
// is sent again, and other requests are still served.
func TestGivesUpCrashingRequest(t *testing.T) {
	s := newServer(t, func(c net.Conn, q *http.Request, body string) bool {
		if body == "poison" {
			return false
		}
		return respondOK(c, q, body)
	})
	r := newRig(t, catalog.Route{Kind: catalog.Safe, MaxAttempts: 1}, s)
	for i := range 6 {
		want := http.StatusBadGateway
		if i >= crashLimit {
			want = http.StatusServiceUnavailable // it is not run
		}
		if resp, _, err := r.send(t, "POST", "/p/x", "poison", nil); err != nil || resp.StatusCode != want {
			t.Fatalf("the crashing request: %v %v, want %d", resp, err, want)
		}
	}
	if n := len(s.requests()); n != crashLimit {
		t.Errorf("the crashing request reached servers %d times, want %d", n, crashLimit)
	}
	if resp, _, err := r.send(t, "POST", "/p/x", "harmless", nil); err != nil || resp.StatusCode != 200 {
		t.Errorf("another request: %v %v", resp, err)
	}
}

// Guards against requests to a server after one of its responses has announced its shutdown, while the list of servers
// still has it as ready.
func TestLeavingServer(t *testing.T) {
	leaves := func(c net.Conn, q *http.Request, _ string) bool {
		return write(c, "200 OK\r\n"+signed(q)+platformtest.RawResponseHeaders(call.Answer{Leaving: true}), "fine")
	}
	a, b := newServer(t, leaves), newServer(t, respondOK)
	r := newRig(t, catalog.Route{Kind: catalog.Safe}, a, b)
	for range 20 {
		if resp, _, err := r.send(t, "GET", "/p/", "", nil); err != nil || resp.StatusCode != 200 {
			t.Fatalf("%v, %v", resp, err)
		}
	}
	if n := len(a.requests()); n > 1 {
		t.Errorf("%d requests reached the server after it announced its shutdown", n-1)
	}
	if len(b.requests()) < 19 {
		t.Errorf("the other server got %d requests", len(b.requests()))
	}
}

// Guards against a stream that has stalled but still sends comment lines, and is not resumed elsewhere before the deadline.
func TestStalledStream(t *testing.T) {
	head := func(q *http.Request) string {
		return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n" + signed(q) + "\r\n"
	}
	stalls := func(c net.Conn, q *http.Request, _ string) bool {
		_, err := io.WriteString(c, head(q)+"id: 1\ndata: a\n\n")
		for err == nil {
			time.Sleep(20 * time.Millisecond)
			_, err = io.WriteString(c, ": \n")
		}
		return false
	}
	continues := func(c net.Conn, q *http.Request, _ string) bool {
		text := "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
		if platformtest.DecodeServerRequest(q.Header).ResumeAfter == 1 {
			text = "id: 2\ndata: b\n\n"
		}
		_, _ = io.WriteString(c, head(q)+text)
		return false
	}
	a, b := newServer(t, stalls), newServer(t, continues)
	r := newRig(t, catalog.Route{Kind: catalog.Stream, Resumable: true, Timeout: 20 * time.Second, MaxAttempts: 2}, a, b)
	r.deadline = 20 * time.Second
	for range 4 { // the tracker may pick either server first
		resp, body, err := r.send(t, "POST", "/p/", "x", nil)
		if err != nil || resp.StatusCode != 200 || body != "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" {
			t.Fatalf("the client got %q, %v", body, err)
		}
	}
	if len(a.requests()) == 0 {
		t.Error("no request reached the stalling server")
	}
}

// Guards against a healthy stream that is interrupted because its client reads slowly.
func TestSlowReaderKeepsStream(t *testing.T) {
	const events = 400
	data := strings.Repeat("a", 64<<10)
	streams := func(c net.Conn, q *http.Request, _ string) bool {
		streamHead(c, q)
		for i := platformtest.DecodeServerRequest(q.Header).ResumeAfter + 1; i <= events; i++ {
			text := fmt.Sprintf("id: %d\ndata: %s\n\n", i, data)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
				return false
			}
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return false
	}
	a, b := newServer(t, streams), newServer(t, streams)
	r := newRig(t, catalog.Route{Kind: catalog.Stream, Resumable: true, Timeout: 20 * time.Second, MaxAttempts: 2}, a, b)
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, r.URL+"/p/", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	q.Host = "h.example"
	platformtest.SetRequestHeaders(q.Header, call.Request{ID: "r1", Deadline: 20 * time.Second})
	resp, err := r.Client().Do(q)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	time.Sleep(2 * initialStallTimeout)
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil || n < events*int64(len(data)) {
		t.Errorf("the client got %d bytes, %v", n, err)
	}
	if runs := len(a.requests()) + len(b.requests()); runs != 1 {
		t.Errorf("%d requests reached servers, want 1", runs)
	}
}

// Guards against a healthy stream that is interrupted because its events are far apart.
func TestStallFollowsPace(t *testing.T) {
	now := time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)
	s := newStallTimer(func() {}, now)
	s.timer.Stop()
	for range 3 {
		now = now.Add(1200 * time.Millisecond)
		s.eventReceived(now)
		now = now.Add(time.Minute) // the client reads slowly
		s.awaitEvent(now)
	}
	s.timer.Stop()
	if got := s.timeout(); got < 3*time.Second || got > time.Minute {
		t.Errorf("a stream with an event every 1.2 s times out after %s", got)
	}
	quick := newStallTimer(func() {}, now)
	quick.eventReceived(now.Add(50 * time.Millisecond))
	quick.timer.Stop()
	if got := quick.timeout(); got != minStallTimeout {
		t.Errorf("a stream with an event every 50 ms times out after %s", got)
	}
}

// Guards against prompts that count as waiting after the first event, or for ever if an attempt breaks.
func TestPromptsWaitUntilFirstEvent(t *testing.T) {
	const tokens = 20_000
	var r *rig
	waiting := make(chan int, 2)
	s := newServer(t, func(c net.Conn, q *http.Request, body string) bool {
		waiting <- r.ingress.Tracker.WaitingTokens()
		if body == "breaks" {
			return false
		}
		streamHead(c, q)
		sendEvent(c, 1)
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	})
	r = newRig(t, catalog.Route{Kind: catalog.Stream, MaxAttempts: 1}, s)
	for _, body := range []string{"breaks", ""} {
		_, _, err := r.send(t, "POST", "/p/x", body, platformtest.Prompt(tokens, 10))
		if before, after := <-waiting, r.ingress.Tracker.WaitingTokens(); err != nil || before != tokens || after != 0 {
			t.Errorf("body %q: %d prompt tokens wait before the first event and %d at the end, want %d and 0 (%v)", body, before, after, tokens, err)
		}
	}
}

// Guards against quick answers with an error, or without a stream, that are measured as the time to process a prompt.
func TestOnlyStreamsAreMeasured(t *testing.T) {
	s := newServer(t, func(c net.Conn, q *http.Request, body string) bool {
		switch body {
		case "stream":
			time.Sleep(10 * time.Millisecond)
			streamHead(c, q)
			sendEvent(c, 1)
			_, _ = io.WriteString(c, "0\r\n\r\n")
		case "text":
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 2\r\n\r\nok", signed(q))
		default:
			_, _ = fmt.Fprintf(c, "HTTP/1.1 400 Bad Request\r\n%sContent-Length: 3\r\n\r\nbad", signed(q))
		}
		return true
	})
	r := newRig(t, catalog.Route{Kind: catalog.Stream, MaxAttempts: 1}, s)
	service := r.ingress.Catalog.Config().Routes[0].Shares[0].Service
	want := r.ingress.Tracker.TokenTime(service)
	for range 8 {
		if _, _, err := r.send(t, "POST", "/p/x", "stream", platformtest.Prompt(300, 10)); err != nil {
			t.Fatal(err)
		}
	}
	for _, body := range []string{"text", "error"} {
		for i := range 8 {
			header := platformtest.Prompt(900_000, 10)
			header["X-Prompt-Prefix"] = fmt.Sprintf("%s-%d:900000", body, i) // not cached
			if _, _, err := r.send(t, "POST", "/p/x", body, header); err != nil {
				t.Fatal(err)
			}
		}
	}
	if got := r.ingress.Tracker.TokenTime(service); got != want {
		t.Errorf("a prompt token takes %s after answers that are no streams, want %s", got, want)
	}
}

// Guards against a resumed stream whose prompt does not wait at the server that continues it, or whose prompt at the first
// server waits on.
func TestResumedStreamHasItsOwnTicket(t *testing.T) {
	const tokens = 20_000
	var r *rig
	waiting := make(chan int, 3)
	answer := func(c net.Conn, q *http.Request, _ string) bool {
		waiting <- r.ingress.Tracker.WaitingTokens()
		if platformtest.DecodeServerRequest(q.Header).ResumeAfter == 0 {
			streamHead(c, q)
			_, _ = io.WriteString(c, "5\r\n: c\n\n\r\n") // a comment, no event
			sendEvent(c, 1)
			return false
		}
		streamHead(c, q)
		sendEvent(c, 2)
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	}
	a, b := newServer(t, answer), newServer(t, answer)
	r = newRig(t, catalog.Route{Kind: catalog.Stream, Resumable: true, MaxAttempts: 2}, a, b)
	header := platformtest.Prompt(tokens, 10)
	header["X-Prompt-Prefix"] = "" // no part may count as cached at the first server
	header["X-Token-Count"] = strconv.Itoa(tokens + 8*10)
	if _, _, err := r.send(t, "POST", "/p/x", "", header); err != nil {
		t.Fatal(err)
	}
	if first, second, end := <-waiting, <-waiting, r.ingress.Tracker.WaitingTokens(); first != tokens || second != tokens || end != 0 {
		t.Errorf("%d prompt tokens wait at first, %d as the stream is resumed, %d at the end; want %d twice and 0", first, second, end, tokens)
	}
}
