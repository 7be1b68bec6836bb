// Package daemon keeps one link to each daemon and runs attempts over them.
//
// # Usage
//
//	p := daemon.New(identity, config, onNotice, options, random, logger)
//	go p.Serve(ctx)
//	p.SetInstances(instances, time.Now())
//	s, err := p.Start(ctx, "willow-3", work)
//	for {
//		e, err := s.Next(ctx)
//		…
//	}
//
// Each daemon has one task that dials it again, with jittered backoff, whenever its link breaks. Every stream that
// Start returns must be read to its end (done, refuse or an error of Next) or cancelled. The reader of a link never
// blocks on a consumer: chunks are buffered in the stream of their attempt, and the buffer is bounded by the attempt's
// token limit.
package daemon

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bulrushspoke/entry/internal/redial"
	"bulrushspoke/internal/link"
	"bulrushspoke/internal/refusal"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/wire"
)

// Candidate is a server that work can be sent to.
type Candidate struct {
	Server  wire.Server
	Daemon  string // name of its daemon
	Inc     string // incarnation of its daemon
	Era     int    // era of its daemon
	Domain  string
	Region  string
	Leaving bool
	Linked  bool
}

// Config provides the configuration revision in force and fetches higher ones.
type Config interface {
	Revision() int64
	// EnsureRevision fetches a revision. It returns once that or a higher one is held, or ctx ends.
	EnsureRevision(ctx context.Context, rev int64)
}

// Options are the timeouts of a pool.
type Options struct {
	Ack    time.Duration // limit for the acknowledgement of a message
	Resume time.Duration // limit for resuming a stream after its link broke
	Redial time.Duration // longest pause between two dials of a daemon
}

const (
	// eraLength is the length of a daemon's eras. A hello states the era at the time it was sent, and claims must not
	// name an era that the daemon no longer keeps, so the present era is computed from the time since the hello.
	eraLength  = 10 * time.Minute
	eraRefresh = time.Minute
	// unlistedRetention is how long a daemon that the instance list omits is still dialled after its link broke; the list
	// lags behind.
	unlistedRetention = time.Minute
)

// Pool maintains the links to all daemons.
type Pool struct {
	identity *link.Identity
	config   Config
	onNotice func(wire.Notice)
	options  Options
	random   redial.Random
	logger   *slog.Logger

	mu       sync.Mutex
	ctx      context.Context // context of Serve, nil before it is called
	tasks    sync.WaitGroup
	peers    map[string]*peer
	streams  map[string]*Stream
	inflight map[string]int // by server
	changes  atomic.Int64
	snapshot atomic.Pointer[snapshot]
}

// snapshot holds the candidates by kind and model as of a value of Pool.changes.
type snapshot struct {
	changes int64
	servers map[string][]Candidate
}

// New returns a pool without daemons. onNotice is called with notices from daemons; it must not block.
func New(
	id *link.Identity, config Config, onNotice func(wire.Notice), o Options, random redial.Random, logger *slog.Logger,
) *Pool {
	return &Pool{
		identity: id,
		config:   config,
		onNotice: onNotice,
		options:  o,
		random:   random,
		logger:   logger,
		peers:    make(map[string]*peer),
		streams:  make(map[string]*Stream),
		inflight: make(map[string]int),
	}
}

// Serve maintains the links until ctx ends and then closes them.
func (p *Pool) Serve(ctx context.Context) error {
	p.mu.Lock()
	p.ctx = ctx
	for _, r := range p.peers {
		p.startPeer(r)
	}
	p.mu.Unlock()
	t := time.NewTicker(eraRefresh)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-t.C:
			p.invalidate()
		case <-ctx.Done():
		}
	}
	p.tasks.Wait()
	return ctx.Err()
}

// startPeer starts the task that dials a daemon; the caller holds mu.
func (p *Pool) startPeer(r *peer) {
	if p.ctx == nil || p.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(p.ctx)
	r.stop = cancel
	p.tasks.Go(func() {
		defer cancel()
		supervise.Guard(p.logger, "daemon "+r.name, func() {
			redial.Run(ctx, p.random, p.options.Redial, r.dial, r.useLink)
		})
	})
}

