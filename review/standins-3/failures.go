package main

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// failures: items of which each fails twice with 500 and would succeed at its third run. With trouble, the first of these
// answers is followed by a copy of itself some milliseconds later, at one of the two model servers.
func failures(l *lab) error {
	const (
		calm      = 3 * time.Second // before and after the disruption
		garble    = 5 * time.Second // length of the disruption
		share     = 40              // at most one of so many answers gets an extra copy
		perJob    = 40
		late      = 20 * time.Millisecond // of the extra answer
		failTime  = 60 * time.Millisecond // of a run that fails
		eventTime = 4 * time.Millisecond  // of the faster server; the other one takes half as long again
		events    = 8
	)
	var mu sync.Mutex
	runs, failed, extras, answers := map[string]int{}, map[string]int{}, 0, 0
	flaky := map[string]bool{}
	var from atomic.Int64 // begin of the disruption
	inGarble := func() bool {
		now, begin := time.Now(), time.Unix(0, from.Load())
		return from.Load() != 0 && now.After(begin) && now.Before(begin.Add(garble))
	}
	handle := func(garbled bool) func(c *conn, q *request) {
		return func(c *conn, q *request) {
			mu.Lock()
			runs[q.id]++
			n, isFlaky := runs[q.id], flaky[q.id]
			if garbled && inGarble() {
				answers++
			}
			mu.Unlock()
			l.note("item %s run %d begins at %s, %s", q.id, n, c.server.id, c.RemoteAddr())
			if !isFlaky || n > 2 {
				interval := eventTime
				if !garbled {
					interval += eventTime / 2
				}
				sent := c.stream(q, events, interval, func(n int) string { return fmt.Sprintf("%s-%d", q.id, n) })
				l.note("item %s run %d whole output sent: %t", q.id, n, sent)
				return
			}
			if !pause(q.ctx, failTime) {
				l.note("item %s run %d: caller left", q.id, n)
				return
			}
			mu.Lock()
			failed[q.id]++
			mu.Unlock()
			a := c.whole(500, q.id, "X-Server-Stamp: "+c.server.stamp()+"\r\n", "failed")
			l.note("item %s run %d answered 500", q.id, n)
			mu.Lock()
			extra := l.trouble && garbled && n == 1 && inGarble() && (extras+1)*share <= answers
			if extra {
				extras++
			}
			mu.Unlock()
			if extra {
				time.AfterFunc(late, func() {
					l.note("item %s extra copy of the answer of run 1: %t", q.id, c.raw(a))
				})
			}
		}
	}
	l.store.put("config", "main", config(7, nil, nil, nil))
	if _, err := serveHTTP(l.addr(250, portStore), l.store); err != nil {
		return err
	}
	for i := range 2 {
		s := &server{lab: l, service: "huvo11a", address: l.addr(101+i, portApp), zone: "pamplemousses", slots: 12, model: "daka510000", handle: handle(i == 0)}
		if err := s.start(fmt.Sprintf("i-7f3a91c%d", i)); err != nil {
			return err
		}
	}
	_, addrs, err := l.fronts(2)
	if err != nil {
		return err
	}
	if err := l.awaitReady(2); err != nil {
		return err
	}
	time.Sleep(time.Second)
	from.Store(time.Now().Add(calm).UnixNano())
	end := time.Now().Add(calm + garble + calm)
	for step := 0; time.Now().Before(end); step++ {
		id := fmt.Sprintf("7c41e09b%08x", step)
		j := job{Step: step, Model: "daka510000", MinVersion: 1, GroupCount: perJob / 4}
		for n := range perJob {
			it := item{
				ID: fmt.Sprintf("e5b2%04x%04x", step, n), Path: fmt.Sprintf("/pufi791/3/%x", n), Body: []byte("prompt"), Tokens: 940,
				Headers: map[string]string{"X-Model": "daka510000", "X-Token-Count": "540,400", "X-Prompt-Prefix": fmt.Sprintf("9c2e%d:500,5d%x:40", n/4, n)},
				Group:   fmt.Sprintf("g%d-%d", step, n/4),
			}
			if n == 0 {
				mu.Lock()
				flaky[it.ID] = true
				mu.Unlock()
			}
			j.Items = append(j.Items, it)
		}
		if err := l.submit(addrs, "/pufi791/", id, j); err != nil {
			return err
		}
		results := l.readAll(addrs, id, 8*time.Second)
		l.note("job %s: %d results of %d items", id, len(results), perJob)
		for _, r := range results {
			l.note("item %s listed: %s", r.ID, r.State)
			mu.Lock()
			n := failed[r.ID]
			mu.Unlock()
			if r.State == "terminated" && n < 3 {
				l.breach("MIXED: item %s is listed as terminated after %d answers of 500; max_attempts is 3", r.ID, n)
			}
		}
		l.endJob(addrs, id)
	}
	mu.Lock()
	defer mu.Unlock()
	l.note("%d answers of the garbled server in the %s of the disruption, %d of them with an extra copy", answers, garble, extras)
	if l.trouble && extras == 0 {
		return errors.New("no extra answer was sent")
	}
	return nil
}
