package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// poison: a request crashes each server that begins to run it, a good second after it has begun, and comes again at all fronts.
func poison(l *lab) error {
	const (
		fronts    = 4
		servers   = 3
		crashTime = 1200 * time.Millisecond // from the begin of a run to the crash of its server
		downTime  = 2 * time.Second
		contact   = 4 * time.Second
		allowed   = 3
		roundTime = 1050 * time.Millisecond
	)
	var mu sync.Mutex
	var crashes []time.Time
	late := map[string]bool{} // attempts that reached servers later than contact after the third crash
	l.store.put("config", "main", config(7, nil, []any{map[string]any{
		"name": "r-a3hwrr6", "hostname": host, "path_prefix": "/lohu930/", "kind": "safe", "timeout_ms": 3000, "slo_ms": 200, "priority": 2,
		"service": "wuno96b", "max_attempts": 2,
	}}, []any{map[string]any{"name": "wuno96b", "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": false}}))
	if _, err := serveHTTP(l.addr(250, portStore), l.store); err != nil {
		return err
	}
	for i := range servers {
		s := &server{lab: l, service: "wuno96b", address: l.addr(101+i, portApp), zone: "pamplemousses", slots: 6}
		s.handle = func(c *conn, q *request) {
			s.mu.Lock()
			id, stop := s.id, s.stop
			s.mu.Unlock()
			if string(q.body) != "poison" {
				l.note("request %s begins at %s", q.id, id)
				if pause(q.ctx, 21*time.Millisecond) {
					c.whole(200, q.id, "X-Server-Stamp: "+s.stamp()+"\r\n", "body of "+q.id)
				}
				return
			}
			now := time.Now()
			mu.Lock()
			if len(crashes) >= 3 && now.Sub(crashes[2]) > contact {
				late[q.id] = true
			}
			n := len(late)
			mu.Unlock()
			l.note("attempt %s begins at %s; %d attempts since contact_ms after the third crash", q.id, id, n)
			if !pause(q.ctx, crashTime) {
				l.note("attempt %s at %s: caller left", q.id, id)
				return
			}
			if !l.trouble {
				c.whole(200, q.id, "X-Server-Stamp: "+s.stamp()+"\r\n", "body of "+q.id)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if closed(stop) {
				return // has crashed on another attempt
			}
			crashes = append(crashes, time.Now())
			l.note("server %s crashes on attempt %s, crash %d", id, q.id, len(crashes))
			s.crash()
			next := fmt.Sprintf("i-%d%02x", i, len(crashes))
			time.AfterFunc(downTime, func() { _ = s.start(next) })
		}
		if err := s.start(fmt.Sprintf("i-7f3a91d%d", i)); err != nil {
			return err
		}
	}
	_, addrs, err := l.fronts(fronts)
	if err != nil {
		return err
	}
	if err := l.awaitReady(fronts); err != nil {
		return err
	}
	time.Sleep(time.Second)
	var sent sync.WaitGroup
	send := func(front int, id, body string) {
		sent.Add(1)
		go func() {
			defer sent.Done()
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			a := call(ctx, http.MethodPost, addrs[front], "/lohu930/2f", map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "3000"}, []byte(body))
			l.note("attempt %s (%s) answered by front %d: %d, Retry-After %q", id, body, front+1, a.status, a.header.Get("Retry-After"))
		}()
	}
	// Two attempts, the second at another front, crash three servers.
	for n := range 2 {
		send(n, fmt.Sprintf("9c41d07b0000%04x", n), "poison")
		sent.Wait()
		time.Sleep(downTime + 500*time.Millisecond)
	}
	if mu.Lock(); l.trouble && len(crashes) < 3 {
		mu.Unlock()
		return fmt.Errorf("%d servers have crashed, want 3", len(crashes))
	}
	mu.Unlock()
	// It comes again once the servers are back, at all fronts, about once a second.
	for n := range 16 {
		for f := range fronts {
			send(f, fmt.Sprintf("9c41d07b%04x%04x", n+1, f), "poison")
			send(f, fmt.Sprintf("9c41d07c%04x%04x", n+1, f), "other")
		}
		time.Sleep(roundTime)
	}
	sent.Wait()
	mu.Lock()
	defer mu.Unlock()
	if l.trouble && len(late) > allowed {
		l.breach("BUDGET: %d attempts reached servers later than %s after the third crash, at most %d may; %d crashes in all", len(late), contact, allowed, len(crashes))
	}
	return nil
}
