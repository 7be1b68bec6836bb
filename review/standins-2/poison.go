package main

import (
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// crasher is a server of field-ledger at one address. A request with the body "poison" crashes it when it begins to run;
// it is back, as a new incarnation, after three seconds.
type crasher struct {
	w       *world
	address string
	zone    string

	mu  sync.Mutex
	cur *plain // nil while it is down
	srv *http.Server
	hit func(server, id string)
}

func (c *crasher) start() {
	p := newPlain("i-"+newID()[:8], c.address, c.zone, c.w.st, c.w.rec)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		if strings.HasSuffix(r.URL.Path, "/bad") && (r.Header.Get("X-Expect-Instance") == "" || r.Header.Get("X-Expect-Instance") == p.id) {
			c.hit(p.id, id)
			go c.crash(p)
			panic(http.ErrAbortHandler)
		}
		p.ServeHTTP(w, r)
	}), ErrorLog: nil}
	l, err := net.Listen("tcp4", c.address)
	if err != nil {
		cannot("listen: %v", err)
	}
	c.mu.Lock()
	c.cur, c.srv = p, s
	c.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	p.publish()
}

func (c *crasher) crash(p *plain) {
	c.mu.Lock()
	if c.cur != p {
		c.mu.Unlock()
		return
	}
	c.cur = nil
	_ = c.srv.Close()
	c.mu.Unlock()
	time.AfterFunc(3600*time.Millisecond, func() {
		c.w.st.mu.Lock()
		if _, ok := c.w.st.kinds["servers"][p.id]; ok {
			c.w.st.drop("servers", p.id)
		}
		c.w.st.mu.Unlock()
	})
	time.AfterFunc(3*time.Second, c.start)
}

func (c *crasher) publish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cur != nil {
		c.cur.publish()
	}
}

// runPoison sends a request that crashes each server that runs it, again and again, as its client does.
func runPoison(rec *record, dir string, trouble bool) {
	w := &world{rec: rec, st: newStore(), n: newNetwork(), models: []string{"daka510000"}, version: 1}
	serveOn(w.n.ip(250)+":8169", w.st)
	var mu sync.Mutex
	crashes, retries := 0, 0
	var third time.Time
	hit := func(server, id string) {
		mu.Lock()
		defer mu.Unlock()
		crashes++
		rec.line("%s begins to run request %s and crashes, crash %d", server, id, crashes)
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
	var servers []*crasher
	for i := range 3 {
		c := &crasher{w: w, address: w.n.ip(151+i) + ":8080", zone: zones[i], hit: hit}
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
	w.configure(route("r-plain", "/lohu930/", "safe", "field-ledger"), route("r-entry", "/once/", "unsafe", "field-ledger"))
	for i, f := range frontNames {
		p := newProcess(dir, f.name, filepath.Join(root(), "target/entry"), settings(w.n, "front", f.name, f.zone, 1+i))
		w.fronts = append(w.fronts, p)
		p.start()
	}
	for i := range w.fronts {
		awaitReady(w.n, 1+i)
	}
	time.Sleep(4 * time.Second)
	path := "/lohu930/bad"
	if !trouble {
		path = "/lohu930/good"
	}
	limit := 95 * time.Second
	if os.Getenv("SHORT") != "" {
		limit = 20 * time.Second
	}
	stop := time.Now().Add(limit)
	for k := range 4 {
		go w.others(k, stop)
	}
	for began, n := time.Now(), 0; time.Since(began) < limit; n++ {
		at := n % len(w.fronts)
		status, _, _, err := call(w.front(at), http.MethodPost, path, map[string]string{"X-Request-Id": newID(), "X-Deadline-Ms": "3000"},
			[]byte("the same body"), 3500*time.Millisecond)
		rec.line("request %d of the client at %s: %d %v", n, w.fronts[at].name, status, err)
		time.Sleep(2 * time.Second)
	}
}

// others sends unsafe requests of another caller, one after the other, and records those that a crash breaks off; a 503
// promises that the request has not run. They are not judged.
func (w *world) others(front int, stop time.Time) {
	for time.Now().Before(stop) {
		id := newID()
		status, _, _, err := call(w.front(front), http.MethodPost, "/once/"+id, map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "3000"},
			[]byte(id), 3500*time.Millisecond)
		if status != http.StatusOK && status != http.StatusServiceUnavailable {
			w.rec.line("unsafe request %s of another caller at %s: %d %v", id, w.fronts[front].name, status, err)
		}
		time.Sleep(20 * time.Millisecond)
	}
}
