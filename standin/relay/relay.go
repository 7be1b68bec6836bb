// Package relay passes TCP bytes on and injects faults of a link.
//
// # Usage
//
//	r := relay.New("127.0.0.1:7000")
//	go func() { _ = web.Serve(ctx, "127.0.0.1:7501", r) }() // /control and /counts
//	err := r.Run(ctx, listener)
//
// A silent connection stays open and drops every byte of one direction or both.
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
	queueLength = 1024     // delayed reads of one direction
	dialTimeout = 5 * time.Second
)

// Kinds of silence.
const (
	All      = "all"
	Existing = "existing"
	Up       = "up"   // only what goes to the target, of all connections
	Down     = "down" // only what comes from the target, of all connections
)

// Relay connects each connection that it accepts to one address.
type Relay struct {
	to   string
	up   atomic.Int64 // delay to the target in milliseconds
	down atomic.Int64

	mu     sync.Mutex
	pairs  map[*pair]bool
	silent string // kind of silence of new connections, empty for none
	counts report.RelayCounts
}

type pair struct {
	near net.Conn
	far  net.Conn
	up   direction
	down direction
}

// direction is one way of a connection.
type direction struct {
	silent atomic.Bool
}

// silence makes a connection silent; it stays so.
func (p *pair) silence(kind string) {
	if kind == "" {
		return
	}
	if kind != Down {
		p.up.silent.Store(true)
	}
	if kind != Up {
		p.down.silent.Store(true)
	}
}

// New returns a relay to an address.
func New(to string) *Relay {
	return &Relay{to: to, pairs: map[*pair]bool{}}
}

// SetDelay sets the milliseconds that bytes are late.
func (r *Relay) SetDelay(up, down int64) {
	r.up.Store(up)
	r.down.Store(down)
}

// Run accepts connections until the context ends.
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

// Counts returns connections and bytes so far.
func (r *Relay) Counts() report.RelayCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.counts
	c.Open = len(r.pairs)
	return c
}

// Control injects or ends faults.
func (r *Relay) Control(c report.RelayControl) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Silent != nil {
		r.silent = *c.Silent
		if r.silent == Existing {
			r.silent = ""
		}
		for p := range r.pairs {
			p.silence(*c.Silent)
		}
	}
	if c.Up != nil {
		r.up.Store(*c.Up)
	}
	if c.Down != nil {
		r.down.Store(*c.Down)
	}
	if c.Cut {
		for p := range r.pairs {
			p.close()
		}
	}
}

func (p *pair) close() {
	_ = p.near.Close()
	_ = p.far.Close()
}

func (r *Relay) connect(near net.Conn) {
	far, err := net.DialTimeout("tcp", r.to, dialTimeout)
	if err != nil {
		_ = near.Close()
		return
	}
	p := &pair{near: near, far: far}
	r.mu.Lock()
	p.silence(r.silent)
	r.pairs[p] = true
	r.counts.Total++
	r.mu.Unlock()
	var g sync.WaitGroup
	g.Go(func() { r.pump(p, &p.up, near, far, &r.up, &r.counts.Up) })
	g.Go(func() { r.pump(p, &p.down, far, near, &r.down, &r.counts.Down) })
	g.Wait()
	r.mu.Lock()
	delete(r.pairs, p)
	r.mu.Unlock()
}

// late is a read with the time at which it is passed on.
type late struct {
	due  time.Time
	data []byte
}

// pump passes bytes on until one side ends, and then closes both.
func (r *Relay) pump(p *pair, d *direction, from, to net.Conn, delay *atomic.Int64, count *int64) {
	queue := make(chan late, queueLength)
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
			r.add(d, count, int64(n))
			queue <- late{due: time.Now().Add(time.Duration(delay.Load()) * time.Millisecond), data: b[:n]}
		}
		if err != nil {
			break
		}
	}
	close(queue)
	g.Wait()
}

func (r *Relay) add(d *direction, count *int64, n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.silent.Load() {
		r.counts.Silent += n
		return
	}
	*count += n
}
