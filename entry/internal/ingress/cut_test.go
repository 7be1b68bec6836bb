package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/platform/platformtest"
)

// answerForms are complete answers of a server, by the framing of the body.
var answerForms = map[string]func(q *http.Request) (head, body string){
	"length": func(q *http.Request) (string, string) {
		return "HTTP/1.1 200 OK\r\n" + signed(q) + "Content-Length: 4\r\n\r\n", "fine"
	},
	"chunks": func(q *http.Request) (string, string) {
		return "HTTP/1.1 200 OK\r\n" + signed(q) + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nfine\r\n0\r\n\r\n"
	},
	"empty": func(q *http.Request) (string, string) {
		return "HTTP/1.1 200 OK\r\n" + signed(q) + "Content-Length: 0\r\n\r\n", ""
	},
	"no content": func(q *http.Request) (string, string) {
		return "HTTP/1.1 204 No Content\r\n" + signed(q) + "\r\n", ""
	},
	"until the end of the connection": func(q *http.Request) (string, string) {
		return "HTTP/1.1 200 OK\r\n" + signed(q) + "\r\n", "fine"
	},
	"events": func(q *http.Request) (string, string) {
		return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + signed(q) + "Transfer-Encoding: chunked\r\n\r\n",
			"10\r\nid: 1\ndata: x\n\n\n\r\n0\r\n\r\n"
	},
	"after an interim answer": func(q *http.Request) (string, string) {
		return "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + signed(q) + "Content-Length: 4\r\n\r\n", "fine"
	},
}

// Guards against a success with an empty or short body for a server that stopped in the middle of the head of its
// answer.
func TestCutHeadIsNoSuccess(t *testing.T) {
	for form, answer := range answerForms {
		for _, kind := range []catalog.Kind{catalog.Safe, catalog.Unsafe, catalog.Stream} {
			t.Run(fmt.Sprintf("%s, kind %d", form, kind), func(t *testing.T) {
				cut := 0
				length := 1
				s := newServer(t, func(c net.Conn, q *http.Request, _ string) bool {
					head, _ := answer(q)
					length = len(head)
					_, _ = io.WriteString(c, head[:cut])
					return false
				})
				for ; cut < length; cut++ {
					r := newRig(t, catalog.Route{Kind: kind}, s)
					resp, body, err := r.send(t, "POST", "/p/x", "", nil)
					if err == nil && resp.StatusCode < http.StatusBadRequest {
						t.Errorf("cut after %d of %d bytes: the client got %d %q", cut, length, resp.StatusCode, body)
					}
					r.Close()
				}
			})
		}
	}
}

