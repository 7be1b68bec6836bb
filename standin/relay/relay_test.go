package relay_test

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"bulrushspoke/standin/relay"
	"bulrushspoke/standin/report"
)

// echo starts a server that sends back what it reads, and returns its address.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

func ask(t *testing.T, c net.Conn, limit time.Duration) error {
	t.Helper()
	if _, err := c.Write([]byte("x")); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(limit))
	_, err := c.Read(make([]byte, 1))
	return err
}

// Guards against a silent connection that is closed or still forwards bytes, and against silence of existing
// connections that affects new ones.
func TestSilence(t *testing.T) {
	r := relay.New(echo(t))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx, l) }()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatalf("dial: %v", err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	old := dial()
	if err := ask(t, old, time.Minute); err != nil {
		t.Fatalf("before: %v", err)
	}
	mode := relay.SilentExisting
	r.Control(report.RelayControl{Silent: &mode})
	if err := ask(t, old, 50*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("silent connection: %v", err)
	}
	if err := ask(t, dial(), time.Minute); err != nil {
		t.Fatalf("new connection: %v", err)
	}
	mode = relay.SilentAll
	r.Control(report.RelayControl{Silent: &mode})
	if err := ask(t, dial(), 50*time.Millisecond); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("new connection while all are silent: %v", err)
	}
	r.Control(report.RelayControl{Cut: true})
	_ = old.SetReadDeadline(time.Now().Add(time.Minute))
	if _, err := old.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("cut connection: %v", err)
	}
	cancel()
	if err := <-done; err != nil {
		t.Fatalf("run: %v", err)
	}
}

// Guards against a cut that leaves a connection open, admits new ones or does not end.
func TestRefusing(t *testing.T) {
	r := relay.New(echo(t))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	go func() { _ = r.Run(t.Context(), l) }()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatalf("dial: %v", err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	before := dial()
	if err := ask(t, before, time.Second); err != nil {
		t.Fatal(err)
	}
	r.SetRefusing(true)
	for name, c := range map[string]net.Conn{"existing": before, "new": dial()} {
		if err := ask(t, c, time.Second); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s connection: %v, want it closed", name, err)
		}
	}
	r.SetRefusing(false)
	if err := ask(t, dial(), time.Second); err != nil {
		t.Errorf("connection after the cut: %v", err)
	}
}
