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

// fault is one disturbance of a schedule.
type fault struct {
	at   time.Duration
	kind string // down, slow, lose, pause, kill, publish
	node int
	last time.Duration
}

// trial is one random run: the seed of everything that is not drawn, and the faults in order.
type trial struct {
	seed    uint64
	nodes   int
	groups  int
	samples int
	scorer  bool
	repeat  float64 // share of answers that the trainer loses
	faults  []fault
}

const testBound = 2

func drawTrial(t *rapid.T) trial {
	s := trial{
		seed:    rapid.Uint64().Draw(t, "seed"),
		nodes:   rapid.IntRange(2, 3).Draw(t, "nodes"),
		groups:  rapid.IntRange(1, 8).Draw(t, "groups"),
		samples: rapid.IntRange(1, 8).Draw(t, "samples"),
		scorer:  rapid.Bool().Draw(t, "scorer"),
		repeat:  rapid.SampledFrom([]float64{0.1, 0.3, 0.7}).Draw(t, "repeat"),
	}
	// Without outages every answer of the step is compared with its repeats.
	kinds := []string{"lose", "pause", "pause", "publish", "publish", "kill"}
	if rapid.Bool().Draw(t, "outages") {
		kinds = append(kinds, "down", "slow")
	}
	at := time.Duration(0)
	for range rapid.IntRange(0, 12).Draw(t, "faults") {
		at += time.Duration(rapid.IntRange(0, 1500).Draw(t, "after")) * time.Millisecond
		s.faults = append(s.faults, fault{
			at:   at,
			kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
			node: rapid.IntRange(0, s.nodes-1).Draw(t, "node"),
			last: time.Duration(rapid.IntRange(1, 5000).Draw(t, "last")) * time.Millisecond,
		})
	}
	return s
}

// play runs the faults of a schedule. The store and the entries are whole again in the end.
func (w *world) play(faults []fault) {
	start := time.Now()
	for _, f := range faults {
		time.Sleep(time.Until(start.Add(f.at)))
		switch f.kind {
		case "publish":
			w.publish()
		case "pause":
			w.nodes[f.node].pause()
			time.AfterFunc(f.last, w.nodes[f.node].resume)
		case "kill":
			w.kill(f.node)
		default:
			w.disturb(f.kind, f.last)
		}
	}
}

// kill stops an entry for good, unless it is the last.
func (w *world) kill(i int) {
	alive := 0
	for _, n := range w.nodes {
		if !n.killed.Load() {
			alive++
		}
	}
	if alive > 1 && w.nodes[i].killed.CompareAndSwap(false, true) {
		w.nodes[i].pause()
	}
}

// disturb makes the store fail for a while; a store that only loses answers counts as up.
func (w *world) disturb(kind string, last time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if kind != "lose" {
		w.quiet = time.Now().Add(last + settle)
	}
	switch kind {
	case "down":
		w.down = true
	case "slow":
		w.slow = 700 * time.Millisecond
	case "lose":
		w.lose = 0.3
	}
	time.AfterFunc(last, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.down, w.slow, w.lose = false, 0, 0
	})
}

// settle is how long after an outage an owner may still show samples without their log position: it may be paused for
// 5 s and has to notice that the store answers.
const settle = 15 * time.Second

// judge checks a trainer's view of a step from outside.
type judge struct {
	w        *world
	accepted map[string]string
	answers  map[string]seenAnswer
	problems []string
	repeat   float64
}

type seenAnswer struct {
	at      time.Time
	checked int64
	samples []wire.Sample
}

func (j *judge) problem(format string, args ...any) {
	j.problems = append(j.problems, fmt.Sprintf(format, args...))
}

func slotName(s wire.Sample) string { return fmt.Sprintf("%s.%d", s.Group, s.Index) }

// see checks that the same cursor gets the same samples, apart from those that have gone stale in between.
func (j *judge) see(cursor string, a wire.PullAnswer) {
	if len(a.Samples) == 0 {
		return
	}
	now := seenAnswer{at: time.Now(), checked: a.Checked, samples: a.Samples}
	was, ok := j.answers[cursor]
	if !ok {
		j.answers[cursor] = now
		return
	}
	j.w.mu.Lock()
	quiet := was.at.After(j.w.quiet)
	j.w.mu.Unlock()
	if !quiet {
		j.answers[cursor] = now
		return
	}
	first, second := was, now
	if first.checked > second.checked {
		first, second = second, first
	}
	fresh := ids(first.samples, second.checked)
	if len(fresh) > 0 && !slices.Equal(fresh, ids(second.samples, second.checked)) {
		j.problem("cursor got %v, then %v", fresh, ids(second.samples, second.checked))
	}
	j.answers[cursor] = second
}

