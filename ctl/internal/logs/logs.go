// Package logs finds the log lines that explain what happened to a request.
//
// # Usage
//
//	lines, err := logs.Find(files, "8e3d8ec4a2be1cf9")
//
// The result holds the lines of the request and of its job. Added to them are lines of the same instances, from 10 s before
// the first of them to 10 s after the last, about the state of the instance: start and stop, store, links, configuration, and
// the servers that the request used. Lines that are not JSON log lines of the programs are skipped.
//
//	log, err := logs.Job(files, "619e670985624b9c")
//
// The result tells what the lines say about the records that hold the results of a batch job, what contradicts, and where
// lines are missing.
package logs

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"
)

// contextWindow is the time before and after the lines of a request in which lines about the state of the instance are
// included; outages of the platform's store last some seconds.
const contextWindow = 10 * time.Second

// maxLineBytes bounds the length of a line; the programs write lines of less than a tenth of it.
const maxLineBytes = 1 << 20

// Line is one log line.
type Line struct {
	Time    time.Time         `json:"time"`
	Name    string            `json:"name"` // name of the instance
	Event   int               `json:"event"`
	Text    string            `json:"msg"`
	Match   bool              `json:"own"` // the line belongs to the request or its job
	Details map[string]string `json:"details"`
}

// String returns the non-empty details as name=value, sorted by name.
func (l Line) String() string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(l.Details)) {
		if v := l.Details[name]; v != "" && v != "null" {
			parts = append(parts, name+"="+v)
		}
	}
	return strings.Join(parts, " ")
}

// Numbers of events about the state of an instance rather than a request.
const (
	firstStateEvent, lastStateEvent = 100, 199 // start, stop, links, the store and its watches
	configApplied                   = 1020     // by an entry
	serverKnown                     = 131      // first of the three events about a server
	serverGone                      = 133      // last of the events about a server
)

// Find returns the lines about a request, item or job and the related lines, sorted by time, or none if no line mentions
// the id.
func Find(files []string, id string) ([]Line, error) {
	var matches []Line
	err := forEachLine(files, func(l Line) {
		if l.mentions(id) {
			matches = append(matches, l)
		}
	})
	if err != nil || len(matches) == 0 {
		return nil, err
	}
	c := newScope(matches, id)
	var found []Line
	err = forEachLine(files, func(l Line) {
		if c.includes(&l) {
			found = append(found, l)
		}
	})
	slices.SortStableFunc(found, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return found, err
}

// mentions reports whether a detail of the line is the id or a list that contains it.
func (l Line) mentions(id string) bool {
	for _, v := range l.Details {
		if v == id || strings.HasPrefix(v, "[") && strings.Contains(v, `"`+id+`"`) {
			return true
		}
	}
	return false
}

// scope is what the lines of a request say about where and when it ran.
type scope struct {
	id          string
	jobs        map[string]bool
	instances   map[string]bool
	servers     map[string]bool
	first, last time.Time
}

func newScope(matches []Line, id string) *scope {
	c := &scope{id: id, jobs: map[string]bool{}, instances: map[string]bool{}, servers: map[string]bool{}}
	for _, l := range matches {
		c.instances[l.Name] = true
		if j := l.Details["job"]; j != "" {
			c.jobs[j] = true
		}
		if s := l.Details["server"]; s != "" {
			c.servers[s] = true
		}
		var list []string
		if json.Unmarshal([]byte(l.Details["servers"]), &list) == nil { // the detail is optional
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

// includes reports whether a line is about the request or its surroundings, and sets Match for the former.
func (c *scope) includes(l *Line) bool {
	job := l.Details["job"]
	// Lines of the job that are about another request or item are left out.
	ofJob := l.Details["request"] == "" && c.jobs[job]
	l.Match = l.mentions(c.id) || ofJob
	if l.Match {
		return true
	}
	if !c.instances[l.Name] || l.Time.Before(c.first.Add(-contextWindow)) || l.Time.After(c.last.Add(contextWindow)) {
		return false
	}
	if l.Event >= serverKnown && l.Event <= serverGone {
		return c.servers[l.Details["server"]]
	}
	return l.Event >= firstStateEvent && l.Event <= lastStateEvent || l.Event == configApplied
}

// Texts of lines without an event, which mark a place where lines are missing.
const (
	linesDropped = "log lines dropped" // written by the programs
	lineCut      = "incomplete lines"
)

// forEachLine calls f for each log line of the programs in the files; other lines are skipped. Lines that are missing are
// represented by one with the event 0.
func forEachLine(files []string, f func(Line)) error {
	for _, name := range files {
		if err := scanFile(name, f); err != nil {
			return fmt.Errorf("logs: %s: %w", name, err)
		}
	}
	return nil
}

func scanFile(name string, f func(Line)) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // read-only; nothing can be lost
	in := bufio.NewScanner(file)
	in.Buffer(nil, maxLineBytes)
	for in.Scan() {
		if l, ok := decode(in.Bytes()); ok {
			f(l)
		}
	}
	return in.Err()
}

// decode parses a line; a log collector may have added a prefix before the JSON object.
func decode(text []byte) (Line, bool) {
	start := max(0, bytes.IndexByte(text, '{'))
	var fields map[string]json.RawMessage
	if json.Unmarshal(text[start:], &fields) != nil {
		ofProgram := bytes.HasPrefix(text[start:], []byte(`{"time":"`)) || bytes.Contains(text, []byte(`,"event":`))
		return Line{Text: lineCut}, ofProgram
	}
	l := Line{Details: map[string]string{}}
	targets := map[string]any{"time": &l.Time, "name": &l.Name, "event": &l.Event, "msg": &l.Text}
	for name, raw := range fields {
		if target, ok := targets[name]; ok {
			if json.Unmarshal(raw, target) != nil {
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
	return l, l.Event != 0 || l.Text == linesDropped
}
