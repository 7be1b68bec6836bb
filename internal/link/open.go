package link

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"log/slog"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"bulrushspoke/internal/event"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/wire"
)

// Path is the HTTP path that links are opened on.
const Path = "/link"

const (
	handshakeTimeout = 2 * time.Second
	nonceSize        = 16
	// handshakeFrame bounds what a peer may send before it has proved itself, in bytes.
	handshakeFrame = 4 << 10
)

// Sides of a link, part of what each end signs so that a proof cannot be sent back to its maker.
const (
	sideDial   = "dial"
	sideListen = "listen"
)

// AuthError tells that a peer did not prove that it knows the peer secret.
type AuthError struct {
	peer string
}

// Error implements error.
func (e *AuthError) Error() string {
	return fmt.Sprintf("link: peer %q failed to authenticate", e.peer)
}

// Identity is what a process proves and tells of itself when a link opens.
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
	d := websocket.Dialer{HandshakeTimeout: handshakeTimeout}
	socket, resp, err := d.DialContext(ctx, "ws://"+address+Path, nil)
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil, eris.Wrap(err, "link: dial")
	}
	c, err := greet(socket, id, sideDial, h, logger)
	if err != nil {
		_ = socket.Close()
		return nil, err
	}
	c.start()
	go supervise.Guard(c.logger, "link reader", func() {
		defer c.Close()
		c.read()
	})
	return c, nil
}

var upgrader = websocket.FastHTTPUpgrader{
	HandshakeTimeout: handshakeTimeout,
	CheckOrigin:      func(*fasthttp.RequestCtx) bool { return true },
}

// Accept upgrades an HTTP request to a link; opened is told of the link before its first message is served.
func Accept(ctx *fasthttp.RequestCtx, id *Identity, h Handler, opened func(*Conn), logger *slog.Logger) error {
	err := upgrader.Upgrade(ctx, func(socket *websocket.Conn) {
		supervise.Guard(logger, "link", func() {
			defer func() { _ = socket.Close() }()
			c, err := greet(socket, id, sideListen, h, logger)
			if err != nil {
				event.LinkRefused.Log(logger, "cause", err.Error())
				return
			}
			// The server uses the connection's buffers again once this function returns.
			defer c.writer.Wait()
			defer c.Close()
			c.start()
			opened(c)
			c.read()
		})
	})
	if err != nil {
		return eris.Wrap(err, "link: upgrade")
	}
	return nil
}

// greet authenticates both ends and exchanges hello messages.
func greet(socket *websocket.Conn, id *Identity, side string, h Handler, logger *slog.Logger) (*Conn, error) {
	socket.SetReadLimit(handshakeFrame)
	deadline := time.Now().Add(handshakeTimeout)
	_ = socket.SetReadDeadline(deadline)
	_ = socket.SetWriteDeadline(deadline)
	if err := prove(socket, id, side); err != nil {
		return nil, err
	}
	socket.SetReadLimit(maxFrame)
	if err := put(socket, id.hello()); err != nil {
		return nil, err
	}
	var hello wire.Hello
	if err := get(socket, &hello); err != nil {
		return nil, err
	}
	_ = socket.SetReadDeadline(time.Time{})
	_ = socket.SetWriteDeadline(time.Time{})
	return newConn(socket, hello, h, logger), nil
}

func prove(socket *websocket.Conn, id *Identity, side string) error {
	nonce := make([]byte, nonceSize)
	if _, err := rand.Read(nonce); err != nil {
		return eris.Wrap(err, "link: nonce")
	}
	var theirs wire.Proof
	if side == sideDial {
		if err := put(socket, wire.Proof{Name: id.name, Nonce: nonce}); err != nil {
			return err
		}
		if err := get(socket, &theirs); err != nil {
			return err
		}
		if !hmac.Equal(theirs.Mac, sign(id.secret, sideListen, theirs.Name, nonce, theirs.Nonce)) {
			return &AuthError{peer: theirs.Name}
		}
		return put(socket, wire.Proof{Name: id.name, Mac: sign(id.secret, sideDial, id.name, theirs.Nonce, nonce)})
	}
	if err := get(socket, &theirs); err != nil {
		return err
	}
	mac := sign(id.secret, sideListen, id.name, theirs.Nonce, nonce)
	if err := put(socket, wire.Proof{Name: id.name, Nonce: nonce, Mac: mac}); err != nil {
		return err
	}
	var last wire.Proof
	if err := get(socket, &last); err != nil {
		return err
	}
	if !hmac.Equal(last.Mac, sign(id.secret, sideDial, last.Name, nonce, theirs.Nonce)) {
		return &AuthError{peer: last.Name}
	}
	return nil
}

// sign returns the proof of one side over the nonce that it was given and its own.
func sign(secret []byte, side, name string, given, own []byte) []byte {
	m := hmac.New(sha256.New, secret)
	for _, part := range [][]byte{[]byte(side), []byte(name), given, own} {
		_, _ = fmt.Fprintf(m, "%d:", len(part))
		_, _ = m.Write(part)
	}
	return m.Sum(nil)
}

func put(socket *websocket.Conn, v any) error {
	b, err := cbor.Marshal(v)
	if err != nil {
		return eris.Wrap(err, "link: handshake")
	}
	if err := socket.WriteMessage(websocket.BinaryMessage, b); err != nil {
		return eris.Wrap(err, "link: handshake")
	}
	return nil
}

func get(socket *websocket.Conn, v any) error {
	_, b, err := socket.ReadMessage()
	if err != nil {
		return eris.Wrap(err, "link: handshake")
	}
	if err := cbor.Unmarshal(b, v); err != nil {
		return &FormatError{kind: "handshake", cause: err.Error()}
	}
	return nil
}
