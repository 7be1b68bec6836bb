package cli

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"bulrushspoke/internal/budget"
	"bulrushspoke/internal/meter"
)

// Fractions of the instance's memory that clients and servers may make the process hold. Together they exceed memoryShare, which
// bounds what is used at the same time.
const (
	// memoryShare is the part of the instance's memory that the accounts may use at the same time. It leaves a fifth to the
	// process itself, below the soft memory limit of 0.7 at which the runtime collects garbage as often as necessary.
	memoryShare     = 0.5
	bodyShare       = 0.15 // request bodies
	jobShare        = 0.15 // decoded jobs
	connectionShare = 0.1  // connections of clients
	headShare       = 0.05 // request heads beyond the ordinary size
	answerShare     = 0.05 // answers that wait for their clients
)

const (
	// defaultHeadBytes is the limit on heads while the configuration sets none; servers commonly take 8 or 16 KB.
	defaultHeadBytes = 64 << 10
	// maxHeadBytes is the fixed limit of net/http on heads, the second barrier. Larger limits of a configuration are cut to it.
	maxHeadBytes = 128 << 10
	// linkConns, readinessConns and metricsConns bound the unauthenticated connections of these ports. Other entries need
	// one for the moment of a handshake, a load balancer and a collector of metrics a few; the rest is for those that a flood
	// opens beside them, as each may stay for 50 ms. Together they take less than 4 MB, and most of the descriptors that
	// clients and servers leave on the smallest instance, 287 of 3,075. They are not part of the account of connections,
	// which clients can use up.
	linkConns      = 96
	readinessConns = 64
	metricsConns   = 16
	// probeTime is how long a probe has for its request on a port that others crowd; probes come from the same domain, whose
	// round trips take 0.9 ms.
	probeTime = 10 * time.Millisecond
	// fastWriteTimeout is how long a probe or a collector of metrics may take for its answer.
	fastWriteTimeout = 10 * time.Second
	// stalledInterval is the minimum time between two searches for connections whose clients take no answers.
	stalledInterval = time.Second
)

// memory is the budget of the process.
type memory struct {
	budget      *budget.Budget
	bodies      *budget.Account
	jobs        *budget.Account
	connections *budget.Account
	heads       *budget.Account
	answers     *budget.Account
	counts      map[string]*budget.Counts // by port

	mu       sync.Mutex
	searched time.Time // when stalled connections were last searched for
}

func newMemory(instance int64) *memory {
	part := func(share float64) int64 { return int64(share * float64(instance)) }
	b := budget.New(part(memoryShare))
	return &memory{
		budget:      b,
		bodies:      b.Account("bodies", part(bodyShare)),
		jobs:        b.Account("jobs", part(jobShare)),
		connections: b.Account("connections", part(connectionShare)),
		heads:       b.Account("heads", part(headShare)),
		answers:     b.Account("answers", part(answerShare)),
		counts:      map[string]*budget.Counts{"ingress": {}, "links": {}, "readiness": {}, "metrics": {}},
	}
}

// register exports the use of each account and the refusals by cause.
func (y *memory) register(m *meter.Meter) {
	for _, a := range y.budget.Accounts() {
		m.Gauge("memory_reserved_"+a.Name(), "Bytes reserved for "+a.Name()+".", func() float64 { return float64(a.Used()) })
		m.Gauge("memory_refused_"+a.Name(), "Reservations for "+a.Name()+" that were refused.",
			func() float64 { return float64(a.Refused()) })
	}
	for port, c := range y.counts {
		m.Gauge("connections_refused_"+port, "Connections of the port that were refused, or closed in favour of others.",
			func() float64 { return float64(c.Connections.Load()) })
	}
	m.Gauge("heads_refused", "Request heads refused before they were decoded.",
		func() float64 { return float64(y.counts["ingress"].Heads.Load()) })
}

// due reports whether stalled connections are to be searched for.
func (y *memory) due(now time.Time) bool {
	y.mu.Lock()
	defer y.mu.Unlock()
	if now.Sub(y.searched) < stalledInterval {
		return false
	}
	y.searched = now
	return true
}

// clientListener bounds the connections and heads of the clients' port.
func (p *platformEntry) clientListener(l net.Listener) *budget.Listener {
	return budget.Listen(l, budget.ListenerOptions{
		Name:        "ingress",
		Most:        connectionLimit(p.settings.MaxDescriptors, clientConnShare),
		Connections: p.memory.connections,
		Heads:       p.memory.heads,
		HeadLimits:  p.headLimits,
		IdleLimit:   p.idleLimit,
		Counts:      p.memory.counts["ingress"],
		Logger:      p.logger,
	})
}

// headLimits returns the limits that the configuration sets now.
func (p *platformEntry) headLimits() budget.HeadLimits {
	n := defaultHeadBytes
	if c := p.catalog.Config(); c != nil && c.Limits.MaxHeaderBytes > 0 {
		n = c.Limits.MaxHeaderBytes
	}
	return budget.HeadLimits{Bytes: min(n, maxHeadBytes)}
}

// idleLimit returns how long clients may keep a connection between two requests according to the configuration.
func (p *platformEntry) idleLimit() time.Duration {
	if c := p.catalog.Config(); c != nil && c.Limits.IdleTimeout > 0 {
		return c.Limits.IdleTimeout
	}
	return clientIdleTimeout
}

// closeStalled closes the connections of clients that take none of their answers.
func (p *platformEntry) closeStalled() {
	if l, now := p.clients.Load(), time.Now(); l != nil && p.memory.due(now) {
		l.CloseStalled(now)
	}
}

// serveFast adds a task that serves an address with a bound on its unauthenticated connections.
func (p *platformEntry) serveFast(name, address string, most int, silent time.Duration, h fasthttp.RequestHandler) {
	p.listen(name, address, func(l net.Listener) error {
		return p.newFastServer(h).Serve(budget.Listen(l, budget.ListenerOptions{
			Name: name, Most: most, SilentLimit: silent, Counts: p.memory.counts[name], Logger: p.logger,
		}))
	})
}
