// Package peer maintains the links between entries and sends messages over them.
//
// # Usage
//
//	p := peer.New(identity, content, noticed, options, random, logger)
//	p.SetHandler(handler)
//	go p.Serve(ctx)
//	p.SetInstances(instances, time.Now())
//	batch, err := p.Forward(ctx, "entry-2", forward)
//
// Each entry dials every other entry, and a link carries requests in both directions, so that two entries can communicate as
// long as either can reach the other. A call to an entry that cannot be reached returns an *UnreachableError.
package peer

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"bulrushspoke/entry/internal/redial"
	"bulrushspoke/internal/event"
	"bulrushspoke/internal/link"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/wire"
)

const role = "entry"

// unlistedRetention is how long an entry that is missing from the list of instances, which may lag, is still dialled after its
// last link closed.
const unlistedRetention = time.Minute

// presumedGoneAfter is how long an entry without a link is presumed to be running: it may have been removed for good, or be
// cut off from this entry only.
const presumedGoneAfter = 15 * time.Second

// Handler handles messages of other entries.
type Handler interface {
	ForwardedPull(ctx context.Context, f wire.ForwardedPull) wire.ForwardedPullAnswer
	VerdictCounted(v wire.Verdict)
	Suspect(s wire.Suspect)
	Explain(request string) (wire.Trace, bool)
}

// UnreachableError means that an entry cannot be reached.
type UnreachableError struct {
	entry string
	cause string
}

// Error implements error.
func (e *UnreachableError) Error() string { return fmt.Sprintf("peer: %s: %s", e.entry, e.cause) }

// Options are the timeouts and delays of links between entries.
type Options struct {
	AckTimeout     time.Duration // timeout for a sign of life of an entry
	LinkTimeout    time.Duration // timeout for the opening of a link
	MaxRedialDelay time.Duration // maximum delay between two dials
}

// Peers manages the links to the other entries.
type Peers struct {
	name     string
	identity *link.Identity
	config   func() wire.Config
	onNotice func(wire.Notice)
	options  Options
	random   redial.Random
	logger   *slog.Logger

	mu           sync.Mutex
	handler      Handler
	kindHandlers map[string]func(context.Context, link.Frame) (string, any, error)
	onConnect    func(name string)
	ctx          context.Context // context of Serve; nil before Serve is called
	tasks        sync.WaitGroup
	entries      map[string]*entry
	changed      chan struct{} // closed when a link opens or closes
}

// entry is another entry. Its fields are guarded by Peers.mu.
type entry struct {
	name    string
	address string // empty if only a link that it opened is known
	links   []*link.Conn
	stop    context.CancelFunc
	lostAt  time.Time // when the last link closed or, if there was none, when the entry became known
}

// New returns the Peers of the entry with the given name. The function config returns the current configuration, and onNotice
// is called with each notice received; onNotice must not block.
func New(
	name string, id *link.Identity, config func() wire.Config, onNotice func(wire.Notice), o Options,
	random redial.Random, logger *slog.Logger,
) *Peers {
	return &Peers{
		name:         name,
		identity:     id,
		config:       config,
		onNotice:     onNotice,
		options:      o,
		random:       random,
		logger:       logger,
		entries:      make(map[string]*entry),
		kindHandlers: make(map[string]func(context.Context, link.Frame) (string, any, error)),
		changed:      make(chan struct{}),
	}
}

// SetHandler sets the handler of pulls, verdicts, suspects and explain requests.
func (p *Peers) SetHandler(h Handler) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handler = h
}

// Serve maintains the links until ctx is done and then closes them.
func (p *Peers) Serve(ctx context.Context) error {
	p.mu.Lock()
	p.ctx = ctx
	for _, e := range p.entries {
		p.startDialing(e)
	}
	p.mu.Unlock()
	<-ctx.Done()
	for _, c := range p.openLinks() {
		c.Close()
	}
	p.tasks.Wait()
	return ctx.Err()
}

// startDialing starts a goroutine that keeps a link to an entry open. The caller must hold mu.
func (p *Peers) startDialing(e *entry) {
	if p.ctx == nil || p.ctx.Err() != nil || e.address == "" || e.stop != nil {
		return
	}
	ctx, cancel := context.WithCancel(p.ctx)
	e.stop = cancel
	dial := func(ctx context.Context) (*link.Conn, error) { return p.dial(ctx, e) }
	hold := func(ctx context.Context, c *link.Conn) {
		p.addLink(c)
		select {
		case <-c.Done():
		case <-ctx.Done():
			c.Close()
		}
		p.removeLink(c)
	}
	p.tasks.Go(func() {
		defer cancel()
		supervise.Guard(p.logger, "entry "+e.name, func() {
			redial.Run(ctx, p.random, p.options.MaxRedialDelay, dial, hold)
		})
	})
}

