package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// fake answers each request on a connection with the next text; an empty text closes the connection.
type fake struct {
	net.Listener
	mu    sync.Mutex
	conns int
	seen  []string
}

func startFake(t *testing.T, answers ...string) *fake {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fake{Listener: l}
	t.Cleanup(func() { _ = l.Close() })
	next := make(chan string, len(answers))
	for _, a := range answers {
		next <- a
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			f.mu.Lock()
			f.conns++
			f.mu.Unlock()
			go f.connection(c, next)
		}
	}()
	return f
}

func (f *fake) connection(c net.Conn, next chan string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(q.Body)
		f.mu.Lock()
		f.seen = append(f.seen, q.Method+" "+q.RequestURI+" "+string(body))
		f.mu.Unlock()
		select {
		case a := <-next:
			if a == "" {
				return
			}
			if _, err := io.WriteString(c, a); err != nil || strings.Contains(a, "Connection: close") {
				return
			}
		default:
			_, _ = c.Read(make([]byte, 1)) // send nothing until the client closes the connection
			return
		}
	}
}

func (f *fake) counts() (int, int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.conns, len(f.seen)
}

func target(f *fake) Target { return Target{Address: f.Addr().String(), Incarnation: "i", Conns: 2} }

func post(t *testing.T, p *Pool, f *fake) (*Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	t.Cleanup(cancel)
	return p.Send(ctx, target(f), Request{Method: "POST", URI: "/a?b=c", Host: "h", Header: http.Header{}, Body: []byte("x")})
}

func read(t *testing.T, r *Response) string {
	t.Helper()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatal(err)
	}
	r.Close()
	return string(b)
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against a new connection for each request.
func TestConnectionIsReused(t *testing.T) {
	f := startFake(t, ok, ok)
	p := New(Limits{Dial: time.Second, Idle: 4})
	for range 2 {
		r, err := post(t, p, f)
		if err != nil {
			t.Fatal(err)
		}
		if got := read(t, r); got != "ok" {
			t.Errorf("body is %q", got)
		}
	}
	if conns, seen := f.counts(); conns != 1 || seen != 2 {
		t.Errorf("%d connections for %d requests, want 1 for 2", conns, seen)
	}
}

// Guards against an answer that is taken for the answer to the next request on the connection: a server may send data after
// its answer, close the connection, or announce that it does not keep idle connections.
func TestUnsafeConnectionIsNotReused(t *testing.T) {
	for name, answer := range map[string]string{
		"extra bytes": ok + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale",
		"close":       "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
		"no idle":     "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			f := startFake(t, answer, ok)
			p := New(Limits{Dial: time.Second, Idle: 4})
			for range 2 {
				r, err := post(t, p, f)
				if err != nil {
					t.Fatal(err)
				}
				if got := read(t, r); got != "ok" {
					t.Errorf("body is %q", got)
				}
			}
			if conns, _ := f.counts(); conns != 2 {
				t.Errorf("%d connections, want 2", conns)
			}
		})
	}
}

// Guards against an implicit retry: a request whose answer is lost is sent only once and reported as sent.
func TestLostAnswerIsNotRetried(t *testing.T) {
	f := startFake(t, ok, "")
	p := New(Limits{Dial: time.Second, Idle: 4})
	r, err := post(t, p, f)
	if err != nil {
		t.Fatal(err)
	}
	read(t, r)
	_, err = post(t, p, f)
	var failed *Error
	if !errors.As(err, &failed) || !failed.Sent() || !failed.ClosedByPeer() {
		t.Fatalf("got error %v, want an *Error with Sent and Reset", err)
	}
	if _, seen := f.counts(); seen != 2 {
		t.Errorf("the server saw %d requests, want 2", seen)
	}
}

// Guards against a request that is reported as sent although the connection was refused or the limit of connections was
// reached.
func TestNotSent(t *testing.T) {
	f := startFake(t)
	p := New(Limits{Dial: time.Second, Idle: 4})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	one := Target{Address: f.Addr().String(), Incarnation: "i", Conns: 1}
	q := Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{}}
	go func() { _, _ = p.Send(ctx, one, q) }()
	deadline := time.Now().Add(5 * time.Second)
	for _, seen := f.counts(); seen == 0 && time.Now().Before(deadline); _, seen = f.counts() {
		time.Sleep(time.Millisecond)
	}
	_, err := p.Send(t.Context(), one, q)
	var failed *Error
	if !errors.As(err, &failed) || failed.Sent() || !failed.PoolFull() {
		t.Errorf("beyond the limit of connections: got error %v, want an *Error with Full and not Sent", err)
	}
	_ = f.Close()
	_, err = p.Send(t.Context(), Target{Address: f.Addr().String(), Incarnation: "j"}, q)
	if !errors.As(err, &failed) || failed.Sent() {
		t.Errorf("refused connection: got error %v, want an *Error that is not Sent", err)
	}
}

// Guards against a connection that stays open after the client has cancelled the request, so that the server goes on working
// on it.
func TestCancelClosesConnection(t *testing.T) {
	f := startFake(t) // never answers, and closes the connection when the client does
	p := New(Limits{Dial: time.Second, Idle: 4})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := p.Send(ctx, target(f), Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{}})
		ended <- err
	}()
	deadline := time.Now().Add(5 * time.Second)
	for _, seen := f.counts(); seen == 0 && time.Now().Before(deadline); _, seen = f.counts() {
		time.Sleep(time.Millisecond)
	}
	cancel()
	select {
	case err := <-ended:
		if !errors.Is(err, context.Canceled) {
			t.Errorf("got error %v, want context.Canceled", err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("Send does not return after 5 s")
	}
}

// Guards against the reuse of a connection to a former incarnation for its successor at the same address.
func TestIncarnationsShareNothing(t *testing.T) {
	f := startFake(t, ok, ok)
	p := New(Limits{Dial: time.Second, Idle: 4})
	for _, inc := range []string{"a", "b"} {
		r, err := p.Send(t.Context(), Target{Address: f.Addr().String(), Incarnation: inc},
			Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{}})
		if err != nil {
			t.Fatal(err)
		}
		read(t, r)
	}
	if conns, _ := f.counts(); conns != 2 {
		t.Errorf("%d connections for 2 incarnations, want 2", conns)
	}
}

