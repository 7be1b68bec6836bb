// Package upstream sends HTTP/1.1 requests to servers over a bounded set of kept connections.
//
// # Usage
//
//	p := upstream.New(upstream.Limits{…}, clock)
//	r, err := p.Send(ctx, upstream.Target{Address: "10.0.0.5:8080", Incarnation: "i-7", Conns: 20}, req)
//	var failed *upstream.Error
//	if errors.As(err, &failed) && !failed.Sent() { … }
//	defer r.Close()
//
// Each call sends one request once and never repeats it. A connection goes back to the set only after the whole answer
// was read and nothing followed it. The end of ctx closes the connection, which tells the server that the client left.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
	// keepMargin is taken off the idle time that a server announces, so that a request does not cross its close.
	keepMargin = 700 * time.Millisecond
	// keepDefault is the idle time of connections whose server announced none; common server defaults are longer. Requests
	// that must not run twice use new connections in any case.
	keepDefault = 8 * time.Second
	// userTimeout ends a connection whose data the peer does not acknowledge.
	userTimeout = 2 * time.Second
	// probeAfter, probeEvery and probeCount end a connection on which the peer has gone silent although nothing is to be
	// sent, such as that of a watch: after about two seconds.
	probeAfter = time.Second
	probeEvery = 500 * time.Millisecond
	probeCount = 2
	// maxHead bounds the head of an answer in bytes, interim answers included: bytes without end are no answer. Servers'
	// heads take a few hundred bytes.
	maxHead = 64 << 10
	// maxInterim bounds the interim answers before the final one.
	maxInterim = 8
	// discardTime bounds the reading of the rest of an answer that is not needed.
	discardTime = 200 * time.Millisecond
	// sweepPeriod is the time between two looks at expired idle connections.
	sweepPeriod = time.Second
)

// Target is one incarnation of a server.
type Target struct {
	Address     string
	Incarnation string
	Conns       int // most connections to keep open; 0 for no bound
}

// Request is one request, ready to be written.
type Request struct {
	Method string
	URI    string // path and query as the client sent them
	Host   string
	Header http.Header
	Body   []byte
	// Fresh asks for a new connection: a request that must not run twice cannot risk an answer lost to a stale one.
	Fresh bool
}

// Error tells that no answer was received.
type Error struct {
	sent  bool
	full  bool
	reset bool
	cause error
}

// Sent reports whether the server may have received the request.
func (e *Error) Sent() bool { return e.sent }

// Full reports that the bound of connections was reached.
func (e *Error) Full() bool { return e.full }

// Reset reports that the server broke the connection off.
func (e *Error) Reset() bool { return e.reset }

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("upstream: sent %t: %s", e.sent, e.cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Errors for bytes that are no answer.
var (
	errEndless = errors.New("the head of the answer has no end")
	errInterim = errors.New("too many interim answers")
)

// errFull tells that the bound of connections to a server, or of all, is reached.
var errFull = errors.New("all connections are in use")

// Limits bound the set.
type Limits struct {
	Dial time.Duration // time for a new connection
	Idle int           // most idle connections in all
	Open int           // most connections in all, idle ones included; 0 for no bound
}

// Pool keeps connections to servers.
type Pool struct {
	limits Limits

	mu    sync.Mutex
	hosts map[string]*host
	idle  int
	open  int
	dials int64
	sweep *time.Timer
}

type host struct {
	incarnation string
	idle        []*conn // oldest first
	open        int
}

type conn struct {
	net.Conn
	reader  *bufio.Reader
	host    *host
	expires time.Time
	bounded bool // while a head is read
	left    int  // bytes that may still be read then
}

// Read implements io.Reader. It gives up a head that exceeds its bound.
func (c *conn) Read(b []byte) (int, error) {
	if !c.bounded {
		return c.Conn.Read(b)
	}
	if c.left <= 0 {
		return 0, errEndless
	}
	n, err := c.Conn.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, err
}

// quiet reports whether nothing has arrived on an idle connection, neither bytes nor its end. What arrives there is no
// answer to the next request: a server may send an answer twice.
func (c *conn) quiet() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var failed error
	err = raw.Read(func(fd uintptr) bool {
		_, failed = syscall.Read(int(fd), make([]byte, 1))
		return true // does not wait
	})
	return err == nil && errors.Is(failed, syscall.EAGAIN)
}

