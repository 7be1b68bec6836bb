// Package peer keeps links to the other entries.
//
// # Usage
//
//	p := peer.New(identity, content, noticed, options, random, logger)
//	p.Use(handler)
//	go p.Serve(ctx)
//	p.List(instances, time.Now())
//	batch, err := p.Forward(ctx, "entry-2", forward)
//
// Each entry dials every other one, and a link serves both ends, so that two entries stay in touch while either can
// reach the other.
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

// keepUnlisted is how long an entry that the lagging list omits is dialled after its link broke.
const keepUnlisted = time.Minute

// Handler serves the messages of other entries.
type Handler interface {
	Pull(ctx context.Context, f wire.Forward) wire.Batch
	Verdict(v wire.Verdict)
	Suspect(s wire.Suspect)
	Explain(request string) (wire.Trace, bool)
}

// AbsentError tells that an entry cannot be reached.
type AbsentError struct {
	entry string
	cause string
}

// Error implements error.
func (e *AbsentError) Error() string { return fmt.Sprintf("peer: %s: %s", e.entry, e.cause) }

// Options are the times that links between entries work with.
type Options struct {
	Ack    time.Duration // an entry must show a sign of life within it
	Resume time.Duration // a new link must be open within it
	Redial time.Duration // longest pause between two dials
}

// Peers holds the links to the other entries.
type Peers struct {
	name     string
	identity *link.Identity
	content  func() wire.Config
	noticed  func(wire.Notice)
	options  Options
	random   redial.Random
	logger   *slog.Logger

	mu      sync.Mutex
	handler Handler
	more    map[string]func(context.Context, link.Frame) (string, any, error)
	joined  func(name string)
	ctx     context.Context // of Serve; nil before
	tasks   sync.WaitGroup
	entries map[string]*entry
	change  chan struct{} // closed when a link opens or closes
}

// entry is another entry; its fields are guarded by the mu of Peers.
type entry struct {
	name    string
	address string // empty if it is known by its own link only
	links   []*link.Conn
	stop    context.CancelFunc
	broken  time.Time
}

// New returns Peers of the entry name. Content returns the configuration held, and noticed is told of notices; it must
// not block.
func New(
	name string, id *link.Identity, content func() wire.Config, noticed func(wire.Notice), o Options,
	random redial.Random, logger *slog.Logger,
) *Peers {
	return &Peers{
		name:     name,
		identity: id,
		content:  content,
		noticed:  noticed,
		options:  o,
		random:   random,
		logger:   logger,
		entries:  make(map[string]*entry),
		more:     make(map[string]func(context.Context, link.Frame) (string, any, error)),
		change:   make(chan struct{}),
	}
}

// Use names the handler of pulls, verdicts and suspects.
func (p *Peers) Use(h Handler) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handler = h
}

// Serve keeps the links until ctx ends and then closes them.
func (p *Peers) Serve(ctx context.Context) error {
	p.mu.Lock()
	p.ctx = ctx
	for _, e := range p.entries {
		p.run(e)
	}
	p.mu.Unlock()
	<-ctx.Done()
	for _, c := range p.all() {
		c.Close()
	}
	p.tasks.Wait()
	return ctx.Err()
}

// run starts the task that dials an entry; the caller holds mu.
func (p *Peers) run(e *entry) {
	if p.ctx == nil || p.ctx.Err() != nil || e.address == "" || e.stop != nil {
		return
	}
	ctx, cancel := context.WithCancel(p.ctx)
	e.stop = cancel
	dial := func(ctx context.Context) (*link.Conn, error) { return p.dial(ctx, e) }
	hold := func(ctx context.Context, c *link.Conn) {
		p.open(c)
		select {
		case <-c.Done():
		case <-ctx.Done():
			c.Close()
		}
		p.closed(c)
	}
	p.tasks.Go(func() {
		defer cancel()
		supervise.Guard(p.logger, "entry "+e.name, func() {
			redial.Run(ctx, p.random, p.options.Redial, dial, hold)
		})
	})
}

