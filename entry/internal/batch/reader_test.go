package batch

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"bulrushspoke/internal/job"
	"bulrushspoke/platform/platformtest"
	"bulrushspoke/wire"
)

// follower is a trainer that reads the results of one job in virtual time, as the lister of its owner writes them.
type follower struct {
	reader  reader
	rhythms rhythms
	held    bool // results are held
	every   time.Duration
	wait    time.Duration
	write   time.Duration

	reading bool
	next    time.Time // when it reads again or decides
	ready   int
	batch   int // being written
	listed  int
	by      time.Time // when the lister writes what is ready
	written time.Time // end of the write in progress
	records int
}

// play runs a job whose groups are whole after the given times, and returns the time from the last one to the decision of
// the trainer.
func (f *follower) play(now time.Time, whole []time.Duration) time.Duration {
	start, done := now, 0
	for ; ; now = now.Add(time.Millisecond) {
		before := done
		for done < len(whole) && !now.Before(start.Add(whole[done])) {
			done++
		}
		f.ready += done - before
		f.list(now, done == len(whole))
		if f.reading && (f.listed > f.reader.front || !now.Before(f.reader.asked.Add(f.wait))) {
			f.reader.end(f.listed, now)
			f.reading, f.next = false, f.reader.asked.Add(f.every)
		}
		if f.reading || now.Before(f.next) {
			continue
		}
		if f.reader.front == len(whole) {
			return now.Sub(start) - whole[len(whole)-1]
		}
		if gap := f.reader.begin(now); gap > 0 {
			f.rhythms.note("m", gap)
		}
		f.reading = true
	}
}

func (f *follower) list(now time.Time, all bool) {
	if f.batch > 0 && !now.Before(f.written) {
		f.listed, f.batch = f.listed+f.batch, 0
		f.records++
	}
	if f.ready == 0 || f.batch > 0 {
		return
	}
	if f.by.IsZero() {
		f.by = now.Add(gather)
		if f.held {
			f.by = f.reader.hold(f.rhythms.of("m"), now)
		}
	}
	if all || !now.Before(f.by) {
		f.batch, f.ready, f.by, f.written = f.ready, 0, time.Time{}, now.Add(f.write)
	}
}

// Plays trainers that read every half a second and decide when they would read again, on steps of 14 groups that are whole
// one after the other. Held results bring the decision forward to half a rest after the last group in the mean, and need
// fewer records. A trainer that reads again at once waits no longer than if nothing is held.
func TestHeldResultsReachTheNextDecision(t *testing.T) {
	play := func(held bool, every time.Duration) (mean time.Duration, records int) {
		const steps = 200
		random := rand.New(rand.NewPCG(7, 1))
		known := newRhythms()
		now := time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)
		for range steps {
			f := &follower{
				rhythms: known, held: held, every: every, wait: time.Second, write: 20 * time.Millisecond,
				next: now.Add(time.Duration(random.Int64N(int64(time.Second)))),
			}
			var whole []time.Duration
			at := time.Second
			for range 14 {
				at += time.Duration(random.ExpFloat64() * float64(300*time.Millisecond))
				whole = append(whole, at)
			}
			mean += f.play(now, whole) / steps
			records += f.records
			now = now.Add(time.Minute)
		}
		return mean, records
	}
	const every = 500 * time.Millisecond
	held, fewer := play(true, every)
	usual, more := play(false, every)
	t.Logf("from the last group to the decision: %s held, %s not; records %d and %d", held, usual, fewer, more)
	if held > every/2+listTime || held >= usual {
		t.Errorf("the decision comes %s after the last group in the mean, %s if nothing is held", held, usual)
	}
	if fewer >= more {
		t.Errorf("%d records, %d if nothing is held", fewer, more)
	}
	if held, usual := pair(play(true, 0)), pair(play(false, 0)); held != usual {
		t.Errorf("a trainer that doesn't rest: %v held, %v not", held, usual)
	}
}

func pair(d time.Duration, n int) [2]int64 { return [2]int64{int64(d), int64(n)} }

