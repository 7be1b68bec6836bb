package main

import (
	"errors"
	"fmt"
	"time"
)

// sweep: a batch job of the size of some batches, due in 90 s, is still open when the keeper removes old jobs. With trouble,
// the entry that runs it is killed after that, and started again a second later.
func sweep(l *lab) error {
	const (
		fronts    = 4
		items     = 110
		events    = 25
		eventTime = 240 * time.Millisecond
		killAt    = 64 * time.Second
		limit     = 100 * time.Second
		settle    = time.Second
	)
	l.bounds = map[string]string{"status_s": "12"}
	l.store.put("config", "main", config(7, map[string]any{"due_ms": 90000, "max_queue_s": 100.0}, nil, nil))
	if _, err := serveHTTP(l.addr(250, portStore), l.store); err != nil {
		return err
	}
	for i := range 2 {
		s := &server{lab: l, service: "huvo11a", address: l.addr(101+i, portApp), zone: "pamplemousses", slots: 4, model: "daka510000"}
		s.handle = func(c *conn, q *request) {
			l.note("item %s begins at %s after event %q", q.id, s.id, q.Header.Get("Last-Event-Id"))
			if c.stream(q, events, eventTime, func(n int) string { return fmt.Sprintf("%s-%d", q.id, n) }) {
				l.note("item %s whole output sent", q.id)
			}
		}
		if err := s.start(fmt.Sprintf("i-7f3a91c%d", i)); err != nil {
			return err
		}
	}
	if _, err := l.keeper(); err != nil {
		return err
	}
	procs, addrs, err := l.fronts(fronts)
	if err != nil {
		return err
	}
	if err := l.awaitReady(fronts); err != nil {
		return err
	}
	time.Sleep(time.Second)
	j := job{Model: "daka510000", MinVersion: 1, GroupCount: items}
	for n := range items {
		j.Items = append(j.Items, item{
			ID: fmt.Sprintf("e5b2%08x", n), Path: fmt.Sprintf("/pufi791/3/%x", n), Body: []byte("prompt"), Tokens: 940, Group: fmt.Sprintf("g%d", n),
			Headers: map[string]string{"X-Model": "daka510000", "X-Token-Count": "540,400"},
		})
	}
	const id = "7c41e09b52d6a3f8"
	if err := l.submit(addrs, "/pufi791/", id, j); err != nil {
		return err
	}
	accepted := time.Now()
	time.Sleep(500 * time.Millisecond)
	owner := l.owner(id)
	l.note("job runs at %s", owner)
	all, killed, lost, disturbed := []result{}, false, 0, ""
	for n := 0; time.Since(accepted) < limit && len(all) < items && lost < 10; n++ {
		if l.trouble && !killed && time.Since(l.began) > killAt {
			for i, p := range procs {
				if p.name == owner {
					killed = true
					disturbed = addrs[i] // not in touch from now on; only the other entry is judged
					p.kill()
					time.AfterFunc(time.Second, func() { _ = p.start() })
				}
			}
		}
		asked := time.Now()
		p, status := l.read(addrs[n%fronts], id, len(all), 1000)
		switch {
		case status == 404 || status == 410:
			l.note("job read from %d at %s: %d", len(all), addrs[n%fronts], status)
			if addrs[n%fronts] == disturbed || asked.Sub(accepted) <= settle {
				break
			}
			if lost++; lost == 1 {
				l.breach("LOST: %s answers %d for the open job, %d of %d results were read", addrs[n%fronts], status, len(all), items)
			}
		case status == 200:
			l.note("job read from %d at %s: %d results", len(all), addrs[n%fronts], len(p.Results))
			all = append(all, p.Results...)
		default:
			l.note("job read from %d at %s: %d", len(all), addrs[n%fronts], status)
		}
		time.Sleep(500 * time.Millisecond)
	}
	l.note("%d of %d results read", len(all), items)
	if l.trouble && !killed {
		return errors.New("no entry was killed")
	}
	l.endJob(addrs, id)
	return nil
}