// New returns an empty pool.
func New(l Limits) *Pool { return &Pool{limits: l, hosts: make(map[string]*host)} }

// Dials returns the number of connections opened.
func (p *Pool) Dials() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Response is an answer whose body is still to be read.
type Response struct {
	*http.Response
	pool *Pool
	conn *conn
	stop func() bool
	done bool
}

// Framed reports whether the end of the body can be told from a broken connection.
func (r *Response) Framed() bool { return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 }

// Close gives the connection back if the answer ended in good order, and closes it otherwise.
func (r *Response) Close() {
	if r.done {
		return
	}
	r.done = true
	whole := false
	if r.Framed() && !r.Response.Close {
		// A body that was read to its end has nothing left; one read cannot block on it.
		var b [1]byte
		n, err := r.Body.Read(b[:])
		whole = n == 0 && errors.Is(err, io.EOF)
	}
	ended := r.stop()
	if whole && ended && r.conn.reader.Buffered() == 0 && r.conn.SetReadDeadline(time.Time{}) == nil {
		r.pool.put(r.conn, r.Header.Get("Keep-Alive"), time.Now())
		return
	}
	r.pool.drop(r.conn)
}

// Discard reads what is left of a short answer, so that the connection can be used again, and closes the answer.
func (r *Response) Discard() {
	const short = 16 << 10 // a longer rest costs more than a new connection
	if r.Framed() && r.ContentLength <= short && r.conn.SetReadDeadline(time.Now().Add(discardTime)) == nil {
		// An error shows in Close.
		_, _ = io.CopyN(io.Discard, r.Body, short)
	}
	r.Close()
}

// Abandon closes the connection, which makes the server stop working on the request.
func (r *Response) Abandon() {
	if r.done {
		return
	}
	r.done = true
	r.stop()
	r.pool.drop(r.conn)
}

// Cut breaks the answer off while another task reads it; the reader is to abandon it.
func (r *Response) Cut() { _ = r.conn.Close() }

