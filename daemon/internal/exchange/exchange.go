// Package exchange sends a single HTTP request over a new TCP connection.
//
// # Usage
//
//	x, err := exchange.Open(ctx, req)
//	var dial *exchange.DialError
//	if errors.As(err, &dial) { … } // no byte was sent
//	defer x.Close()
//
// Connections are not reused: on a reused connection, a server that has closed it in the meantime could not be told from
// one that received the request and did not answer. When the context is done, the connection is closed, which also aborts
// a blocked read.
package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"bulrushspoke/internal/httpstatus"
)

const (
	dialTimeout = time.Second
	bufferSize  = 16 << 10
)

// DialError reports that no connection was established, so that no byte of the request was sent.
type DialError struct {
	address string
	cause   error
}

// Error implements error.
func (e *DialError) Error() string { return fmt.Sprintf("exchange: dial %s: %v", e.address, e.cause) }

// Unwrap returns the error of the dial.
func (e *DialError) Unwrap() error { return e.cause }

// Refused reports whether the connection was refused, which proves that nothing listens at the address.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Exchange is a sent request with its response, whose header was received.
type Exchange struct {
	conn net.Conn
	resp fasthttp.Response
	stop func() bool
}

// Open sends the request and waits for the response header. A *DialError means that nothing was sent, and a
// *httpstatus.InvalidError that the server sent an invalid status line; the request may have run.
func Open(ctx context.Context, req *fasthttp.Request) (*Exchange, error) {
	address := string(req.URI().Host())
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &DialError{address: address, cause: err}
	}
	x := &Exchange{conn: conn}
	x.stop = context.AfterFunc(ctx, func() { _ = conn.Close() })
	if err := x.send(req); err != nil {
		x.Close()
		return nil, err
	}
	return x, nil
}

func (x *Exchange) send(req *fasthttp.Request) error {
	w := bufio.NewWriterSize(x.conn, bufferSize)
	req.SetConnectionClose()
	if err := req.Write(w); err != nil {
		return eris.Wrap(err, "exchange: write")
	}
	if err := w.Flush(); err != nil {
		return eris.Wrap(err, "exchange: write")
	}
	x.resp.StreamBody = true
	if err := x.resp.Read(bufio.NewReaderSize(httpstatus.NewReader(x.conn), bufferSize)); err != nil {
		return eris.Wrap(err, "exchange: read")
	}
	return nil
}

// Response returns the response. Its body must be read through Body or ReadAll.
func (x *Exchange) Response() *fasthttp.Response { return &x.resp }

// Body returns the body as a stream.
func (x *Exchange) Body() io.Reader {
	if s := x.resp.BodyStream(); s != nil {
		return s
	}
	return io.MultiReader()
}

// ReadAll returns the whole body, or an error if it has more than limit bytes.
func (x *Exchange) ReadAll(limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(x.Body(), limit+1))
	if err != nil {
		return nil, eris.Wrap(err, "exchange: read body")
	}
	if int64(len(b)) > limit {
		return nil, eris.Errorf("exchange: body has more than %d bytes", limit)
	}
	return b, nil
}

// Close closes the connection. It must be called once the response is no longer needed.
func (x *Exchange) Close() {
	x.stop()
	_ = x.conn.Close()
}
