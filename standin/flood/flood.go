// Package flood simulates a faulty server whose answers never end.
//
// # Usage
//
//	s, err := flood.Start(flood.Chunked)
//	defer s.Close()
//	call(s.Address())
//	taken := s.Sent()	// bytes that the caller has taken
//
// Each connection gets one answer after its first bytes, until the caller closes it or MaxBytes have been sent.
package flood

import (
	"bytes"
	"fmt"
	"net"
	"sync/atomic"
)

// MaxBytes bounds what is sent on one connection.
const MaxBytes = 512 << 20

// Form is the form of an answer.
type Form string

// Forms of endless answers.
const (
	Head    Form = "head"    // the header has no end
	Line    Form = "line"    // the status line has no end
	Interim Form = "interim" // interim answers without end
	Unsized Form = "unsized" // the body ends with the connection
	Chunked Form = "chunked" // the body has chunks without end
	Claimed Form = "claimed" // the header states a length that exceeds any memory
	Garbage Form = "garbage" // no answer in the protocol
)

// Forms returns all forms.
func Forms() []Form { return []Form{Head, Line, Interim, Unsized, Chunked, Claimed, Garbage} }

// content returns the start of an answer and the part that follows again and again.
func (f Form) content() (start, part string) {
	filler := string(bytes.Repeat([]byte("x"), 32<<10))
	const ok = "HTTP/1.1 200 OK\r\n"
	switch f {
	case Head:
		return ok, "X-Filler: " + filler[:1000] + "\r\n"
	case Line:
		return "HTTP/1.1 200 ", filler
	case Interim:
		return "", "HTTP/1.1 100 Continue\r\n\r\n"
	case Unsized:
		return ok + "\r\n", filler
	case Chunked:
		return ok + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(filler), filler)
	case Claimed:
		return ok + "Content-Length: 9000000000\r\n\r\n", filler
	default:
		return "", filler
	}
}

// Server is a running server.
type Server struct {
	listener net.Listener
	form     Form
	sent     atomic.Int64
}

// Start starts a server on a loopback port.
func Start(f Form) (*Server, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("flood: %w", err)
	}
	s := &Server{listener: l, form: f}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

// Address returns the host and port of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Sent returns the bytes sent on all connections, including what is left in the buffers of the sockets.
func (s *Server) Sent() int64 { return s.sent.Load() }

// Close stops the server from accepting connections.
func (s *Server) Close() error { return s.listener.Close() }

func (s *Server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	if _, err := c.Read(make([]byte, 64<<10)); err != nil {
		return
	}
	start, part := s.form.content()
	if _, err := c.Write([]byte(start)); err != nil {
		return
	}
	part = string(bytes.Repeat([]byte(part), max(1, (32<<10)/len(part))))
	for total := 0; total < MaxBytes; {
		n, err := c.Write([]byte(part))
		s.sent.Add(int64(n))
		total += n
		if err != nil {
			return
		}
	}
}
