package ingress

import (
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"bulrushspoke/internal/event"
)

// refusalPeriod is the shortest time between two log lines on refused connections.
const refusalPeriod = time.Second

// Bound returns a listener that closes connections beyond most at once: their clients can go to another entry, where those
// left in the queue of the kernel would wait. A bound of 0 is none.
func Bound(l net.Listener, most int, logger *slog.Logger) net.Listener {
	if most <= 0 {
		return l
	}
	return &bounded{Listener: l, most: int64(most), logger: logger}
}

type bounded struct {
	net.Listener
	most   int64
	open   atomic.Int64
	logger *slog.Logger

	// Used by Accept only, which net/http calls from one task.
	refused int
	logged  time.Time
}

// Accept implements net.Listener.
func (b *bounded) Accept() (net.Conn, error) {
	for {
		c, err := b.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if b.open.Add(1) <= b.most {
			return &boundedConn{Conn: c, open: &b.open}, nil
		}
		b.open.Add(-1)
		_ = c.Close() // nothing was read from it
		b.refuse(time.Now())
	}
}

func (b *bounded) refuse(now time.Time) {
	b.refused++
	if now.Sub(b.logged) < refusalPeriod {
		return
	}
	event.ConnectionsRefused.Log(b.logger, "refused", b.refused, "most", b.most)
	b.refused, b.logged = 0, now
}

type boundedConn struct {
	net.Conn
	once sync.Once
	open *atomic.Int64
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