// sendRaw sends a request and returns the head and the rest of the answer as received until the connection is closed.
func (r *rig) sendRaw(t *testing.T) (head http.Header, rest string) {
	t.Helper()
	c, err := net.Dial("tcp4", strings.TrimPrefix(r.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "POST /p/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n")
	in := bufio.NewReader(c)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	h := resp.Header.Clone()
	for _, te := range resp.TransferEncoding {
		h.Add("Transfer-Encoding", te)
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return h, string(b)
}

// Guards against an answer that ends with its connection and looks complete to the client, although nobody can tell
// whether its server had finished it.
func TestUnframedAnswerStaysUnframed(t *testing.T) {
	for name, body := range map[string]string{"empty": "", "short": "fine", "long": strings.Repeat("x", maxBufferedResponse+1)} {
		for _, kind := range []catalog.Kind{catalog.Safe, catalog.Unsafe} {
			t.Run(fmt.Sprintf("%s, kind %d", name, kind), func(t *testing.T) {
				s := newServer(t, func(c net.Conn, q *http.Request, _ string) bool {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+signed(q)+"\r\n"+body)
					return false
				})
				r := newRig(t, catalog.Route{Kind: kind}, s)
				head, got := r.sendRaw(t)
				if got != body {
					t.Errorf("the client got %d bytes, want %d", len(got), len(body))
				}
				if l, te := head.Get("Content-Length"), head.Get("Transfer-Encoding"); l != "" || te != "" {
					t.Errorf("the answer is framed by length %q and encoding %q", l, te)
				}
				if platformtest.ServerSignature(head) != platformtest.Signature {
					t.Error("the signature is missing")
				}
			})
		}
	}
}

// Guards against a stream without framing that looks complete although its server died between two events.
func TestUnframedStreamIsConfirmed(t *testing.T) {
	var whole strings.Builder
	for id := 1; id <= 6; id++ {
		fmt.Fprintf(&whole, "id: %d\ndata: %d\n\n", id, id)
	}
	answer := func(c net.Conn, q *http.Request, _ string) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+signed(q)+"Content-Type: text/event-stream\r\n\r\n")
		after := platformtest.DecodeServerRequest(q.Header).ResumeAfter
		for id := after + 1; id <= 6; id++ {
			if after == 0 && id > 3 {
				break // the first server dies here
			}
			_, _ = fmt.Fprintf(c, "id: %d\ndata: %d\n\n", id, id)
		}
		return false
	}
	r := newRig(t, catalog.Route{Kind: catalog.Stream, Resumable: true, MaxAttempts: 3}, newServer(t, answer), newServer(t, answer))
	if _, body := r.sendRaw(t); body != whole.String() {
		t.Errorf("the client got %q", body)
	}
}

// Guards against a stream without framing that ends as complete because servers died after the head of their answer, and
// against one that is confirmed again and again.
func TestServerThatDiesConfirmsNoStream(t *testing.T) {
	const last = 6
	send := func(c net.Conn, q *http.Request, most int) {
		unframedHead(c, q)
		after := platformtest.DecodeServerRequest(q.Header).ResumeAfter
		for id := after + 1; id <= min(last, after+most); id++ {
			_, _ = fmt.Fprintf(c, "id: %d\ndata: %d\n\n", id, id)
		}
	}
	var whole strings.Builder
	for id := 1; id <= last; id++ {
		fmt.Fprintf(&whole, "id: %d\ndata: %d\n\n", id, id)
	}
	for name, events := range map[string][]int{ // of each server that dies
		"before the first event": {0}, "both before an event": {0, 0}, "after an event": {1, 0}, "between events": {2, 2},
	} {
		t.Run(name, func(t *testing.T) {
			var servers []*server
			for _, n := range events {
				servers = append(servers, newDyingServer(t, func(c net.Conn, q *http.Request) { send(c, q, n) }))
			}
			sound := newServer(t, func(c net.Conn, q *http.Request, _ string) bool {
				send(c, q, last)
				return false
			})
			for range 3 { // the order of the servers varies
				r := newRig(t, catalog.Route{Kind: catalog.Stream, Resumable: true, MaxAttempts: 3}, append(servers, sound)...)
				if _, body := r.sendRaw(t); body != whole.String() {
					t.Errorf("the client got %q", body)
				}
			}
			if n := len(sound.requests()); n > 2*3 {
				t.Errorf("the sound server got %d requests for 3 streams, want a run and a confirmation of each", n)
			}
		})
	}
}

// Guards against a large answer without framing that looks complete although its server's connection was reset.
func TestResetUnframedAnswerIsIncomplete(t *testing.T) {
	s := newServer(t, func(c net.Conn, q *http.Request, _ string) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+signed(q)+"\r\n"+strings.Repeat("x", 2*maxBufferedResponse))
		time.Sleep(100 * time.Millisecond) // the entry has read this by then
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return false
	})
	r := newRig(t, catalog.Route{Kind: catalog.Unsafe}, s)
	resp, body, err := r.send(t, "POST", "/p/x", "", nil)
	if err == nil {
		t.Errorf("the client got %d and %d bytes without an error", resp.StatusCode, len(body))
	}
}