// SetInstances updates the pool from the list of instances, of which it uses the daemons. A daemon that the list omits is kept
// while its link works; one that is listed as leaving is asked to drain.
func (p *Pool) SetInstances(list []wire.Instance, now time.Time) {
	p.mu.Lock()
	seen := make(map[string]bool, len(list))
	var drains []*peer
	for _, i := range list {
		if i.Role != "daemon" {
			continue
		}
		seen[i.Name] = true
		r := p.peers[i.Name]
		if r == nil {
			r = newPeer(p, i.Name)
			p.peers[i.Name] = r
			p.startPeer(r)
		}
		if r.updateListing(i) {
			drains = append(drains, r)
		}
	}
	for name, r := range p.peers {
		if !seen[name] && r.expired(now) {
			r.stopTask()
			delete(p.peers, name)
		}
	}
	p.mu.Unlock()
	p.invalidate()
	for _, r := range drains {
		r.sendOrQueue(link.Drain, wire.Drain{Reason: "the platform lists the instance as leaving"})
	}
}

// invalidate makes the next call of Candidates build a new snapshot. It must be called after the change of a peer.
func (p *Pool) invalidate() { p.changes.Add(1) }

// Candidates returns the servers of a kind (engine or service) and model sorted by name. The result is shared and must
// not be modified.
func (p *Pool) Candidates(kind, model string) []Candidate {
	s := p.snapshot.Load()
	if s == nil || s.changes != p.changes.Load() {
		s = p.build(time.Now())
	}
	return s.servers[snapshotKey(kind, model)]
}

func snapshotKey(kind, model string) string { return kind + "\x00" + model }

func (p *Pool) build(now time.Time) *snapshot {
	s := &snapshot{changes: p.changes.Load(), servers: make(map[string][]Candidate)}
	for _, r := range p.sortedPeers() {
		for _, c := range r.candidates(now) {
			k := snapshotKey(c.Server.Kind, c.Server.Model)
			s.servers[k] = append(s.servers[k], c)
		}
	}
	for _, l := range s.servers {
		slices.SortFunc(l, func(a, b Candidate) int { return strings.Compare(a.Server.Name, b.Server.Name) })
	}
	p.snapshot.Store(s)
	return s
}

func (p *Pool) peer(name string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peers[name]
}

func (p *Pool) sortedPeers() []*peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := make([]*peer, 0, len(p.peers))
	for _, r := range p.peers {
		l = append(l, r)
	}
	slices.SortFunc(l, func(a, b *peer) int { return strings.Compare(a.name, b.name) })
	return l
}

// Drop tells a daemon that results were received and may be deleted there. Results of the next seconds share one
// message, because a message for each result would cost a daemon of a large fleet about 1 KB/s. While the link is
// broken, the message waits for the next link to the same incarnation.
func (p *Pool) Drop(daemon string, attempts ...string) {
	if r := p.peer(daemon); r != nil && len(attempts) > 0 {
		r.queueDrops(attempts)
	}
}

// Query asks a daemon for the outcome of a non-idempotent request; its error is a *refusal.Error of code outcome_unknown.
func (p *Pool) Query(ctx context.Context, daemon string, a wire.Ask) (wire.Fate, error) {
	var fate wire.Fate
	r := p.peer(daemon)
	if r == nil {
		return fate, unreachable(daemon)
	}
	ctx, cancel := context.WithTimeout(ctx, p.options.Resume)
	defer cancel()
	for ctx.Err() == nil {
		c := r.waitLink(ctx)
		if c == nil {
			break
		}
		f, err := r.call(ctx, c, link.Ask, a)
		if err != nil {
			continue
		}
		if err := f.Decode(&fate); err != nil {
			c.Close()
			break
		}
		return fate, nil
	}
	return fate, unreachable(daemon)
}

func unreachable(daemon string) error {
	return refusal.New(refusal.OutcomeUnknown, refusal.Unknown, "daemon %s does not answer", daemon)
}

// Collect asks all linked daemons for the samples of a step that they hold and returns the replies by daemon name.
// Daemons that do not reply before ctx ends, or within Options.Resume, are left out.
func (p *Pool) Collect(ctx context.Context, c wire.Collect) map[string]wire.HeldSamples {
	ctx, cancel := context.WithTimeout(ctx, p.options.Resume)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	held := make(map[string]wire.HeldSamples)
	for _, r := range p.sortedPeers() {
		conn := r.conn()
		if conn == nil {
			continue
		}
		wg.Go(func() {
			f, err := conn.Call(ctx, link.Collect, c)
			if err != nil {
				return
			}
			var h wire.HeldSamples
			if err := f.Decode(&h); err != nil {
				conn.Close()
				return
			}
			mu.Lock()
			held[r.name] = h
			mu.Unlock()
		})
	}
	wg.Wait()
	return held
}