func (p *Peers) dial(ctx context.Context, e *entry) (*link.Conn, error) {
	p.mu.Lock()
	address := e.address
	p.mu.Unlock()
	c, err := link.Dial(ctx, address, p.identity, link.HandlerFunc(p.handleMessage), p.logger)
	if err != nil {
		return nil, err
	}
	if h := c.Peer(); h.Name != e.name || h.Role != role {
		event.LinkWrongPeer.Log(p.logger, "want", e.name, "have", h.Name, "role", h.Role)
		c.Close()
		return nil, link.ErrClosed
	}
	return c, nil
}

// Accept upgrades a request of another entry to a link and serves it.
func (p *Peers) Accept(ctx *fasthttp.RequestCtx) error {
	opened := func(c *link.Conn) {
		if c.Peer().Role != role || c.Peer().Name == p.name {
			c.Close()
			return
		}
		p.addLink(c)
		go func() {
			<-c.Done()
			p.removeLink(c)
		}()
	}
	return link.Accept(ctx, p.identity, link.HandlerFunc(p.handleMessage), opened, p.logger)
}

// addLink adds a link. If the link has already closed, the call of removeLink that follows removes it.
func (p *Peers) addLink(c *link.Conn) {
	h := c.Peer()
	p.mu.Lock()
	e := p.entries[h.Name]
	if e == nil {
		e = &entry{name: h.Name}
		p.entries[h.Name] = e
	}
	e.links = append(e.links, c)
	p.notifyChange()
	onConnect := p.onConnect
	p.mu.Unlock()
	if onConnect != nil {
		go supervise.Guard(p.logger, "joined", func() { onConnect(h.Name) })
	}
	p.onNotice(wire.Notice{Rev: h.Rev, Targets: h.Targets})
}

func (p *Peers) removeLink(c *link.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.entries[c.Peer().Name]
	if e == nil {
		return
	}
	e.links = slices.DeleteFunc(e.links, func(l *link.Conn) bool { return l == c })
	e.lostAt = time.Now()
	p.notifyChange()
}

// notifyChange wakes all goroutines that wait for a link. The caller must hold mu.
func (p *Peers) notifyChange() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetInstances starts dialling the entries in the list of instances and stops dialling those that are no longer in it, once they have
// had no link for unlistedRetention. Instances of other roles are ignored.
func (p *Peers) SetInstances(list []wire.Instance, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := make(map[string]bool, len(list))
	for _, i := range list {
		if i.Role != role || i.Name == p.name {
			continue
		}
		seen[i.Name] = true
		e := p.entries[i.Name]
		if e == nil {
			e = &entry{name: i.Name, lostAt: now}
			p.entries[i.Name] = e
		}
		e.address = i.Address
		p.startDialing(e)
	}
	for name, e := range p.entries {
		if seen[name] || len(e.links) > 0 || now.Sub(e.lostAt) <= unlistedRetention {
			continue
		}
		if e.stop != nil {
			e.stop()
		}
		delete(p.entries, name)
	}
}

// openLinks returns the newest open link of each entry that has one, sorted by name.
func (p *Peers) openLinks() []*link.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var l []*link.Conn
	for _, e := range p.entries {
		if c := e.newestLink(); c != nil {
			l = append(l, c)
		}
	}
	slices.SortFunc(l, func(a, b *link.Conn) int { return strings.Compare(a.Peer().Name, b.Peer().Name) })
	return l
}

// newestLink returns the newest open link, or nil if there is none. The caller must hold Peers.mu.
func (e *entry) newestLink() *link.Conn {
	for _, c := range slices.Backward(e.links) {
		select {
		case <-c.Done():
		default:
			return c
		}
	}
	return nil
}

// awaitLink waits for an open link to an entry. It returns nil if ctx is done first or the entry is unknown.
func (p *Peers) awaitLink(ctx context.Context, name string) *link.Conn {
	for {
		p.mu.Lock()
		e := p.entries[name]
		var c *link.Conn
		if e != nil {
			c = e.newestLink()
		}
		change := p.changed
		p.mu.Unlock()
		if e == nil || c != nil {
			return c
		}
		select {
		case <-change:
		case <-ctx.Done():
			return nil
		}
	}
}

// Forward sends a pull to the owner of its step and returns the owner's response. If the link breaks, it tries once more over
// another link. It returns an *UnreachableError if the owner cannot be reached or ctx is done.
func (p *Peers) Forward(ctx context.Context, name string, f wire.ForwardedPull) (wire.ForwardedPullAnswer, error) {
	var b wire.ForwardedPullAnswer
	const tries = 2
	for range tries {
		retry, err := p.request(ctx, name, link.Pull, f, &b)
		if !retry {
			return b, err
		}
	}
	return b, &UnreachableError{entry: name, cause: "no response over two links"}
}

