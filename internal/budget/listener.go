package budget

import (
	"container/list"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bulrushspoke/internal/event"
)

const (
	// connBytes is the memory of a connection: two buffers of 4 KB, the stacks of its goroutines, and the head of an
	// ordinary request.
	connBytes = 20 << 10
	// refusalLogInterval is the minimum interval between log lines about refused or closed connections of one port.
	refusalLogInterval = time.Second
	// stalledAfter is how long a client may take none of an answer, or send none of a body, before its connection may be
	// closed in favour of others.
	stalledAfter = 10 * time.Second
	// silentAfter is how long a connection has for its request before it may be closed in favour of others: four round trips
	// of 12 ms, which a handshake of a link takes between regions. New connections wait that long in the kernel's queue.
	silentAfter = 50 * time.Millisecond
	// searchInterval is the minimum time between two searches of all connections for stalled ones.
	searchInterval = time.Second
)

// ListenerOptions are the limits of a Listener.
type ListenerOptions struct {
	Name        string               // of the port, for the log
	Most        int                  // connections that are not trusted; 0 for no limit
	Connections *Account             // nil for no limit
	Heads       *Account             // nil if heads are not examined
	HeadLimits  func() HeadLimits    // limits of the head of the next request
	SilentLimit time.Duration        // how long a connection has for its request; 0 for silentAfter
	IdleLimit   func() time.Duration // how long a client may keep a connection between two requests; nil for SilentLimit
	Counts      *Counts              // nil if nobody reads them
	Logger      *slog.Logger
}

// Counts are the refusals of a port since the start of the process.
type Counts struct {
	Connections atomic.Int64 // refused, or closed in favour of others
	Heads       atomic.Int64 // beyond a limit, or without memory
}

// Listener bounds the connections of a port. When a connection exceeds the limit, the one that has been silent for the longest
// time is closed in favour of it: a connection that has sent no complete request head for SilentLimit, or one that has been
// idle, has taken none of an answer or has sent none of a body for too long. If there is none, the new connection is closed
// at once, so that its client can try another entry.
type Listener struct {
	net.Listener
	options ListenerOptions

	mu     sync.Mutex
	conns  map[*Conn]struct{} // all that are not trusted
	silent *list.List         // of *Conn that have sent no complete head, the oldest first
	idle   *list.List         // of *Conn between two requests, the one that has been idle longest first

	searched         time.Time // when the connections were last searched for a stalled one
	connLog, headLog refusalLog
}

// refusalLog limits the log lines about refusals.
type refusalLog struct {
	refused int // since the last line
	lastLog time.Time
}

// due notes a refusal and returns how many to log now, or 0; the caller holds Listener.mu.
func (r *refusalLog) due(now time.Time) int {
	r.refused++
	if now.Sub(r.lastLog) < refusalLogInterval {
		return 0
	}
	n := r.refused
	r.refused, r.lastLog = 0, now
	return n
}

// Listen wraps l.
func Listen(l net.Listener, o ListenerOptions) *Listener {
	if o.Counts == nil {
		o.Counts = &Counts{}
	}
	if o.SilentLimit == 0 {
		o.SilentLimit = silentAfter
	}
	return &Listener{Listener: l, options: o, conns: make(map[*Conn]struct{}), silent: list.New(), idle: list.New()}
}

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener   *Listener
	readSince  atomic.Int64 // when the current read began, in Unix nanoseconds; 0 if there is none
	writeSince atomic.Int64 // the same for writes
	exempt     atomic.Bool  // as trusted, read without the lock
	head       headScanner  // used by the goroutine that reads
	trusted    bool         // guarded by Listener.mu, as are the fields below
	closed     bool
	lease      Lease
	queue      *list.List // silent, idle or nil
	place      *list.Element
	since      time.Time // when it was added to its queue
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(raw, time.Now()); c != nil {
			return c, nil
		}
		_ = raw.Close() // nothing was read from it
	}
}

// admit returns the connection to be served, or nil if there is no room for it.
func (l *Listener) admit(raw net.Conn, now time.Time) *Conn {
	c := &Conn{Conn: raw, listener: l}
	if l.options.Connections != nil {
		c.lease = l.options.Connections.Lease()
	}
	for !l.add(c, now) {
		victim, wait := l.victim(now)
		if wait > 0 {
			time.Sleep(wait)
			now = time.Now()
			continue
		}
		l.recordConn(now)
		if victim == nil {
			return nil
		}
		_ = victim.Close() // its client gets no answer, as it has sent no complete request or takes none
	}
	return c
}

// add adds a connection if there is room for it.
func (l *Listener) add(c *Conn, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.options.Most > 0 && len(l.conns) >= l.options.Most || c.lease.Grow(connBytes, 0) != nil {
		return false
	}
	l.conns[c] = struct{}{}
	c.enqueue(l.silent, now)
	if l.options.Heads != nil {
		c.head.begin(l.options.Heads, l.options.HeadLimits())
	}
	return true
}

// victim returns the connection to be closed in favour of a new one, or nil. If the next one to be closed has had too little
// time for its request, it returns how long to wait.
func (l *Listener) victim(now time.Time) (c *Conn, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.silent.Front(); e != nil {
		c := e.Value.(*Conn) //nolint:forcetypeassert // the lists hold nothing else
		if age := now.Sub(c.since); age < l.options.SilentLimit {
			return nil, l.options.SilentLimit - age
		}
		return c, 0
	}
	if e := l.idle.Front(); e != nil {
		limit := l.options.SilentLimit
		if l.options.IdleLimit != nil {
			limit = l.options.IdleLimit()
		}
		if c := e.Value.(*Conn); now.Sub(c.since) > limit { //nolint:forcetypeassert // see above
			return c, 0
		}
	}
	if now.Sub(l.searched) < searchInterval {
		return nil, 0
	}
	for c := range l.conns {
		if c.stalled(now) {
			return c, 0
		}
	}
	l.searched = now // found nothing: each new connection of a flood would search all
	return nil, 0
}

