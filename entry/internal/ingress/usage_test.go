package ingress

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"bulrushspoke/internal/call"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/workspace"
	"bulrushspoke/platform/platformtest"
)

// attempts records the attempts that servers began to run.
type attempts struct {
	mu sync.Mutex
	at []time.Time
}

func (a *attempts) Began(workspace string, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if workspace == "w" {
		a.at = append(a.at, at)
	}
}

// Guards against attempts that are counted though no server began them, counted twice or not at all, or counted at the time of
// their answer.
func TestAttemptsAreCounted(t *testing.T) {
	const work = 150 * time.Millisecond
	slow := func(c net.Conn, q *http.Request, body string) bool {
		time.Sleep(work)
		return respondOK(c, q, body)
	}
	foreign := func(c net.Conn, _ *http.Request, _ string) bool {
		return write(c, "200 OK\r\n"+platformtest.RawResponseHeaders(call.Answer{ID: "r0", Signature: platformtest.Signature}), "")
	}
	truncated := func(c net.Conn, q *http.Request, _ string) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 9\r\n\r\nfine", signed(q))
		return false
	}
	stream := func(c net.Conn, q *http.Request, _ string) bool {
		// The first server sends one event and breaks off; the other one goes on from there.
		const head = "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
		first, end := "id: 1\ndata: a\n\n", ""
		if platformtest.DecodeServerRequest(q.Header).ResumeAfter == 1 {
			first, end = "id: 2\ndata: b\n\n", "0\r\n\r\n"
		}
		_, _ = fmt.Fprintf(c, head+"%x\r\n%s\r\n%s", signed(q), len(first), first, end)
		return end != ""
	}
	for name, c := range map[string]struct {
		kind      catalog.Kind
		resumable bool
		servers   []script
		want      int
	}{
		"answered":                 {catalog.Unsafe, false, []script{slow}, 1},
		"refused":                  {catalog.Unsafe, false, []script{refuse}, 0},
		"reset":                    {catalog.Unsafe, false, []script{closeConn}, 1},
		"foreign answer":           {catalog.Unsafe, false, []script{foreign}, 1},
		"truncated":                {catalog.Unsafe, false, []script{truncated}, 1},
		"repeated":                 {catalog.Safe, false, []script{closeConn, closeConn}, 2},
		"refused, then answered":   {catalog.Safe, false, []script{refuse, refuse}, 0},
		"stream resumed":           {catalog.Stream, true, []script{stream, stream}, 2},
		"no answer":                {catalog.Unsafe, false, []script{func(net.Conn, *http.Request, string) bool { time.Sleep(time.Second); return false }}, 1},
		"server refuses to listen": {catalog.Unsafe, false, nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var servers []*server
			for _, s := range c.servers {
				servers = append(servers, newServer(t, s))
			}
			if len(servers) == 0 {
				servers = []*server{newServer(t, slow)}
				_ = servers[0].Close()
			}
			r := newRig(t, catalog.Route{Kind: c.kind, Resumable: c.resumable, MaxAttempts: 2}, servers...)
			counted := &attempts{}
			r.ingress.Usage = counted
			config := r.catalog.Config()
			arrived := time.Now()
			q := &request{
				Request: call.Request{ID: "r1", Deadline: 500 * time.Millisecond}, arrived: arrived, config: config, route: &config.Routes[0],
				http: httptest.NewRequest(http.MethodPost, "http://h.example/p/x", strings.NewReader("")), workspace: workspace.Workspace{Name: "w"},
			}
			r.ingress.forward(httptest.NewRecorder(), q)
			counted.mu.Lock()
			defer counted.mu.Unlock()
			if len(counted.at) != c.want {
				t.Fatalf("%d attempts are counted, want %d", len(counted.at), c.want)
			}
			if name == "answered" && counted.at[0].Sub(arrived) >= work {
				t.Errorf("the attempt is counted at the time of its answer, %v after the request", counted.at[0].Sub(arrived))
			}
		})
	}
}
