package caller

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// errGone tells that the client has closed its connection.
var errGone = errors.New("caller: the client has gone")

// goneEvery is how often the connection of a waiting client is looked at.
const goneEvery = 250 * time.Millisecond

// watch calls gone once the client has closed its connection. The server does not tell a waiting handler, so the
// socket is looked at without reading from it. The returned function ends the watch. A client that closes only its
// sending side counts as gone.
func watch(c net.Conn, gone func()) func() {
	s := socket(c)
	if s == nil {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		t := time.NewTicker(goneEvery)
		defer t.Stop()
		for {
			select {
			case <-done:
				return
			case <-t.C:
				if closed(s) {
					gone()
					return
				}
			}
		}
	}()
	return sync.OnceFunc(func() { close(done) })
}

// socket returns the socket below a connection, or nil.
func socket(c net.Conn) syscall.RawConn {
	for {
		if s, ok := c.(syscall.Conn); ok {
			raw, err := s.SyscallConn()
			if err != nil {
				return nil
			}
			return raw
		}
		n, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = n.NetConn()
	}
}

// closed reports whether the peer has closed the connection. Bytes of a further request hide a later close.
func closed(s syscall.RawConn) bool {
	over := false
	err := s.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == nil:
			over = n == 0
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		default:
			over = true
		}
	})
	return over || err != nil
}
