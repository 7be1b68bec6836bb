package budget

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const largeAnswer = 8 << 20 // bytes, more than the kernel buffers

// rig is an HTTP server on a Listener whose handler waits for release if the path is /wait.
type rig struct {
	listener *Listener
	release  chan struct{}
	heads    *Account
	limits   atomic.Pointer[HeadLimits]
}

func newRig(t *testing.T, most int, headMemory int64) *rig {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{release: make(chan struct{}), heads: New(headMemory).Account("heads", headMemory)}
	r.limits.Store(&HeadLimits{Bytes: 8000})
	r.listener = Listen(l, ListenerOptions{
		Name: "test", Most: most, Heads: r.heads, HeadLimits: func() HeadLimits { return *r.limits.Load() },
		Logger: slog.New(slog.DiscardHandler),
	})
	s := &http.Server{ConnState: StateChanged, ConnContext: ConnContext, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		size, fields := HeadSize(q)
		if size > r.limits.Load().Bytes || SettleHead(q, size, fields) != nil {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		if q.URL.Path == "/body" {
			_, _ = io.Copy(io.Discard, q.Body) // ends when the connection is closed
		}
		if q.URL.Path == "/wait" {
			<-r.release
		}
		if q.URL.Path == "/large" {
			_, _ = w.Write(make([]byte, largeAnswer)) // ends when the connection is closed
		}
	})
	t.Cleanup(func() { _ = s.Close() })
	go func() { _ = s.Serve(r.listener) }() // ends with the test
	return r
}

func (r *rig) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", r.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	return c
}

func (r *rig) waitOpen(t *testing.T, n int) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); r.listener.Open() != n; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d open connections, want %d", r.listener.Open(), n)
		}
	}
}

