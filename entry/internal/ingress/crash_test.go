package ingress

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/platform/platformtest"
)

// unframedHead begins a stream that ends with its connection.
func unframedHead(c net.Conn, q *http.Request) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\n", signed(q))
}

// crashes are the ways in which a server dies while it handles a request.
var crashes = map[string]struct {
	kind      catalog.Kind
	resumable bool
	die       func(c net.Conn, q *http.Request)
}{
	"before the head": {catalog.Safe, false, func(net.Conn, *http.Request) {}},
	"in the head": {catalog.Safe, false, func(c net.Conn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Le")
	}},
	"in a body": {catalog.Safe, false, func(c net.Conn, q *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 100\r\n\r\npart", signed(q))
	}},
	"in a body with chunks": {catalog.Unsafe, false, func(c net.Conn, q *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", signed(q))
	}},
	"in a large body": {catalog.Safe, false, func(c net.Conn, q *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\npart", signed(q), maxBufferedResponse+1)
	}},
	"in a stream": {catalog.Stream, true, func(c net.Conn, q *http.Request) {
		streamHead(c, q)
		sendEvent(c, platformtest.DecodeServerRequest(q.Header).ResumeAfter+1)
	}},
	"in a stream that cannot be resumed": {catalog.Stream, false, func(c net.Conn, q *http.Request) {
		streamHead(c, q)
		sendEvent(c, 1)
	}},
	"in a stream without framing": {catalog.Stream, true, func(c net.Conn, q *http.Request) {
		unframedHead(c, q)
		id := platformtest.DecodeServerRequest(q.Header).ResumeAfter + 1
		_, _ = fmt.Fprintf(c, "id: %d\ndata: %d\n\n", id, id)
	}},
	"in a stream without framing, before an event": {catalog.Stream, true, unframedHead},
	"at a resumption": {catalog.Stream, true, func(c net.Conn, q *http.Request) {
		if platformtest.DecodeServerRequest(q.Header).ResumeAfter > 0 {
			return
		}
		streamHead(c, q)
		sendEvent(c, 1)
	}},
}

// newDyingServer returns a server that writes an answer to its first request and dies.
func newDyingServer(t *testing.T, answer func(c net.Conn, q *http.Request)) *server {
	t.Helper()
	var s *server
	started := make(chan struct{})
	s = newServer(t, func(c net.Conn, q *http.Request, _ string) bool {
		<-started
		answer(c, q)
		_ = s.Close()
		return false
	})
	close(started)
	return s
}

// Guards against a request that crashes one server after another and is passed on again, wherever in its answer the servers
// die, and against one that is refused without a time to come back.
func TestCrashingRequestIsBlocked(t *testing.T) {
	for name, crash := range crashes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var hits atomic.Int64
			var servers []*server
			for range 11 {
				servers = append(servers, newDyingServer(t, func(c net.Conn, q *http.Request) {
					hits.Add(1)
					crash.die(c, q)
				}))
			}
			r := newRig(t, catalog.Route{Kind: crash.kind, Resumable: crash.resumable, MaxAttempts: 3}, servers...)
			blocked := 0
			for range 8 {
				resp, _, err := r.send(t, "POST", "/p/x", "the same body", nil)
				if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
					continue
				}
				blocked++
				if resp.Header.Get("Retry-After") == "" {
					t.Error("refused without a time to come back")
				}
			}
			if n := hits.Load(); n != crashLimit {
				t.Errorf("%d servers crashed, want %d", n, crashLimit)
			}
			if blocked == 0 {
				t.Error("the request was never refused")
			}
		})
	}
}

// Guards against sound requests that are refused because two servers died under them, beside many others with the same
// content.
func TestSoundRequestOutlivesCrashes(t *testing.T) {
	const clients = 12
	for _, kind := range []catalog.Kind{catalog.Safe, catalog.Stream} {
		t.Run(fmt.Sprintf("kind %d", kind), func(t *testing.T) {
			t.Parallel()
			dies := func() script {
				var first sync.Once
				dead := make(chan struct{}) // closed when the server dies with all requests that have reached it
				return func(c net.Conn, q *http.Request, _ string) bool {
					if kind == catalog.Stream {
						streamHead(c, q)
						sendEvent(c, platformtest.DecodeServerRequest(q.Header).ResumeAfter+1)
					}
					first.Do(func() { time.AfterFunc(50*time.Millisecond, func() { close(dead) }) })
					<-dead
					return false
				}
			}
			sound := func(c net.Conn, q *http.Request, _ string) bool {
				if kind == catalog.Safe {
					return respondOK(c, q, "")
				}
				streamHead(c, q)
				for id := platformtest.DecodeServerRequest(q.Header).ResumeAfter + 1; id <= 6; id++ {
					sendEvent(c, id)
				}
				_, _ = io.WriteString(c, "0\r\n\r\n")
				return true
			}
			r := newRig(t, catalog.Route{Kind: kind, Resumable: true, MaxAttempts: 3},
				newServer(t, dies()), newServer(t, dies()), newServer(t, sound))
			var all sync.WaitGroup
			for range clients {
				all.Go(func() {
					resp, body, err := r.send(t, "POST", "/p/x", "the same body", nil)
					if err != nil || resp.StatusCode != http.StatusOK || kind == catalog.Stream && strings.Count(body, "id:") != 6 {
						t.Errorf("the client got %v %q %v", resp, body, err)
					}
				})
			}
			all.Wait()
		})
	}
}
