// Package link carries messages between the processes of bulrushspoke: WebSocket frames with CBOR bodies.
//
// # Usage
//
//	c, err := link.Dial(ctx, "10.0.0.7:7101", identity, handler, logger)
//	reply, err := c.Call(ctx, link.Work, work)
//
// A listener passes an upgraded HTTP request to Accept. Both ends prove that they know the peer secret before the
// first message. Serve of the handler runs in the connection's reading task: it must return quickly, and starts a
// task of its own for work that waits.
package link

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"bulrushspoke/internal/event"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/wire"
)

// Kinds of messages; docs/design.md gives their meaning.
const (
	Hello   = "hello"
	Work    = "work"
	Ack     = "ack"
	Refuse  = "refuse"
	Chunk   = "chunk"
	Done    = "done"
	Drop    = "drop"
	Cancel  = "cancel"
	Ask     = "ask"
	Fate    = "fate"
	Collect = "collect"
	Held    = "held"
	Target  = "target"
	State   = "state"
	Drain   = "drain"
	Notice  = "notice"
	Fetch   = "fetch"
	Config  = "config"
	Pull    = "pull"
	Batch   = "batch"
	Verdict = "verdict"
	Suspect = "suspect"
	Explain = "explain"
	Trace   = "trace"
	Read    = "read"
	Page    = "page"
	End     = "end"
	Adopt   = "adopt"
	Owner   = "owner"
	Replied = "replied"
	Start   = "start"
	Item    = "item"
	Body    = "body"
	Store   = "store"
	Stored  = "stored"
	News    = "news"
	Crash   = "crash"
	Taken   = "taken"
	Ping    = "ping"
	Pong    = "pong"
)

const (
	// maxFrame is the largest frame in bytes; a batch of samples stays below it.
	maxFrame = 4 << 20
	// dataQueue and controlQueue bound the frames that wait for the writer.
	dataQueue    = 64
	controlQueue = 1024
	// writeTimeout ends a link whose peer has stopped reading.
	writeTimeout = 10 * time.Second
	// controlTimeout is how long a control frame may wait for a full queue before the link is closed.
	controlTimeout = 5 * time.Second
	// idleProbe is the pause after which an idle link is probed, and replyTimeout how long the answer may take.
	idleProbe    = time.Minute
	replyTimeout = 5 * time.Second
)

// ErrClosed tells that the link is closed.
var ErrClosed = errors.New("link: closed")

// FormatError tells that a peer sent a frame that is not valid.
type FormatError struct {
	kind  string
	cause string
}

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("link: malformed %s frame: %s", e.kind, e.cause)
}

// Frame is one message.
type Frame struct {
	_    struct{} `cbor:",toarray"`
	Kind string
	ID   uint64
	Re   uint64
	Body cbor.RawMessage
}

// Decode stores the body in target.
func (f Frame) Decode(target any) error {
	if err := cbor.Unmarshal(f.Body, target); err != nil {
		return &FormatError{kind: f.Kind, cause: err.Error()}
	}
	return nil
}

// Handler serves the messages of a link.
type Handler interface {
	// Serve handles one message. An error closes the link; it must not block.
	Serve(c *Conn, f Frame) error
}

// HandlerFunc is a function that serves messages.
type HandlerFunc func(c *Conn, f Frame) error

// Serve implements Handler.
func (h HandlerFunc) Serve(c *Conn, f Frame) error { return h(c, f) }

// Conn is one authenticated link.
type Conn struct {
	socket  *websocket.Conn
	peer    wire.Hello
	handler Handler
	logger  *slog.Logger

	control chan []byte
	data    chan []byte
	done    chan struct{}
	once    sync.Once
	cause   atomic.Value
	last    atomic.Int64
	next    atomic.Uint64
	sent    atomic.Int64
	writer  sync.WaitGroup
	mu      sync.Mutex
	waits   map[uint64]chan Frame
}

// probes ends a link whose peer has gone silent, after about three seconds: the idle probe of the protocol is slower, since
// it costs messages.
var probes = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

func newConn(socket *websocket.Conn, peer wire.Hello, handler Handler, logger *slog.Logger) *Conn {
	c := &Conn{
		socket:  socket,
		peer:    peer,
		handler: handler,
		logger:  logger.With("peer", peer.Name),
		control: make(chan []byte, controlQueue),
		data:    make(chan []byte, dataQueue),
		done:    make(chan struct{}),
		waits:   make(map[uint64]chan Frame),
	}
	c.last.Store(time.Now().UnixNano())
	if t, ok := socket.NetConn().(*net.TCPConn); ok {
		// Without probes a silent peer shows later, at the next message.
		_ = t.SetKeepAliveConfig(probes)
	}
	return c
}

// start runs the tasks of the link.
func (c *Conn) start() {
	event.LinkOpened.Log(c.logger, "inc", c.peer.Inc)
	c.writer.Go(func() { supervise.Guard(c.logger, "link writer", c.write) })
	go supervise.Guard(c.logger, "link probe", c.probe)
}

// Peer returns what the other end said of itself when the link was opened.
func (c *Conn) Peer() wire.Hello { return c.peer }

// Done is closed once the link is closed.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Sent returns the number of bytes written to the link.
func (c *Conn) Sent() int64 { return c.sent.Load() }

// Close closes the link.
func (c *Conn) Close() { c.shut(ErrClosed) }

