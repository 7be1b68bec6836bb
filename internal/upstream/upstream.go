// Package upstream is an HTTP/1.1 client with a bounded pool of persistent connections to servers.
//
// # Usage
//
//	p := upstream.New(upstream.Limits{…})
//	r, err := p.Send(ctx, upstream.Target{Address: "10.0.0.5:8080", Incarnation: "i-7", Conns: 20}, req)
//	var failed *upstream.Error
//	if errors.As(err, &failed) && !failed.Sent() { … }
//	defer r.Close()
//
// Send sends a request exactly once and never retries it. A connection is reused only after the complete answer was read
// and no data followed it, and never for two requests with the same id: a late copy of the first answer could not be told
// from the second one. When ctx ends, the connection is closed, which tells the server that the client is gone.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"bulrushspoke/internal/httpstatus"
)

const (
	readBuffer  = 4 << 10
	writeBuffer = 4 << 10
	// unackedTimeout closes a connection on which the peer does not acknowledge sent data.
	unackedTimeout = 2 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP keep-alive. It closes a connection on which nothing is
	// sent, such as that of a watch, about two seconds after the peer has become unresponsive.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// maxHeadBytes bounds the status line and header of an answer, including interim (1xx) answers, against servers that send
	// endless data. A typical answer has a few hundred bytes.
	maxHeadBytes = 64 << 10
	// maxInterimResponses bounds the number of interim (1xx) answers before the final one.
	maxInterimResponses = 8
	// discardTimeout bounds the time to read the rest of an answer that is not needed.
	discardTimeout = 200 * time.Millisecond
	// sweepInterval is the time between two checks for expired idle connections.
	sweepInterval = time.Second
)

// Target is one incarnation of a server.
type Target struct {
	Service     string // groups servers with the same settings; may be empty
	Address     string
	Incarnation string
	Conns       int // maximum of open connections; 0 for no limit
}

// Request is a complete request.
type Request struct {
	Method string
	URI    string // path and query as the client sent them
	Host   string
	Header http.Header
	Body   []byte
	// ID identifies the request in its answer; empty if answers to it do not state an id.
	ID string
	// NewConn requests a new connection. It is for requests that must not run twice: on an idle connection that the server is
	// closing, it would be unknown whether the request has run.
	NewConn bool
	// Reset requests that the connection is reset if the call fails. It is for requests that must not arrive later: otherwise
	// the kernel sends unacknowledged data again for seconds after the connection was closed.
	Reset bool
	// Ready is called right before the request is written, which is given up if it returns false. It may be nil.
	Ready func() bool
}

// Error reports that no answer was received.
type Error struct {
	sent  bool
	full  bool
	reset bool
	cause error

	sentAt time.Time
}

// Sent reports whether the server may have received the request.
func (e *Error) Sent() bool { return e.sent }

// SentAt returns the time at which sending began, after a connection was open; zero if nothing was sent.
func (e *Error) SentAt() time.Time { return e.sentAt }

// PoolFull reports whether the limit of connections was reached.
func (e *Error) PoolFull() bool { return e.full }

// ClosedByPeer reports whether the server refused or closed the connection.
func (e *Error) ClosedByPeer() bool { return e.reset }

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("upstream: sent %t: %s", e.sent, e.cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// Errors for invalid answers.
var (
	errHeadTooLarge   = errors.New("the head of the answer has no end")
	errTooManyInterim = errors.New("too many interim answers")
	errInvalidStatus  = errors.New("the answer has no valid status")
)

// ErrNotReady is the cause of the error for a request that was given up by its Ready function.
var ErrNotReady = errors.New("the request was given up before it was sent")

// errPoolFull is returned if the limit of connections, to the server or in total, is reached.
var errPoolFull = errors.New("all connections are in use")

// Limits are the limits of a pool.
type Limits struct {
	Dial time.Duration // timeout for opening a connection
	Idle int           // maximum of idle connections in total
	Open int           // maximum of connections in total, including idle ones; 0 for no limit
	// Observe, which may be nil, is called with the service and whether the connection is reused, for each request.
	Observe func(service string, reused bool)
}

// Pool holds the connections to servers. It is safe for concurrent use.
type Pool struct {
	limits Limits

	mu        sync.Mutex
	hosts     map[string]*host
	lifetimes lifetimes
	idle      int
	open      int
	dials     int64
	sweep     *time.Timer
}

type host struct {
	incarnation string
	idle        []*conn // oldest first
	open        int
}

type conn struct {
	net.Conn
	reader        *bufio.Reader
	host          *host
	service       string
	timeout       timeoutKey // of the last answer
	idleSince     time.Time
	expires       time.Time
	sent          sentIDs
	readingHead   bool
	headBytesLeft int   // bytes that may still be read while readingHead is set
	headErr       error // of reading the head; parsing what came before may end with another error
}

// Read implements io.Reader. While the head of an answer is read, it fails once the head exceeds maxHeadBytes.
func (c *conn) Read(b []byte) (int, error) {
	if !c.readingHead {
		return c.Conn.Read(b)
	}
	if c.headBytesLeft <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := c.Conn.Read(b[:min(len(b), c.headBytesLeft)])
	c.headBytesLeft -= n
	c.headErr = err
	return n, err
}

// setLinger sets the time in seconds for which the kernel sends remaining data after the connection is closed.
func (c *conn) setLinger(seconds int) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(seconds) // fails on closed connections only
	}
}

