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

// simulatedTrainer is a trainer that reads the results of one job in virtual time, while the owner lists them.
type simulatedTrainer struct {
	reader   reader
	rhythms  intervals
	held     bool // results are held back
	interval time.Duration
	wait     time.Duration
	write    time.Duration

	reading   bool
	next      time.Time // when it reads again or decides that the step is complete
	ready     int
	batch     int // results being written
	listed    int
	holdUntil time.Time // when the lister writes the results that are ready
	written   time.Time // end of the write in progress
	records   int
}

// run simulates a job whose groups are complete after the given times, and returns the time from the last one to the
// decision of the trainer.
func (f *simulatedTrainer) run(now time.Time, whole []time.Duration) time.Duration {
	start, done := now, 0
	for ; ; now = now.Add(time.Millisecond) {
		before := done
		for done < len(whole) && !now.Before(start.Add(whole[done])) {
			done++
		}
		f.ready += done - before
		f.list(now, done == len(whole))
		if f.reading && (f.listed > f.reader.next || !now.Before(f.reader.readAt.Add(f.wait))) {
			f.reader.end(f.listed, now)
			f.reading, f.next = false, f.reader.readAt.Add(f.interval)
		}
		if f.reading || now.Before(f.next) {
			continue
		}
		if f.reader.next == len(whole) {
			return now.Sub(start) - whole[len(whole)-1]
		}
		if gap := f.reader.begin(now); gap > 0 {
			f.rhythms.record("m", gap)
		}
		f.reading = true
	}
}

func (f *simulatedTrainer) list(now time.Time, all bool) {
	if f.batch > 0 && !now.Before(f.written) {
		f.listed, f.batch = f.listed+f.batch, 0
		f.records++
	}
	if f.ready == 0 || f.batch > 0 {
		return
	}
	if f.holdUntil.IsZero() {
		f.holdUntil = now.Add(gatherDelay)
		if f.held {
			f.holdUntil = f.reader.holdUntil(f.rhythms.typical("m"), now)
		}
	}
	if all || !now.Before(f.holdUntil) {
		f.batch, f.ready, f.holdUntil, f.written = f.ready, 0, time.Time{}, now.Add(f.write)
	}
}

// Simulates trainers that read every half a second and decide when their next read is due, on steps of 14 groups that
// complete one after the other. With held results the decision comes on average half a read interval after the last
// group, and fewer records are needed. A trainer that reads again at once waits no longer than without holding.
func TestHeldResultsReachNextRead(t *testing.T) {
	play := func(held bool, every time.Duration) (mean time.Duration, records int) {
		const steps = 200
		random := rand.New(rand.NewPCG(7, 1))
		known := newIntervals()
		now := time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)
		for range steps {
			f := &simulatedTrainer{
				rhythms: known, held: held, interval: every, wait: time.Second, write: 20 * time.Millisecond,
				next: now.Add(time.Duration(random.Int64N(int64(time.Second)))),
			}
			var whole []time.Duration
			at := time.Second
			for range 14 {
				at += time.Duration(random.ExpFloat64() * float64(300*time.Millisecond))
				whole = append(whole, at)
			}
			mean += f.run(now, whole) / steps
			records += f.records
			now = now.Add(time.Minute)
		}
		return mean, records
	}
	const every = 500 * time.Millisecond
	held, fewer := play(true, every)
	usual, more := play(false, every)
	t.Logf("from the last group to the decision: %s with holding, %s without; records %d and %d", held, usual, fewer, more)
	if held > every/2+listLatency || held >= usual {
		t.Errorf("the decision comes %s after the last group on average, %s without holding", held, usual)
	}
	if fewer >= more {
		t.Errorf("%d records, %d without holding; want fewer", fewer, more)
	}
	if held, usual := durationAndCount(play(true, 0)), durationAndCount(play(false, 0)); held != usual {
		t.Errorf("trainer without pauses: %v with holding, %v without", held, usual)
	}
}

func durationAndCount(d time.Duration, n int) [2]int64 { return [2]int64{int64(d), int64(n)} }

