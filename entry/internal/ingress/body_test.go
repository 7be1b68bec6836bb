package ingress

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"bulrushspoke/internal/budget"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/platform/platformtest"
)

// startRequest sends the headers of a request and part of its body over a new connection.
func (r *rig) startRequest(t *testing.T, head, body string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", r.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := fmt.Fprintf(c, "POST /p/x HTTP/1.1\r\nHost: h.example\r\n%s\r\n%s", head, body); err != nil {
		t.Fatal(err)
	}
	return c
}

// readResponse reads a response with a timeout of 5 s.
func readResponse(t *testing.T, c net.Conn) *http.Response {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	_ = resp.Body.Close()
	return resp
}

// Guards against a client that keeps a connection and memory for ever by sending its body slowly. The request must fail with
// 408 at its timeout, which tells the client that it was not executed.
func TestSlowBody(t *testing.T) {
	for name, part := range map[string]struct{ head, body string }{
		"with a length": {"Content-Length: 100\r\n", "part"},
		"in chunks":     {"Transfer-Encoding: chunked\r\n", "4\r\npart\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, respondOK)
			r := newRig(t, catalog.Route{Kind: catalog.Safe, Timeout: 200 * time.Millisecond}, s)
			if resp := readResponse(t, r.startRequest(t, part.head, part.body)); resp.StatusCode != http.StatusRequestTimeout {
				t.Errorf("the unfinished request got %d, want 408", resp.StatusCode)
			}
			if n := len(s.requests()); n != 0 {
				t.Errorf("%d requests reached the server", n)
			}
			if held := r.ingress.Bodies.Used(); held != 0 {
				t.Errorf("%d bytes stay reserved", held)
			}
		})
	}
}

// Guards against request bodies that exceed the memory limit while they are still being received.
func TestBodiesInProgress(t *testing.T) {
	r := newRig(t, catalog.Route{Kind: catalog.Safe, Timeout: 30 * time.Second}, newServer(t, respondOK))
	r.ingress.Bodies = budget.New(1000).Account("bodies", 1000)
	r.startRequest(t, "Content-Length: 600\r\n", "part")
	r.startRequest(t, "Transfer-Encoding: chunked\r\n", fmt.Sprintf("c8\r\n%0200d\r\n", 0))
	deadline := time.Now().Add(5 * time.Second)
	for r.ingress.Bodies.Used() < 800 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	for _, head := range []string{"Content-Length: 300\r\n", "Transfer-Encoding: chunked\r\n"} {
		resp := readResponse(t, r.startRequest(t, head, fmt.Sprintf("12c\r\n%0300d\r\n", 0)))
		if resp.StatusCode != http.StatusServiceUnavailable || platformtest.Retry(resp.Header) <= 0 {
			t.Errorf("%q got %d, want 503 with Retry-After", head, resp.StatusCode)
		}
	}
}
