package upstream

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against requests on connections that a server closes earlier than it announces, against observations that hold after
// a server has closed a connection early, and against connections used for longer than announced.
func TestUsableTime(t *testing.T) {
	l, now := make(lifetimes), time.Now()
	k := timeoutKey{"s", 2 * time.Second}
	for _, tc := range []struct {
		what string
		open time.Duration // observed; 0 for none
		want time.Duration
	}{
		{"without observations", 0, 1300 * time.Millisecond},
		{"after an observation within the margin", 1400 * time.Millisecond, 1300 * time.Millisecond},
		{"open after 1.8 s", 1800 * time.Millisecond, 1600 * time.Millisecond},
		{"open after a shorter time", time.Second, 1600 * time.Millisecond},
		{"open for longer than announced", 9 * time.Second, 1800 * time.Millisecond},
	} {
		l.open(k, tc.open)
		if got := l.usable(k, true, now); got != tc.want {
			t.Errorf("%s: usable for %s, want %s", tc.what, got, tc.want)
		}
	}
	if got := l.usable(timeoutKey{"o", 2 * time.Second}, true, now); got != 1300*time.Millisecond {
		t.Errorf("of another service: usable for %s", got)
	}
	l.closed(k, time.Second, now)
	if got := l.usable(k, true, now); got != 1300*time.Millisecond {
		t.Errorf("after a connection was closed early: usable for %s", got)
	}
	for _, tc := range []struct{ closed, want time.Duration }{
		{1900 * time.Millisecond, 1700 * time.Millisecond},
		{1700 * time.Millisecond, 1500 * time.Millisecond},
		{1800 * time.Millisecond, 1500 * time.Millisecond},
	} {
		l.closed(k, tc.closed, now)
		l.open(k, 2*time.Second) // by another server
		if got := l.usable(k, true, now); got != tc.want || !l.fullyObserved(k, now) {
			t.Errorf("after a close at %s: usable for %s, want %s", tc.closed, got, tc.want)
		}
	}
	if got := l.usable(k, true, now.Add(closeRetention)); got != 1800*time.Millisecond {
		t.Errorf("long after a close: usable for %s", got)
	}
	if got := l.usable(timeoutKey{"s", 0}, true, now); got > 0 {
		t.Errorf("with an announced timeout of 0: usable for %s", got)
	}
	if got := l.usable(timeoutKey{"s", 0}, false, now); got != defaultIdleTime {
		t.Errorf("without an announced timeout: usable for %s", got)
	}
}

// Guards against a pool that never learns when servers close idle connections, that uses the connections kept for that, or
// that keeps them for good.
func TestExpiredConnectionIsObserved(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2\r\nContent-Length: 0\r\n\r\n"
	f := startFake(t, answer, answer, answer)
	p := New(Limits{Dial: time.Second, Idle: 4})
	target := target(f)
	idleAt := func(now time.Time) int { return p.Idle(target.Address, target.Incarnation, now) }
	request := func() time.Time {
		r, err := post(t, p, f)
		if err != nil {
			t.Fatal(err)
		}
		read(t, r)
		return time.Now()
	}
	now := request()
	if n := idleAt(now); n != 1 || p.AtLeastTwoIdle(now) {
		t.Fatalf("%d idle connections, want 1", n)
	}
	p.closeExpired(now.Add(1500 * time.Millisecond))
	if p.idle != 1 || idleAt(now.Add(1500*time.Millisecond)) != 0 {
		t.Errorf("after 1.5 s %d connections are kept and %d may be used, want 1 and 0", p.idle, idleAt(now.Add(1500*time.Millisecond)))
	}
	p.closeExpired(now.Add(2 * time.Second))
	if p.idle != 0 {
		t.Errorf("%d connections are kept beyond the announced time", p.idle)
	}
	now = request()
	if idleAt(now.Add(1700*time.Millisecond)) != 1 || idleAt(now.Add(1900*time.Millisecond)) != 0 {
		t.Error("connections are not used for the time for which they were observed to stay open")
	}
	p.closeExpired(now.Add(1900 * time.Millisecond))
	if p.idle != 0 {
		t.Error("an expired connection is kept although the idle timeout is known")
	}
}

// Guards against a full set of idle connections that refuses the newest, which could be used for the longest time.
func TestFirstToExpireIsEvicted(t *testing.T) {
	short := startFake(t, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2\r\nContent-Length: 0\r\n\r\n")
	long := startFake(t, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9\r\nContent-Length: 0\r\n\r\n")
	p := New(Limits{Dial: time.Second, Idle: 1})
	for _, f := range []*fake{short, long} {
		r, err := post(t, p, f)
		if err != nil {
			t.Fatal(err)
		}
		r.Close()
	}
	now := time.Now()
	if p.Idle(target(long).Address, "i", now) != 1 || p.Idle(target(short).Address, "i", now) != 0 {
		t.Error("the connection that expires first was kept in place of the newest")
	}
}

// Guards against evicting the oldest idle connection to a server although a newer one, or one to another server, expires first.
func TestFirstToExpireIsEvictedWithinHost(t *testing.T) {
	p, now := New(Limits{Idle: 3}), time.Now()
	for address, after := range map[string][]time.Duration{"a": {9 * time.Second, time.Second}, "b": {5 * time.Second}} {
		h := &host{incarnation: "i"}
		p.hosts[address] = h
		for _, d := range after {
			local, remote := net.Pipe()
			t.Cleanup(func() { _ = remote.Close() })
			h.idle = append(h.idle, &conn{Conn: local, host: h, expires: now.Add(d)})
			p.idle++
		}
	}
	for _, want := range []time.Duration{5 * time.Second, 9 * time.Second} {
		if !p.evictFirst() {
			t.Fatal("nothing is evicted")
		}
		next := time.Hour
		for _, h := range p.hosts {
			for _, c := range h.idle {
				next = min(next, c.expires.Sub(now))
			}
		}
		if next != want {
			t.Errorf("the next connection to expire does so after %s, want %s", next, want)
		}
	}
}

// Guards against a new connection after each answer without a body, and counts the use of connections by service.
func TestAnswerWithoutBodyKeepsConnection(t *testing.T) {
	f := startFake(t, "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n", "HTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 304 Not Modified\r\n\r\n", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 3\r\n\r\nbsy", ok)
	use := make(map[bool]int)
	p := New(Limits{Dial: time.Second, Idle: 4, Observe: func(service string, reused bool) {
		if service != "s" {
			t.Errorf("a connection counts for service %q", service)
		}
		use[reused]++
	}})
	at := target(f)
	at.Service = "s"
	for _, method := range []string{"HEAD", "DELETE", "GET", "GET", "GET"} {
		r, err := p.Send(t.Context(), at, Request{Method: method, URI: "/", Host: "h", Header: http.Header{}})
		if err != nil {
			t.Fatal(err)
		}
		r.Discard()
	}
	if use[false] != 1 || use[true] != 4 {
		t.Errorf("%d requests on new connections and %d on idle ones, want 1 and 4", use[false], use[true])
	}
}