// Guards against read intervals that depend on single reads or on reads of other clients, and against results held for
// a client whose read interval is unknown or too long, or whose next read is overdue.
func TestReader(t *testing.T) {
	now := time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)
	ms := func(n int) time.Time { return now.Add(time.Duration(n) * time.Millisecond) }
	known := newIntervals()
	for i, gap := range []int{500, 500, 9000} {
		if got := known.typical("m"); got != 0 {
			t.Errorf("read interval of %s after %d reads, want none", got, i)
		}
		known.record("m", time.Duration(gap)*time.Millisecond)
	}
	const every = 500 * time.Millisecond
	if a, b := known.typical("m"), known.typical("new"); a != every || b != every {
		t.Errorf("read intervals of %s and %s, want %s for the model and for an unknown one", a, b, every)
	}
	var r reader
	if got := r.holdUntil(every, now); !got.Equal(now.Add(gatherDelay)) {
		t.Errorf("held for %s before the first read", got.Sub(now))
	}
	if r.matches(0, false, every, now) || !r.matches(0, true, every, now) {
		t.Error("before any result only a waiting read must match the client")
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
		{name: "unknown interval", at: 100, want: 160},
		{name: "long interval", at: 100, every: 5 * time.Second, want: 160},
		{name: "paused", at: 300, answered: true, every: every, want: 940},
	} {
		if tc.answered && r.answeredAt.IsZero() {
			r.end(4, ms(250))
		}
		if got := r.holdUntil(tc.every, ms(tc.at)); !got.Equal(ms(tc.want)) {
			t.Errorf("%s: held until %s, want %d ms", tc.name, got.Sub(now), tc.want)
		}
	}
	if r.matches(1, true, every, ms(300)) || !r.matches(4, false, every, ms(300)) || !r.matches(2, false, every, ms(505)) {
		t.Error("reads from earlier positions must not match the client unless its next read is due")
	}
	if got := r.begin(ms(510)); got != 510*time.Millisecond {
		t.Errorf("time between two reads is %s, want 510ms", got)
	}
	if got := r.begin(ms(520)); got != 0 {
		t.Errorf("time between reads without a pause is %s, want 0", got)
	}
}

// Guards against ready results that are not returned to a client that does not wait, because they are held back for one
// that does.
func TestNonWaitingReadGetsHeldResults(t *testing.T) {
	e := newEngine(t, 3)
	e.gap = time.Millisecond
	r := newRig(t, e)
	m, _ := r.manager("a", "a1")
	r.submit(m, "j", payloadFor(3, 2, "a-1", "b-300", "c-9000"))
	r.collect(m, "j", 1)
	for range minReads {
		m.readIntervals.record("m", maxHoldInterval)
	}
	j := m.local("j")
	deadline := time.Now().Add(5 * time.Second)
	for !j.hasListable() {
		if time.Now().After(deadline) {
			t.Fatal("the second item does not complete")
		}
		time.Sleep(time.Millisecond)
	}
	reply := m.Results(t.Context(), nobody, "j", 1, 0)
	if reply.Status != http.StatusOK {
		t.Fatal(reply.Status, reply.Cause)
	}
	page, err := platformtest.DecodePage(reply.Body)
	if err != nil {
		t.Fatal(err)
	}
	if len(page.Results) != 1 {
		t.Errorf("a read without a wait gets %d results, want the held one", len(page.Results))
	}
}

// Guards against a step that counts as complete while a group carried over from an earlier job is open: the trainer
// waits for carried groups, however many others are complete.
func TestCarriedGroupsAreAwaited(t *testing.T) {
	e := newEngine(t, 1)
	r := newRig(t, e)
	m, _ := r.manager("a", "a1")
	spec := job.Job{ID: "j", Model: "m", Groups: 2}
	for _, id := range []string{"again-9", "x-1", "y-1"} {
		group, _, _ := strings.Cut(id, "-")
		spec.Items = append(spec.Items, job.Item{ID: id, Group: group})
	}
	j := newJob(m, spec, wire.JobState{Total: len(spec.Items)}, nil, time.Now())
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
		j.updateRemaining()
		if got, _ := j.awaitedGroups(notDone); got != step.lacking || j.carriedOnly != step.only {
			t.Errorf("after %q the trainer waits for %d groups, carried ones only: %t; want %d and %t",
				step.done, got, j.carriedOnly, step.lacking, step.only)
		}
	}
}
