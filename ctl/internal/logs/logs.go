// Package logs finds the lines of the programs' logs that tell what became of a request.
//
// # Usage
//
//	lines, err := logs.Find(files, "8e3d8ec4a2be1cf9")
//
// The lines of the request itself, and of its job, are joined by those of the time around it that changed what the
// instance believed: its start and stop, the store, links, the configuration and the servers that the request met.
package logs

import (
	"bufio"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"
)

// around is how long before and after the lines of a request others may have to do with it; outages of the platform's
// store last some seconds.
const around = 10 * time.Second

// maxLine bounds one line in bytes; the programs write less than a tenth of it.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	Time    time.Time         `json:"time"`
	Name    string            `json:"name"` // of the instance
	Event   int               `json:"event"`
	Text    string            `json:"msg"`
	Own     bool              `json:"own"` // it names the request or its job
	Details map[string]string `json:"details"`
}

// String returns the details in the order of their names.
func (l Line) String() string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(l.Details)) {
		if v := l.Details[name]; v != "" && v != "null" {
			parts = append(parts, name+"="+v)
		}
	}
	return strings.Join(parts, " ")
}

// Events that change what an instance believes, whatever request it serves.
const (
	firstState, lastState = 100, 199 // start, stop, links, the store and its news
	configApplied         = 1020     // by an entry
	serverKnown           = 131      // first of three events on a server
	serverGone            = 133      // last of them
)

// Find returns the lines of a request, item or job and those around them, in order of time.
func Find(files []string, id string) ([]Line, error) {
	var own []Line
	err := each(files, func(l Line) {
		if l.names(id) {
			own = append(own, l)
		}
	})
	if err != nil || len(own) == 0 {
		return nil, err
	}
	c := newContext(own, id)
	var found []Line
	err = each(files, func(l Line) {
		if c.belongs(&l) {
			found = append(found, l)
		}
	})
	slices.SortStableFunc(found, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return found, err
}

// names reports whether a detail of the line is the id, or a list with it.
func (l Line) names(id string) bool {
	for _, v := range l.Details {
		if v == id || strings.HasPrefix(v, "[") && strings.Contains(v, `"`+id+`"`) {
			return true
		}
	}
	return false
}

// context is what the lines of a request tell of where and when it was.
type context struct {
	id          string
	jobs        map[string]bool
	instances   map[string]bool
	servers     map[string]bool
	first, last time.Time
}

func newContext(own []Line, id string) *context {
	c := &context{id: id, jobs: map[string]bool{}, instances: map[string]bool{}, servers: map[string]bool{}}
	for _, l := range own {
		c.instances[l.Name] = true
		if j := l.Details["job"]; j != "" {
			c.jobs[j] = true
		}
		if s := l.Details["server"]; s != "" {
			c.servers[s] = true
		}
		var list []string
		if json.Unmarshal([]byte(l.Details["servers"]), &list) == nil { // a line without a list of servers has none
			for _, s := range list {
				c.servers[s] = true
			}
		}
		if c.first.IsZero() || l.Time.Before(c.first) {
			c.first = l.Time
		}
		if l.Time.After(c.last) {
			c.last = l.Time
		}
	}
	return c
}

// belongs reports whether a line has to do with the request, and marks its own.
func (c *context) belongs(l *Line) bool {
	job := l.Details["job"]
	// Of a job's lines, those on other requests and items are left out.
	about := l.Details["request"] == "" && c.jobs[job]
	l.Own = l.names(c.id) || about
	if l.Own {
		return true
	}
	if !c.instances[l.Name] || l.Time.Before(c.first.Add(-around)) || l.Time.After(c.last.Add(around)) {
		return false
	}
	if l.Event >= serverKnown && l.Event <= serverGone {
		return c.servers[l.Details["server"]]
	}
	return l.Event >= firstState && l.Event <= lastState || l.Event == configApplied
}

// each calls f for each line of the files that a program has written; other lines are passed over.
func each(files []string, f func(Line)) error {
	for _, name := range files {
		if err := eachOf(name, f); err != nil {
			return fmt.Errorf("logs: %s: %w", name, err)
		}
	}
	return nil
}

func eachOf(name string, f func(Line)) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // nothing was written
	in := bufio.NewScanner(file)
	in.Buffer(nil, maxLine)
	for in.Scan() {
		if l, ok := decode(in.Bytes()); ok {
			f(l)
		}
	}
	return in.Err()
}

// decode decodes a line, which a collector may have put a prefix before.
func decode(text []byte) (Line, bool) {
	begin := strings.IndexByte(string(text), '{')
	if begin < 0 {
		return Line{}, false
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(text[begin:], &fields) != nil {
		return Line{}, false
	}
	l := Line{Details: map[string]string{}}
	known := map[string]any{"time": &l.Time, "name": &l.Name, "event": &l.Event, "msg": &l.Text}
	for name, raw := range fields {
		if into, ok := known[name]; ok {
			if json.Unmarshal(raw, into) != nil {
				return Line{}, false
			}
			continue
		}
		var s string
		if json.Unmarshal(raw, &s) != nil {
			s = string(raw)
		}
		if name != "level" {
			l.Details[name] = s
		}
	}
	return l, l.Event != 0
}
