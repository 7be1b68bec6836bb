// Package instances is the stand-in of the platform's lagging list of instances.
//
// # Usage
//
//	l := instances.New(2*time.Second, first)
//	err := web.Serve(ctx, "127.0.0.1:7300", l)
//
// GET /instances answers the list as it was before the lag, with the wrong entries that a test has set.
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

type state struct {
	at   time.Time
	list map[string]wire.Instance
}

// List is the list with its past states.
type List struct {
	mu     sync.Mutex
	lag    time.Duration
	states []state // oldest first, the first one is visible at once
	wrong  map[string]wire.Instance
	calls  int
}

// New returns a list that shows first at once and each change after the lag.
func New(lag time.Duration, first []wire.Instance) *List {
	l := &List{lag: lag, wrong: map[string]wire.Instance{}}
	l.states = []state{{list: index(first)}}
	return l
}

func index(instances []wire.Instance) map[string]wire.Instance {
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

// At returns the list that is visible at a time.
func (l *List) At(now time.Time) wire.Instances {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	for len(l.states) > 1 && !now.Before(l.states[1].at.Add(l.lag)) {
		l.states = l.states[1:]
	}
	m := maps.Clone(l.states[0].list)
	maps.Copy(m, l.wrong)
	out := slices.Collect(maps.Values(m))
	slices.SortFunc(out, func(a, b wire.Instance) int { return cmp.Compare(a.Name, b.Name) })
	if out == nil {
		out = []wire.Instance{}
	}
	return wire.Instances{Instances: out}
}

// Control changes the list; the change is visible after the lag.
func (l *List) Control(c report.InstancesControl, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.Lag != nil {
		l.lag = time.Duration(*c.Lag) * time.Millisecond
	}
	if c.Right {
		l.wrong = map[string]wire.Instance{}
	}
	maps.Copy(l.wrong, index(c.Wrong))
	if len(c.Set) == 0 && len(c.Remove) == 0 {
		return
	}
	m := maps.Clone(l.states[len(l.states)-1].list)
	maps.Copy(m, index(c.Set))
	for _, n := range c.Remove {
		delete(m, n)
	}
	l.states = append(l.states, state{at: now, list: m})
}
