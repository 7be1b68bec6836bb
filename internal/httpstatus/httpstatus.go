// Package httpstatus rejects HTTP answers whose status is not a number from 100 to 599, or is 101: no client that uses this
// package asks for another protocol.
//
// # Usage
//
//	client := &fasthttp.Client{DialTimeout: httpstatus.DialTimeout}
//	reader := httpstatus.NewReader(conn) // for the answer to a single request
//	if !httpstatus.Valid(resp.StatusCode) { … }
//
// The client of fasthttp accepts any three digits and reports the status 000 as 200. The connections and readers of this
// package check the status line before the library has all of it; those of a TLS connection are not checked. An *InvalidError means that a
// peer has sent something that is not an answer; the request may have run.
package httpstatus

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	lowest  = 100
	highest = 599
	// maxPrefix bounds the bytes of a status line that are examined; the status of a valid line ends within twelve.
	maxPrefix = 64
	// tlsRecord is the first byte that a server sends on a TLS connection.
	tlsRecord = 0x16
)

// Valid reports whether a number is the status of an answer, final or interim.
func Valid(status int) bool {
	return status >= lowest && status <= highest && status != fasthttp.StatusSwitchingProtocols
}

// InvalidError reports a status line without a valid status.
type InvalidError struct {
	line string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("httpstatus: invalid status line %q", e.line)
}

// DialTimeout connects to a server within a timeout and checks the status lines of its answers. It is the DialTimeout of a
// fasthttp.Client.
func DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 {
		timeout = fasthttp.DefaultDialTimeout
	}
	c, err := fasthttp.DialTimeout(address, timeout)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// conn checks the status lines of the answer to each request. The check restarts with each write, because a fasthttp client
// writes a request only after it has read the previous answer.
type conn struct {
	net.Conn
	check check
}

// Write implements io.Writer.
func (c *conn) Write(b []byte) (int, error) {
	c.check = check{}
	return c.Conn.Write(b)
}

// Read implements io.Reader. It fails with an *InvalidError before it returns the line feed of an invalid status line.
func (c *conn) Read(b []byte) (int, error) { return c.check.read(c.Conn, b) }

// NewReader returns a reader of the answer to a single request. It fails with an *InvalidError before it returns the line
// feed of an invalid status line.
func NewReader(r io.Reader) io.Reader { return &reader{source: r} }

type reader struct {
	source io.Reader
	check  check
}

// Read implements io.Reader.
func (r *reader) Read(b []byte) (int, error) { return r.check.read(r.source, b) }

// check follows the heads of an answer: those of interim answers and the final one.
type check struct {
	started bool   // bytes have been read
	line    []byte // status line so far
	interim bool   // inside the head of an interim answer
	tail    []byte // end of that head so far, to find the empty line across reads
	done    bool
	failed  *InvalidError
}

// read reads from a connection and checks what it reads.
func (c *check) read(r io.Reader, b []byte) (int, error) {
	if c.failed != nil {
		return 0, c.failed
	}
	n, err := r.Read(b)
	if n > 0 && b[0] == tlsRecord && !c.started {
		c.done = true
	}
	c.started = c.started || n > 0
	for rest := b[:n]; len(rest) > 0 && !c.done; {
		if c.interim {
			rest = c.skipHead(rest)
			continue
		}
		line := rest
		if rest = c.readLine(line); c.failed == nil {
			continue
		}
		// fasthttp reports an error without any byte as io.EOF, so the bytes up to the end of the line come first.
		if end := bytes.IndexByte(line, '\n'); end >= 0 {
			n -= len(line) - end
		}
		if n > 0 {
			return n, nil
		}
		return 0, c.failed
	}
	return n, err
}

// readLine adds bytes to the status line and returns those that follow it.
func (c *check) readLine(b []byte) []byte {
	end := bytes.IndexByte(b, '\n')
	part := b
	if end >= 0 {
		part = b[:end]
	}
	c.line = append(c.line, part[:min(len(part), maxPrefix-len(c.line))]...)
	if end < 0 {
		return nil
	}
	if len(bytes.TrimSpace(c.line)) == 0 && len(c.line) < maxPrefix {
		c.line = c.line[:0] // empty lines before an answer are allowed
		return b[end+1:]
	}
	status, ok := parse(c.line)
	switch {
	case !ok:
		c.failed = &InvalidError{line: string(c.line)}
	case status < fasthttp.StatusOK:
		c.interim = true
	default:
		c.done = true
	}
	c.line = nil
	return b[end+1:]
}

// parse returns the status of a status line.
func parse(line []byte) (int, bool) {
	fields := bytes.Fields(line)
	if len(fields) < 2 || len(fields[1]) != 3 {
		return 0, false
	}
	status, err := strconv.ParseUint(string(fields[1]), 10, 16)
	return int(status), err == nil && Valid(int(status))
}

// skipHead returns the bytes that follow the empty line at the end of an interim answer.
func (c *check) skipHead(b []byte) []byte {
	for i, v := range b {
		if v == '\r' {
			continue
		}
		c.tail = append(c.tail, v)
		if v == '\n' && (len(c.tail) == 1 || c.tail[len(c.tail)-2] == '\n') {
			c.interim, c.tail = false, nil
			return b[i+1:]
		}
		c.tail = c.tail[len(c.tail)-1:]
	}
	return nil
}
