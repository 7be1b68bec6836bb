package ingress

import (
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"bulrushspoke/internal/event"
)

// refusalLogInterval is the minimum interval between log lines about refused connections.
const refusalLogInterval = time.Second

// LimitListener returns a listener that accepts up to a given number of simultaneous connections and closes any others at once, so
// that their clients can try another entry instead of waiting in the kernel's accept queue. Zero means no limit.
func LimitListener(l net.Listener, limit int, logger *slog.Logger) net.Listener {
	if limit <= 0 {
		return l
	}
	return &limitListener{Listener: l, limit: int64(limit), logger: logger}
}

type limitListener struct {
	net.Listener
	limit  int64
	open   atomic.Int64
	logger *slog.Logger

	// Only used by Accept, which net/http calls from a single goroutine.
	refused int
	lastLog time.Time
}

// Accept implements net.Listener.
func (b *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := b.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if b.open.Add(1) <= b.limit {
			return &limitConn{Conn: c, open: &b.open}, nil
		}
		b.open.Add(-1)
		_ = c.Close() // nothing was read from it
		b.logRefused(time.Now())
	}
}

func (b *limitListener) logRefused(now time.Time) {
	b.refused++
	if now.Sub(b.lastLog) < refusalLogInterval {
		return
	}
	event.ConnectionsRefused.Log(b.logger, "refused", b.refused, "most", b.limit)
	b.refused, b.lastLog = 0, now
}

type limitConn struct {
	net.Conn
	once sync.Once
	open *atomic.Int64
}

// Close implements net.Conn.
func (c *limitConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
