// Package link implements the authenticated connections between bulrushspoke processes. Messages are CBOR in binary
// WebSocket frames.
//
// # Usage
//
//	c, err := link.Dial(ctx, "10.0.0.7:7101", identity, handler, logger)
//	reply, err := c.Call(ctx, link.Work, work)
//	err = reply.Decode(&ack)
//
// A server passes an HTTP upgrade request to Accept. Both ends prove that they know the peer secret before the first
// message is sent. Handler.Serve runs in the goroutine that reads from the connection, so it must return quickly and start
// a goroutine for work that waits.
//
// Control messages (Notify, Reply, Call) are sent before queued data messages (Send). Calls on a closed link return
// ErrClosed; a message that cannot be decoded or is too large is a *FormatError, and a peer that fails to authenticate
// an *AuthError.
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
	Trial   = "trial"
	Granted = "granted"
	Taken   = "taken"
	Limits  = "limits"
	Shares  = "shares"
	Seat    = "seat"
	Counts  = "counts"
	Counted = "counted"
	Gather  = "gather"
	Clock   = "clock"
	Reading = "reading"
	Ping    = "ping"
	Pong    = "pong"
)

const (
	// maxFrameBytes bounds the size of a frame; a batch of samples stays below it.
	maxFrameBytes = 4 << 20
	// dataQueue and controlQueue are the capacities, in frames, of the queues to the writer.
	dataQueue    = 64
	controlQueue = 1024
	// writeTimeout closes a link whose peer has stopped reading.
	writeTimeout = 10 * time.Second
	// controlQueueTimeout is how long the control queue may stay full before the link is closed.
	controlQueueTimeout = 5 * time.Second
	// A link on which nothing was received for probeInterval is probed, and closed if there is no reply within
	// probeTimeout.
	probeInterval = time.Minute
	probeTimeout  = 5 * time.Second
)

// ErrClosed is returned by operations on a closed link.
var ErrClosed = errors.New("link: closed")

// FormatError reports a frame that cannot be decoded or exceeds the size limit.
type FormatError struct {
	kind  string
	cause string
}

// Error implements error.
func (e *FormatError) Error() string {
	return fmt.Sprintf("link: malformed %s frame: %s", e.kind, e.cause)
}

// Frame is one message, encoded as a CBOR array in the order of the fields.
type Frame struct {
	_    struct{} `cbor:",toarray"`
	Kind string
	ID   uint64 // set if a reply is expected, else 0
	Re   uint64 // ID of the message that this one replies to, or 0
	Body cbor.RawMessage
}

// Decode decodes the body into target. Its error is a *FormatError.
func (f Frame) Decode(target any) error {
	if err := cbor.Unmarshal(f.Body, target); err != nil {
		return &FormatError{kind: f.Kind, cause: err.Error()}
	}
	return nil
}

// Handler serves the messages of a link.
type Handler interface {
	// Serve handles one message that is not a reply. It must not block. An error closes the link.
	Serve(c *Conn, f Frame) error
}

// HandlerFunc is an adapter that lets a function serve as a Handler.
type HandlerFunc func(c *Conn, f Frame) error

// Serve implements Handler.
func (h HandlerFunc) Serve(c *Conn, f Frame) error { return h(c, f) }

// Conn is an authenticated link. It is safe for concurrent use.
type Conn struct {
	socket  *websocket.Conn
	peer    wire.Hello
	handler Handler
	logger  *slog.Logger

	control   chan []byte
	data      chan []byte
	done      chan struct{}
	closeOnce sync.Once
	cause     atomic.Value
	lastRead  atomic.Int64
	nextID    atomic.Uint64
	bytesSent atomic.Int64
	writer    sync.WaitGroup
	mu        sync.Mutex
	pending   map[uint64]chan Frame
}

// tcpKeepAlive closes a link whose peer no longer responds after about three seconds. The probe messages of the protocol
// are sent less often, because each of them is a message exchange.
var tcpKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// keptAlive is a connection that the kernel probes while it is idle.
type keptAlive interface {
	SetKeepAliveConfig(config net.KeepAliveConfig) error
}

func newConn(socket *websocket.Conn, peer wire.Hello, handler Handler, logger *slog.Logger) *Conn {
	c := &Conn{
		socket:  socket,
		peer:    peer,
		handler: handler,
		logger:  logger.With("peer", peer.Name),
		control: make(chan []byte, controlQueue),
		data:    make(chan []byte, dataQueue),
		done:    make(chan struct{}),
		pending: make(map[uint64]chan Frame),
	}
	c.lastRead.Store(time.Now().UnixNano())
	if t, ok := socket.NetConn().(keptAlive); ok {
		// On failure, an unresponsive peer is detected later, at the next message.
		_ = t.SetKeepAliveConfig(tcpKeepAlive)
	}
	return c
}

// start starts the goroutines that write frames and probe the peer.
func (c *Conn) start() {
	event.LinkOpened.Log(c.logger, "inc", c.peer.Inc)
	c.writer.Go(func() { supervise.Guard(c.logger, "link writer", c.writeLoop) })
	go supervise.Guard(c.logger, "link probe", c.probeLoop)
}