// noInput reports whether nothing was received on an idle connection, neither data nor its end. Data on an idle connection
// is not an answer to the next request: a server may send an answer twice.
func (c *conn) noInput() bool {
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
		return true // do not wait for data
	})
	return err == nil && errors.Is(failed, syscall.EAGAIN)
}

// New returns an empty pool.
func New(l Limits) *Pool {
	return &Pool{limits: l, hosts: make(map[string]*host), lifetimes: make(lifetimes)}
}

// Idle returns the number of idle connections to an incarnation of a server that the next requests may use.
func (p *Pool) Idle(address, incarnation string, now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil || h.incarnation != incarnation {
		return 0
	}
	return h.usable(now)
}

// AtLeastTwoIdle reports whether there are at least two idle connections, to any servers, that the next requests may use.
func (p *Pool) AtLeastTwoIdle(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle < 2 {
		return false
	}
	n := 0
	for _, h := range p.hosts {
		if n += h.usable(now); n >= 2 {
			return true
		}
	}
	return false
}

// usable returns the number of idle connections that have not expired; the caller holds Pool.mu.
func (h *host) usable(now time.Time) int {
	n := 0
	for _, c := range h.idle {
		if now.Before(c.expires) {
			n++
		}
	}
	return n
}

// DialAttempts returns the number of connection attempts so far.
func (p *Pool) DialAttempts() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dials
}

// Response is an answer whose body has not been read. It must be closed with Close, Discard or Abandon.
type Response struct {
	*http.Response
	SentAt     time.Time // time at which sending the request began, after a connection was open
	pool       *Pool
	conn       *conn
	stopCancel func() bool
	released   bool

	mu          sync.Mutex
	returned    bool // the connection was returned to the pool
	interrupted bool
}

// Framed reports whether the end of the body can be distinguished from a broken connection.
func (r *Response) Framed() bool { return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 }

// Close returns the connection to the pool if the answer was read completely, and closes the connection otherwise.
func (r *Response) Close() {
	if r.released {
		return
	}
	r.released = true
	whole := r.Body == http.NoBody && !r.Response.Close // such as of an answer to HEAD without a length
	if !whole && r.Framed() && !r.Response.Close {
		// If the body was read to its end, this returns at once.
		var b [1]byte
		n, err := r.Body.Read(b[:])
		whole = n == 0 && errors.Is(err, io.EOF)
	}
	ended := r.stopCancel()
	interrupted := r.returnConn()
	if whole && ended && !interrupted && r.conn.reader.Buffered() == 0 && r.conn.SetReadDeadline(time.Time{}) == nil {
		r.pool.putIdle(r.conn, r.Header.Get("Keep-Alive"), time.Now())
		return
	}
	r.pool.discard(r.conn)
}

// Discard reads the rest of a short body, so that the connection can be reused, and closes the answer.
func (r *Response) Discard() {
	const short = 16 << 10 // reading more bytes costs more than a new connection
	if r.Framed() && r.ContentLength <= short && r.conn.SetReadDeadline(time.Now().Add(discardTimeout)) == nil {
		// After an error, Close does not reuse the connection.
		_, _ = io.CopyN(io.Discard, r.Body, short)
	}
	r.Close()
}

// Abandon closes the connection, which tells the server to stop working on the request.
func (r *Response) Abandon() {
	if r.released {
		return
	}
	r.released = true
	r.stopCancel()
	r.returnConn()
	r.pool.discard(r.conn)
}

