package peer

import (
	"context"
	"slices"
	"time"

	"bulrushspoke/internal/link"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/wire"
)

// Handle registers the handler of a kind of message. It is called in a new goroutine for each message and returns the kind
// and body of the reply; if it returns an error, the link is closed. Handle must be called before Serve.
func (p *Peers) Handle(kind string, f func(context.Context, link.Frame) (string, any, error)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kindHandlers[kind] = f
}

// OnConnect sets a function that is called in a goroutine of its own for each link that opens. It must be called before Serve.
func (p *Peers) OnConnect(f func(name string)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onConnect = f
}

// Request sends a request to an entry and decodes the body of the reply into answer. Its error is an *UnreachableError if the
// entry cannot be reached or ctx is done.
func (p *Peers) Request(ctx context.Context, name, kind string, body, answer any) error {
	_, err := p.request(ctx, name, kind, body, answer)
	return err
}

// request sends a request over an open link to an entry. It returns true if the link broke, so that a retry over another link
// may succeed.
func (p *Peers) request(ctx context.Context, name, kind string, body, answer any) (retry bool, err error) {
	linkCtx, cancel := context.WithTimeout(ctx, p.options.LinkTimeout)
	c := p.awaitLink(linkCtx, name)
	cancel()
	if c == nil {
		return false, &UnreachableError{entry: name, cause: "no link"}
	}
	// The response may take as long as ctx allows, so a broken link is detected by a check in parallel.
	go supervise.Guard(p.logger, "check", func() { _ = c.Probe(p.options.AckTimeout) })
	r, err := c.Call(ctx, kind, body)
	if err != nil {
		return ctx.Err() == nil, &UnreachableError{entry: name, cause: err.Error()}
	}
	if err := r.Decode(answer); err != nil {
		c.Close()
		return false, &UnreachableError{entry: name, cause: err.Error()}
	}
	return false, nil
}

// Broadcast sends a message to all connected entries without waiting for them.
func (p *Peers) Broadcast(kind string, body any) { p.broadcast(kind, body) }

// Call is like Request, but does not check the link meanwhile. It is for short, regular calls, so that an entry that is slow
// for a moment does not lose its links.
func (p *Peers) Call(ctx context.Context, name, kind string, body, answer any) error {
	p.mu.Lock()
	var c *link.Conn
	if e := p.entries[name]; e != nil {
		c = e.newestLink()
	}
	p.mu.Unlock()
	if c == nil {
		return &UnreachableError{entry: name, cause: "no link"}
	}
	r, err := c.Call(ctx, kind, body)
	if err != nil {
		return &UnreachableError{entry: name, cause: err.Error()}
	}
	if err := r.Decode(answer); err != nil {
		c.Close()
		return &UnreachableError{entry: name, cause: err.Error()}
	}
	return nil
}

// Send sends a message to an entry without waiting for it. Its error is an *UnreachableError.
func (p *Peers) Send(name, kind string, body any) error {
	p.mu.Lock()
	var c *link.Conn
	if e := p.entries[name]; e != nil {
		c = e.newestLink()
	}
	p.mu.Unlock()
	if c == nil {
		return &UnreachableError{entry: name, cause: "no link"}
	}
	if err := c.Notify(kind, body); err != nil {
		return &UnreachableError{entry: name, cause: err.Error()}
	}
	return nil
}

// Running returns the sorted names of the other entries that are presumed to be running: those with an open link, and
// those that lost theirs less than presumedGoneAfter ago.
func (p *Peers) Running(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var names []string
	for name, e := range p.entries {
		if e.newestLink() != nil || now.Sub(e.lostAt) < presumedGoneAfter {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Connected returns the sorted names of the entries with an open link.
func (p *Peers) Connected() []string {
	var names []string
	for _, c := range p.openLinks() {
		names = append(names, c.Peer().Name)
	}
	return names
}

// Share returns which part of the entries that are presumed to be running, from 0 to 1, are this entry and those that it has
// links to.
func (p *Peers) Share(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	connected, running := 1, 1
	for _, e := range p.entries {
		switch {
		case e.newestLink() != nil:
			connected++
			running++
		case now.Sub(e.lostAt) < presumedGoneAfter:
			running++
		}
	}
	return float64(connected) / float64(running)
}

// InDomain returns the hello messages of the connected entries in a failure domain, except those that are shutting down, sorted
// by name.
func (p *Peers) InDomain(domain string) []wire.Hello {
	return p.running(func(h wire.Hello) bool { return h.Domain == domain })
}

// InRegion returns the same of a region.
func (p *Peers) InRegion(region string) []wire.Hello {
	return p.running(func(h wire.Hello) bool { return h.Region == region })
}

// running returns the hello messages of the connected entries that match and are not shutting down.
func (p *Peers) running(matches func(wire.Hello) bool) []wire.Hello {
	var l []wire.Hello
	for _, c := range p.openLinks() {
		if h := c.Peer(); !h.Leaving && matches(h) {
			l = append(l, h)
		}
	}
	return l
}

// Incarnation returns the incarnation of the process at the other end of the newest open link to an entry, or an empty string
// if there is no open link.
func (p *Peers) Incarnation(name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.entries[name]; e != nil {
		if c := e.newestLink(); c != nil {
			return c.Peer().Inc
		}
	}
	return ""
}
