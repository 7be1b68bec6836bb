// Package repeat simulates a faulty server that sends answers twice.
//
// # Usage
//
//	s := httptest.NewUnstartedServer(handler)
//	s.Listener = repeat.New(s.Listener, func(answer string) bool { return strings.HasPrefix(answer, "HTTP/1.1 500") })
//	s.Start()
//
// The copy of an answer arrives as late as it can be taken for another one: at the beginning of the next request on the
// connection, before that request is handled.
package repeat

import (
	"io"
	"net"
	"sync"
)

// Listener accepts connections on which some answers are sent twice.
type Listener struct {
	net.Listener
	twice func(answer string) bool
}

// New returns a Listener that repeats each write for which twice returns true. A write must hold a whole answer, as it
// does with net/http if the answer is short and is not flushed.
func New(l net.Listener, twice func(answer string) bool) *Listener {
	return &Listener{Listener: l, twice: twice}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, twice: l.twice}, nil
}

type conn struct {
	net.Conn
	twice func(answer string) bool

	mu     sync.Mutex
	copied string
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if answer := string(b); c.twice(answer) {
		c.mu.Lock()
		c.copied = answer
		c.mu.Unlock()
	}
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	answer := c.copied
	c.copied = ""
	c.mu.Unlock()
	if answer != "" {
		if _, writeErr := io.WriteString(c.Conn, answer); writeErr != nil {
			return n, writeErr
		}
	}
	return n, err
}