func (p *Peers) dial(ctx context.Context, e *entry) (*link.Conn, error) {
	p.mu.Lock()
	address := e.address
	p.mu.Unlock()
	c, err := link.Dial(ctx, address, p.identity, link.HandlerFunc(p.serve), p.logger)
	if err != nil {
		return nil, err
	}
	if h := c.Peer(); h.Name != e.name || h.Role != role {
		event.LinkMisnamed.Log(p.logger, "want", e.name, "have", h.Name, "role", h.Role)
		c.Close()
		return nil, link.ErrClosed
	}
	return c, nil
}

// Accept serves a link that another entry opens.
func (p *Peers) Accept(ctx *fasthttp.RequestCtx) error {
	opened := func(c *link.Conn) {
		if c.Peer().Role != role || c.Peer().Name == p.name {
			c.Close()
			return
		}
		p.open(c)
		go func() {
			<-c.Done()
			p.closed(c)
		}()
	}
	return link.Accept(ctx, p.identity, link.HandlerFunc(p.serve), opened, p.logger)
}

// open adds a link; a closed one is taken out again by the call of closed that follows.
func (p *Peers) open(c *link.Conn) {
	h := c.Peer()
	p.mu.Lock()
	e := p.entries[h.Name]
	if e == nil {
		e = &entry{name: h.Name}
		p.entries[h.Name] = e
	}
	e.links = append(e.links, c)
	p.signal()
	joined := p.joined
	p.mu.Unlock()
	if joined != nil {
		go supervise.Guard(p.logger, "joined", func() { joined(h.Name) })
	}
	p.noticed(wire.Notice{Rev: h.Rev, Targets: h.Targets})
}

func (p *Peers) closed(c *link.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.entries[c.Peer().Name]
	if e == nil {
		return
	}
	e.links = slices.DeleteFunc(e.links, func(l *link.Conn) bool { return l == c })
	e.broken = time.Now()
	p.signal()
}

// signal wakes all who wait for a link; the caller holds mu.
func (p *Peers) signal() {
	close(p.change)
	p.change = make(chan struct{})
}

// List brings the links in line with the list of instances, of which it uses the entries.
func (p *Peers) List(list []wire.Instance, now time.Time) {
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
			e = &entry{name: i.Name}
			p.entries[i.Name] = e
		}
		e.address = i.Address
		p.run(e)
	}
	for name, e := range p.entries {
		if seen[name] || len(e.links) > 0 || now.Sub(e.broken) <= keepUnlisted {
			continue
		}
		if e.stop != nil {
			e.stop()
		}
		delete(p.entries, name)
	}
}

// all returns one working link to each entry that has one.
func (p *Peers) all() []*link.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var l []*link.Conn
	for _, e := range p.entries {
		if c := e.link(); c != nil {
			l = append(l, c)
		}
	}
	slices.SortFunc(l, func(a, b *link.Conn) int { return strings.Compare(a.Peer().Name, b.Peer().Name) })
	return l
}

// link returns the newest working link, nil if there is none; the caller holds the mu of Peers.
func (e *entry) link() *link.Conn {
	for _, c := range slices.Backward(e.links) {
		select {
		case <-c.Done():
		default:
			return c
		}
	}
	return nil
}

