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
	// dropDelay is how long a result that the daemon may delete waits for others to share a message; the daemon retains it
	// that much longer.
	dropDelay = 10 * time.Second
	// maxDropBatch is the number of such results at which they are sent without that delay.
	maxDropBatch = 128
)

// maxPending bounds the messages that wait for a new link to a daemon; messages beyond it are discarded. A lost drop is
// harmless because a daemon deletes unacknowledged results after some time anyway.
const maxPending = 4096

// pendingMessage waits for a link to the incarnation that it is addressed to.
type pendingMessage struct {
	kind string
	body any
}

// peer holds the link to one daemon and what is known of that daemon.
type peer struct {
	pool *Pool
	name string
	stop context.CancelFunc // guarded by the pool's mu

	received atomic.Int64 // messages received
	inflight atomic.Int64 // open streams

	mu             sync.Mutex
	address        string
	link           *link.Conn    // nil while there is no link
	linkChanged    chan struct{} // closed when link changes
	hello          wire.Hello    // hello of the last link
	servers        map[string]wire.Server
	listedLeaving  bool // the instance list says leaving
	drainRequested bool // an operator asked the daemon to leave
	leaving        bool // the daemon reported that it is leaving
	pending        []pendingMessage
	drops          []string   // results that the daemon may delete, not sent yet
	helloFrom      *link.Conn // link whose hello was applied last
	linkedAt       time.Time  // when that hello was applied
	brokenAt       time.Time  // when the last link broke
}

func newPeer(p *Pool, name string) *peer {
	return &peer{pool: p, name: name, linkChanged: make(chan struct{}), servers: make(map[string]wire.Server)}
}

// updateListing records what the instance list says and reports whether the daemon is to be asked to drain. It is
// asked once, because the list lags behind: a daemon that restarts under the same name while the list still says
// leaving gets no work, but is not asked to drain.
func (r *peer) updateListing(i wire.Instance) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.address = i.Address
	leaving := i.State == "leaving"
	drain := leaving && !r.listedLeaving
	r.listedLeaving = leaving
	return drain
}

func (r *peer) markDrainRequested() {
	r.mu.Lock()
	r.drainRequested = true
	r.mu.Unlock()
	r.pool.invalidate()
}

// stopTask stops the task that dials the daemon; the caller holds the pool's mu.
func (r *peer) stopTask() {
	if r.stop != nil {
		r.stop()
	}
}

func (r *peer) conn() *link.Conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.link
}

// expired reports whether a daemon that the list omits is to be removed.
func (r *peer) expired(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.link == nil && now.Sub(r.brokenAt) > unlistedRetention
}

func (r *peer) linked() bool { return r.conn() != nil }