// Guards against a rhythm that single reads or those of other clients decide, and against results that are held for a
// client whose rhythm is unknown, long, or past.
func TestReader(t *testing.T) {
	now := time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)
	ms := func(n int) time.Time { return now.Add(time.Duration(n) * time.Millisecond) }
	known := newRhythms()
	for i, gap := range []int{500, 500, 9000} {
		if got := known.of("m"); got != 0 {
			t.Errorf("a rhythm of %s after %d reads", got, i)
		}
		known.note("m", time.Duration(gap)*time.Millisecond)
	}
	const every = 500 * time.Millisecond
	if a, b := known.of("m"), known.of("new"); a != every || b != every {
		t.Errorf("rhythms %s and %s, want %s for the model and for an unknown one", a, b, every)
	}
	var r reader
	if got := r.hold(every, now); !got.Equal(now.Add(gather)) {
		t.Errorf("held until %s before the first read", got.Sub(now))
	}
	if r.leads(0, false, every, now) || !r.leads(0, true, every, now) {
		t.Error("before any result only a read that waits is the client's")
	}
	r.begin(now)
	for _, tc := range []struct {
		name     string
		at       int
		answered bool
		every    time.Duration
		want     int
	}{
		{name: "while it waits", at: 100, every: every, want: 440},
		{name: "shortly before the next read", at: 420, every: every, want: 480},
		{name: "later", at: 700, every: every, want: 760},
		{name: "unknown rhythm", at: 100, want: 160},
		{name: "long rhythm", at: 100, every: 5 * time.Second, want: 160},
		{name: "at rest", at: 300, answered: true, every: every, want: 940},
	} {
		if tc.answered && r.answered.IsZero() {
			r.end(4, ms(250))
		}
		if got := r.hold(tc.every, ms(tc.at)); !got.Equal(ms(tc.want)) {
			t.Errorf("%s: held until %s, want %d ms", tc.name, got.Sub(now), tc.want)
		}
	}
	if r.leads(1, true, every, ms(300)) || !r.leads(4, false, every, ms(300)) || !r.leads(2, false, every, ms(505)) {
		t.Error("reads from earlier positions are another client's, unless one is due")
	}
	if got := r.begin(ms(510)); got != 510*time.Millisecond {
		t.Errorf("time between two reads is %s", got)
	}
	if got := r.begin(ms(520)); got != 0 {
		t.Errorf("time after a read that was not answered is %s", got)
	}
}

// Guards against results that are ready and not shown to a client that does not wait, since they are held for one that
// does.
func TestReadThatDoesNotWaitGetsHeldResults(t *testing.T) {
	e := newEngine(t, 3)
	e.gap = time.Millisecond
	r := newRig(t, e)
	m, _ := r.manager("a", "a1")
	r.submit(m, "j", payloadFor(3, 2, "a-1", "b-300", "c-9000"))
	r.collect(m, "j", 1)
	for range rhythmLeast {
		m.rhythms.note("m", rhythmMost)
	}
	j := m.local("j")
	deadline := time.Now().Add(5 * time.Second)
	for len(j.listable()) == 0 {
		if time.Now().After(deadline) {
			t.Fatal("the second item does not end")
		}
		time.Sleep(time.Millisecond)
	}
	reply := m.Results(t.Context(), "j", 1, 0)
	if reply.Status != http.StatusOK {
		t.Fatal(reply.Status, reply.Cause)
	}
	page, err := platformtest.DecodePage(reply.Body)
	if err != nil {
		t.Fatal(err)
	}
	if len(page.Results) != 1 {
		t.Errorf("a read that does not wait gets %d results, want the one that is held", len(page.Results))
	}
}

// Guards against a step that counts as whole while a group that comes again from an earlier job is open: the trainer waits
// for it, whatever others are whole.
func TestGroupsThatComeAgainAreWaitedFor(t *testing.T) {
	e := newEngine(t, 1)
	r := newRig(t, e)
	m, _ := r.manager("a", "a1")
	spec := job.Job{ID: "j", Model: "m", Groups: 2}
	for _, id := range []string{"again-9", "x-1", "y-1"} {
		group, _, _ := strings.Cut(id, "-")
		spec.Items = append(spec.Items, job.Item{ID: id, Group: group})
	}
	j := newJob(m, spec, wire.JobState{Total: len(spec.Items)}, nil)
	j.carried["again"] = true
	for _, step := range []struct {
		done    string
		lacking int
		only    bool
	}{
		{lacking: 2},
		{done: "x-1", lacking: 1, only: true},
		{done: "y-1", lacking: 1, only: true},
		{done: "again-9"},
	} {
		if step.done != "" {
			j.items[step.done].done = true
		}
		j.measure()
		if got, _ := j.lacking(undone); got != step.lacking || j.carriedOnly != step.only {
			t.Errorf("after %q the trainer waits for %d groups, for the one that comes again only: %t; want %d and %t",
				step.done, got, j.carriedOnly, step.lacking, step.only)
		}
	}
}
