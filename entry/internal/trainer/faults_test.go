package trainer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"bulrushspoke/internal/refusal"
	"bulrushspoke/wire"
)

// fault is one injected fault.
type fault struct {
	at       time.Duration
	kind     string // down, slow, late, lose, pause, kill, publish
	entry    int
	duration time.Duration
}

// faultSchedule is one random run: the seed of everything that is not drawn, and the faults in order.
type faultSchedule struct {
	seed     uint64
	entries  int
	groups   int
	samples  int
	scorer   bool
	lossRate float64 // share of answers that the trainer loses and pulls again
	faults   []fault
}

const testStaleness = 2

func drawSchedule(t *rapid.T) faultSchedule {
	s := faultSchedule{
		seed:     rapid.Uint64().Draw(t, "seed"),
		entries:  rapid.IntRange(2, 3).Draw(t, "nodes"),
		groups:   rapid.IntRange(1, 8).Draw(t, "groups"),
		samples:  rapid.IntRange(1, 8).Draw(t, "samples"),
		scorer:   rapid.Bool().Draw(t, "scorer"),
		lossRate: rapid.SampledFrom([]float64{0.1, 0.3, 0.7}).Draw(t, "repeat"),
	}
	// Without outages, every answer is compared with its repeats.
	kinds := []string{"lose", "pause", "pause", "publish", "publish", "kill"}
	if rapid.Bool().Draw(t, "outages") {
		kinds = append(kinds, "down", "slow", "late")
	}
	at := time.Duration(0)
	for range rapid.IntRange(0, 12).Draw(t, "faults") {
		at += time.Duration(rapid.IntRange(0, 1500).Draw(t, "after")) * time.Millisecond
		s.faults = append(s.faults, fault{
			at:       at,
			kind:     rapid.SampledFrom(kinds).Draw(t, "kind"),
			entry:    rapid.IntRange(0, s.entries-1).Draw(t, "node"),
			duration: time.Duration(rapid.IntRange(1, 5000).Draw(t, "last")) * time.Millisecond,
		})
	}
	return s
}

// inject runs the faults of a schedule. In the end, the store works and all entries run that were not killed.
func (cl *cluster) inject(faults []fault) {
	start := time.Now()
	for _, f := range faults {
		time.Sleep(time.Until(start.Add(f.at)))
		switch f.kind {
		case "publish":
			cl.publish()
		case "pause":
			cl.entries[f.entry].pause()
			time.AfterFunc(f.duration, cl.entries[f.entry].resume)
		case "kill":
			cl.kill(f.entry)
		default:
			cl.disruptStore(f.kind, f.duration)
		}
	}
}

// kill stops an entry permanently, unless it is the last one.
func (cl *cluster) kill(i int) {
	alive := 0
	for _, e := range cl.entries {
		if !e.killed.Load() {
			alive++
		}
	}
	if alive > 1 && cl.entries[i].killed.CompareAndSwap(false, true) {
		cl.entries[i].pause()
	}
}

// disruptStore makes the store fail for a while; a store that only loses replies counts as up.
func (cl *cluster) disruptStore(kind string, duration time.Duration) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if kind != "lose" {
		cl.stableAfter = time.Now().Add(duration + outageAftermath)
	}
	switch kind {
	case "down":
		cl.storeDown = true
	case "slow":
		cl.storeDelay = 700 * time.Millisecond
	case "late":
		cl.lateShare = 0.3
	case "lose":
		cl.lostReplyShare = 0.3
	}
	time.AfterFunc(duration, func() {
		cl.mu.Lock()
		defer cl.mu.Unlock()
		cl.storeDown, cl.storeDelay, cl.lostReplyShare, cl.lateShare = false, 0, 0, 0
	})
}

// outageAftermath is how long after an outage an owner may still deliver samples without their log position: it may be
// paused for 5 s and has to notice that the store answers.
const outageAftermath = 15 * time.Second

// checker checks the answers to a trainer against the delivery guarantees.
type checker struct {
	cluster  *cluster
	accepted map[string]string
	answers  map[string]seenAnswer
	problems []string
	lossRate float64
}

type seenAnswer struct {
	at      time.Time
	checked int64
	samples []wire.Sample
}

func (ck *checker) problem(format string, args ...any) {
	ck.problems = append(ck.problems, fmt.Sprintf(format, args...))
}

func slotName(s wire.Sample) string { return fmt.Sprintf("%s.%d", s.Group, s.Index) }

// checkRepeat checks that the same cursor gets the same samples, except for those that became stale in between.
func (ck *checker) checkRepeat(cursor string, a wire.PullAnswer) {
	if len(a.Samples) == 0 {
		return
	}
	now := seenAnswer{at: time.Now(), checked: a.Checked, samples: a.Samples}
	was, ok := ck.answers[cursor]
	if !ok {
		ck.answers[cursor] = now
		return
	}
	ck.cluster.mu.Lock()
	stable := was.at.After(ck.cluster.stableAfter)
	ck.cluster.mu.Unlock()
	if !stable {
		ck.answers[cursor] = now
		return
	}
	first, second := was, now
	if first.checked > second.checked {
		first, second = second, first
	}
	fresh := freshIDs(first.samples, second.checked)
	if len(fresh) > 0 && !slices.Equal(fresh, freshIDs(second.samples, second.checked)) {
		ck.problem("cursor got %v, then %v", fresh, freshIDs(second.samples, second.checked))
	}
	ck.answers[cursor] = second
}