// status sends text and returns the status of the answer.
func status(t *testing.T, c net.Conn, text string) int {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// victim returns the connection that gives way at a time, or nil.
func (r *rig) victim(now time.Time) *Conn {
	c, _ := r.listener.victim(now)
	return c
}

func closed(c net.Conn) bool {
	_, err := c.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

// Guards against clients that use up the descriptors of the process: silent connections must give way to new ones, and a
// connection beside busy ones only must be closed at once, so that its client can try another entry. A connection must free
// its place when it closes, and only once.
func TestConnections(t *testing.T) {
	r := newRig(t, 2, 1<<20)
	silent := r.dial(t)
	r.waitOpen(t, 1)
	busy := r.dial(t)
	if _, err := io.WriteString(busy, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	r.waitOpen(t, 2)
	third := r.dial(t)
	if !closed(silent) {
		t.Error("a silent connection stays open although another one needs its place")
	}
	if s := status(t, third, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); s != http.StatusOK {
		t.Errorf("status %d on the connection in its place", s)
	}
	// Both connections have sent requests now.
	if !closed(r.dial(t)) {
		t.Error("a connection over the limit stays open")
	}
	close(r.release)
	_ = third.Close()
	r.waitOpen(t, 1)
	if s := status(t, r.dial(t), "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); s != http.StatusOK {
		t.Errorf("status %d after a connection has closed", s)
	}
}

// Guards against a connection that is closed twice and frees two places.
func TestClosingTwiceFreesOnePlace(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{listener: Listen(l, ListenerOptions{Most: 2, Logger: slog.New(slog.DiscardHandler)})}
	var first net.Conn
	for range 2 {
		r.dial(t)
		c, err := r.listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if first == nil {
			first = c
		}
	}
	_ = first.Close()
	_ = first.Close()
	if n := r.listener.Open(); n != 1 {
		t.Errorf("%d connections count as open, want 1", n)
	}
}

// Guards against links that are displaced by connections that have not authenticated.
func TestTrust(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{listener: Listen(l, ListenerOptions{Most: 1, Logger: slog.New(slog.DiscardHandler)})}
	t.Cleanup(func() { _ = l.Close() })
	for range 3 {
		r.dial(t)
		c, err := r.listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if r.victim(time.Now()) != nil || r.victim(time.Now().Add(silentAfter)) != c {
			t.Error("a connection gives way before it has had time for a handshake, or not at all")
		}
		if _, err := io.WriteString(c, "answer"); err != nil {
			t.Fatal(err)
		}
		if r.victim(time.Now()) != nil || r.victim(time.Now().Add(2*silentAfter)) != c {
			t.Error("a connection that was just answered gives way, or one that has been idle does not")
		}
		c.(*Conn).Trust() //nolint:forcetypeassert // a Listener returns nothing else
		if r.victim(time.Now().Add(2*silentAfter)) != nil {
			t.Error("a trusted connection gives way")
		}
		if n := r.listener.Open(); n != 0 {
			t.Errorf("%d untrusted connections, want 0", n)
		}
	}
	if n := r.listener.options.Counts.Connections.Load(); n != 0 {
		t.Errorf("%d connections were closed", n)
	}
}

// Guards against heads that are read beyond the limit, and against refusing those within it: on every request of a
// connection, however its bytes are divided.
func TestHeads(t *testing.T) {
	r := newRig(t, 0, 4<<20)
	request := func(line string, fields ...string) string {
		return line + " HTTP/1.1\r\nHost: h\r\n" + strings.Join(fields, "") + "\r\n"
	}
	fill := func(n int) string { return "X: " + strings.Repeat("x", n) + "\r\n" }
	var short []string
	for i := range 1000 {
		short = append(short, fmt.Sprintf("%d:\r\n", i))
	}
	const base = len("GET / HTTP/1.1\r\nHost: h\r\n") + len("X: \r\n")
	const slack = len("Host: h\r\n") + len("\r\n") + 8 // bytes of a head that are not known once it is decoded
	for name, tc := range map[string]struct {
		text string
		want int
	}{
		"longest":         {request("GET /", fill(8000-base-2)), http.StatusOK},
		"too long":        {request("GET /", fill(8000-base+slack)), http.StatusRequestHeaderFieldsTooLarge},
		"much too long":   {request("GET /", fill(14_000)), http.StatusRequestHeaderFieldsTooLarge},
		"without end":     {"GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 20_000), http.StatusRequestHeaderFieldsTooLarge},
		"short fields":    {request("GET /", short...), http.StatusOK},
		"many parameters": {request("GET /?" + strings.Repeat("a&", 3900)), http.StatusOK},
		"too many":        {request("GET /?"+strings.Repeat("a&", 3900), short...), http.StatusRequestHeaderFieldsTooLarge},
		"line feeds":      {strings.ReplaceAll(request("GET /", short...), "\r", ""), http.StatusOK},
		"body is exempt":  {request("POST /", "Content-Length: 90000\r\n") + strings.Repeat("\n", 90_000), http.StatusOK},
	} {
		if s := status(t, r.dial(t), tc.text); s != tc.want {
			t.Errorf("%s: status %d, want %d", name, s, tc.want)
		}
		// A second request on the connection, after line ends that net/http skips, in two pieces.
		for _, lines := range []string{"", "\n", "\n\n", "\r\n\r\n"} {
			for _, at := range []int{0, 1, 3, len(tc.text) / 2, len(tc.text) - 1} {
				c := r.dial(t)
				if s := status(t, c, request("POST /", "Content-Length: 0\r\n")); s != http.StatusOK {
					t.Fatalf("status %d of an ordinary request", s)
				}
				_, _ = io.WriteString(c, lines+tc.text[:at]) // may be refused already
				time.Sleep(time.Millisecond)
				if s := status(t, c, tc.text[at:]); s != tc.want {
					t.Errorf("%s after another request and %q, divided at %d: status %d, want %d", name, lines, at, s, tc.want)
				}
			}
		}
	}
	c := r.dial(t)
	r.limits.Store(&HeadLimits{Bytes: 100})
	if s := status(t, r.dial(t), request("GET /", fill(100))); s != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d after the limit has been lowered", s)
	}
	_ = c.Close()
}

// Guards against refusing a pipelined request because of its body: parts of a head that arrive with the former request must not
// make what follows the head look like a head.
func TestPipelinedBodies(t *testing.T) {
	const first, second = "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n", "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 30000\r\n\r\n"
	body := strings.Repeat("x:\r\n", 30_000/4)
	for at := range len(second) + 1 {
		r := newRig(t, 0, 1<<20)
		c := r.dial(t)
		if _, err := io.WriteString(c, first+second[:at]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
		close(r.release)
		if _, err := io.WriteString(c, second[at:]+body); err != nil {
			t.Fatal(err)
		}
		answers := bufio.NewReader(c)
		for n := range 2 {
			resp, err := http.ReadResponse(answers, nil)
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("answer %d of a head divided at %d: %v, error %v", n+1, at, resp, err)
			}
			_ = resp.Body.Close()
		}
	}
}

// Guards against heads of which a buffer was received with the former request and that wait for their end without memory: they
// must be accounted, and a connection that is idle after such a body must not be.
func TestPipelinedHeadMemory(t *testing.T) {
	r := newRig(t, 0, 1<<20)
	const first = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n"
	idle, c := r.dial(t), r.dial(t)
	if s := status(t, idle, first+strings.Repeat("\n", 2000)); s != http.StatusOK {
		t.Fatalf("status %d", s)
	}
	time.Sleep(20 * time.Millisecond)
	if n := r.heads.Used(); n != 0 {
		t.Errorf("%d bytes reserved for the head of an idle connection", n)
	}
	if s := status(t, c, first+strings.Repeat("x", 2000)+"GET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 450)); s != http.StatusOK {
		t.Fatalf("status %d", s)
	}
	for deadline := time.Now().Add(5 * time.Second); r.heads.Used() < 450*fieldBytes; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes reserved for a head of 450 fields that waits", r.heads.Used())
		}
	}
}

// Guards against closing a client that takes a large answer slowly but steadily.
func TestSlowReader(t *testing.T) {
	r := newRig(t, 0, 1<<20)
	c := r.dial(t)
	if _, err := io.WriteString(c, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	var began int64 // of the write in progress
	progress := func() bool {
		r.listener.mu.Lock()
		defer r.listener.mu.Unlock()
		for c := range r.listener.conns {
			if at := c.writeSince.Load(); at > began {
				began = at
				return true
			}
		}
		return false
	}
	for deadline := time.Now().Add(5 * time.Second); !progress(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the answer has not begun")
		}
	}
	time.Sleep(50 * time.Millisecond) // the buffers of the kernel are full now
	progress()
	if _, err := io.CopyN(io.Discard, c, largeAnswer/2); err != nil {
		t.Fatal(err)
	}
	if !progress() {
		t.Error("a client that has taken half of an answer counts as if it had taken none")
	}
}

// Guards against heads that together exceed the memory for them, and memory that is not returned.
func TestHeadMemory(t *testing.T) {
	r := newRig(t, 0, 30_000)
	long := "GET /wait HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 7000) + "\r\n\r\n"
	for range 2 {
		if _, err := io.WriteString(r.dial(t), long); err != nil {
			t.Fatal(err)
		}
	}
	for deadline := time.Now().Add(5 * time.Second); r.heads.Used() < 28_000 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	if s := status(t, r.dial(t), long); s != http.StatusServiceUnavailable {
		t.Errorf("status %d of a head without memory, want 503", s)
	}
	close(r.release)
	for deadline := time.Now().Add(5 * time.Second); r.heads.Used() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes stay reserved", r.heads.Used())
		}
	}
}

// Guards against clients that keep the places of a port by stopping within a body or by taking none of an answer.
func TestStalled(t *testing.T) {
	r := newRig(t, 1, 1<<20)
	c := r.dial(t)
	if _, err := io.WriteString(c, "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\npart"); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		late := r.victim(time.Now().Add(2 * stalledAfter))
		if early, wait := r.listener.victim(time.Now()); late != nil && early == nil && wait == 0 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("a connection that stopped within a body does not give way, or gives way at once")
		}
	}
	// Closing it frees no memory of answers, so it gives way only to a new connection.
	r.listener.CloseStalled(time.Now().Add(2 * stalledAfter))
	if n := r.listener.Open(); n != 1 {
		t.Errorf("%d open connections, want 1", n)
	}
	if v := r.victim(time.Now().Add(2 * stalledAfter)); v != nil {
		_ = v.Close()
	}
	if !closed(c) {
		t.Error("the connection stays open")
	}
}
