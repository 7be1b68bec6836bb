package ingress

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"
)

// Guards against clients that use up the file descriptors of the process: a connection over the limit must be closed at once, so
// that its client can try another entry, and closing a connection must free its slot.
func TestBound(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := LimitListener(l, 2, slog.New(slog.DiscardHandler))
	t.Cleanup(func() { _ = b.Close() })
	accepted := make(chan net.Conn, 4)
	go func() {
		for {
			c, err := b.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	dial := func() net.Conn {
		c, err := net.Dial("tcp4", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	closed := func(c net.Conn) bool {
		_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err := c.Read(make([]byte, 1))
		return errors.Is(err, io.EOF)
	}
	dial()
	dial()
	first := <-accepted
	<-accepted
	if !closed(dial()) {
		t.Error("a connection over the limit stays open")
	}
	// Closing a connection twice must free only one slot.
	_ = first.Close()
	_ = first.Close()
	dial()
	select {
	case <-accepted:
	case <-time.After(5 * time.Second):
		t.Fatal("a closed connection has not freed its slot")
	}
	if !closed(dial()) {
		t.Error("closing a connection twice has freed two slots")
	}
}