// ids names the samples that meet the bound at a version.
func ids(samples []wire.Sample, version int64) []string {
	var list []string
	for _, s := range samples {
		if version-oldest(s.Spans) <= testBound {
			list = append(list, s.ID)
		}
	}
	return list
}

// accept checks the samples that the trainer takes over at its version.
func (j *judge) accept(a wire.PullAnswer, version int64) {
	for _, s := range a.Samples {
		slot := slotName(s)
		if id, ok := j.accepted[slot]; ok {
			j.problem("slot %s was accepted as %s and as %s", slot, id, s.ID)
		}
		j.accepted[slot] = s.ID
		if age := version - oldest(s.Spans); age > testBound {
			j.problem("slot %s has age %d at version %d", slot, age, version)
		}
	}
}

// train runs a trainer through the step: it changes the entry at random, loses answers, repeats pulls with the same
// cursor and opens the step again when an entry cannot reach the log.
func (j *judge) train(r wire.StepRequest, limit time.Duration) {
	w := j.w
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	cursor := ""
	opened := false
	for ctx.Err() == nil {
		n := w.nodes[w.random(int64(len(w.nodes)))]
		if n.killed.Load() {
			// The load balancer passes over an entry that is gone.
			continue
		}
		r.Version = w.running(0)
		if !opened {
			// A call that was given up may still wait at a paused entry, and reads its request later.
			request := r
			request.Cursor = cursor
			_, err := within(ctx, n, func(ctx context.Context) (wire.StepStatus, error) {
				return n.trainer.Open(ctx, testIdentity, request)
			})
			if opened = err == nil; !opened {
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		q := wire.PullRequest{Cursor: cursor, Version: r.Version, Wait: int64(w.random(2000)), Max: 20}
		a, err := within(ctx, n, func(ctx context.Context) (wire.PullAnswer, error) {
			return n.trainer.Take(ctx, testIdentity, r.Run, r.Step, q)
		})
		var f *refusal.Error
		if errors.As(err, &f) && (f.Code() == refusal.StoreDown || f.Code() == refusal.NotFound) {
			opened = false
		}
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		j.see(cursor, a)
		version := w.running(0)
		if w.chance(j.repeat) || a.Checked < version {
			continue
		}
		j.accept(a, version)
		cursor = a.Cursor
		if a.Done && len(a.Samples) == 0 {
			return
		}
		time.Sleep(w.random(int64(200 * time.Millisecond)))
	}
	j.problem("step did not end: %d slots accepted", len(j.accepted))
}

// within gives up on an entry that does not answer, as a trainer's HTTP client does.
func within[T any](ctx context.Context, n *node, f func(context.Context) (T, error)) (T, error) {
	type reply struct {
		value T
		err   error
	}
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	c := make(chan reply, 1)
	go func() {
		n.gate()
		v, err := f(ctx)
		n.gate()
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

func (s trial) run(t *testing.T, change func(*world)) []string {
	var problems []string
	synctest.Test(t, func(*testing.T) {
		w := newWorld(s.seed, s.nodes)
		w.tokens = func(wire.Slot) int { return 5 + int(w.random(100)) }
		w.pace = func() time.Duration { return time.Millisecond + w.random(int64(20*time.Millisecond)) }
		if change != nil {
			change(w)
		}
		j := &judge{w: w, accepted: make(map[string]string), answers: make(map[string]seenAnswer), repeat: s.repeat}
		r := testRequest(s.groups, s.samples)
		if s.scorer {
			r.Scorer = "score"
		}
		go w.play(s.faults)
		j.train(r, 3*time.Minute)
		if len(j.problems) == 0 && len(j.accepted) != s.groups*s.samples {
			j.problem("%d slots accepted, want %d", len(j.accepted), s.groups*s.samples)
		}
		time.Sleep(30 * time.Second)
		w.close()
		time.Sleep(30 * time.Second)
		problems = j.problems
	})
	return problems
}

// Guards against a sample that is accepted twice, not at all or past its bound, against a cursor whose answer changes
// while the store is up, and against a step that does not end, under outages, lost answers, paused owners and weight
// changes. A failure prints the schedule with its seed.
func TestExactlyOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := drawTrial(r)
		if problems := s.run(t, nil); len(problems) > 0 {
			r.Fatalf("schedule %+v: %v", s, problems)
		}
	})
}