// waitLink waits for a working link and returns it, or nil if ctx ends first.
func (r *peer) waitLink(ctx context.Context) *link.Conn {
	for {
		r.mu.Lock()
		c, change := r.link, r.linkChanged
		r.mu.Unlock()
		if c != nil {
			select {
			case <-c.Done():
				// The link broke, and the peer's task is about to replace it.
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

// call sends a request and waits for its reply up to the acknowledgement timeout. If none arrives, the link is closed
// as silent, so that the next call uses a new one. After an error other than *link.FormatError the request may have
// arrived.
func (r *peer) call(ctx context.Context, c *link.Conn, kind string, body any) (link.Frame, error) {
	callCtx, cancel := context.WithTimeout(ctx, r.pool.options.Ack)
	defer cancel()
	f, err := c.Call(callCtx, kind, body)
	if err != nil && callCtx.Err() != nil && ctx.Err() == nil {
		c.CloseUnresponsive()
	}
	return f, err
}

// queueDrops adds results that the daemon may delete to the next drop message.
func (r *peer) queueDrops(attempts []string) {
	r.mu.Lock()
	waiting := len(r.drops) > 0
	r.drops = append(r.drops, attempts...)
	// A leaving daemon waits for this message before it exits.
	sendNow := len(r.drops) >= maxDropBatch || r.leaving || r.listedLeaving || r.drainRequested
	r.mu.Unlock()
	switch {
	case sendNow:
		r.flushDrops()
	case !waiting:
		time.AfterFunc(dropDelay, r.flushDrops)
	}
}

// flushDrops sends the queued drops.
func (r *peer) flushDrops() {
	r.mu.Lock()
	drops := r.drops
	r.drops = nil
	r.mu.Unlock()
	if len(drops) > 0 {
		r.sendOrQueue(link.Drop, wire.Drop{Attempts: drops})
	}
}

// sendOrQueue sends a message to the present incarnation now, or over its next link if there is none.
func (r *peer) sendOrQueue(kind string, body any) {
	if c := r.conn(); c != nil && c.Notify(kind, body) == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pending) < maxPending {
		r.pending = append(r.pending, pendingMessage{kind: kind, body: body})
	}
}

func (r *peer) dial(ctx context.Context) (*link.Conn, error) {
	r.mu.Lock()
	address := r.address
	r.mu.Unlock()
	c, err := link.Dial(ctx, address, r.pool.identity, link.HandlerFunc(r.handleFrame), r.pool.logger)
	if err != nil {
		return nil, err
	}
	if h := c.Peer(); !r.isExpectedDaemon(h) {
		event.LinkWrongPeer.Log(r.pool.logger, "want", r.name, "have", h.Name, "role", h.Role)
		c.Close()
		return nil, link.ErrClosed
	}
	return c, nil
}

// useLink serves a link until it is closed or ctx ends, and then resumes its streams.
func (r *peer) useLink(ctx context.Context, c *link.Conn) {
	r.linkUp(c)
	r.monitor(ctx, c)
	c.Close()
	r.mu.Lock()
	r.link = nil
	r.brokenAt = time.Now()
	r.signalLinkChange()
	r.mu.Unlock()
	r.pool.invalidate()
	for _, s := range r.pool.streamsOver(c) {
		go supervise.Guard(r.pool.logger, "resume", s.resume)
	}
}

// monitor returns when a link is closed or ctx ends. A connection can become permanently silent in the middle of a
// stream, so a link that carries streams but delivers no messages is probed.
func (r *peer) monitor(ctx context.Context, c *link.Conn) {
	t := time.NewTicker(r.pool.options.Ack)
	defer t.Stop()
	last := r.received.Load()
	for {
		select {
		case <-c.Done():
			return
		case <-ctx.Done():
			return
		case <-t.C:
		}
		count := r.received.Load()
		if count == last && r.inflight.Load() > 0 {
			_ = c.Probe(r.pool.options.Ack)
		}
		last = count
	}
}

// signalLinkChange wakes all waiters for a change of the link; the caller holds mu.
func (r *peer) signalLinkChange() {
	close(r.linkChanged)
	r.linkChanged = make(chan struct{})
}

func (r *peer) isExpectedDaemon(h wire.Hello) bool { return h.Name == r.name && h.Role == "daemon" }

// applyHello applies the hello of a link once. Both the dialling task and the reader of the link call it, because
// messages can arrive before the dialling task continues. The caller holds mu.
func (r *peer) applyHello(c *link.Conn) {
	if r.helloFrom == c {
		return
	}
	h := c.Peer()
	if h.Inc != r.hello.Inc {
		r.pending = nil
		r.drainRequested = false
		r.leaving = false
	}
	r.helloFrom = c
	r.linkedAt = time.Now()
	r.hello = h
	r.leaving = r.leaving || h.Leaving
	r.servers = make(map[string]wire.Server, len(h.Servers))
	for _, s := range h.Servers {
		r.servers[s.Name] = s
	}
}

func (r *peer) linkUp(c *link.Conn) {
	h := c.Peer()
	r.mu.Lock()
	r.applyHello(c)
	r.link = c
	pending := r.pending
	r.pending = nil
	r.signalLinkChange()
	r.mu.Unlock()
	r.pool.invalidate()
	for _, m := range pending {
		_ = c.Notify(m.kind, m.body)
	}
	r.pool.onNotice(wire.Notice{Rev: h.Rev, Targets: h.Targets})
}

// handleFrame handles a message of the daemon. It runs on the reader of the link.
func (r *peer) handleFrame(c *link.Conn, f link.Frame) error {
	r.received.Add(1)
	switch f.Kind {
	case link.Chunk:
		var m wire.Chunk
		if err := f.Decode(&m); err != nil {
			return err
		}
		r.deliver(c, m.Attempt, func(s *Stream) { s.handleChunk(m) })
	case link.Done:
		var m wire.Done
		if err := f.Decode(&m); err != nil {
			return err
		}
		r.deliver(c, m.Attempt, func(s *Stream) { s.handleDone(m) })
	case link.Refuse:
		var m wire.Refuse
		if err := f.Decode(&m); err != nil {
			return err
		}
		r.deliver(c, m.Attempt, func(s *Stream) { s.handleRefuse(m) })
	case link.State:
		var m wire.State
		if err := f.Decode(&m); err != nil {
			return err
		}
		r.handleState(c, m)
	case link.Notice:
		var m wire.Notice
		if err := f.Decode(&m); err != nil {
			return err
		}
		r.pool.onNotice(m)
	}
	// Unknown kinds come from newer releases and are ignored.
	return nil
}

// deliver passes a message to the stream of its attempt if the sender is the incarnation that the attempt was sent to.
func (r *peer) deliver(c *link.Conn, attempt string, f func(*Stream)) {
	if s := r.pool.stream(attempt); s != nil && s.sentTo(r, c.Peer().Inc) {
		f(s)
	}
}

func (r *peer) handleState(c *link.Conn, m wire.State) {
	if !r.isExpectedDaemon(c.Peer()) {
		return
	}
	r.mu.Lock()
	r.applyHello(c)
	r.leaving = r.leaving || m.Leaving
	if m.Server != nil {
		r.servers[m.Server.Name] = *m.Server
	}
	r.mu.Unlock()
	r.pool.invalidate()
	if m.Leaving {
		go supervise.Guard(r.pool.logger, "drop", r.flushDrops)
	}
}

// candidates returns the daemon's servers sorted by name.
func (r *peer) candidates(now time.Time) []Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	era := r.hello.Era + int(now.Sub(r.linkedAt)/eraLength)
	l := make([]Candidate, 0, len(r.servers))
	for _, s := range r.servers {
		l = append(l, Candidate{
			Server:  s,
			Daemon:  r.name,
			Inc:     r.hello.Inc,
			Era:     era,
			Domain:  r.hello.Domain,
			Region:  r.hello.Region,
			Leaving: r.leaving || r.listedLeaving || r.drainRequested,
			Linked:  r.link != nil,
		})
	}
	slices.SortFunc(l, func(a, b Candidate) int { return strings.Compare(a.Server.Name, b.Server.Name) })
	return l
}
