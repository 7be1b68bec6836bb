// Package instances simulates the platform's list of instances, which shows changes with a lag.
//
// # Usage
//
//	l := instances.New(2*time.Second, first)
//	err := web.Serve(ctx, "127.0.0.1:7300", l)
//
// GET /instances returns the list as it was before the lag, with the incorrect entries that a test has set.
package instances

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"bulrushspoke/standin/internal/web"
	"bulrushspoke/standin/report"
	"bulrushspoke/wire"
)

type snapshot struct {
	at   time.Time
	list map[string]wire.Instance
}

// List is a list of instances with its past states. It is an http.Handler.
type List struct {
	mu        sync.Mutex
	lag       time.Duration
	snapshots []snapshot // oldest first, the first one is visible at once
	overrides map[string]wire.Instance
	calls     int
}

// New returns a list that contains first at once and shows each change after the lag.
func New(lag time.Duration, first []wire.Instance) *List {
	l := &List{lag: lag, overrides: map[string]wire.Instance{}}
	l.snapshots = []snapshot{{list: indexByName(first)}}
	return l
}

func indexByName(instances []wire.Instance) map[string]wire.Instance {
	m := map[string]wire.Instance{}
	for _, i := range instances {
		m[i.Name] = i
	}
	return m
}

// ServeHTTP implements http.Handler.
func (l *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/instances":
		web.WriteJSON(w, http.StatusOK, l.At(time.Now()))
	case "/control":
		var c report.InstancesControl
		if web.ReadJSON(w, r, &c) {
			l.Control(c, time.Now())
			w.WriteHeader(http.StatusNoContent)
		}
	case "/counts":
		l.mu.Lock()
		n := l.calls
		l.mu.Unlock()
		web.WriteJSON(w, http.StatusOK, map[string]int{"calls": n})
	default:
		http.NotFound(w, r)
	}
}

// At returns the list that is visible at a time, sorted by name, and counts the call. The time must not decrease from
// call to call, because older states are discarded.
func (l *List) At(now time.Time) wire.Instances {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	for len(l.snapshots) > 1 && !now.Before(l.snapshots[1].at.Add(l.lag)) {
		l.snapshots = l.snapshots[1:]
	}
	m := maps.Clone(l.snapshots[0].list)
	maps.Copy(m, l.overrides)
	out := slices.Collect(maps.Values(m))
	slices.SortFunc(out, func(a, b wire.Instance) int { return cmp.Compare(a.Name, b.Name) })
	if out == nil {
		out = []wire.Instance{}
	}
	return wire.Instances{Instances: out}
}

// Control changes the list. Set and Remove become visible after the lag; incorrect entries and the lag apply at once.
func (l *List) Control(c report.InstancesControl, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.Lag != nil {
		l.lag = time.Duration(*c.Lag) * time.Millisecond
	}
	if c.Right {
		l.overrides = map[string]wire.Instance{}
	}
	maps.Copy(l.overrides, indexByName(c.Wrong))
	if len(c.Set) == 0 && len(c.Remove) == 0 {
		return
	}
	m := maps.Clone(l.snapshots[len(l.snapshots)-1].list)
	maps.Copy(m, indexByName(c.Set))
	for _, n := range c.Remove {
		delete(m, n)
	}
	l.snapshots = append(l.snapshots, snapshot{at: now, list: m})
}
