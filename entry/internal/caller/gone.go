package caller

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// errClientClosed is the cancellation cause of work whose client has closed its connection.
var errClientClosed = errors.New("caller: the client has gone")

// closeCheckInterval is the interval between checks whether a waiting client has closed its connection.
const closeCheckInterval = 250 * time.Millisecond

// watchClose calls onClose once the client has closed its connection. The HTTP server does not notify a handler that is
// in progress, so the socket is polled without consuming data. The returned function stops polling. A client that shuts
// down only its sending side also counts as closed. Connections without a socket are not watched.
func watchClose(c net.Conn, onClose func()) func() {
	s := rawConn(c)
	if s == nil {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		t := time.NewTicker(closeCheckInterval)
		defer t.Stop()
		for {
			select {
			case <-done:
				return
			case <-t.C:
				if peerClosed(s) {
					onClose()
					return
				}
			}
		}
	}()
	return sync.OnceFunc(func() { close(done) })
}

// rawConn returns the socket that underlies a connection, or nil if there is none.
func rawConn(c net.Conn) syscall.RawConn {
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

// peerClosed reports whether the peer has closed the connection. A close behind unread bytes of a pipelined request is not
// detected.
func peerClosed(s syscall.RawConn) bool {
	closed := false
	err := s.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == nil:
			closed = n == 0
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		default:
			closed = true
		}
	})
	return closed || err != nil
}