// Send sends a request and reads the head of the answer. Its error is always an *Error.
func (p *Pool) Send(ctx context.Context, t Target, q Request) (*Response, error) {
	c, err := p.get(ctx, t, q.Fresh, time.Now())
	if err != nil {
		return nil, &Error{cause: err, full: errors.Is(err, errFull), reset: errors.Is(err, syscall.ECONNREFUSED)}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	wrote, err := write(c, q)
	if err != nil {
		stop()
		p.drop(c)
		return nil, &Error{cause: given(ctx, err), sent: wrote, reset: broken(err)}
	}
	resp, err := c.readHead(q.Method)
	if err != nil {
		stop()
		p.drop(c)
		return nil, &Error{cause: given(ctx, err), sent: true, reset: broken(err)}
	}
	return &Response{Response: resp, pool: p, conn: c, stop: stop}, nil
}

// given returns the reason for which this process closed the connection, if it did, in place of the error that followed.
func given(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// readHead reads the head of the final answer.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.bounded, c.left = true, maxHead
	defer func() { c.bounded = false }()
	for range maxInterim + 1 {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
	return nil, errInterim
}

// broken reports whether the peer ended the connection.
func broken(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// write writes the whole request; the first result tells whether the server may have got all of it.
func write(c *conn, q Request) (bool, error) {
	b := make([]byte, 0, writeBuffer)
	b = append(b, q.Method...)
	b = append(b, ' ')
	b = append(b, q.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, q.Host...)
	b = append(b, "\r\n"...)
	for name, values := range q.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if len(q.Body) > 0 || (q.Method != http.MethodGet && q.Method != http.MethodHead && q.Method != http.MethodDelete) {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(q.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	if len(q.Body) <= writeBuffer {
		b = append(b, q.Body...)
		n, err := c.Write(b)
		return n > 0, err
	}
	if n, err := c.Write(b); err != nil {
		return n > 0, err
	}
	_, err := c.Write(q.Body)
	return true, err
}

// get returns an idle connection to the incarnation or opens one.
func (p *Pool) get(ctx context.Context, t Target, fresh bool, now time.Time) (*conn, error) {
	p.mu.Lock()
	h := p.hosts[t.Address]
	if h == nil {
		h = &host{incarnation: t.Incarnation}
		p.hosts[t.Address] = h
	}
	if h.incarnation != t.Incarnation {
		p.clear(h)
		h = &host{incarnation: t.Incarnation}
		p.hosts[t.Address] = h
	}
	for !fresh && len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		h.idle = h.idle[:len(h.idle)-1]
		p.idle--
		if now.Before(c.expires) && c.quiet() {
			p.mu.Unlock()
			return c, nil
		}
		p.close(c)
	}
	if !p.room(h, t.Conns) {
		p.mu.Unlock()
		return nil, errFull
	}
	h.open++
	p.open++
	p.dials++
	p.mu.Unlock()
	d := net.Dialer{Timeout: p.limits.Dial, Control: control, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probeCount,
	}}
	nc, err := d.DialContext(ctx, "tcp4", t.Address)
	if err != nil {
		p.mu.Lock()
		p.ended(h)
		p.mu.Unlock()
		return nil, err
	}
	c := &conn{Conn: nc, host: h}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c, nil
}

// control makes the kernel give up a connection whose data is not acknowledged.
func control(_, _ string, raw syscall.RawConn) error {
	const tcpUserTimeout = 18 // TCP_USER_TIMEOUT of linux/tcp.h; package syscall lacks it
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// room reports whether one more connection to a host may be opened, and closes an idle one where that makes room; the
// caller holds mu.
func (p *Pool) room(h *host, most int) bool {
	if most > 0 && h.open >= most {
		if len(h.idle) == 0 {
			return false
		}
		p.evict(h)
	}
	if p.limits.Open <= 0 || p.open < p.limits.Open {
		return true
	}
	for _, other := range p.hosts {
		if len(other.idle) > 0 {
			p.evict(other)
			return true
		}
	}
	return false
}

// evict closes the oldest idle connection to a host; the caller holds mu.
func (p *Pool) evict(h *host) {
	c := h.idle[0]
	h.idle = h.idle[1:]
	p.idle--
	p.close(c)
}

// close closes a connection that is not idle; the caller holds mu.
func (p *Pool) close(c *conn) {
	_ = c.Close()
	p.ended(c.host)
}

// ended counts a connection to a host that is no more; the caller holds mu.
func (p *Pool) ended(h *host) {
	h.open--
	p.open--
}

// clear closes the idle connections of a host; the caller holds mu.
func (p *Pool) clear(h *host) {
	for len(h.idle) > 0 {
		p.evict(h)
	}
}

func (p *Pool) put(c *conn, keepAlive string, now time.Time) {
	keep := keepDefault
	if s, ok := announced(keepAlive); ok {
		keep = s - keepMargin
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if keep <= 0 || p.idle >= p.limits.Idle || p.hosts[c.RemoteAddr().String()] != c.host {
		p.close(c)
		return
	}
	c.expires = now.Add(keep)
	c.host.idle = append(c.host.idle, c)
	p.idle++
	if p.sweep == nil {
		p.sweep = time.AfterFunc(sweepPeriod, p.expire)
	}
}

// expire closes idle connections whose time has passed, and runs again while any are idle.
func (p *Pool) expire() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, h := range p.hosts {
		for len(h.idle) > 0 && !now.Before(h.idle[0].expires) {
			p.evict(h)
		}
		if h.open == 0 {
			delete(p.hosts, address)
		}
	}
	p.sweep = nil
	if p.idle > 0 {
		p.sweep = time.AfterFunc(sweepPeriod, p.expire)
	}
}

// announced returns the idle time of a Keep-Alive header.
func announced(h string) (time.Duration, bool) {
	for _, part := range strings.Split(h, ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(v); err == nil && n >= 0 {
				return time.Duration(n) * time.Second, true
			}
		}
	}
	return 0, false
}

func (p *Pool) drop(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.close(c)
}
