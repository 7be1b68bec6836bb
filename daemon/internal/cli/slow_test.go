package cli

import (
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"testing"
)

// Guards against a server that is declared down, and all its work refused, because one status request timed out.
func TestSingleTimeoutIsNoOutage(t *testing.T) {
	e := newFakeEngine(t)
	target, err := url.Parse(e.URL)
	if err != nil {
		t.Fatal(err)
	}
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.FlushInterval = -1
	var delayNext atomic.Bool
	var timeouts atomic.Int32
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/version" && delayNext.CompareAndSwap(true, false) {
			<-r.Context().Done()
			timeouts.Add(1)
			return
		}
		proxy.ServeHTTP(w, r)
	}))
	t.Cleanup(front.Close)
	d := startDaemon(t, front.URL, "", nil)
	c := dialDaemon(t, d)
	c.submit(completionWork("a", 2))
	<-e.starts
	delayNext.Store(true)
	eventually(t, "a status request timed out", func() bool { return timeouts.Load() > 0 })
	c.submit(completionWork("b", 1))
	e.allowTokens(3)
	for range 2 {
		if f := c.nextFrame("done", "refuse"); f.Kind != "done" {
			t.Fatalf("work was refused after a single timeout")
		}
	}
}