// freshIDs returns the ids of the samples that are within the staleness bound at a version.
func freshIDs(samples []wire.Sample, version int64) []string {
	var list []string
	for _, s := range samples {
		if version-oldestVersion(s.Spans) <= testStaleness {
			list = append(list, s.ID)
		}
	}
	return list
}

// accept checks the samples that the trainer accepts at its version.
func (ck *checker) accept(a wire.PullAnswer, version int64) {
	for _, s := range a.Samples {
		slot := slotName(s)
		if id, ok := ck.accepted[slot]; ok {
			ck.problem("slot %s was accepted as %s and as %s", slot, id, s.ID)
		}
		ck.accepted[slot] = s.ID
		if age := version - oldestVersion(s.Spans); age > testStaleness {
			ck.problem("slot %s has age %d at version %d", slot, age, version)
		}
	}
}

// runTrainer runs a trainer through the step. It picks entries at random, loses answers, repeats pulls with the same
// cursor and opens the step again when an entry cannot reach the log.
func (ck *checker) runTrainer(r wire.StepRequest, limit time.Duration) {
	cl := ck.cluster
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	cursor := ""
	opened := false
	for ctx.Err() == nil {
		e := cl.entries[cl.random(int64(len(cl.entries)))]
		if e.killed.Load() {
			// A load balancer skips an entry that is gone.
			continue
		}
		r.Version = cl.versionWithLag(0)
		if !opened {
			// A call that timed out may still wait at a paused entry, which reads the request later.
			request := r
			request.Cursor = cursor
			_, err := callWithTimeout(ctx, e, func(ctx context.Context) (wire.StepStatus, error) {
				return e.trainer.Open(ctx, testIdentity, request)
			})
			if opened = err == nil; !opened {
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		q := wire.PullRequest{Cursor: cursor, Version: r.Version, Wait: int64(cl.random(2000)), Max: 20}
		a, err := callWithTimeout(ctx, e, func(ctx context.Context) (wire.PullAnswer, error) {
			return e.trainer.PullSamples(ctx, testIdentity, r.Run, r.Step, q)
		})
		var f *refusal.Error
		if errors.As(err, &f) && (f.Code() == refusal.StoreDown || f.Code() == refusal.NotFound) {
			opened = false
		}
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		ck.checkRepeat(cursor, a)
		version := cl.versionWithLag(0)
		if cl.chance(ck.lossRate) || a.Checked < version {
			continue
		}
		ck.accept(a, version)
		cursor = a.Cursor
		if a.Done && len(a.Samples) == 0 {
			return
		}
		time.Sleep(cl.random(int64(200 * time.Millisecond)))
	}
	ck.problem("step did not end: %d slots accepted", len(ck.accepted))
}

// checkEnded checks that no entry goes on with a step that has ended. An entry that was killed may have taken the end.
func (ck *checker) checkEnded(faults []fault) {
	if slices.ContainsFunc(faults, func(f fault) bool { return f.kind == "kill" }) {
		return
	}
	for _, e := range ck.cluster.entries {
		for _, s := range e.trainer.Steps() {
			ck.problem("entry %s still runs %+v", e.name, s)
		}
	}
}

// callWithTimeout stops waiting for an entry that does not answer, as a trainer's HTTP client does.
func callWithTimeout[T any](ctx context.Context, e *testEntry, f func(context.Context) (T, error)) (T, error) {
	type reply struct {
		value T
		err   error
	}
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	c := make(chan reply, 1)
	go func() {
		e.waitWhilePaused()
		v, err := f(ctx)
		e.waitWhilePaused()
		c <- reply{value: v, err: err}
	}()
	select {
	case r := <-c:
		return r.value, r.err
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

func (s faultSchedule) run(t *testing.T, change func(*cluster)) []string {
	var problems []string
	synctest.Test(t, func(*testing.T) {
		cl := newCluster(s.seed, s.entries)
		cl.tokens = func(wire.Slot) int { return 5 + int(cl.random(100)) }
		cl.tokenTime = func() time.Duration { return time.Millisecond + cl.random(int64(20*time.Millisecond)) }
		if change != nil {
			change(cl)
		}
		ck := &checker{cluster: cl, accepted: make(map[string]string), answers: make(map[string]seenAnswer), lossRate: s.lossRate}
		r := testRequest(s.groups, s.samples)
		if s.scorer {
			r.Scorer = "score"
		}
		go cl.inject(s.faults)
		ck.runTrainer(r, 3*time.Minute)
		if len(ck.problems) == 0 && len(ck.accepted) != s.groups*s.samples {
			ck.problem("%d slots accepted, want %d", len(ck.accepted), s.groups*s.samples)
		}
		time.Sleep(30 * time.Second)
		ck.checkEnded(s.faults)
		cl.close()
		time.Sleep(30 * time.Second)
		problems = ck.problems
	})
	return problems
}

// Guards against samples that are accepted twice, never or past the staleness bound, against a cursor whose answer
// changes while the store is up, and against a step that does not end. The faults are outages, lost replies, late
// writes, paused and killed owners and weight changes. A failure prints the schedule with its seed.
func TestExactlyOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := drawSchedule(r)
		if problems := s.run(t, nil); len(problems) > 0 {
			r.Fatalf("schedule %+v: %v", s, problems)
		}
	})
}
