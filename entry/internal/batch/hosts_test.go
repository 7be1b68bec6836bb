package batch

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushspoke/internal/store"
)

// awayStore is a store that does not list objects.
type awayStore struct{ Store }

// List implements Store.
func (awayStore) List(context.Context, string) ([]store.Record, int64, error) {
	return nil, 0, store.NewUnavailableError(false, "no answer")
}

// Guards against a process that has started after the removal of a route and does not find the hosts of the jobs, or takes
// jobs that need a key for open ones.
func TestHostsOfJobs(t *testing.T) {
	r := newRig(t, newEngine(t, 1))
	m, stop := r.manager("a", "a1")
	for i, open := range []bool{false, true, false} {
		r.route.Open = open
		r.route.Host = []string{"h", "h", "other"}[i]
		r.submit(m, []string{"j1", "j2", "j3"}[i], payload(1, "g-1"))
		time.Sleep(2 * time.Millisecond) // submissions are ordered by the millisecond
	}
	stop()
	started, _ := r.manager("a", "a2")
	hosts, err := started.Hosts(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(map[string]bool{"h": true, "other": false}, hosts); d != "" {
		t.Errorf("hosts and whether they need no key (-want +got):\n%s", d)
	}
	started.Store = awayStore{started.Store}
	var down *store.UnavailableError
	if hosts, err = started.Hosts(t.Context()); !errors.As(err, &down) {
		t.Errorf("without the store the hosts are %v, %v", hosts, err)
	}
}
