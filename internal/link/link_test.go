package link

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"syscall"
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

// listen starts a listener that acknowledges each work message. It returns its address and the accepted links.
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

// Guards against a reply that is passed to the wrong call, and against a lost hello message.
func TestCallGetsItsOwnReply(t *testing.T) {
	address, opened := listen(t, "s")
	c := open(t, address)
	if diff := cmp.Diff("listener-1", c.Peer().Inc); diff != "" {
		t.Fatalf("incarnation of the peer (-want +got):\n%s", diff)
	}
	for _, id := range []string{"a", "b", "c"} {
		if got := call(t, c, id); got != id {
			t.Fatalf("got the reply for %q, want the one for %q", got, id)
		}
	}
	if got := (<-opened).Peer().Name; got != "dialler" {
		t.Fatalf("listener sees peer %q", got)
	}
}

// Guards against a link to a peer with a different secret.
func TestWrongSecretIsRefused(t *testing.T) {
	address, _ := listen(t, "other")
	h := HandlerFunc(func(*Conn, Frame) error { return nil })
	_, err := Dial(t.Context(), address, identity("dialler", "s"), h, slog.New(slog.DiscardHandler))
	var auth *AuthError
	if !errors.As(err, &auth) {
		t.Fatalf("dial with a wrong secret: got error %v, want an *AuthError", err)
	}
}

// Guards against a dialler without the secret that ignores the listener's proof, sends that proof back as its own and is
// accepted.
func TestListenerRefusesWrongProof(t *testing.T) {
	address, _ := listen(t, "s")
	socket, _, err := (&websocket.Dialer{}).Dial("ws://"+address+Path, nil)
	if err != nil {
		t.Fatalf("dial: %v", err)
	}
	defer func() { _ = socket.Close() }()
	var theirs wire.Proof
	if err := writeMessage(socket, wire.Proof{Name: "x", Nonce: make([]byte, nonceBytes)}); err != nil {
		t.Fatalf("send nonce: %v", err)
	}
	if err := readMessage(socket, &theirs); err != nil {
		t.Fatalf("receive proof of the listener: %v", err)
	}
	_ = writeMessage(socket, wire.Proof{Name: "x", Mac: theirs.Mac})
	_ = writeMessage(socket, wire.Hello{Name: "x", Role: "entry"})
	var hello wire.Hello
	if err := readMessage(socket, &hello); err == nil {
		t.Fatalf("the listener accepted the link and sent its hello as %q", hello.Name)
	}
}

// Guards against a malformed frame that affects links other than the one on which it was received.
func TestMalformedFrameClosesOnlyItsLink(t *testing.T) {
	address, _ := listen(t, "s")
	bad, good := open(t, address), open(t, address)
	if err := bad.socket.WriteMessage(websocket.BinaryMessage, []byte{0xff, 0x00}); err != nil {
		t.Fatalf("write: %v", err)
	}
	select {
	case <-bad.Done():
	case <-time.After(5 * time.Second):
		t.Fatalf("the link with the malformed frame is still open after 5 s")
	}
	if got := call(t, good, "x"); got != "x" {
		t.Fatalf("the other link replies %q, want x", got)
	}
}

// Guards against a link whose connection stays open after the listener has closed it.
func TestListenerCloses(t *testing.T) {
	address, opened := listen(t, "s")
	c := open(t, address)
	(<-opened).Close()
	select {
	case <-c.Done():
	case <-time.After(5 * time.Second):
		t.Fatalf("the dialler's link is still open after 5 s")
	}
}

// Guards against a dialled link whose kernel does not probe the peer, so that a peer that has vanished stays connected.
func TestDialledLinkIsProbed(t *testing.T) {
	address, _ := listen(t, "s")
	c := open(t, address)
	sc, ok := c.socket.NetConn().(syscall.Conn)
	if !ok {
		t.Fatalf("the connection is a %T", c.socket.NetConn())
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var idle int
	var failed error
	if err := raw.Control(func(fd uintptr) {
		idle, failed = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE)
	}); err != nil || failed != nil {
		t.Fatal(err, failed)
	}
	if want := int(tcpKeepAlive.Idle.Seconds()); idle != want {
		t.Errorf("the connection is probed after %d s, want %d", idle, want)
	}
}
