package store

import (
	"errors"
	"log/slog"
	"net"
	"syscall"
	"testing"
	"time"
)

// Guards against a call that waits for the connection longer than its own timeout, as a dialler without one does.
func TestDialKeepsTimeout(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = syscall.Close(fd) }()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}
	// Fills the queue of connections, so that the kernel drops the next one.
	for range 4 {
		c, err := net.DialTimeout("tcp4", address.String(), 100*time.Millisecond)
		if err != nil {
			break
		}
		defer func() { _ = c.Close() }()
	}
	c := New("http://"+address.String(), 300*time.Millisecond, slog.New(slog.DiscardHandler))
	begun := time.Now()
	_, err = c.Get(t.Context(), "kind", "name")
	var down *UnavailableError
	if !errors.As(err, &down) {
		t.Fatalf("got %v, want an *UnavailableError", err)
	}
	if took := time.Since(begun); took > 2*time.Second {
		t.Errorf("the call took %v with a timeout of 300 ms", took)
	}
}
