package gate

import (
	"net"
	"sync"
	"time"
)

// concurrencyLimiter limits the requests in flight of each workspace and profile.
type concurrencyLimiter struct {
	mu    sync.Mutex
	count map[string]int
}

// acquire counts a request and returns true, or returns false if limit is reached.
func (p *concurrencyLimiter) acquire(key string, limit int) bool {
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

func (p *concurrencyLimiter) release(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count[key]--
	if p.count[key] == 0 {
		delete(p.count, key)
	}
}

// listener sets a timeout for each write on its connections. The write timeout of fasthttp applies to a whole response and
// would end long streams.
type listener struct {
	net.Listener
	writeTimeout time.Duration
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, writeTimeout: l.writeTimeout}, nil
}

type conn struct {
	net.Conn
	writeTimeout time.Duration
}

// NetConn returns the underlying connection.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