// CloseSilent closes a link whose peer has not acknowledged a message in time.
func (c *Conn) CloseSilent() {
	select {
	case <-c.done:
		return
	default:
	}
	event.LinkSilent.Log(c.logger)
	c.shut(ErrClosed)
}

func (c *Conn) shut(cause error) {
	c.once.Do(func() {
		c.cause.Store(cause.Error())
		close(c.done)
		// The server closes the connection of a listener's link only after its handler, which a passed deadline ends.
		_ = c.socket.NetConn().SetDeadline(time.Now())
		_ = c.socket.Close()
		event.LinkClosed.Log(c.logger, "cause", cause.Error())
	})
}

// Notify sends a control message ahead of waiting data; it closes the link if the queue stays full.
func (c *Conn) Notify(kind string, body any) error { return c.urge(kind, 0, 0, body) }

// Reply answers the message f with a control message.
func (c *Conn) Reply(f Frame, kind string, body any) error { return c.urge(kind, 0, f.ID, body) }

// Send sends a data message and waits while the queue is full.
func (c *Conn) Send(ctx context.Context, kind string, body any) error {
	b, err := encode(kind, 0, 0, body)
	if err != nil {
		return err
	}
	select {
	case c.data <- b:
		return nil
	case <-c.done:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Call sends a control message and waits for the reply.
func (c *Conn) Call(ctx context.Context, kind string, body any) (Frame, error) {
	id := c.next.Add(1)
	wait := make(chan Frame, 1)
	c.mu.Lock()
	c.waits[id] = wait
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.waits, id)
		c.mu.Unlock()
	}()
	if err := c.urge(kind, id, 0, body); err != nil {
		return Frame{}, err
	}
	select {
	case f := <-wait:
		return f, nil
	case <-c.done:
		return Frame{}, ErrClosed
	case <-ctx.Done():
		return Frame{}, ctx.Err()
	}
}

func encode(kind string, id, re uint64, body any) ([]byte, error) {
	raw, err := cbor.Marshal(body)
	if err != nil {
		return nil, eris.Wrap(err, "link: encode")
	}
	b, err := cbor.Marshal(Frame{Kind: kind, ID: id, Re: re, Body: raw})
	if err != nil {
		return nil, eris.Wrap(err, "link: encode")
	}
	if len(b) > maxFrame {
		return nil, &FormatError{kind: kind, cause: fmt.Sprintf("%d bytes, at most %d", len(b), maxFrame)}
	}
	return b, nil
}

func (c *Conn) urge(kind string, id, re uint64, body any) error {
	b, err := encode(kind, id, re, body)
	if err != nil {
		return err
	}
	select {
	case <-c.done:
		return ErrClosed
	default:
	}
	select {
	case c.control <- b:
		return nil
	default:
	}
	t := time.NewTimer(controlTimeout)
	defer t.Stop()
	select {
	case c.control <- b:
		return nil
	case <-c.done:
		return ErrClosed
	case <-t.C:
		c.shut(eris.New("link: control queue full"))
		return ErrClosed
	}
}

// write is the writing task: control frames go first.
func (c *Conn) write() {
	for {
		select {
		case <-c.done:
			return
		case b := <-c.control:
			c.put(b)
			continue
		default:
		}
		select {
		case b := <-c.control:
			c.put(b)
		case b := <-c.data:
			c.put(b)
		case <-c.done:
			return
		}
	}
}

func (c *Conn) put(b []byte) {
	_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := c.socket.WriteMessage(websocket.BinaryMessage, b); err != nil {
		c.shut(err)
		return
	}
	c.sent.Add(int64(len(b)))
}

// read is the reading task; it returns when the link is closed.
func (c *Conn) read() {
	for {
		_, b, err := c.socket.ReadMessage()
		if err != nil {
			c.shut(err)
			return
		}
		c.last.Store(time.Now().UnixNano())
		var f Frame
		if err := cbor.Unmarshal(b, &f); err != nil {
			c.malformed(&FormatError{kind: "unknown", cause: err.Error()})
			return
		}
		if err := c.serve(f); err != nil {
			c.malformed(err)
			return
		}
	}
}

func (c *Conn) malformed(err error) {
	event.LinkMalformed.Log(c.logger, "cause", err.Error())
	c.shut(err)
}

func (c *Conn) serve(f Frame) error {
	if f.Re != 0 {
		c.mu.Lock()
		wait := c.waits[f.Re]
		delete(c.waits, f.Re)
		c.mu.Unlock()
		if wait != nil {
			wait <- f
		}
		return nil
	}
	if f.Kind == Ping {
		return c.Reply(f, Pong, struct{}{})
	}
	return c.handler.Serve(c, f)
}

// probe sends a message over an idle link and closes it if the peer does not answer.
func (c *Conn) probe() {
	t := time.NewTicker(idleProbe)
	defer t.Stop()
	for {
		select {
		case <-c.done:
			return
		case now := <-t.C:
			if now.Sub(time.Unix(0, c.last.Load())) < idleProbe {
				continue
			}
			if err := c.Check(replyTimeout); err != nil {
				return
			}
		}
	}
}

// Check asks the peer for a sign of life and closes the link if none comes in time.
func (c *Conn) Check(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := c.Call(ctx, Ping, struct{}{})
	if err != nil {
		c.CloseSilent()
	}
	return err
}
