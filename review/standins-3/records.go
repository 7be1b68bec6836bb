package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// outage makes a store silent for a time.
type outage struct {
	store  *store
	silent atomic.Bool
}

// ServeHTTP implements http.Handler.
func (o *outage) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if o.silent.Load() {
		<-r.Context().Done()
		return
	}
	o.store.ServeHTTP(w, r)
}

// records: the results of a batch job pile up while the store is silent for 4.5 s. Their texts contain markup, so that the record
// in which they are to be listed is larger than an object of the store may be. No rule names this; it is not a case.
func records(l *lab) error {
	const (
		items     = 96
		events    = 25
		eventTime = 20 * time.Millisecond
		silence   = 4500 * time.Millisecond
		limit     = 40 * time.Second
	)
	text := strings.Repeat("<tr><td>willow</td><td>3 cuttings</td></tr>", 8)[:310]
	l.store.put("config", "main", config(7, nil, nil, nil))
	o := &outage{store: l.store}
	if _, err := serveHTTP(l.addr(250, portStore), o); err != nil {
		return err
	}
	for i := range 2 {
		s := &server{lab: l, service: "huvo11a", address: l.addr(101+i, portApp), zone: "pamplemousses", slots: 12, model: "daka510000"}
		s.handle = func(c *conn, q *request) {
			if c.stream(q, events, eventTime, func(n int) string { return fmt.Sprintf("%d %s", n, text) }) {
				l.note("item %s whole output sent", q.id)
			}
		}
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
	j := job{Model: "daka510000", MinVersion: 1, GroupCount: items / 4}
	for n := range items {
		j.Items = append(j.Items, item{
			ID: fmt.Sprintf("e5b2%08x", n), Path: fmt.Sprintf("/pufi791/3/%x", n), Body: []byte("prompt"), Tokens: 940, Group: fmt.Sprintf("g%d", n/4),
			Headers: map[string]string{"X-Model": "daka510000", "X-Token-Count": "540,400"},
		})
	}
	const id = "7c41e09b52d6a3f8"
	if err := l.submit(addrs, "/pufi791/", id, j); err != nil {
		return err
	}
	if l.trouble {
		time.Sleep(200 * time.Millisecond)
		l.note("store silent")
		o.silent.Store(true)
		time.AfterFunc(silence, func() {
			o.silent.Store(false)
			l.note("store back")
		})
	}
	all := l.readAll(addrs, id, limit)
	if len(all) < items {
		l.breach("(no rule) %d of %d results were listed in %s; each item was run to its end", len(all), items, limit)
	}
	l.note("%d of %d results read", len(all), items)
	l.endJob(addrs, id)
	return nil
}
