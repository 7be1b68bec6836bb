package daemon

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bulrushspoke/internal/event"
	"bulrushspoke/internal/link"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/wire"
)

const (
	// dropDelay is how long a result that the daemon may forget waits for others; the daemon keeps it that much longer.
	dropDelay = 10 * time.Second
	// dropMost is the number of such results that are sent at once.
	dropMost = 128
)

// maxPending bounds the messages that wait for a new link to a daemon; a daemon forgets unacknowledged results in time.
const maxPending = 4096

// message waits for a link to the incarnation that it is meant for.
type message struct {
	kind string
	body any
}

// peer is one daemon.
type peer struct {
	pool *Pool
	name string
	stop context.CancelFunc // guarded by the pool's mu

	heard    atomic.Int64 // messages received
	inflight atomic.Int64 // streams that have not ended

	mu      sync.Mutex
	address string
	link    *link.Conn    // nil while there is none
	change  chan struct{} // closed when link changes
	hello   wire.Hello    // of the last link
	servers map[string]wire.Server
	listed  bool // the list says leaving
	drained bool // an operator asked it to leave
	leaving bool // it said so itself
	pending []message
	drops   []string   // results that the daemon may forget, not sent yet
	adopted *link.Conn // the link whose hello was taken over last
	opened  time.Time  // when that was
	broken  time.Time  // when the last link broke
}

func newPeer(p *Pool, name string) *peer {
	return &peer{pool: p, name: name, change: make(chan struct{}), servers: make(map[string]wire.Server)}
}

// list notes what the list says and reports whether the daemon is to be asked to drain. It is asked once: the list lags,
// and a daemon that comes back under the name while the list still says leaving gets no work, but is not made to leave.
func (r *peer) list(i wire.Instance) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.address = i.Address
	leaving := i.State == "leaving"
	drain := leaving && !r.listed
	r.listed = leaving
	return drain
}

func (r *peer) leave() {
	r.mu.Lock()
	r.drained = true
	r.mu.Unlock()
	r.pool.changed()
}

// end stops the task; the caller holds the pool's mu.
func (r *peer) end() {
	if r.stop != nil {
		r.stop()
	}
}

func (r *peer) conn() *link.Conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.link
}

// gone reports whether a daemon that the list omits is to be forgotten.
func (r *peer) gone(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.link == nil && now.Sub(r.broken) > keepUnlisted
}

func (r *peer) linked() bool { return r.conn() != nil }

// wait returns the link, waiting for one until ctx ends; it returns nil then.
func (r *peer) wait(ctx context.Context) *link.Conn {
	for {
		r.mu.Lock()
		c, change := r.link, r.change
		r.mu.Unlock()
		if c != nil {
			select {
			case <-c.Done():
				// The peer's task is about to notice.
			default:
				return c
			}
		}
		select {
		case <-change:
		case <-ctx.Done():
			return nil
		}
	}
}

// call sends a request and waits for its reply within the acknowledgement time. A link without a reply is closed as
// silent, so that the next call goes over a new one. An error that is no *link.FormatError leaves open whether the
// request arrived.
func (r *peer) call(ctx context.Context, c *link.Conn, kind string, body any) (link.Frame, error) {
	short, cancel := context.WithTimeout(ctx, r.pool.options.Ack)
	defer cancel()
	f, err := c.Call(short, kind, body)
	if err != nil && short.Err() != nil && ctx.Err() == nil {
		c.CloseSilent()
	}
	return f, err
}

// drop collects results that the daemon may forget.
func (r *peer) drop(attempts []string) {
	r.mu.Lock()
	waiting := len(r.drops) > 0
	r.drops = append(r.drops, attempts...)
	// A daemon that leaves waits for this before it ends.
	now := len(r.drops) >= dropMost || r.leaving || r.listed || r.drained
	r.mu.Unlock()
	switch {
	case now:
		r.flush()
	case !waiting:
		time.AfterFunc(dropDelay, r.flush)
	}
}

// flush sends the collected results.
func (r *peer) flush() {
	r.mu.Lock()
	drops := r.drops
	r.drops = nil
	r.mu.Unlock()
	if len(drops) > 0 {
		r.urge(link.Drop, wire.Drop{Attempts: drops})
	}
}

// urge sends a message that must reach the present incarnation, now or over its next link.
func (r *peer) urge(kind string, body any) {
	if c := r.conn(); c != nil && c.Notify(kind, body) == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pending) < maxPending {
		r.pending = append(r.pending, message{kind: kind, body: body})
	}
}

func (r *peer) dial(ctx context.Context) (*link.Conn, error) {
	r.mu.Lock()
	address := r.address
	r.mu.Unlock()
	c, err := link.Dial(ctx, address, r.pool.identity, link.HandlerFunc(r.serve), r.pool.logger)
	if err != nil {
		return nil, err
	}
	if h := c.Peer(); !r.named(h) {
		event.LinkMisnamed.Log(r.pool.logger, "want", r.name, "have", h.Name, "role", h.Role)
		c.Close()
		return nil, link.ErrClosed
	}
	return c, nil
}

