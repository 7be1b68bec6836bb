package link

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"bulrushspoke/wire"
)

func identity(name, secret string) *Identity {
	return NewIdentity(name, []byte(secret), func() wire.Hello { return wire.Hello{Name: name, Inc: name + "-1"} })
}

// listen starts a listener that acknowledges each work message and returns its address and the links it accepts.
func listen(t *testing.T, secret string) (string, chan *Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	opened := make(chan *Conn, 8)
	h := HandlerFunc(func(c *Conn, f Frame) error {
		var w wire.Work
		if err := f.Decode(&w); err != nil {
			return err
		}
		return c.Reply(f, Ack, wire.Ack{State: w.Attempt})
	})
	s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		_ = Accept(ctx, identity("listener", secret), h, func(c *Conn) { opened <- c }, slog.New(slog.DiscardHandler))
	}}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String(), opened
}

func open(t *testing.T, address string) *Conn {
	t.Helper()
	h := HandlerFunc(func(*Conn, Frame) error { return nil })
	c, err := Dial(t.Context(), address, identity("dialler", "s"), h, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatalf("dial: %v", err)
	}
	t.Cleanup(c.Close)
	return c
}

func call(t *testing.T, c *Conn, attempt string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	f, err := c.Call(ctx, Work, wire.Work{Attempt: attempt})
	if err != nil {
		t.Fatalf("call: %v", err)
	}
	var a wire.Ack
	if err := f.Decode(&a); err != nil {
		t.Fatalf("decode: %v", err)
	}
	return a.State
}

// Guards against replies that reach another call, and against a hello that is lost.
func TestCallGetsItsOwnReply(t *testing.T) {
	address, opened := listen(t, "s")
	c := open(t, address)
	if diff := cmp.Diff("listener-1", c.Peer().Inc); diff != "" {
		t.Fatalf("peer: %s", diff)
	}
	for _, id := range []string{"a", "b", "c"} {
		if got := call(t, c, id); got != id {
			t.Fatalf("reply for %q, want %q", got, id)
		}
	}
	if got := (<-opened).Peer().Name; got != "dialler" {
		t.Fatalf("listener sees peer %q", got)
	}
}

// Guards against a peer with another secret that opens a link.
func TestWrongSecretIsRefused(t *testing.T) {
	address, _ := listen(t, "other")
	h := HandlerFunc(func(*Conn, Frame) error { return nil })
	_, err := Dial(t.Context(), address, identity("dialler", "s"), h, slog.New(slog.DiscardHandler))
	var auth *AuthError
	if !errors.As(err, &auth) {
		t.Fatalf("dial with a wrong secret: %v, want AuthError", err)
	}
}

// Guards against a dialler without the secret that does not care for the listener's proof and gets an answer.
func TestListenerRefusesWrongProof(t *testing.T) {
	address, _ := listen(t, "s")
	socket, _, err := (&websocket.Dialer{}).Dial("ws://"+address+Path, nil)
	if err != nil {
		t.Fatalf("dial: %v", err)
	}
	defer func() { _ = socket.Close() }()
	var theirs wire.Proof
	if err := put(socket, wire.Proof{Name: "x", Nonce: make([]byte, nonceSize)}); err != nil {
		t.Fatalf("nonce: %v", err)
	}
	if err := get(socket, &theirs); err != nil {
		t.Fatalf("proof of the listener: %v", err)
	}
	_ = put(socket, wire.Proof{Name: "x", Mac: theirs.Mac})
	_ = put(socket, wire.Hello{Name: "x", Role: "entry"})
	var hello wire.Hello
	if err := get(socket, &hello); err == nil {
		t.Fatalf("the listener answered %q", hello.Name)
	}
}

// Guards against a malformed frame that harms other links.
func TestMalformedFrameClosesOnlyItsLink(t *testing.T) {
	address, _ := listen(t, "s")
	bad, good := open(t, address), open(t, address)
	if err := bad.socket.WriteMessage(websocket.BinaryMessage, []byte{0xff, 0x00}); err != nil {
		t.Fatalf("write: %v", err)
	}
	select {
	case <-bad.Done():
	case <-time.After(5 * time.Second):
		t.Fatalf("the link with a malformed frame stays open")
	}
	if got := call(t, good, "x"); got != "x" {
		t.Fatalf("the other link answers %q", got)
	}
}

// Guards against a listener whose close leaves the connection open.
func TestListenerCloses(t *testing.T) {
	address, opened := listen(t, "s")
	c := open(t, address)
	(<-opened).Close()
	select {
	case <-c.Done():
	case <-time.After(5 * time.Second):
		t.Fatalf("the dialler's link stays open")
	}
}
