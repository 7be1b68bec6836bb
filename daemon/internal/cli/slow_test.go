package cli

import (
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"testing"
)

// Guards against a server that is declared dead, and all its work refused, because one answer took too long.
func TestOneLateAnswerIsNoOutage(t *testing.T) {
	e := newFakeEngine(t)
	to, err := url.Parse(e.URL)
	if err != nil {
		t.Fatal(err)
	}
	proxy := httputil.NewSingleHostReverseProxy(to)
	proxy.FlushInterval = -1
	var late atomic.Bool
	var lost atomic.Int32
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/version" && late.CompareAndSwap(true, false) {
			<-r.Context().Done()
			lost.Add(1)
			return
		}
		proxy.ServeHTTP(w, r)
	}))
	t.Cleanup(front.Close)
	d := startDaemon(t, front.URL, "", nil)
	c := dial(t, d)
	c.work(completion("a", 2))
	<-e.starts
	late.Store(true)
	eventually(t, "an answer was late", func() bool { return lost.Load() > 0 })
	c.work(completion("b", 1))
	e.let(3)
	for range 2 {
		if f := c.next("done", "refuse"); f.Kind != "done" {
			t.Fatalf("work was refused after one late answer")
		}
	}
}
