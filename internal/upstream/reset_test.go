package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// Guards against requests that the kernel sends again after their caller has given them up, and against requests that are sent though their
// caller may not send them any more.
func TestGivenUpRequests(t *testing.T) {
	l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	target := Target{Address: l.Addr().String()}
	request := Request{Method: http.MethodPost, URI: "/", Host: "h", Body: []byte("{}"), Reset: true}
	p := New(Limits{Dial: time.Second})
	send := func(q Request) error {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := p.Send(ctx, target, q)
		return err
	}
	if err := send(request); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("error %v", err)
	}
	expired := request
	expired.Ready = func() bool { return false }
	var failed *Error
	if err := send(expired); !errors.Is(err, ErrNotReady) || !errors.As(err, &failed) || failed.Sent() {
		t.Fatalf("error %v", err)
	}
	// What has arrived can be read, but the kernel of the sender has given up the rest.
	if err := l.SetDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(c); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection of a request that was given up ends with %v, want a reset", err)
	}
	_ = c.Close()
	if c, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	if b, _ := io.ReadAll(c); len(b) > 0 {
		t.Errorf("the server reads %q", b)
	}
	_ = c.Close()
}
