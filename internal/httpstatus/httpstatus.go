// Package httpstatus rejects HTTP answers whose status is not a number from 100 to 599.
//
// # Usage
//
//	client := &fasthttp.Client{Dial: httpstatus.Dial}
//	reader := httpstatus.NewReader(conn) // for the answer to a single request
//	if !httpstatus.Valid(resp.StatusCode) { … }
//
// The client of fasthttp accepts any three digits and reports the status 000 as 200. The connections and readers of this
// package check the status line before the library sees it. A *InvalidError means that a peer has sent something that is
// not an answer; the request may have run.
package httpstatus

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"

	"github.com/valyala/fasthttp"
)

const (
	lowest  = 100
	highest = 599
	// maxPrefix bounds the bytes of a status line that are examined; the status of a valid line ends within twelve.
	maxPrefix = 64
)

// Valid reports whether a number is the status of an answer.
func Valid(status int) bool { return status >= lowest && status <= highest }

// InvalidError reports a status line without a valid status.
type InvalidError struct {
	line string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("httpstatus: invalid status line %q", e.line)
}

// Dial connects to a server for a fasthttp.Client and checks the status lines of its answers.
func Dial(address string) (net.Conn, error) {
	c, err := fasthttp.Dial(address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// conn checks the first status line after each request. A client writes a request only after it has read the answer to the
// one before.
type conn struct {
	net.Conn
	check check
}

// Write implements io.Writer.
func (c *conn) Write(b []byte) (int, error) {
	c.check = check{}
	return c.Conn.Write(b)
}

// Read implements io.Reader. It fails with an *InvalidError in place of the end of an invalid status line.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	return c.check.filter(b, n, err)
}

// NewReader returns a reader of the answer to a single request. It fails with an *InvalidError in place of the end of an
// invalid status line.
func NewReader(r io.Reader) io.Reader { return &reader{source: r} }

type reader struct {
	source io.Reader
	check  check
}

// Read implements io.Reader.
func (r *reader) Read(b []byte) (int, error) {
	n, err := r.source.Read(b)
	return r.check.filter(b, n, err)
}

// check follows the heads of an answer: those of interim answers and the final one.
type check struct {
	line    []byte // status line so far
	interim bool   // inside the head of an interim answer
	tail    []byte // end of that head so far, to find the empty line across reads
	done    bool
	failed  *InvalidError
}

// filter checks the n bytes of b that were read and returns the results of the read.
func (c *check) filter(b []byte, n int, err error) (int, error) {
	if c.failed != nil {
		return 0, c.failed
	}
	for rest := b[:n]; len(rest) > 0 && !c.done; {
		if c.interim {
			rest = c.skipHead(rest)
			continue
		}
		if rest = c.readLine(rest); c.failed != nil {
			return 0, c.failed
		}
	}
	return n, err
}

// readLine adds bytes to the status line and returns those that follow it.
func (c *check) readLine(b []byte) []byte {
	end := bytes.IndexByte(b, '\n')
	if end < 0 {
		c.line = append(c.line, b[:min(len(b), maxPrefix-len(c.line))]...)
		if len(c.line) < maxPrefix {
			return nil
		}
		end = len(b) - 1 // the status stands in the prefix, whatever follows
	} else {
		c.line = append(c.line, b[:min(end, maxPrefix-len(c.line))]...)
	}
	if len(bytes.TrimSpace(c.line)) == 0 && len(c.line) < maxPrefix {
		c.line = c.line[:0] // empty lines before an answer are allowed
		return b[end+1:]
	}
	status, ok := parse(c.line)
	switch {
	case !ok:
		c.failed = &InvalidError{line: string(c.line)}
	case status < 200 && status != fasthttp.StatusSwitchingProtocols:
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
