package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/platform/platformtest"
)

// errorHead is the response of a server that fails, which must not reach the client within a stream.
const errorHead = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\noverloaded\n\n"

func sendChunk(c net.Conn, text string) { _, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

// endings are the ways in which a server goes on after three events of a stream.
var endings = map[string]func(c net.Conn){
	"closed": func(net.Conn) {},
	"error event": func(c net.Conn) {
		sendChunk(c, "event: error\ndata: overloaded\n\n")
		_, _ = io.WriteString(c, "0\r\n\r\n")
	},
	"error text":           func(c net.Conn) { sendChunk(c, "overloaded\n\n"); _, _ = io.WriteString(c, "0\r\n\r\n") },
	"error text, no event": func(c net.Conn) { sendChunk(c, "overloaded"); _, _ = io.WriteString(c, "0\r\n\r\n") },
	"head of an error":     func(c net.Conn) { sendChunk(c, errorHead); _, _ = io.WriteString(c, "0\r\n\r\n") },
	"head between chunks":  func(c net.Conn) { _, _ = io.WriteString(c, errorHead) },
	"head in a chunk":      func(c net.Conn) { _, _ = io.WriteString(c, "40\r\nid: 4\ndata:"+errorHead) },
}

// continuations are the responses of the server that is asked to go on.
var continuations = map[string]script{
	"complete": func(c net.Conn, q *http.Request, _ string) bool {
		streamHead(c, q)
		for id := platformtest.DecodeServerRequest(q.Header).ResumeAfter + 1; id <= 6; id++ {
			sendEvent(c, id)
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	},
	"500": func(c net.Conn, q *http.Request, _ string) bool {
		return write(c, "500 Internal Server Error\r\n"+signed(q), "overloaded\n\n")
	},
	"500 as a stream": func(c net.Conn, q *http.Request, _ string) bool {
		return write(c, "500 Internal Server Error\r\nContent-Type: text/event-stream\r\n"+signed(q), "id: 4\ndata: overloaded\n\n")
	},
	"404": func(c net.Conn, q *http.Request, _ string) bool {
		return write(c, "404 Not Found\r\n"+signed(q), "overloaded\n\n")
	},
	"refused": refuse,
	"text": func(c net.Conn, q *http.Request, _ string) bool {
		return write(c, "200 OK\r\nContent-Type: text/plain\r\n"+signed(q), "overloaded\n\n")
	},
	"error event": func(c net.Conn, q *http.Request, _ string) bool {
		return write(c, "200 OK\r\nContent-Type: text/event-stream\r\n"+signed(q), "event: error\ndata: overloaded\n\n")
	},
	"error text": func(c net.Conn, q *http.Request, _ string) bool {
		return write(c, "200 OK\r\nContent-Type: text/event-stream\r\n"+signed(q), "overloaded\n\n")
	},
	"head of an error": func(c net.Conn, q *http.Request, _ string) bool {
		return write(c, "200 OK\r\nContent-Type: text/event-stream\r\n"+signed(q), errorHead)
	},
}

// Guards against the text or head of an error in the middle of a stream that broke off, and against such a stream that
// appears complete.
func TestBrokenStreamContainsNoErrorText(t *testing.T) {
	var whole strings.Builder
	for id := 1; id <= 6; id++ {
		fmt.Fprintf(&whole, "id: %d\ndata: %d\n\n", id, id)
	}
	for _, framed := range []bool{true, false} {
		for ending, end := range endings {
			for next, continuation := range continuations {
				t.Run(fmt.Sprintf("%s, then %s, framed %t", ending, next, framed), func(t *testing.T) {
					first := newServer(t, func(c net.Conn, q *http.Request, body string) bool {
						if platformtest.DecodeServerRequest(q.Header).ResumeAfter > 0 {
							return continuation(c, q, body)
						}
						if !framed {
							_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\n", signed(q))
							_, _ = io.WriteString(c, "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\nda"+errorHead)
							return false
						}
						streamHead(c, q)
						for id := 1; id <= 3; id++ {
							sendEvent(c, id)
						}
						end(c)
						return false
					})
					second := newServer(t, continuation)
					r := newRig(t, catalog.Route{Kind: catalog.Stream, Resumable: true, MaxAttempts: 2}, first, second)
					resp, body, err := r.send(t, "POST", "/p/x", "", nil)
					if resp != nil && resp.StatusCode != http.StatusOK {
						return // the stream was first sent to the server that continues it
					}
					if err == nil && body != whole.String() {
						t.Errorf("the client got a stream that appears complete: %q", body)
					}
					if !strings.HasPrefix(whole.String(), body) {
						t.Errorf("the client got %q", body)
					}
				})
			}
		}
	}
}