// Interrupt closes the connection while another goroutine reads the body. The reader gets an error and must call Abandon. It
// does nothing once the answer is closed, as the connection may carry another request by then.
func (r *Response) Interrupt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.returned {
		return
	}
	r.interrupted = true
	_ = r.conn.Close()
}

// returnConn ends the effect of Interrupt, and reports whether that was called before.
func (r *Response) returnConn() (interrupted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.returned = true
	return r.interrupted
}

// Send sends a request and reads the status and header of the answer. Its error is always an *Error.
func (p *Pool) Send(ctx context.Context, t Target, q Request) (*Response, error) {
	c, reused, err := p.acquire(ctx, t, q, time.Now())
	if err != nil {
		return nil, &Error{cause: err, full: errors.Is(err, errPoolFull), reset: errors.Is(err, syscall.ECONNREFUSED)}
	}
	if q.Reset {
		c.setLinger(0)
	}
	if p.limits.Observe != nil {
		p.limits.Observe(t.Service, reused)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	if q.Ready != nil && !q.Ready() {
		stop()
		p.discard(c)
		return nil, &Error{cause: ErrNotReady}
	}
	c.sent.add(q.ID)
	sentAt := time.Now()
	wrote, err := writeRequest(c, q)
	if err != nil {
		stop()
		p.discard(c)
		return nil, &Error{cause: contextError(ctx, err), sent: wrote, sentAt: sentAt, reset: closedByPeer(err)}
	}
	resp, err := c.readHead(q.Method)
	if err != nil {
		stop()
		p.discard(c)
		return nil, &Error{cause: contextError(ctx, err), sent: true, sentAt: sentAt, reset: closedByPeer(err) || closedByPeer(c.headErr)}
	}
	if q.Reset {
		c.setLinger(-1) // the default
	}
	return &Response{Response: resp, SentAt: sentAt, pool: p, conn: c, stopCancel: stop}, nil
}

// contextError returns the error of ctx if it has ended, and err otherwise. The end of ctx closes the connection, so err is
// only a consequence of it.
func contextError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// readHead reads the status and header of the final answer and skips interim answers.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.readingHead, c.headBytesLeft, c.headErr = true, maxHeadBytes, nil
	defer func() { c.readingHead = false }()
	for range maxInterimResponses + 1 {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if !httpstatus.Valid(resp.StatusCode) {
			return nil, errInvalidStatus
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, errTooManyInterim
}

// ClosedByPeer reports whether an error of Send, or of reading the body of an answer, means that the server closed the
// connection.
func ClosedByPeer(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.ClosedByPeer() || closedByPeer(err)
}

// closedByPeer reports whether the peer closed the connection.
func closedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// writeRequest writes the request; the first result reports whether the server may have received it.
func writeRequest(c *conn, q Request) (bool, error) {
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

// acquire returns an idle connection to the incarnation that the request may use or, if there is none, a new one. The second
// result reports whether the connection was used before.
func (p *Pool) acquire(ctx context.Context, t Target, q Request, now time.Time) (*conn, bool, error) {
	p.mu.Lock()
	h := p.hosts[t.Address]
	if h == nil {
		h = &host{incarnation: t.Incarnation}
		p.hosts[t.Address] = h
	}
	if h.incarnation != t.Incarnation {
		p.closeIdle(h)
		h = &host{incarnation: t.Incarnation}
		p.hosts[t.Address] = h
	}
	for i := len(h.idle) - 1; i >= 0 && !q.NewConn; i-- {
		c := h.idle[i]
		if c.sent.contains(q.ID) {
			continue
		}
		h.idle = slices.Delete(h.idle, i, i+1)
		p.idle--
		if p.check(c, now) && now.Before(c.expires) {
			p.mu.Unlock()
			return c, true, nil
		}
		p.close(c)
	}
	if !p.makeRoom(h, t.Conns) {
		p.mu.Unlock()
		return nil, false, errPoolFull
	}
	h.open++
	p.open++
	p.dials++
	p.mu.Unlock()
	d := net.Dialer{Timeout: p.limits.Dial, Control: control, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	nc, err := d.DialContext(ctx, "tcp4", t.Address)
	if err != nil {
		p.mu.Lock()
		p.uncount(h)
		p.mu.Unlock()
		return nil, false, err
	}
	c := &conn{Conn: nc, host: h, service: t.Service}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c, false, nil
}

// check reports whether nothing was received on an idle connection, and records what that says about the idle timeout of
// the server. The caller holds mu.
func (p *Pool) check(c *conn, now time.Time) bool {
	if c.noInput() {
		p.lifetimes.open(c.timeout, now.Sub(c.idleSince))
		return true
	}
	p.lifetimes.closed(c.timeout, now.Sub(c.idleSince), now)
	return false
}

// control sets the TCP user timeout of a socket, after which the kernel closes a connection with unacknowledged data.
func control(_, _ string, raw syscall.RawConn) error {
	const tcpUserTimeout = 18 // TCP_USER_TIMEOUT of linux/tcp.h; package syscall lacks it
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// makeRoom reports whether one more connection to a host may be opened. It closes an idle connection if that is needed to
// stay within a limit. The caller holds mu.
func (p *Pool) makeRoom(h *host, most int) bool {
	if most > 0 && h.open >= most {
		if len(h.idle) == 0 {
			return false
		}
		p.evict(h)
	}
	return p.limits.Open <= 0 || p.open < p.limits.Open || p.evictFirst()
}

// evictFirst closes the idle connection that expires first, of all hosts, and reports whether there was one. The caller
// holds mu.
func (p *Pool) evictFirst() bool {
	var first *conn
	for _, h := range p.hosts {
		for _, c := range h.idle {
			if first == nil || c.expires.Before(first.expires) {
				first = c
			}
		}
	}
	if first == nil {
		return false
	}
	h := first.host
	h.idle = slices.DeleteFunc(h.idle, func(c *conn) bool { return c == first })
	p.idle--
	p.close(first)
	return true
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
	p.uncount(c.host)
}

// uncount removes a closed connection to a host from the counters; the caller holds mu.
func (p *Pool) uncount(h *host) {
	h.open--
	p.open--
}

// closeIdle closes the idle connections of a host; the caller holds mu.
func (p *Pool) closeIdle(h *host) {
	for len(h.idle) > 0 {
		p.evict(h)
	}
}

// putIdle keeps a connection for reuse; keepAlive is the value of the answer's Keep-Alive header. It closes the connection
// if it may not be kept or the server has been replaced by another incarnation. At the limit of idle connections, the one
// that expires first is closed.
func (p *Pool) putIdle(c *conn, keepAlive string, now time.Time) {
	announced, ok := keepAliveTimeout(keepAlive)
	c.timeout = timeoutKey{service: c.service, announced: announced}
	p.mu.Lock()
	defer p.mu.Unlock()
	keep := p.lifetimes.usable(c.timeout, ok, now)
	if keep <= 0 || c.sent.full() || p.hosts[c.RemoteAddr().String()] != c.host || p.idle >= p.limits.Idle && !p.evictFirst() {
		p.close(c)
		return
	}
	c.idleSince, c.expires = now, now.Add(keep)
	c.host.idle = append(c.host.idle, c)
	p.idle++
	if p.sweep == nil {
		p.sweep = time.AfterFunc(sweepInterval, func() { p.closeExpired(time.Now()) })
	}
}

// closeExpired closes idle connections that have expired, and schedules its next run while there are idle ones. Expired
// connections of servers whose idle timeout is not fully observed stay for up to the announced time, to be observed, but are not
// used.
func (p *Pool) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if now.Before(c.expires) || !p.lifetimes.fullyObserved(c.timeout, now) && p.check(c, now) &&
				now.Sub(c.idleSince) < c.timeout.announced {
				kept = append(kept, c)
				continue
			}
			p.idle--
			p.close(c)
		}
		clear(h.idle[len(kept):])
		h.idle = kept
		if h.open == 0 {
			delete(p.hosts, address)
		}
	}
	p.sweep = nil
	if p.idle > 0 {
		p.sweep = time.AfterFunc(sweepInterval, func() { p.closeExpired(time.Now()) })
	}
}

// keepAliveTimeout returns the idle timeout in a Keep-Alive header.
func keepAliveTimeout(h string) (time.Duration, bool) {
	for _, part := range strings.Split(h, ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if n, err := strconv.Atoi(v); err == nil && n >= 0 {
				return time.Duration(n) * time.Second, true
			}
		}
	}
	return 0, false
}

// discard closes a connection that is in use.
func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.close(c)
}