// Fetch returns the newest configuration of all peers and reports whether its revision is at least rev.
func (p *Peers) Fetch(ctx context.Context, rev int64) (wire.Config, bool) {
	var best wire.Config
	queryAll(ctx, p, link.Fetch, wire.Fetch{Rev: rev}, func(got wire.Config) {
		if got.Rev > best.Rev {
			best = got
		}
	})
	return best, best.Rev > 0 && best.Rev >= rev
}

// Explain returns the trace of a request from the other entries, and false if no entry that responds has one.
func (p *Peers) Explain(ctx context.Context, request string) (wire.Trace, bool) {
	var trace wire.Trace
	queryAll(ctx, p, link.Explain, wire.Explain{Request: request}, func(got wire.Trace) {
		if got.State != "" {
			trace = got
		}
	})
	return trace, trace.State != ""
}

// queryAll sends a request to all connected entries in parallel and passes each response to collect, one at a time. Entries
// that do not respond within Options.AckTimeout are skipped.
func queryAll[T any](ctx context.Context, p *Peers, kind string, body any, collect func(T)) {
	ctx, cancel := context.WithTimeout(ctx, p.options.AckTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, c := range p.openLinks() {
		wg.Go(func() {
			f, err := c.Call(ctx, kind, body)
			if err != nil {
				return
			}
			var got T
			if err := f.Decode(&got); err != nil {
				c.Close()
				return
			}
			mu.Lock()
			defer mu.Unlock()
			collect(got)
		})
	}
	wg.Wait()
}

// Suspect sends a suspect to all connected entries.
func (p *Peers) Suspect(s wire.Suspect) { p.broadcast(link.Suspect, s) }

// Announce sends a notice of revisions and weight targets to all connected entries.
func (p *Peers) Announce(n wire.Notice) { p.broadcast(link.Notice, n) }

func (p *Peers) broadcast(kind string, body any) {
	for _, c := range p.openLinks() {
		// Each message has its own goroutine: an entry that has stopped reading must not delay the others.
		go supervise.Guard(p.logger, kind, func() { _ = c.Notify(kind, body) })
	}
}

// Verdict sends a verdict to the owner of its step. Its error is an *UnreachableError.
func (p *Peers) Verdict(name string, v wire.Verdict) error {
	p.mu.Lock()
	var c *link.Conn
	if e := p.entries[name]; e != nil {
		c = e.newestLink()
	}
	p.mu.Unlock()
	if c == nil {
		return &UnreachableError{entry: name, cause: "no link"}
	}
	if err := c.Notify(link.Verdict, v); err != nil {
		return &UnreachableError{entry: name, cause: err.Error()}
	}
	return nil
}

// Reachable reports whether there is an open link to an entry.
func (p *Peers) Reachable(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.entries[name]
	return e != nil && e.newestLink() != nil
}

// handleMessage handles a message of another entry. It runs in the goroutine that reads from the link and must not block.
func (p *Peers) handleMessage(c *link.Conn, f link.Frame) error {
	p.mu.Lock()
	h, ctx, kindHandler := p.handler, p.ctx, p.kindHandlers[f.Kind]
	p.mu.Unlock()
	if kindHandler != nil && ctx != nil {
		go supervise.Guard(p.logger, f.Kind, func() {
			kind, body, err := kindHandler(ctx, f)
			switch {
			case err != nil:
				c.Close()
			case f.ID != 0 && kind != "":
				_ = c.Reply(f, kind, body) // fails only if the link is closed, which the caller notices as well
			}
		})
		return nil
	}
	switch f.Kind {
	case link.Notice:
		var n wire.Notice
		if err := f.Decode(&n); err != nil {
			return err
		}
		p.onNotice(n)
		return nil
	case link.Fetch:
		return c.Reply(f, link.Config, p.config())
	}
	if h == nil || ctx == nil {
		return nil
	}
	switch f.Kind {
	case link.Pull:
		var m wire.ForwardedPull
		if err := f.Decode(&m); err != nil {
			return err
		}
		go supervise.Guard(p.logger, "pull", func() { _ = c.Reply(f, link.Batch, h.ForwardedPull(ctx, m)) })
	case link.Verdict:
		var v wire.Verdict
		if err := f.Decode(&v); err != nil {
			return err
		}
		go supervise.Guard(p.logger, "verdict", func() { h.VerdictCounted(v) })
	case link.Explain:
		var m wire.Explain
		if err := f.Decode(&m); err != nil {
			return err
		}
		t, _ := h.Explain(m.Request)
		return c.Reply(f, link.Trace, t)
	case link.Suspect:
		var s wire.Suspect
		if err := f.Decode(&s); err != nil {
			return err
		}
		h.Suspect(s)
	}
	return nil
}
