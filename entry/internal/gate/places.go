package gate

import (
	"net"
	"sync"
	"time"
)

// places counts the requests in flight of each workspace and profile.
type places struct {
	mu    sync.Mutex
	count map[string]int
}

// take reserves a place and reports whether there was one below limit.
func (p *places) take(key string, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.count == nil {
		p.count = make(map[string]int)
	}
	if p.count[key] >= limit {
		return false
	}
	p.count[key]++
	return true
}

func (p *places) give(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count[key]--
	if p.count[key] == 0 {
		delete(p.count, key)
	}
}

// listener bounds each write of its connections. The server's own write timeout would cut long streams.
type listener struct {
	net.Listener
	write time.Duration
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, write: l.write}, nil
}

type conn struct {
	net.Conn
	write time.Duration
}

// NetConn returns the connection below.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.write)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
