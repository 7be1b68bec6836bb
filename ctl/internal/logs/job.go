package logs

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"bulrushspoke/internal/event"
)

// clock is the format of times in texts.
const clock = "15:04:05.000"

// JobLog is what log lines tell about the records of a batch job. The results of the job are those of its records, in the
// order of their numbers.
type JobLog struct {
	Verdict        string   `json:"verdict"`
	Items          int      `json:"items"` // 0 if no line tells
	Records        []Record `json:"records"`
	Changes        []Line   `json:"changes"` // of the owner, and loads of the records from the store
	Contradictions []string `json:"contradictions"`
	Gaps           []string `json:"gaps"` // signs of lines that are missing
}

// Record is a record of a batch job.
type Record struct {
	Number  int       `json:"record"`
	Time    time.Time `json:"time"`    // of the first line that names it
	Writer  string    `json:"writer"`  // instance, empty if unknown
	Process string    `json:"process"` // of the writer, empty if unknown
	Epoch   int       `json:"epoch"`   // 0 if unknown
	First   int       `json:"first"`   // position of the first result
	Results int       `json:"results"` // number of results
	Named   []string  `json:"named"`   // instances whose lines name it; the other fields are not set if there are none
}

// Job returns what the lines tell about the records of a batch job, or nil if the id is not that of a job.
func Job(files []string, id string) (*JobLog, error) {
	r := &jobReader{id: id, starts: make(map[string][]Line), last: make(map[string]Line)}
	for _, name := range files {
		if err := r.read(name); err != nil {
			return nil, fmt.Errorf("logs: %s: %w", name, err)
		}
	}
	if len(r.lines) == 0 {
		return nil, nil
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(r.lines, byTime)
	for _, l := range r.starts {
		slices.SortStableFunc(l, byTime)
	}
	return newJobSummary(r).summarize(), nil
}

// jobReader collects the lines that Job needs.
type jobReader struct {
	id     string
	lines  []Line            // of the job
	starts map[string][]Line // starts and stops by instance
	last   map[string]Line   // last line of each instance
	losses []loss
}

// loss is a place in a file where lines are missing.
type loss struct {
	file, text    string
	count         int
	after, before time.Time       // times of the lines around it, if there are any
	names         map[string]bool // instances that write to the file
}

func (r *jobReader) read(file string) error {
	names := make(map[string]bool)
	var previous time.Time
	open := len(r.losses) // the first loss that no line follows yet
	return scanFile(file, func(l Line) {
		if l.Event == 0 {
			n := max(1, l.number("count"))
			r.losses = append(r.losses, loss{file: file, text: l.Text, count: n, after: previous, names: names})
			return
		}
		for ; open < len(r.losses); open++ {
			r.losses[open].before = l.Time
		}
		previous, names[l.Name] = l.Time, true
		if !l.Time.Before(r.last[l.Name].Time) {
			r.last[l.Name] = l
		}
		if l.Event == event.Started.Number() || l.Event == event.Stopped.Number() {
			r.starts[l.Name] = append(r.starts[l.Name], l)
		}
		if l.Details["job"] == r.id {
			r.lines = append(r.lines, l)
		}
	})
}

// process returns the process of an instance at a time, or "" if no line tells.
func (r *jobReader) process(name string, at time.Time) string {
	inc := ""
	for _, l := range r.starts[name] {
		if l.Event == event.Started.Number() && !l.Time.After(at) {
			inc = l.Details["inc"]
		}
	}
	return inc
}

// instance returns the instance of a process, or "" if no line tells.
func (r *jobReader) instance(process string) string {
	for name, lines := range r.starts {
		for _, l := range lines {
			if l.Details["inc"] == process {
				return name
			}
		}
	}
	return ""
}

// sighting is what one line tells about a record.
type sighting struct {
	Record
	line    Line
	key     string // instance and process that logged the line
	derived bool   // the writer and the epoch follow from other lines
}

// jobSummary builds a JobLog.
type jobSummary struct {
	*jobReader
	log         JobLog
	first, last time.Time // lines of the job
	sightings   map[int][]sighting
	epochs      map[string]int  // by instance and process that owns the job
	ends        map[string]int  // position after the results that an instance and process has named
	lossy       map[string]bool // instances that may have lines that are missing
	loads       []Line
	faults      map[string][]Line // 1057 by content
	count       int               // number of records that the lines tell of
}

func newJobSummary(r *jobReader) *jobSummary {
	return &jobSummary{
		jobReader: r, first: r.lines[0].Time, last: r.lines[len(r.lines)-1].Time,
		log:       JobLog{Records: []Record{}, Changes: []Line{}, Contradictions: []string{}, Gaps: []string{}},
		sightings: make(map[int][]sighting), epochs: make(map[string]int), ends: make(map[string]int),
		lossy: make(map[string]bool), faults: make(map[string][]Line),
	}
}

func (s *jobSummary) summarize() *JobLog {
	s.findLosses()
	for _, l := range s.lines {
		s.add(l)
	}
	s.addRecords()
	s.checkPositions()
	s.checkLoads()
	for _, text := range slices.Sorted(maps.Keys(s.faults)) {
		s.contradict("reported by %s: %s", instances(s.faults[text]), text)
	}
	s.findSilent()
	s.log.Verdict = s.verdict()
	return &s.log
}

func (s *jobSummary) contradict(format string, args ...any) {
	s.log.Contradictions = append(s.log.Contradictions, fmt.Sprintf(format, args...))
}

func (s *jobSummary) gap(format string, args ...any) {
	if text := fmt.Sprintf(format, args...); !slices.Contains(s.log.Gaps, text) {
		s.log.Gaps = append(s.log.Gaps, text)
	}
}

// add notes what a line of the job tells.
func (s *jobSummary) add(l Line) {
	key := l.Name + " " + s.process(l.Name, l.Time)
	switch l.Event {
	case event.JobAccepted.Number():
		s.log.Items = max(s.log.Items, l.number("items"))
	case event.JobOwnershipAcquired.Number():
		s.epochs[key] = l.number("epoch")
		s.log.Changes = append(s.log.Changes, l)
	case event.JobOwnershipLost.Number():
		s.log.Changes = append(s.log.Changes, l)
	case event.LogLoaded.Number():
		if l.Details["ended"] != "true" {
			s.epochs[key] = l.number("epoch")
		}
		s.loads = append(s.loads, l)
		s.log.Changes = append(s.log.Changes, l)
		s.count = max(s.count, l.number("records"))
	case event.LogInconsistent.Number():
		text := l.Details["cause"]
		for _, name := range slices.Sorted(maps.Keys(l.Details)) {
			if name != "job" && name != "cause" {
				text += " " + name + "=" + l.Details[name]
			}
		}
		s.faults[text] = append(s.faults[text], l)
		s.count = max(s.count, l.number("next"), l.number("record")+1)
	case event.RecordApplied.Number(), event.ResultsListed.Number():
		s.addSighting(l, key)
	}
}

// addSighting notes what a line tells about a record. A line about an own write leaves out the writer in earlier versions.
func (s *jobSummary) addSighting(l Line, key string) {
	n := l.number("record")
	v := sighting{line: l, key: key, Record: Record{
		Number: n, Time: l.Time, Process: l.Details["writer"], Epoch: l.number("epoch"), First: l.number("first"), Results: l.number("results"),
	}}
	total, listed := l.Details["total"]
	if l.Details["first"] == "" { // of an earlier version
		v.First = l.number("total") - v.Results
	}
	if v.Process != "" {
		v.Writer = s.instance(v.Process)
		if v.Writer == "" {
			s.gap("no line tells which instance the writer %s is a process of", v.Process)
		}
	} else {
		v.derived, v.Writer, v.Process, v.Epoch = true, l.Name, s.process(l.Name, l.Time), s.ownEpoch(l.Name, key)
		for _, o := range s.sightings[n] {
			if o.key == key && !o.derived {
				v.Writer, v.Process, v.Epoch, v.derived = o.Writer, o.Process, o.Epoch, false
			}
		}
	}
	end := v.First + v.Results
	s.ends[key] = max(s.ends[key], end)
	if held := l.number("total"); listed && (held < end || held > s.ends[key] && !s.lossy[l.Name]) {
		s.contradict("record %d ends at position %d, but %s has %s results at %s", n, end, l.Name, total, l.Time.UTC().Format(clock))
	}
	s.sightings[n] = append(s.sightings[n], v)
	s.count = max(s.count, n+1)
}

// ownEpoch returns the epoch at which a process owns the job, or 0 if no line tells.
func (s *jobSummary) ownEpoch(name, key string) int {
	if e := s.epochs[key]; e != 0 {
		return e
	}
	for _, l := range s.lines {
		if l.Event == event.JobAccepted.Number() && l.Details["owner"] == name && key == name+" "+s.process(name, l.Time) {
			return l.number("epoch")
		}
	}
	return 0
}

// addRecords merges what the lines tell about each record, and reports where they disagree.
func (s *jobSummary) addRecords() {
	var unnamed []string
	for n := range s.count {
		l := s.sightings[n]
		if len(l) == 0 {
			unnamed = append(unnamed, strconv.Itoa(n))
			s.log.Records = append(s.log.Records, Record{Number: n, Named: []string{}})
			continue
		}
		best := 0 // a stated writer goes before a derived one
		if i := slices.IndexFunc(l, func(v sighting) bool { return !v.derived }); i > 0 {
			best = i
		}
		r := l[best].Record
		r.Time = l[0].Time
		for _, v := range l {
			if !slices.Contains(r.Named, v.line.Name) {
				r.Named = append(r.Named, v.line.Name)
			}
		}
		slices.Sort(r.Named)
		s.log.Records = append(s.log.Records, r)
		for i, v := range l {
			if i != best && s.disagree(l[best], v) {
				s.contradict("record %d: %s; %s", n, l[best], v)
			}
		}
	}
	if len(unnamed) > 0 {
		s.gap("no line tells the content of record %s", strings.Join(unnamed, ", "))
	}
}

// disagree reports whether two lines contradict each other about a record.
func (s *jobSummary) disagree(a, b sighting) bool {
	if a.First != b.First || a.Results != b.Results {
		return true
	}
	if a.derived && s.lossy[a.line.Name] || b.derived && s.lossy[b.line.Name] {
		return false
	}
	return differ(a.Record, b.Record) || !a.derived && !b.derived && a.Epoch != b.Epoch
}

// differ reports whether two records have different writers, as far as these are known.
func differ(a, b Record) bool {
	if a.Process != "" && b.Process != "" {
		return a.Process != b.Process
	}
	return a.Writer != "" && b.Writer != "" && a.Writer != b.Writer
}

func (r Record) writer() string { return strings.Trim(r.Writer+"/"+r.Process, "/") }

// String returns what the line tells.
func (v sighting) String() string {
	epoch := ""
	if v.Epoch != 0 {
		epoch = fmt.Sprintf(" at epoch %d", v.Epoch)
	}
	return fmt.Sprintf("%s at %s says %d results from position %d, written by %s%s", v.line.Name, v.line.Time.UTC().Format(clock),
		v.Results, v.First, v.writer(), epoch)
}

// checkPositions reports records that do not begin where the one before ends, and epochs with several writers.
func (s *jobSummary) checkPositions() {
	end, follows := 0, true
	writers := make(map[int]Record)
	for _, r := range s.log.Records {
		if len(r.Named) == 0 {
			follows = false
			continue
		}
		if follows && r.First != end || r.First < end {
			s.contradict("record %d begins at position %d, the records before it end at %d", r.Number, r.First, end)
		}
		end, follows = r.First+r.Results, true
		if w := writers[r.Epoch]; r.Epoch != 0 && differ(w, r) {
			s.contradict("epoch %d has two writers, %s of record %d and %s of record %d", r.Epoch, w.writer(), w.Number, r.writer(), r.Number)
		}
		writers[r.Epoch] = r
	}
	if s.log.Items > 0 && end > s.log.Items {
		s.contradict("the records end at position %d, the job has %d items", end, s.log.Items)
	}
}

// checkLoads reports loads whose number of results is not that of the records which the lines name, or above that of the
// items.
func (s *jobSummary) checkLoads() {
	for _, l := range s.loads {
		if n := l.number("results"); s.log.Items > 0 && n > s.log.Items {
			s.contradict("%s loads %d results at %s, the job has %d items", l.Name, n, l.Time.UTC().Format(clock), s.log.Items)
		}
		n, sum := l.number("records"), 0
		named := true
		for _, r := range s.log.Records[:n] {
			sum += r.Results
			named = named && len(r.Named) > 0
		}
		if loaded := l.number("results"); named && loaded != sum {
			s.contradict("%s loads %d records with %d results at %s, the lines name %d results in them", l.Name, n, loaded,
				l.Time.UTC().Format(clock), sum)
		}
	}
}

// findLosses reports lines that were dropped or cut while the job ran.
func (s *jobSummary) findLosses() {
	type place struct{ file, text string }
	var order []place
	sums := make(map[place]loss)
	for _, o := range s.losses {
		if !o.before.IsZero() && o.before.Before(s.first) || o.after.After(s.last) {
			continue
		}
		for name := range o.names {
			s.lossy[name] = true
		}
		p := place{o.file, o.text}
		sum, known := sums[p]
		if !known {
			order = append(order, p)
			sum = o
			sum.count = 0
		}
		sum.count += o.count
		sum.before = o.before
		sums[p] = sum
	}
	for _, p := range order {
		o := sums[p]
		s.gap("%s: %s: %d, %s", o.file, o.text, o.count, between(o.after, o.before))
	}
}

// findSilent reports instances whose lines do not cover the time of the job.
func (s *jobSummary) findSilent() {
	involved := make(map[string]time.Time) // first line of the job
	for _, l := range s.lines {
		for _, name := range []string{l.Name, l.Details["owner"]} {
			if _, ok := involved[name]; !ok && name != "" {
				involved[name] = l.Time
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(involved)) {
		last, ok := s.jobReader.last[name]
		if !ok {
			s.gap("%s has owned the job, and there is no line of it", name)
			continue
		}
		if s.process(name, involved[name]) == "" {
			s.gap("%s: no line tells its start before the job; earlier lines may be missing", name)
		}
		stopped := true
		for _, l := range s.starts[name] {
			started := l.Event == event.Started.Number()
			if started && !stopped && !l.Time.Before(s.first) && !l.Time.After(s.last) {
				s.gap("%s starts at %s without a stop: it was killed, and its last lines may be missing", name, l.Time.UTC().Format(clock))
			}
			stopped = !started
		}
		if last.Event != event.Stopped.Number() && last.Time.Before(s.last) {
			s.gap("%s: the lines end at %s, before those of the job, without a stop: it was killed, or later lines are missing", name, last.Time.UTC().Format(clock))
		}
	}
}

func (s *jobSummary) verdict() string {
	results, named := 0, 0
	for _, r := range s.log.Records {
		results += r.Results
		if len(r.Named) > 0 {
			named++
		}
	}
	content := fmt.Sprintf("%d records, %d results", len(s.log.Records), results)
	if s.log.Items > 0 {
		content += fmt.Sprintf(" of %d items", s.log.Items)
	}
	if named < len(s.log.Records) {
		content += fmt.Sprintf(" in the %d that lines name", named)
	}
	switch {
	case len(s.log.Contradictions) > 0:
		return fmt.Sprintf("log inconsistent: %s, %d contradictions", content, len(s.log.Contradictions))
	case len(s.log.Gaps) > 0:
		return "no contradiction found, but lines may be missing: " + content
	case len(s.log.Records) == 0:
		return "no line names a record"
	}
	return "log consistent: " + content
}

// number returns a detail as a number, or 0 if it is none.
func (l Line) number(name string) int {
	n, _ := strconv.Atoi(l.Details[name]) // absent in some lines
	return n
}

// instances returns the instances of the lines with the time of the first line of each.
func instances(lines []Line) string {
	var parts, names []string
	for _, l := range lines {
		if !slices.Contains(names, l.Name) {
			names = append(names, l.Name)
			parts = append(parts, l.Name+" at "+l.Time.UTC().Format(clock))
		}
	}
	return strings.Join(parts, ", ")
}

func between(after, before time.Time) string {
	switch {
	case after.IsZero() && before.IsZero():
		return "the whole file"
	case after.IsZero():
		return "before " + before.UTC().Format(clock)
	case before.IsZero():
		return "after " + after.UTC().Format(clock)
	}
	return "between " + after.UTC().Format(clock) + " and " + before.UTC().Format(clock)
}