// Drain asks a daemon to finish its work and leave; its error is a *refusal.Error.
func (p *Pool) Drain(_ context.Context, daemon, reason string) error {
	r := p.peer(daemon)
	if r == nil {
		return refusal.New(refusal.NotFound, refusal.NotRun, "daemon %s is not known", daemon)
	}
	c := r.conn()
	if c == nil {
		return refusal.New(refusal.NoUpstream, refusal.NotRun, "daemon %s has no link", daemon).WithRetryAfter(p.options.Resume)
	}
	if err := c.Notify(link.Drain, wire.Drain{Reason: reason}); err != nil {
		return refusal.New(refusal.NoUpstream, refusal.Unknown, "daemon %s: %s", daemon, err).WithRetryAfter(p.options.Resume)
	}
	r.markDrainRequested()
	return nil
}

// Announce sends a notice of revisions and weight targets to every linked daemon. With weight targets it includes the
// places of the daemon's engines.
func (p *Pool) Announce(n wire.Notice) {
	places := make(map[string][]wire.Place)
	if len(n.Targets) > 0 {
		places = p.places(time.Now())
	}
	for _, r := range p.sortedPeers() {
		c := r.conn()
		if c == nil {
			// The hello of the next link carries the same information.
			continue
		}
		notice := n
		notice.Places = places[r.name]
		// A daemon that does not read must not delay the others.
		go supervise.Guard(p.logger, "announce", func() { _ = c.Notify(link.Notice, notice) })
	}
}

// places returns the places of each daemon's engines: the rank of an engine among those of its model and failure
// domain, by daemon and server name. Servers without a link count, so that a short break changes no rank; those of
// leaving daemons do not.
func (p *Pool) places(now time.Time) map[string][]wire.Place {
	type row struct{ domain, model string }
	sizes := make(map[row]int)
	var engines []Candidate
	for _, r := range p.sortedPeers() {
		for _, c := range r.candidates(now) {
			if c.Server.Kind == "engine" && !c.Leaving {
				engines = append(engines, c)
				sizes[row{c.Domain, c.Server.Model}]++
			}
		}
	}
	ranks := make(map[row]int)
	places := make(map[string][]wire.Place)
	for _, c := range engines {
		k := row{c.Domain, c.Server.Model}
		places[c.Daemon] = append(places[c.Daemon], wire.Place{Server: c.Server.Name, Rank: ranks[k], Servers: sizes[k]})
		ranks[k]++
	}
	return places
}

// Upstreams returns the state of all servers sorted by daemon and server name.
func (p *Pool) Upstreams() []wire.Upstream {
	var l []wire.Upstream
	for _, r := range p.sortedPeers() {
		for _, c := range r.candidates(time.Now()) {
			l = append(l, wire.Upstream{
				Daemon:   c.Daemon,
				Domain:   c.Domain,
				Region:   c.Region,
				Leaving:  c.Leaving,
				Linked:   c.Linked,
				Server:   c.Server,
				Inflight: p.serverInflight(c.Server.Name),
			})
		}
	}
	return l
}

// Linked returns the number of daemons with a working link.
func (p *Pool) Linked() int {
	n := 0
	for _, r := range p.sortedPeers() {
		if r.linked() {
			n++
		}
	}
	return n
}

func (p *Pool) serverInflight(server string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inflight[server]
}

// Inflight returns the number of open streams.
func (p *Pool) Inflight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.streams)
}

func (p *Pool) add(s *Stream) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.streams[s.work.Attempt] = s
	p.inflight[s.work.Server]++
	s.peer.inflight.Add(1)
}

// remove unregisters a stream and reports whether it was registered.
func (p *Pool) remove(s *Stream) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.streams[s.work.Attempt] != s {
		return false
	}
	delete(p.streams, s.work.Attempt)
	p.inflight[s.work.Server]--
	s.peer.inflight.Add(-1)
	if p.inflight[s.work.Server] == 0 {
		delete(p.inflight, s.work.Server)
	}
	return true
}

func (p *Pool) stream(attempt string) *Stream {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.streams[attempt]
}

// streamsOver returns the streams that were last sent over a link and are not being resumed.
func (p *Pool) streamsOver(c *link.Conn) []*Stream {
	p.mu.Lock()
	defer p.mu.Unlock()
	var l []*Stream
	for _, s := range p.streams {
		if s.runsOver(c) {
			l = append(l, s)
		}
	}
	return l
}
