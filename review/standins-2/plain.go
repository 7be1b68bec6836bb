package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// plain is a server of the service field-ledger. It knows the paths under /lohu930/ and answers 404 to all others.
type plain struct {
	id, address, zone string
	rec               *record
	st                *store
	born              int64
}

func newPlain(id, address, zone string, st *store, rec *record) *plain {
	return &plain{id: id, address: address, zone: zone, st: st, rec: rec, born: time.Now().UnixMilli()}
}

func (p *plain) publish() {
	p.st.put("servers", p.id, map[string]any{
		"service": "field-ledger", "address": p.address, "zone": p.zone, "version": "v1", "slots": 6, "state": "ready", "cold_left_ms": 0,
		"seq_no": 0, "born": p.born,
	})
}

func (p *plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", p.id)
	id := r.Header.Get("X-Request-Id")
	if x := r.Header.Get("X-Expect-Instance"); x != "" && x != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	time.Sleep(20 * time.Millisecond)
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Server-Stamp", "stamp."+id)
	status := http.StatusOK
	if !strings.HasPrefix(r.URL.Path, "/lohu930/") && !strings.HasPrefix(r.URL.Path, "/once/") {
		status = http.StatusNotFound
	}
	if !strings.HasPrefix(r.URL.Path, "/once/") {
		p.rec.line("%s of field-ledger runs %s %s: %d", p.id, r.Method, r.URL.RequestURI(), status)
	}
	w.WriteHeader(status)
	fmt.Fprintf(w, "answer to %s", id)
}
