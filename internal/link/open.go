package link

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"log/slog"
	"net"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"bulrushspoke/internal/event"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/wire"
)

// Path is the HTTP path of the WebSocket endpoint.
const Path = "/link"

const (
	handshakeTimeout = 2 * time.Second
	nonceBytes       = 16
	// maxHeadBytes bounds the head of the answer to the request for an upgrade, in bytes.
	maxHeadBytes = 16 << 10
	// maxHandshakeBytes bounds the size of a frame from a peer that has not authenticated yet.
	maxHandshakeBytes = 4 << 10
)

// Sides of a link. The side is part of the signed data, so that a proof cannot be reflected to the peer that made it.
const (
	sideDial   = "dial"
	sideListen = "listen"
)

// AuthError reports a peer that did not prove that it knows the peer secret.
type AuthError struct {
	peer string
}

// Error implements error.
func (e *AuthError) Error() string {
	return fmt.Sprintf("link: peer %q failed to authenticate", e.peer)
}

// Identity holds the credentials and the hello message of a process.
type Identity struct {
	name   string
	secret []byte
	hello  func() wire.Hello
}

// NewIdentity returns the identity of a process; hello is called for each link.
func NewIdentity(name string, secret []byte, hello func() wire.Hello) *Identity {
	return &Identity{name: name, secret: secret, hello: hello}
}

// Dial opens a link to the listener at address (host and port).
func Dial(ctx context.Context, address string, id *Identity, h Handler, logger *slog.Logger) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	var limited *limitedConn
	d := websocket.Dialer{
		HandshakeTimeout: handshakeTimeout,
		NetDialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			t, ok := c.(*net.TCPConn)
			if !ok {
				_ = c.Close()
				return nil, net.UnknownNetworkError(network)
			}
			limited = &limitedConn{TCPConn: t, left: maxHeadBytes}
			return limited, nil
		},
	}
	socket, resp, err := d.DialContext(ctx, "ws://"+address+Path, nil)
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil, eris.Wrap(err, "link: dial")
	}
	limited.lift()
	c, err := handshake(socket, id, sideDial, h, logger)
	if err != nil {
		_ = socket.Close()
		return nil, err
	}
	c.start()
	go supervise.Guard(c.logger, "link reader", func() {
		defer c.Close()
		c.readLoop()
	})
	return c, nil
}

// HeadError reports an answer whose head exceeds its limit: the process at the address is no peer.
type HeadError struct {
	limit int
}

// Error implements error.
func (e *HeadError) Error() string {
	return fmt.Sprintf("link: the head of the answer has more than %d bytes", e.limit)
}

// limitedConn is a connection from which only a number of bytes can be read until the limit is lifted. It is read by one
// goroutine.
type limitedConn struct {
	*net.TCPConn
	left   int
	lifted bool
}

// Read implements io.Reader.
func (c *limitedConn) Read(b []byte) (int, error) {
	if c.lifted {
		return c.TCPConn.Read(b)
	}
	if c.left <= 0 {
		return 0, &HeadError{limit: maxHeadBytes}
	}
	n, err := c.TCPConn.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, err
}

// lift removes the limit.
func (c *limitedConn) lift() { c.lifted = true }

var upgrader = websocket.FastHTTPUpgrader{
	HandshakeTimeout: handshakeTimeout,
	CheckOrigin:      func(*fasthttp.RequestCtx) bool { return true },
}

// trustee is a connection whose listener exempts it from its limits once the peer has authenticated.
type trustee interface {
	Trust()
}

// Accept upgrades an HTTP request to a link. It calls opened before the first message is served. If the connection has a method
// Trust, it is called once the peer has authenticated.
func Accept(ctx *fasthttp.RequestCtx, id *Identity, h Handler, opened func(*Conn), logger *slog.Logger) error {
	raw := ctx.Conn()
	err := upgrader.Upgrade(ctx, func(socket *websocket.Conn) {
		supervise.Guard(logger, "link", func() {
			defer func() { _ = socket.Close() }()
			c, err := handshake(socket, id, sideListen, h, logger)
			if err != nil {
				event.LinkRefused.Log(logger, "cause", err.Error())
				return
			}
			if t, ok := raw.(trustee); ok {
				t.Trust()
			}
			// The HTTP server reuses the connection's buffers once this function returns.
			defer c.writer.Wait()
			defer c.Close()
			c.start()
			opened(c)
			c.readLoop()
		})
	})
	if err != nil {
		return eris.Wrap(err, "link: upgrade")
	}
	return nil
}