// hold uses a link until it is closed or ctx ends.
func (r *peer) hold(ctx context.Context, c *link.Conn) {
	r.open(c)
	r.watch(ctx, c)
	c.Close()
	r.mu.Lock()
	r.link = nil
	r.broken = time.Now()
	r.signal()
	r.mu.Unlock()
	r.pool.changed()
	for _, s := range r.pool.on(c) {
		go supervise.Guard(r.pool.logger, "resume", s.resume)
	}
}

// watch returns when a link is closed or ctx ends. A connection can go silent for good in the middle of a stream, so a
// link that carries streams and brings nothing is checked.
func (r *peer) watch(ctx context.Context, c *link.Conn) {
	t := time.NewTicker(r.pool.options.Ack)
	defer t.Stop()
	heard := r.heard.Load()
	for {
		select {
		case <-c.Done():
			return
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := r.heard.Load()
		if now == heard && r.inflight.Load() > 0 {
			_ = c.Check(r.pool.options.Ack)
		}
		heard = now
	}
}

// signal wakes all who wait for a change of the link; the caller holds mu.
func (r *peer) signal() {
	close(r.change)
	r.change = make(chan struct{})
}

func (r *peer) named(h wire.Hello) bool { return h.Name == r.name && h.Role == "daemon" }

// adopt takes over the hello of a link, once: messages can arrive before the dialling task goes on. The caller holds
// mu.
func (r *peer) adopt(c *link.Conn) {
	if r.adopted == c {
		return
	}
	h := c.Peer()
	if h.Inc != r.hello.Inc {
		r.pending = nil
		r.drained = false
		r.leaving = false
	}
	r.adopted = c
	r.opened = time.Now()
	r.hello = h
	r.leaving = r.leaving || h.Leaving
	r.servers = make(map[string]wire.Server, len(h.Servers))
	for _, s := range h.Servers {
		r.servers[s.Name] = s
	}
}

func (r *peer) open(c *link.Conn) {
	h := c.Peer()
	r.mu.Lock()
	r.adopt(c)
	r.link = c
	pending := r.pending
	r.pending = nil
	r.signal()
	r.mu.Unlock()
	r.pool.changed()
	for _, m := range pending {
		_ = c.Notify(m.kind, m.body)
	}
	r.pool.noticed(wire.Notice{Rev: h.Rev, Targets: h.Targets})
}

// serve handles a message of the daemon in the link's reading task.
func (r *peer) serve(c *link.Conn, f link.Frame) error {
	r.heard.Add(1)
	switch f.Kind {
	case link.Chunk:
		var m wire.Chunk
		if err := f.Decode(&m); err != nil {
			return err
		}
		r.deliver(c, m.Attempt, func(s *Stream) { s.chunk(m) })
	case link.Done:
		var m wire.Done
		if err := f.Decode(&m); err != nil {
			return err
		}
		r.deliver(c, m.Attempt, func(s *Stream) { s.done(m) })
	case link.Refuse:
		var m wire.Refuse
		if err := f.Decode(&m); err != nil {
			return err
		}
		r.deliver(c, m.Attempt, func(s *Stream) { s.refuse(m) })
	case link.State:
		var m wire.State
		if err := f.Decode(&m); err != nil {
			return err
		}
		r.state(c, m)
	case link.Notice:
		var m wire.Notice
		if err := f.Decode(&m); err != nil {
			return err
		}
		r.pool.noticed(m)
	}
	// Unknown kinds come from newer releases and are passed over.
	return nil
}

// deliver hands a message to the stream of its attempt if the sender is the incarnation that the attempt was sent to.
func (r *peer) deliver(c *link.Conn, attempt string, f func(*Stream)) {
	if s := r.pool.stream(attempt); s != nil && s.from(r, c.Peer().Inc) {
		f(s)
	}
}

func (r *peer) state(c *link.Conn, m wire.State) {
	if !r.named(c.Peer()) {
		return
	}
	r.mu.Lock()
	r.adopt(c)
	r.leaving = r.leaving || m.Leaving
	if m.Server != nil {
		r.servers[m.Server.Name] = *m.Server
	}
	r.mu.Unlock()
	r.pool.changed()
	if m.Leaving {
		go supervise.Guard(r.pool.logger, "drop", r.flush)
	}
}

// candidates returns the daemon's servers in order of name.
func (r *peer) candidates(now time.Time) []Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	era := r.hello.Era + int(now.Sub(r.opened)/eraLength)
	l := make([]Candidate, 0, len(r.servers))
	for _, s := range r.servers {
		l = append(l, Candidate{
			Server:  s,
			Daemon:  r.name,
			Inc:     r.hello.Inc,
			Era:     era,
			Domain:  r.hello.Domain,
			Region:  r.hello.Region,
			Leaving: r.leaving || r.listed || r.drained,
			Linked:  r.link != nil,
		})
	}
	slices.SortFunc(l, func(a, b Candidate) int { return strings.Compare(a.Server.Name, b.Server.Name) })
	return l
}