// CloseStalled closes the connections whose clients take none of their answers, which frees the memory of these.
func (l *Listener) CloseStalled(now time.Time) {
	l.mu.Lock()
	var stalled []*Conn
	for c := range l.conns {
		if c.stalledWrite(now) {
			stalled = append(stalled, c)
		}
	}
	l.mu.Unlock()
	for _, c := range stalled {
		_ = c.Close() // fails only if it is closed already
	}
}

// Open returns the number of connections that are not trusted.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// recordConn counts and logs a connection that was refused, or closed in favour of another one.
func (l *Listener) recordConn(now time.Time) {
	l.options.Counts.Connections.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := l.connLog.due(now); n > 0 {
		event.ConnectionsRefused.Log(l.options.Logger, "port", l.options.Name, "refused", n, "most", l.options.Most)
	}
}

// recordHead counts and logs a refused head.
func (l *Listener) recordHead(c *Conn, now time.Time) {
	l.options.Counts.Heads.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := l.headLog.due(now); n > 0 {
		event.HeadsRefused.Log(l.options.Logger, "port", l.options.Name, "refused", n, "bytes", c.head.seen.size, "fields", c.head.seen.fields,
			"most", c.head.limits.Bytes, "from", c.RemoteAddr().String())
	}
}

// StateChanged is the ConnState hook of an http.Server that serves a Listener.
func StateChanged(raw net.Conn, s http.ConnState) {
	c, ok := raw.(*Conn)
	if !ok {
		return
	}
	l := c.listener
	switch s {
	case http.StateActive:
		c.head.end()
		l.mu.Lock()
		defer l.mu.Unlock()
		c.dequeue()
	case http.StateIdle:
		if l.options.Heads != nil {
			c.head.begin(l.options.Heads, l.options.HeadLimits())
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		c.enqueue(l.idle, time.Now())
	case http.StateHijacked, http.StateClosed:
		c.head.lease.Release()
	case http.StateNew:
	}
}

// Trust exempts a connection from the limits of its listener, after its peer has authenticated.
func (c *Conn) Trust() {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.closed {
		return
	}
	c.trusted = true
	c.exempt.Store(true)
	c.remove()
}

// enqueue adds the connection to a queue; the caller holds Listener.mu.
func (c *Conn) enqueue(q *list.List, now time.Time) {
	c.dequeue()
	if !c.closed && !c.trusted {
		c.queue, c.place, c.since = q, q.PushBack(c), now
	}
}

// dequeue removes the connection from its queue; the caller holds Listener.mu.
func (c *Conn) dequeue() {
	if c.queue != nil {
		c.queue.Remove(c.place)
		c.queue, c.place = nil, nil
	}
}

// remove ends the accounting of the connection; the caller holds Listener.mu.
func (c *Conn) remove() {
	c.dequeue()
	delete(c.listener.conns, c)
	c.lease.Release()
}

// stalled reports whether a write, or the read of a body, has made no progress for stalledAfter; the caller holds Listener.mu.
func (c *Conn) stalled(now time.Time) bool {
	t := c.readSince.Load()
	return c.stalledWrite(now) || t != 0 && t < now.Add(-stalledAfter).UnixNano() && c.queue == nil
}

// stalledWrite reports whether a write has made no progress for stalledAfter.
func (c *Conn) stalledWrite(now time.Time) bool {
	t := c.writeSince.Load()
	return t != 0 && t < now.Add(-stalledAfter).UnixNano()
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	// While a request is served, net/http waits for its end by reading a single byte.
	whole := len(b) > 1
	if whole {
		c.readSince.Store(time.Now().UnixNano())
	}
	if c.head.active {
		if refusal := c.head.beforeRead(); refusal != "" {
			return 0, c.refuse(refusal)
		}
	}
	n, err := c.Conn.Read(b)
	c.readSince.Store(0)
	if c.head.active && n > 0 {
		if refusal := c.head.afterRead(b[:n]); refusal != "" {
			return 0, c.refuse(refusal)
		}
	}
	if whole && n > 0 && c.listener.options.Heads != nil {
		c.head.last = marks{}
		if len(b) <= readBufferBytes {
			c.head.last.add(b[:n])
		}
	}
	return n, err
}

// readBufferBytes is the size of the buffer with which net/http reads a connection. Larger reads pass it by.
const readBufferBytes = 4 << 10

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.head.active {
		c.head.deadlines++
	}
	return c.Conn.SetReadDeadline(t)
}

// writePiece is the size of the pieces of a write, each of which counts as progress: a client that takes a large answer
// slowly but steadily is not stalled.
const writePiece = 32 << 10

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	if c.listener.options.Heads == nil && !c.exempt.Load() {
		c.answered()
	}
	defer c.writeSince.Store(0)
	written := 0
	for {
		piece := b[written:min(written+writePiece, len(b))]
		c.writeSince.Store(time.Now().UnixNano())
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil || written >= len(b) {
			return written, err
		}
	}
}

// answered notes that a request of the connection is complete, for servers without the ConnState hook.
func (c *Conn) answered() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.queue != nil {
		c.enqueue(c.listener.idle, time.Now())
	}
}

// CloseWrite shuts down the writing side, so that net/http can close a connection without losing its last answer.
func (c *Conn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	l := c.listener
	l.mu.Lock()
	if !c.closed {
		c.closed = true
		c.remove()
	}
	l.mu.Unlock()
	return c.Conn.Close()
}