// handshake authenticates both ends and exchanges hello messages, within handshakeTimeout.
func handshake(socket *websocket.Conn, id *Identity, side string, h Handler, logger *slog.Logger) (*Conn, error) {
	socket.SetReadLimit(maxHandshakeBytes)
	deadline := time.Now().Add(handshakeTimeout)
	_ = socket.SetReadDeadline(deadline)
	_ = socket.SetWriteDeadline(deadline)
	if err := authenticate(socket, id, side); err != nil {
		return nil, err
	}
	socket.SetReadLimit(maxFrameBytes)
	if err := writeMessage(socket, id.hello()); err != nil {
		return nil, err
	}
	var hello wire.Hello
	if err := readMessage(socket, &hello); err != nil {
		return nil, err
	}
	_ = socket.SetReadDeadline(time.Time{})
	_ = socket.SetWriteDeadline(time.Time{})
	return newConn(socket, hello, h, logger), nil
}

// authenticate proves the knowledge of the secret to the peer and checks the proof of the peer. The dialler sends a nonce,
// the listener replies with its own nonce and a proof over both, and the dialler then sends its proof.
func authenticate(socket *websocket.Conn, id *Identity, side string) error {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return eris.Wrap(err, "link: generate nonce")
	}
	var theirs wire.Proof
	if side == sideDial {
		if err := writeMessage(socket, wire.Proof{Name: id.name, Nonce: nonce}); err != nil {
			return err
		}
		if err := readMessage(socket, &theirs); err != nil {
			return err
		}
		if !hmac.Equal(theirs.Mac, sign(id.secret, sideListen, theirs.Name, nonce, theirs.Nonce)) {
			return &AuthError{peer: theirs.Name}
		}
		return writeMessage(socket, wire.Proof{Name: id.name, Mac: sign(id.secret, sideDial, id.name, theirs.Nonce, nonce)})
	}
	if err := readMessage(socket, &theirs); err != nil {
		return err
	}
	mac := sign(id.secret, sideListen, id.name, theirs.Nonce, nonce)
	if err := writeMessage(socket, wire.Proof{Name: id.name, Nonce: nonce, Mac: mac}); err != nil {
		return err
	}
	var last wire.Proof
	if err := readMessage(socket, &last); err != nil {
		return err
	}
	if !hmac.Equal(last.Mac, sign(id.secret, sideDial, last.Name, nonce, theirs.Nonce)) {
		return &AuthError{peer: last.Name}
	}
	return nil
}

// sign returns the proof of one side: an HMAC-SHA-256 over the side, the name, the nonce received from the peer and its
// own nonce.
func sign(secret []byte, side, name string, given, own []byte) []byte {
	m := hmac.New(sha256.New, secret)
	for _, part := range [][]byte{[]byte(side), []byte(name), given, own} {
		_, _ = fmt.Fprintf(m, "%d:", len(part))
		_, _ = m.Write(part)
	}
	return m.Sum(nil)
}

func writeMessage(socket *websocket.Conn, v any) error {
	b, err := cbor.Marshal(v)
	if err != nil {
		return eris.Wrap(err, "link: handshake")
	}
	if err := socket.WriteMessage(websocket.BinaryMessage, b); err != nil {
		return eris.Wrap(err, "link: handshake")
	}
	return nil
}

func readMessage(socket *websocket.Conn, v any) error {
	_, b, err := socket.ReadMessage()
	if err != nil {
		return eris.Wrap(err, "link: handshake")
	}
	if err := cbor.Unmarshal(b, v); err != nil {
		return &FormatError{kind: "handshake", cause: err.Error()}
	}
	return nil
}
