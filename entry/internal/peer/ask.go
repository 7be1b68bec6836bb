package peer

import (
	"context"

	"bulrushspoke/internal/link"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/wire"
)

// Handle names the function that answers messages of a kind, each in a task of its own. It returns the kind and body of
// the reply; an error closes the link. It must be called before Serve.
func (p *Peers) Handle(kind string, f func(context.Context, link.Frame) (string, any, error)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.more[kind] = f
}

// OnJoin names the function that is told of each link that opens, in a task of its own. It must be called before Serve.
func (p *Peers) OnJoin(f func(name string)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.joined = f
}

// Ask sends a message to an entry and stores the body of the reply in answer. Its error is an *AbsentError if the entry
// shows no sign of life, or ctx ends.
func (p *Peers) Ask(ctx context.Context, name, kind string, body, answer any) error {
	_, err := p.ask(ctx, name, kind, body, answer)
	return err
}

// ask sends a message over the present link to an entry. It returns true if the link broke, so that another one may
// bring an answer.
func (p *Peers) ask(ctx context.Context, name, kind string, body, answer any) (again bool, err error) {
	short, cancel := context.WithTimeout(ctx, p.options.Resume)
	c := p.wait(short, name)
	cancel()
	if c == nil {
		return false, &AbsentError{entry: name, cause: "no link"}
	}
	// The answer may take as long as the caller is ready to wait, so the link itself is checked beside it.
	go supervise.Guard(p.logger, "check", func() { _ = c.Check(p.options.Ack) })
	r, err := c.Call(ctx, kind, body)
	if err != nil {
		return ctx.Err() == nil, &AbsentError{entry: name, cause: err.Error()}
	}
	if err := r.Decode(answer); err != nil {
		c.Close()
		return false, &AbsentError{entry: name, cause: err.Error()}
	}
	return false, nil
}

// Tell sends a message to all linked entries without waiting.
func (p *Peers) Tell(kind string, body any) { p.broadcast(kind, body) }

// Linked returns the names of the entries that have a working link, in order.
func (p *Peers) Linked() []string {
	var names []string
	for _, c := range p.all() {
		names = append(names, c.Peer().Name)
	}
	return names
}

// Near returns what the linked entries in a failure domain that are not about to leave say of themselves, in order of
// their names.
func (p *Peers) Near(domain string) []wire.Hello {
	var l []wire.Hello
	for _, c := range p.all() {
		if h := c.Peer(); h.Domain == domain && !h.Leaving {
			l = append(l, h)
		}
	}
	return l
}

// Incarnation returns the incarnation of the process behind the newest link to an entry; empty if there is none.
func (p *Peers) Incarnation(name string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.entries[name]; e != nil {
		if c := e.link(); c != nil {
			return c.Peer().Inc
		}
	}
	return ""
}
