package gate

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"bulrushspoke/internal/refusal"
	"bulrushspoke/wire"
)

type profiles map[string]wire.Profile

func (p profiles) Profile(name string) (wire.Profile, bool) {
	v, ok := p[name]
	return v, ok
}

// serve starts a gate with one path for callers and returns its listener.
func serve(t *testing.T, h Handler) *fasthttputil.InmemoryListener {
	t.Helper()
	_, l := startGate(t, h)
	return l
}

func startGate(t *testing.T, h Handler) (*Gate, *fasthttputil.InmemoryListener) {
	t.Helper()
	tokens := map[string]Identity{
		"c": {Workspace: "kitchen", Profile: "live", Role: Caller},
		"o": {Workspace: "kitchen", Role: Operator},
	}
	limits := Limits{MaxBodyBytes: 1024, MaxHeaderBytes: 2048, ReadTimeout: time.Second, WriteTimeout: time.Second, IdleTimeout: time.Second}
	g := New(tokens, limits, profiles{"live": {Concurrency: 1}}, slog.New(slog.DiscardHandler))
	g.Handle("POST", "/v1/services/{name}/{path:*}", Caller, h)
	l := fasthttputil.NewInmemoryListener()
	go func() { _ = g.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	return g, l
}

// call sends a request and returns the status and the error of its response.
func call(t *testing.T, l *fasthttputil.InmemoryListener, method, path, token, body string) (int, wire.Problem) {
	t.Helper()
	c := fasthttp.Client{Dial: func(string) (net.Conn, error) { return l.Dial() }}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.Header.SetMethod(method)
	req.SetRequestURI("http://entry" + path)
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	req.SetBodyString(body)
	if err := c.Do(req, resp); err != nil {
		t.Fatalf("%s %s: %v", method, path, err)
	}
	var e wire.ErrorBody
	if resp.StatusCode() != 200 {
		if err := json.Unmarshal(resp.Body(), &e); err != nil {
			t.Fatalf("%s %s: status %d without a typed error: %q", method, path, resp.StatusCode(), resp.Body())
		}
		if e.Error.Request != string(resp.Header.Peek(RequestHeader)) {
			t.Fatalf("error names request %q, header %q", e.Error.Request, resp.Header.Peek(RequestHeader))
		}
	}
	return resp.StatusCode(), e.Error
}

// Guards against handlers that run for a missing or unknown token, a token of another role, or an oversized body or header.
func TestRefusedBeforeHandler(t *testing.T) {
	ran := 0
	l := serve(t, func(*Request) error {
		ran++
		return nil
	})
	const path = "/v1/services/ledger/entries"
	cases := []struct {
		method, path, token, body string
		status                    int
		code                      string
	}{
		{"POST", path, "", "", 401, "unauthorized"},
		{"POST", path, "x", "", 401, "unauthorized"},
		{"POST", path, "x", "some body", 401, "unauthorized"},
		{"GET", "/nowhere", "", "", 401, "unauthorized"},
		{"POST", path, "o", "", 403, "forbidden"},
		{"GET", "/nowhere", "c", "", 404, "not_found"},
		{"POST", path, "c", strings.Repeat("b", 1025), 413, "too_large"},
		{"POST", path + "/" + strings.Repeat("h", 4096), "c", "", 431, "too_large"},
	}
	for _, c := range cases {
		status, p := call(t, l, c.method, c.path, c.token, c.body)
		if status != c.status || p.Code != c.code || p.Ran != "no" {
			t.Fatalf("%s %.40s with token %q: status %d, error %+v", c.method, c.path, c.token, status, p)
		}
	}
	if ran != 0 {
		t.Fatalf("the handler ran %d times for refused requests", ran)
	}
}

// Guards against incomplete path parameters, and against a panic in a handler that affects other requests.
func TestHandler(t *testing.T) {
	var name, rest string
	l := serve(t, func(r *Request) error {
		name, rest = r.Param("name"), r.Param("path")
		if name == "boom" {
			panic("fault of the handler")
		}
		return nil
	})
	if status, p := call(t, l, "POST", "/v1/services/boom/x", "c", ""); status != 500 || p.Ran != "unknown" {
		t.Fatalf("panic answered %d %+v", status, p)
	}
	if status, p := call(t, l, "POST", "/v1/services/ledger/a/b", "c", "{}"); status != 200 {
		t.Fatalf("answered %d %+v", status, p)
	}
	if name != "ledger" || rest != "a/b" {
		t.Fatalf("parameters %q and %q", name, rest)
	}
}

// Guards against a stream that stops counting as in flight before its last byte is written.
func TestStreamCountsAsInflight(t *testing.T) {
	finish := make(chan struct{})
	l := serve(t, func(r *Request) error {
		r.Stream(func(w *bufio.Writer) {
			_, _ = w.WriteString("first")
			_ = w.Flush()
			<-finish
		})
		return nil
	})
	c, err := l.Dial()
	if err != nil {
		t.Fatalf("dial: %v", err)
	}
	_, _ = c.Write([]byte("POST /v1/services/a/b HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer c\r\nContent-Length: 0\r\n\r\n"))
	if _, err := bufio.NewReader(c).ReadString('t'); err != nil {
		t.Fatalf("first bytes: %v", err)
	}
	if status, p := call(t, l, "POST", "/v1/services/a/b", "c", ""); status != 429 || p.Retry == 0 {
		t.Fatalf("second request of a workspace with a concurrency of 1: %d %+v", status, p)
	}
	close(finish)
	for range 1000 {
		if status, _ := call(t, l, "POST", "/v1/services/a/b", "c", ""); status == 200 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the stream still counts as in flight after its end")
}

// Guards against clients that keep a connection open by sending a request slowly, or bytes that are not HTTP.
func TestUnreadableRequests(t *testing.T) {
	l := serve(t, func(*Request) error { return nil })
	for text, status := range map[string]string{
		"POST /v1/services/a/b HTTP/1.1\r\nHost: e\r\nAuthor":                                               "408",
		"POST /v1/services/a/b HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer c\r\nContent-Length: 9\r\n\r\n": "408",
		"POST /v1/services/a/b HTTP/1.1\r\nHost: e\r\nContent-Length: 9\r\n\r\n":                            "401",
		"\x16\x03\x01garbage\r\n\r\n":                                                                       "400",
	} {
		c, err := l.Dial()
		if err != nil {
			t.Fatalf("dial: %v", err)
		}
		_, _ = c.Write([]byte(text))
		answer, err := io.ReadAll(c)
		if err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 "+status) || !strings.Contains(string(answer), `"ran":"no"`) {
			t.Fatalf("%q answered %q, %v", text, answer, err)
		}
	}
}

// Guards against a graceful shutdown that interrupts a stream in flight.
func TestShutdownFinishes(t *testing.T) {
	started, finish := make(chan struct{}), make(chan struct{})
	g, l := startGate(t, func(r *Request) error {
		r.Stream(func(w *bufio.Writer) {
			_, _ = w.WriteString("first ")
			_ = w.Flush()
			close(started)
			<-finish
			_, _ = w.WriteString("last")
		})
		return nil
	})
	c, err := l.Dial()
	if err != nil {
		t.Fatalf("dial: %v", err)
	}
	_, _ = c.Write([]byte("POST /v1/services/a/b HTTP/1.0\r\nHost: e\r\nAuthorization: Bearer c\r\n\r\n"))
	<-started
	stopped := make(chan error, 1)
	go func() { stopped <- g.Shutdown(t.Context()) }()
	for range 4000 {
		if _, err := l.Dial(); err != nil {
			break
		}
		time.Sleep(time.Millisecond)
	}
	select {
	case err := <-stopped:
		t.Fatalf("the stop did not wait for the stream: %v", err)
	default:
	}
	close(finish)
	answer, err := io.ReadAll(c)
	if err != nil || !strings.Contains(string(answer), "first") || !strings.Contains(string(answer), "last") {
		t.Fatalf("the stream was interrupted: %q, %v", answer, err)
	}
	if err := <-stopped; err != nil {
		t.Fatalf("stop: %v", err)
	}
}

// Guards against a retry with an idempotency key that is refused as not run although the first request may have run.
func TestKeyedRefusalIsUnknown(t *testing.T) {
	for code, want := range map[refusal.Code]refusal.Ran{
		refusal.TooManyRequests: refusal.Unknown,
		refusal.Unready:         refusal.Unknown,
		refusal.Unauthorized:    refusal.NotRun,
	} {
		r := &Request{RequestCtx: &fasthttp.RequestCtx{}}
		plain := refusal.New(code, refusal.NotRun, "refused")
		if got := refusalOfKeyed(r, plain); !errors.Is(got, plain) {
			t.Fatalf("%s without a key: %v", code, got)
		}
		r.Request.Header.Set(KeyHeader, "k")
		var e *refusal.Error
		if !errors.As(refusalOfKeyed(r, plain), &e) || e.Ran() != want || e.Code() != code {
			t.Fatalf("%s with a key: %v, want ran %s", code, e, want)
		}
	}
}
