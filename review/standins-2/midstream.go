package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// streamer is a model server at one address that serves streams. A request whose path ends with /bad crashes it after the first
// event; it is back, as a new incarnation, after three seconds.
type streamer struct {
	w       *world
	address string
	zone    string
	hit     func(server, id string)

	mu  sync.Mutex
	cur *engine // nil while it is down
	srv *http.Server
}

func (c *streamer) start() {
	e := newEngine("i-"+newID()[:8], c.address, c.zone, c.w.st, c.w.rec, c.w.models...)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { c.serve(w, r, e) })}
	l, err := net.Listen("tcp4", c.address)
	if err != nil {
		cannot("listen: %v", err)
	}
	c.mu.Lock()
	c.cur, c.srv = e, s
	c.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	e.publish()
}

func (c *streamer) serve(w http.ResponseWriter, r *http.Request, e *engine) {
	if x := r.Header.Get("X-Expect-Instance"); !strings.HasSuffix(r.URL.Path, "/bad") || x != "" && x != e.id {
		e.ServeHTTP(w, r)
		return
	}
	id := r.Header.Get("X-Request-Id")
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	w.Header().Set("X-Instance-Id", e.id)
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Server-Stamp", "stamp."+id)
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	after := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &after)
	time.Sleep(eventTime)
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s.%d\n\n", after+1, id, after+1)
	_ = http.NewResponseController(w).Flush()
	c.hit(e.id, id)
	c.crash(e)
	panic(http.ErrAbortHandler)
}

func (c *streamer) crash(e *engine) {
	c.mu.Lock()
	if c.cur != e {
		c.mu.Unlock()
		return
	}
	c.cur = nil
	_ = c.srv.Close()
	c.mu.Unlock()
	time.AfterFunc(3600*time.Millisecond, func() {
		c.w.st.mu.Lock()
		defer c.w.st.mu.Unlock()
		if _, ok := c.w.st.kinds["servers"][e.id]; ok {
			c.w.st.drop("servers", e.id)
		}
	})
	time.AfterFunc(3*time.Second, c.start)
}

func (c *streamer) publish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cur != nil {
		c.cur.publish()
	}
}

// runMidstream sends a stream request that crashes each server that runs it, again and again, as its client does.
func runMidstream(rec *record, dir string, trouble bool) {
	w := &world{rec: rec, st: newStore(), n: newNetwork(), models: []string{"daka510000"}, version: 1}
	serveOn(w.n.ip(250)+":8169", w.st)
	var mu sync.Mutex
	crashes, retries := 0, 0
	var third time.Time
	hit := func(server, id string) {
		mu.Lock()
		defer mu.Unlock()
		crashes++
		rec.line("%s runs request %s and crashes after an event, crash %d", server, id, crashes)
		if crashes == 3 {
			third = time.Now()
		}
		if crashes > 3 && time.Since(third) > 4*time.Second {
			retries++
			if retries > 3 {
				rec.broken("BUDGET: the request reaches servers in %d retries later than contact_ms after it has crashed the third; %s crashes %.1f s after that", retries, server, time.Since(third).Seconds())
			}
		}
	}
	var servers []*streamer
	for i := range 11 {
		c := &streamer{w: w, address: w.n.ip(101+i) + ":8165", zone: zones[i%3], hit: hit}
		c.start()
		servers = append(servers, c)
	}
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			for _, c := range servers {
				c.publish()
			}
		}
	}()
	r := route("r-chat", "/chat/", "stream", "plan-models")
	r["timeout_ms"], r["max_attempts"], r["resumable"] = 8000, 3, true
	w.configure(r)
	for i, f := range frontNames {
		p := newProcess(dir, f.name, filepath.Join(root(), "target/entry"), settings(w.n, "front", f.name, f.zone, 1+i))
		w.fronts = append(w.fronts, p)
		p.start()
	}
	for i := range w.fronts {
		awaitReady(w.n, 1+i)
	}
	time.Sleep(4 * time.Second)
	path := "/chat/1/bad"
	if !trouble {
		path = "/chat/1/12"
	}
	for n := range 10 {
		at := n % len(w.fronts)
		status, _, body, err := call(w.front(at), http.MethodPost, path, map[string]string{"X-Request-Id": newID(), "X-Deadline-Ms": "8000", "X-Model": w.models[0]},
			[]byte("the same body"), 8*time.Second)
		rec.line("request %d of the client at %s: %d, %d bytes, %v", n, w.fronts[at].name, status, len(body), err)
		if !trouble && (status != http.StatusOK || err != nil) {
			cannot("an ordinary stream is not served: %d %v", status, err)
		}
		time.Sleep(5 * time.Second)
	}
}
