// Package relay is a TCP proxy that injects link faults.
//
// # Usage
//
//	r := relay.New("127.0.0.1:7000")
//	go func() { _ = web.Serve(ctx, "127.0.0.1:7501", r) }() // /control and /counts
//	err := r.Run(ctx, listener)
//
// A silent connection stays open, but the bytes of one or both directions are dropped.
package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bulrushspoke/standin/internal/web"
	"bulrushspoke/standin/report"
)

const (
	bufferSize  = 32 << 10 // bytes of one read
	queueLength = 1024     // limit on the reads of one direction that are delayed at the same time
	dialTimeout = 5 * time.Second
)

// Kinds of silence. A connection that has become silent stays so until it is closed.
const (
	SilentAll      = "all"      // both directions of existing and new connections
	SilentExisting = "existing" // both directions of existing connections
	SilentUp       = "up"       // bytes to the target, of existing and new connections
	SilentDown     = "down"     // bytes from the target, of existing and new connections
)

// Relay forwards each connection that it accepts to one address.
type Relay struct {
	target    string
	upDelay   atomic.Int64 // delay of bytes to the target in milliseconds
	downDelay atomic.Int64

	mu          sync.Mutex
	connections map[*connection]bool
	silent      string // kind of silence of new connections, empty for none
	refusing    bool   // new connections are closed
	counts      report.RelayCounts
}

type connection struct {
	client net.Conn
	server net.Conn
	up     direction
	down   direction
}

// direction is one direction of a connection.
type direction struct {
	silent atomic.Bool
}

// setSilent makes a connection silent until it is closed; an empty kind changes nothing.
func (p *connection) setSilent(kind string) {
	if kind == "" {
		return
	}
	if kind != SilentDown {
		p.up.silent.Store(true)
	}
	if kind != SilentUp {
		p.down.silent.Store(true)
	}
}

// New returns a relay that forwards connections to an address.
func New(to string) *Relay {
	return &Relay{target: to, connections: map[*connection]bool{}}
}

// SetDelay sets the delays of bytes to and from the target, in milliseconds.
func (r *Relay) SetDelay(up, down int64) {
	r.upDelay.Store(up)
	r.downDelay.Store(down)
}

// SetRefusing closes all connections, and each new one until it is called with false.
func (r *Relay) SetRefusing(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusing = on
	for p := range r.connections {
		if on {
			p.close()
		}
	}
}

// Run accepts connections until the context ends, then closes all of them.
func (r *Relay) Run(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		_ = l.Close()
		r.Control(report.RelayControl{Cut: true})
	})
	defer stop()
	for {
		c, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		go r.connect(c)
	}
}

// ServeHTTP serves /control and /counts.
func (r *Relay) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/control":
		var c report.RelayControl
		if web.ReadJSON(w, q, &c) {
			r.Control(c)
			w.WriteHeader(http.StatusNoContent)
		}
	case "/counts":
		web.WriteJSON(w, http.StatusOK, r.Counts())
	default:
		http.NotFound(w, q)
	}
}

// Counts returns the counters of connections and bytes.
func (r *Relay) Counts() report.RelayCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.counts
	c.Open = len(r.connections)
	return c
}

// Control injects or ends faults.
func (r *Relay) Control(c report.RelayControl) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Silent != nil {
		r.silent = *c.Silent
		if r.silent == SilentExisting {
			r.silent = ""
		}
		for p := range r.connections {
			p.setSilent(*c.Silent)
		}
	}
	if c.Up != nil {
		r.upDelay.Store(*c.Up)
	}
	if c.Down != nil {
		r.downDelay.Store(*c.Down)
	}
	if c.Cut {
		for p := range r.connections {
			p.close()
		}
	}
}

func (p *connection) close() {
	_ = p.client.Close()
	_ = p.server.Close()
}

func (r *Relay) connect(client net.Conn) {
	server, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		_ = client.Close()
		return
	}
	p := &connection{client: client, server: server}
	r.mu.Lock()
	p.setSilent(r.silent)
	if r.refusing {
		p.close() // both directions end at once
	}
	r.connections[p] = true
	r.counts.Total++
	r.mu.Unlock()
	var g sync.WaitGroup
	g.Go(func() { r.forward(p, &p.up, client, server, &r.upDelay, &r.counts.Up) })
	g.Go(func() { r.forward(p, &p.down, server, client, &r.downDelay, &r.counts.Down) })
	g.Wait()
	r.mu.Lock()
	delete(r.connections, p)
	r.mu.Unlock()
}

// delayedData is the data of one read with the time at which it is sent.
type delayedData struct {
	due  time.Time
	data []byte
}

// forward forwards the bytes of one direction until a read fails or the sender closes. It then closes both sides,
// unless the direction is silent.
func (r *Relay) forward(p *connection, d *direction, from, to net.Conn, delay *atomic.Int64, count *int64) {
	queue := make(chan delayedData, queueLength)
	var g sync.WaitGroup
	g.Go(func() {
		for b := range queue {
			time.Sleep(time.Until(b.due))
			if d.silent.Load() {
				continue
			}
			if _, err := to.Write(b.data); err != nil {
				p.close()
			}
		}
		if !d.silent.Load() {
			p.close()
		}
	})
	for {
		b := make([]byte, bufferSize)
		n, err := from.Read(b)
		if n > 0 {
			r.countBytes(d, count, int64(n))
			queue <- delayedData{due: time.Now().Add(time.Duration(delay.Load()) * time.Millisecond), data: b[:n]}
		}
		if err != nil {
			break
		}
	}
	close(queue)
	g.Wait()
}

func (r *Relay) countBytes(d *direction, count *int64, n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.silent.Load() {
		r.counts.Silent += n
		return
	}
	*count += n
}