// Peer returns the hello message of the other end.
func (c *Conn) Peer() wire.Hello { return c.peer }

// Done returns a channel that is closed when the link is closed.
func (c *Conn) Done() <-chan struct{} { return c.done }

// BytesSent returns the number of bytes written to the link.
func (c *Conn) BytesSent() int64 { return c.bytesSent.Load() }

// Close closes the link.
func (c *Conn) Close() { c.closeWith(ErrClosed) }

// CloseUnresponsive closes the link because the peer did not reply to a message in time, and logs it.
func (c *Conn) CloseUnresponsive() {
	select {
	case <-c.done:
		return
	default:
	}
	event.LinkTimedOut.Log(c.logger)
	c.closeWith(ErrClosed)
}

func (c *Conn) closeWith(cause error) {
	c.closeOnce.Do(func() {
		c.cause.Store(cause.Error())
		close(c.done)
		// The HTTP server closes an accepted connection only once its handler returns. The deadline ends the handler's
		// blocked read.
		_ = c.socket.NetConn().SetDeadline(time.Now())
		_ = c.socket.Close()
		event.LinkClosed.Log(c.logger, "cause", cause.Error())
	})
}

// Notify sends a control message ahead of queued data messages. It closes the link if the control queue stays full.
func (c *Conn) Notify(kind string, body any) error { return c.sendControl(kind, 0, 0, body) }

// Reply replies to the message f with a control message.
func (c *Conn) Reply(f Frame, kind string, body any) error { return c.sendControl(kind, 0, f.ID, body) }

// Send queues a data message; it blocks while the data queue is full.
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
	id := c.nextID.Add(1)
	wait := make(chan Frame, 1)
	c.mu.Lock()
	c.pending[id] = wait
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.pending, id)
		c.mu.Unlock()
	}()
	if err := c.sendControl(kind, id, 0, body); err != nil {
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
	if len(b) > maxFrameBytes {
		return nil, &FormatError{kind: kind, cause: fmt.Sprintf("%d bytes, at most %d", len(b), maxFrameBytes)}
	}
	return b, nil
}

// sendControl queues a control message and closes the link if the queue stays full.
func (c *Conn) sendControl(kind string, id, re uint64, body any) error {
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
	t := time.NewTimer(controlQueueTimeout)
	defer t.Stop()
	select {
	case c.control <- b:
		return nil
	case <-c.done:
		return ErrClosed
	case <-t.C:
		c.closeWith(eris.New("link: control queue stayed full"))
		return ErrClosed
	}
}

// writeLoop writes queued frames, control frames first, until the link is closed.
func (c *Conn) writeLoop() {
	for {
		select {
		case <-c.done:
			return
		case b := <-c.control:
			c.writeFrame(b)
			continue
		default:
		}
		select {
		case b := <-c.control:
			c.writeFrame(b)
		case b := <-c.data:
			c.writeFrame(b)
		case <-c.done:
			return
		}
	}
}

func (c *Conn) writeFrame(b []byte) {
	_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := c.socket.WriteMessage(websocket.BinaryMessage, b); err != nil {
		c.closeWith(err)
		return
	}
	c.bytesSent.Add(int64(len(b)))
}

// readLoop reads and dispatches frames until the link is closed.
func (c *Conn) readLoop() {
	for {
		_, b, err := c.socket.ReadMessage()
		if err != nil {
			c.closeWith(err)
			return
		}
		c.lastRead.Store(time.Now().UnixNano())
		var f Frame
		if err := cbor.Unmarshal(b, &f); err != nil {
			c.closeMalformed(&FormatError{kind: "unknown", cause: err.Error()})
			return
		}
		if err := c.dispatch(f); err != nil {
			c.closeMalformed(err)
			return
		}
	}
}

func (c *Conn) closeMalformed(err error) {
	event.LinkMalformed.Log(c.logger, "cause", err.Error())
	c.closeWith(err)
}

// dispatch passes a reply to the call that waits for it, answers pings and passes other messages to the handler. A reply
// whose call has ended is dropped.
func (c *Conn) dispatch(f Frame) error {
	if f.Re != 0 {
		c.mu.Lock()
		wait := c.pending[f.Re]
		delete(c.pending, f.Re)
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

// probeLoop probes the peer while the link is idle.
func (c *Conn) probeLoop() {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		select {
		case <-c.done:
			return
		case now := <-t.C:
			if now.Sub(time.Unix(0, c.lastRead.Load())) < probeInterval {
				continue
			}
			if err := c.Probe(probeTimeout); err != nil {
				return
			}
		}
	}
}

// Probe sends a ping to the peer and closes the link if there is no reply within the timeout.
func (c *Conn) Probe(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := c.Call(ctx, Ping, struct{}{})
	if err != nil {
		c.CloseUnresponsive()
	}
	return err
}
