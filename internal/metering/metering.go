// Package metering counts the requests of workspaces in windows of time and collects the counts of several processes.
//
// # Usage
//
//	c := metering.NewCounter()
//	c.Add(window, "workspace-1")
//	windows, completed, found := c.Changes()
//
//	l := metering.NewCollector()
//	l.Merge(metering.Message{Name: "entry-1", …})
//	reports := l.Closed(last, metering.Closing{…})
//
// It is designed for some tens of processes that together count some ten requests a second of a hundred workspaces: counts of
// a window are small, and each request matters. Counts are cumulative, so that a message may be lost, repeated or reordered.
// Windows are numbered; their length is known only to the caller. The package has no clock; its types are safe for use by one
// goroutine at a time.
package metering

import (
	"maps"
	"slices"
	"time"
)

// MaxWindows is the number of windows that are kept until their counts have been written; older ones are dropped. It covers an
// outage of ten minutes with windows of five seconds.
const MaxWindows = 128

// maxProcesses is the number of processes that are remembered for each name.
const maxProcesses = 16

// Window returns the number of the window that contains a time since 1970.
func Window(t, length time.Duration) int64 { return int64(t / length) }

// Counts are the requests of a window by workspace.
type Counts map[string]int

// Counter counts the requests of one process.
type Counter struct {
	windows map[int64]Counts
	changed map[int64]Counts // new totals since the last Changes
	written int64            // newest window whose counts have been written; later changes come too late
	through int64
	marked  int64 // value of through in the last Changes
	late    int64
}

// NewCounter returns a Counter for a process that started in the given window. Earlier windows are complete.
func NewCounter(started int64) *Counter {
	return &Counter{windows: make(map[int64]Counts), changed: make(map[int64]Counts), through: started - 1, marked: started - 2}
}

// Add counts a request.
func (c *Counter) Add(window int64, workspace string) {
	if window <= c.written {
		c.late++
		return
	}
	if c.windows[window] == nil {
		c.windows[window] = make(Counts)
		forgetExcess(c.windows)
	}
	c.windows[window][workspace]++
	if c.changed[window] == nil {
		c.changed[window] = make(Counts)
		forgetExcess(c.changed)
	}
	c.changed[window][workspace] = c.windows[window][workspace]
}

// Late returns the number of requests that became known after the counts of their window had been written.
func (c *Counter) Late() int64 { return c.late }

// Complete marks all windows up to the given one as complete.
func (c *Counter) Complete(through int64) { c.through = max(c.through, through) }

// Through returns the newest complete window.
func (c *Counter) Through() int64 { return c.through }

// Written forgets the windows up to the given one.
func (c *Counter) Written(last int64) {
	c.written = max(c.written, last)
	maps.DeleteFunc(c.windows, func(w int64, _ Counts) bool { return w <= last })
	maps.DeleteFunc(c.changed, func(w int64, _ Counts) bool { return w <= last })
}

// Changes returns the counts that have changed since the last call, whether further windows have become complete, and whether
// there is anything to send. All counts of windows that have become complete are included, since an earlier message about them
// may be lost.
func (c *Counter) Changes() (changed map[int64]Counts, completed, found bool) {
	completed = c.through > c.marked
	changed = c.changed
	c.changed = make(map[int64]Counts)
	for w, n := range c.windows {
		if w > c.marked && w <= c.through {
			changed[w] = maps.Clone(n)
		}
	}
	c.marked = c.through
	return changed, completed, completed || len(changed) > 0
}

// All returns all windows that have not been written.
func (c *Counter) All() map[int64]Counts {
	return copyWindows(c.windows)
}

func copyWindows(windows map[int64]Counts) map[int64]Counts {
	all := make(map[int64]Counts, len(windows))
	for w, n := range windows {
		all[w] = maps.Clone(n)
	}
	return all
}

// forgetExcess removes the oldest windows beyond MaxWindows.
func forgetExcess(windows map[int64]Counts) {
	for len(windows) > MaxWindows {
		delete(windows, slices.Min(slices.Collect(maps.Keys(windows))))
	}
}

// Collector holds the counts of all processes that have not been written.
type Collector struct {
	entries map[string]*entry
	written int64
}

// entry holds the counts of the processes that have run under one name.
type entry struct {
	incarnation string                      // of the newest process
	through     int64                       // newest window that it has marked as complete
	bye         bool                        // it sends no further counts
	processes   map[string]map[int64]Counts // by incarnation and window
}

// NewCollector returns an empty Collector.
func NewCollector() *Collector { return &Collector{entries: make(map[string]*entry)} }

// Message holds counts of one process.
type Message struct {
	Name        string // of the entry
	Incarnation string // of the process, which sorts after those of earlier processes of the entry
	Through     int64  // newest complete window
	Bye         bool   // no further message follows
	Windows     map[int64]Counts
}