// Guards against a pool that opens more connections than its limit, and against one that refuses a new connection although
// it could close an idle one to any server.
func TestOpenBound(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	a, b := startFake(t, answer, answer), startFake(t, answer, answer)
	p := New(Limits{Dial: time.Second, Idle: 4, Open: 1})
	send := func(f *fake) (*Response, error) {
		return p.Send(t.Context(), Target{Address: f.Addr().String()}, Request{Method: "GET", URI: "/", Host: "h"})
	}
	first, err := send(a)
	if err != nil {
		t.Fatal(err)
	}
	var full *Error
	if _, err := send(b); !errors.As(err, &full) || !full.PoolFull() || full.Sent() {
		t.Errorf("second connection beside one in use: got error %v, want an *Error with Full and not Sent", err)
	}
	first.Close()
	second, err := send(b)
	if err != nil {
		t.Fatalf("new connection beside an idle one: %v", err)
	}
	second.Close()
	if _, err := send(a); err != nil {
		t.Errorf("new connection after the idle one was closed: %v", err)
	}
}

// Guards against a duplicate of an earlier answer that arrives on an idle connection and is taken for the answer to the next
// request.
func TestDuplicateAnswerOnIdleConnection(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	copied := make(chan struct{}, 2)
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
					answer := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n" + q.RequestURI
					_, _ = io.WriteString(c, answer)
					time.Sleep(20 * time.Millisecond)
					_, _ = io.WriteString(c, answer)
					copied <- struct{}{}
				}
			}()
		}
	}()
	p := New(Limits{Dial: time.Second, Idle: 4})
	for _, uri := range []string{"/one", "/two"} {
		r, err := p.Send(t.Context(), Target{Address: l.Addr().String()}, Request{Method: "GET", URI: uri, Host: "h"})
		if err != nil {
			t.Fatal(err)
		}
		if got := read(t, r); got != uri {
			t.Errorf("requested %s, got the answer to %s", uri, got)
		}
		<-copied
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a server that sends an endless header: the request must fail soon, and only a bounded amount of data may
// be read.
func TestEndlessHead(t *testing.T) {
	for name, tc := range map[string]struct{ first, again string }{
		"line":    {"HTTP/1.1 200 OK\r\nX-A: ", strings.Repeat("a", 4096)},
		"lines":   {"HTTP/1.1 200 OK\r\n", "X-A: a\r\n"},
		"status":  {"", strings.Repeat("a", 4096)},
		"interim": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
		"blank":   {"", "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			sent := make(chan int, 1)
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				n, _ := io.WriteString(c, tc.first)
				for err == nil && n < 1<<28 {
					var m int
					m, err = io.WriteString(c, tc.again)
					n += m
				}
				sent <- n
			}()
			p := New(Limits{Dial: time.Second, Idle: 4})
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			r, err := p.Send(ctx, Target{Address: l.Addr().String()}, Request{Method: "GET", URI: "/", Host: "h"})
			if err == nil {
				r.Abandon()
			}
			if ctx.Err() != nil || err == nil && name != "lines" {
				t.Errorf("got error %v, want one before the timeout", err)
			}
			if n := <-sent; n > 64<<20 { // socket buffers of both sides, with a wide margin
				t.Errorf("%d bytes were accepted from the server", n)
			}
		})
	}
}

// Guards against endless bodies, trailers and chunk extensions that are read beyond the limit of the reader.
func TestEndlessBody(t *testing.T) {
	const most = 1 << 16
	for name, tc := range map[string]struct{ first, again string }{
		"chunks":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
		"extension": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;", strings.Repeat("a", 4096)},
		"trailer":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: " + strings.Repeat("a", 4096) + "\r\n"},
		"no length": {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("a", 4096)},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				n, err := io.WriteString(c, tc.first)
				for err == nil && n < 1<<28 {
					var m int
					m, err = io.WriteString(c, tc.again)
					n += m
				}
			}()
			p := New(Limits{Dial: time.Second, Idle: 4})
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			r, err := p.Send(ctx, Target{Address: l.Addr().String()}, Request{Method: "GET", URI: "/", Host: "h"})
			if err != nil {
				t.Fatal(err)
			}
			n, err := io.Copy(io.Discard, io.LimitReader(r.Body, most))
			r.Close()
			if ctx.Err() != nil || err == nil && n < most {
				t.Errorf("read %d bytes with error %v, want the limit or an error before the timeout", n, err)
			}
		})
	}
}

// Guards against a refusal with an incomplete body that delays the retry of the refused request.
func TestDiscardEnds(t *testing.T) {
	f := startFake(t, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 100\r\n\r\npart", ok)
	p := New(Limits{Dial: time.Second, Idle: 4})
	r, err := post(t, p, f)
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	r.Discard()
	if took := time.Since(began); took > 10*discardTimeout {
		t.Errorf("Discard took %s", took)
	}
	again, err := post(t, p, f)
	if err != nil {
		t.Fatal(err)
	}
	if got := read(t, again); got != "ok" {
		t.Errorf("the body of the next answer is %q", got)
	}
}