// wait returns a link to an entry, waiting for one until ctx ends. It returns nil then, or if the entry is not known.
func (p *Peers) wait(ctx context.Context, name string) *link.Conn {
	for {
		p.mu.Lock()
		e := p.entries[name]
		var c *link.Conn
		if e != nil {
			c = e.link()
		}
		change := p.change
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

// Forward passes a pull on to the owner of its step and returns the owner's answer, or an *AbsentError if the owner
// shows no sign of life on a fresh link either, or ctx ends.
func (p *Peers) Forward(ctx context.Context, name string, f wire.Forward) (wire.Batch, error) {
	var b wire.Batch
	const tries = 2
	for range tries {
		again, err := p.ask(ctx, name, link.Pull, f, &b)
		if !again {
			return b, err
		}
	}
	return b, &AbsentError{entry: name, cause: "no answer over two links"}
}

// Fetch returns the highest configuration of all peers if one is at or above rev.
func (p *Peers) Fetch(ctx context.Context, rev int64) (wire.Config, bool) {
	var best wire.Config
	gather(ctx, p, link.Fetch, wire.Fetch{Rev: rev}, func(got wire.Config) {
		if got.Rev > best.Rev {
			best = got
		}
	})
	return best, best.Rev > 0 && best.Rev >= rev
}

// Explain returns what another entry knows of a request; false if none that answers knows it.
func (p *Peers) Explain(ctx context.Context, request string) (wire.Trace, bool) {
	var known wire.Trace
	gather(ctx, p, link.Explain, wire.Explain{Request: request}, func(got wire.Trace) {
		if got.State != "" {
			known = got
		}
	})
	return known, known.State != ""
}

// gather asks all linked entries at once and hands each answer to take, one after the other. Entries that do not answer
// within the acknowledgement time are left out.
func gather[T any](ctx context.Context, p *Peers, kind string, body any, take func(T)) {
	ctx, cancel := context.WithTimeout(ctx, p.options.Ack)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, c := range p.all() {
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
			take(got)
		})
	}
	wg.Wait()
}

// Suspect tells all entries of a suspicion.
func (p *Peers) Suspect(s wire.Suspect) { p.broadcast(link.Suspect, s) }

// Announce tells all entries of revisions and weight targets.
func (p *Peers) Announce(n wire.Notice) { p.broadcast(link.Notice, n) }

func (p *Peers) broadcast(kind string, body any) {
	for _, c := range p.all() {
		// An entry that has stopped reading must not delay the others.
		go supervise.Guard(p.logger, kind, func() { _ = c.Notify(kind, body) })
	}
}

// Verdict passes a verdict on to the owner of its step; its error is an *AbsentError.
func (p *Peers) Verdict(name string, v wire.Verdict) error {
	p.mu.Lock()
	var c *link.Conn
	if e := p.entries[name]; e != nil {
		c = e.link()
	}
	p.mu.Unlock()
	if c == nil {
		return &AbsentError{entry: name, cause: "no link"}
	}
	if err := c.Notify(link.Verdict, v); err != nil {
		return &AbsentError{entry: name, cause: err.Error()}
	}
	return nil
}

// Reachable reports whether there is a link to an entry.
func (p *Peers) Reachable(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.entries[name]
	return e != nil && e.link() != nil
}

// serve handles a message of another entry in the link's reading task.
func (p *Peers) serve(c *link.Conn, f link.Frame) error {
	p.mu.Lock()
	h, ctx, more := p.handler, p.ctx, p.more[f.Kind]
	p.mu.Unlock()
	if more != nil && ctx != nil {
		go supervise.Guard(p.logger, f.Kind, func() {
			kind, body, err := more(ctx, f)
			switch {
			case err != nil:
				c.Close()
			case f.ID != 0 && kind != "":
				_ = c.Reply(f, kind, body) // fails only on a closed link, whose caller learns of it there
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
		p.noticed(n)
		return nil
	case link.Fetch:
		return c.Reply(f, link.Config, p.content())
	}
	if h == nil || ctx == nil {
		return nil
	}
	switch f.Kind {
	case link.Pull:
		var m wire.Forward
		if err := f.Decode(&m); err != nil {
			return err
		}
		go supervise.Guard(p.logger, "pull", func() { _ = c.Reply(f, link.Batch, h.Pull(ctx, m)) })
	case link.Verdict:
		var v wire.Verdict
		if err := f.Decode(&v); err != nil {
			return err
		}
		go supervise.Guard(p.logger, "verdict", func() { h.Verdict(v) })
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