// Merge applies a message. Counts only grow, so a message that has been overtaken changes nothing.
func (l *Collector) Merge(m Message) {
	e := l.entries[m.Name]
	if e == nil {
		e = &entry{processes: make(map[string]map[int64]Counts)}
		l.entries[m.Name] = e
	}
	if e.processes[m.Incarnation] == nil {
		e.processes[m.Incarnation] = make(map[int64]Counts)
	}
	if m.Incarnation > e.incarnation {
		// A name is used by one process at a time, so an earlier one has ended and what it has sent is complete.
		e.incarnation, e.through, e.bye = m.Incarnation, m.Through, m.Bye
	}
	if e.incarnation == m.Incarnation {
		e.through, e.bye = max(e.through, m.Through), e.bye || m.Bye
	}
	for w, counts := range m.Windows {
		if w <= l.written {
			continue
		}
		held := e.processes[m.Incarnation][w]
		if held == nil {
			held = make(Counts)
			e.processes[m.Incarnation][w] = held
			forgetExcess(e.processes[m.Incarnation])
		}
		for workspace, n := range counts {
			held[workspace] = max(held[workspace], n)
		}
	}
}

// Written forgets the windows up to the given one.
func (l *Collector) Written(last int64) {
	l.written = max(l.written, last)
	for _, e := range l.entries {
		for incarnation, windows := range e.processes {
			maps.DeleteFunc(windows, func(w int64, _ Counts) bool { return w <= last })
			// An ended process is remembered for a while, so that a delayed message does not pass for one of a new process.
			if len(windows) == 0 && incarnation != e.incarnation && len(e.processes) > maxProcesses {
				delete(e.processes, incarnation)
			}
		}
	}
}

// First returns the earliest window for which there are counts; false if there is none.
func (l *Collector) First() (int64, bool) {
	first, found := int64(0), false
	for _, e := range l.entries {
		for _, windows := range e.processes {
			for w := range windows {
				if !found || w < first {
					first, found = w, true
				}
			}
		}
	}
	return first, found
}

// Total returns the counts of a window.
func (l *Collector) Total(window int64) Counts {
	total := make(Counts)
	for _, e := range l.entries {
		for _, windows := range e.processes {
			for workspace, n := range windows[window] {
				total[workspace] += n
			}
		}
	}
	return total
}

// Missing returns those of the given processes that have not marked a window as complete.
func (l *Collector) Missing(window int64, names []string) []string {
	var missing []string
	for _, name := range names {
		if e := l.entries[name]; e == nil || !e.bye && e.through < window {
			missing = append(missing, name)
		}
	}
	return missing
}

// Held returns messages with all counts of an entry, that of its newest process last.
func (l *Collector) Held(name string) []Message {
	e := l.entries[name]
	if e == nil {
		return nil
	}
	var messages []Message
	for _, incarnation := range slices.Sorted(maps.Keys(e.processes)) {
		if incarnation != e.incarnation && len(e.processes[incarnation]) > 0 {
			messages = append(messages, Message{Name: name, Incarnation: incarnation, Windows: copyWindows(e.processes[incarnation])})
		}
	}
	return append(messages, Message{
		Name: name, Incarnation: e.incarnation, Through: e.through, Bye: e.bye, Windows: copyWindows(e.processes[e.incarnation]),
	})
}

// Names returns the sorted names of the entries with counts that have not been written.
func (l *Collector) Names() []string {
	var names []string
	for name, e := range l.entries {
		for _, windows := range e.processes {
			if len(windows) > 0 {
				names = append(names, name)
				break
			}
		}
	}
	slices.Sort(names)
	return names
}

// Ended reports whether the newest process of a name sends no further counts.
func (l *Collector) Ended(name string) bool {
	e := l.entries[name]
	return e != nil && e.bye
}

// Closing describes what decides whether a window may be closed.
type Closing struct {
	Now            time.Duration // true time since 1970
	Length         time.Duration // of a window
	Settle         time.Duration // from the end of a window until no request of it is open
	Deadline       time.Duration // from the end of a window until it is closed though processes have not marked it as complete
	Expected       []string      // processes that may hold counts
	MayOmitMissing bool          // whether Deadline applies; false until the processes have had time to send their counts
}

// Report holds the final counts of a window.
type Report struct {
	Window  int64
	Counts  Counts
	Missing []string // processes that had not marked the window as complete
}

// Closed returns reports of the windows after the given one that may be closed, in order and without gaps. A window without
// requests has a report, too. Windows so old that nothing is kept of them any more are skipped.
func (l *Collector) Closed(after int64, c Closing) []Report {
	var reports []Report
	for w := max(after, Window(c.Now, c.Length)-MaxWindows) + 1; len(reports) < MaxWindows; w++ {
		age := c.Now - time.Duration(w+1)*c.Length
		if age < c.Settle {
			break
		}
		missing := l.Missing(w, c.Expected)
		if len(missing) > 0 && (!c.MayOmitMissing || age < c.Deadline) {
			break
		}
		reports = append(reports, Report{Window: w, Counts: l.Total(w), Missing: missing})
	}
	return reports
}
