package claim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"bulrushspoke/entry/internal/dispatch"
	"bulrushspoke/internal/refusal"
	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

// result is what one caller received.
type result struct {
	request string
	key     string
	body    string
	reply   wire.Reply
	refused *refusal.Error
	runs    int // number of runs of the key when the caller received the result
}

func newFakes(starts, queries, storeSteps []int) (*fakeStore, *fakeDaemons) {
	return &fakeStore{values: map[string]store.Object{}, script: &script{values: storeSteps}}, newFakeDaemons(3, starts, queries)
}

func call(c *Runner, request, key, body string) result {
	r := result{request: request, key: key, body: body}
	var err error
	r.reply, err = c.Run(context.Background(), newCall(request, key, body))
	if err != nil && !errors.As(err, &r.refused) {
		panic(fmt.Sprintf("error without type: %v", err))
	}
	d := c.pool.(*fakeDaemons)
	d.mu.Lock()
	defer d.mu.Unlock()
	r.runs = d.runs["t."+key]
	return r
}

// Guards against calls that run twice, false "not run" refusals and replies of a different call, under random
// combinations of lost store responses, refusals, lost links, crashes, restarts and repeats through two entries.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := func(name string, kinds int) []int {
			return rapid.SliceOfN(rapid.IntRange(0, kinds-1), 0, 12).Draw(rt, name)
		}
		o, d := newFakes(steps("starts", startBehaviourCount), steps("asks", 2), steps("store", storeBehaviourCount))
		callers := rapid.IntRange(1, 5).Draw(rt, "callers")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 60), callers, callers).Draw(rt, "pauses")
		keys := rapid.SliceOfN(rapid.IntRange(0, 1), callers, callers).Draw(rt, "keys")
		bodies := rapid.SliceOfN(rapid.IntRange(0, 5), callers, callers).Draw(rt, "bodies")
		results := make([]result, callers)
		synctest.Test(t, func(*testing.T) {
			entries := []*Runner{newRunner(o, d, 1), newRunner(o, d, 2)}
			var wg sync.WaitGroup
			for i := range callers {
				wg.Go(func() {
					time.Sleep(time.Duration(pauses[i]) * time.Millisecond)
					body := "same"
					if bodies[i] == 0 {
						body = "other"
					}
					results[i] = call(entries[i%2], fmt.Sprintf("r%d", i), fmt.Sprintf("k%d", keys[i]), body)
				})
			}
			wg.Wait()
			// Wait for delayed messages to arrive.
			time.Sleep(time.Second)
		})
		if err := verify(d, results); err != "" {
			rt.Fatalf("%s\nresults: %+v", err, results)
		}
	})
}

// verify compares the results with the calls that actually ran. It returns the first violation, or "" if there is none.
func verify(d *fakeDaemons, results []result) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	replies := map[string]string{}
	for _, r := range results {
		runs := d.runs["t."+r.key]
		switch {
		case runs > 1:
			return fmt.Sprintf("key %s ran %d times", r.key, runs)
		case r.refused == nil && runs == 0:
			return fmt.Sprintf("key %s got a reply without a run", r.key)
		case r.refused != nil && r.refused.Ran() == refusal.NotRun && d.requests[r.request] > 0:
			return fmt.Sprintf("request %s ran, but was refused as not run", r.request)
		case r.refused != nil && r.refused.Ran() == refusal.NotRun && r.refused.Code() != refusal.KeyReused && r.runs > 0:
			return fmt.Sprintf("key %s had run when request %s was refused as not run", r.key, r.request)
		}
		if r.refused != nil {
			continue
		}
		id := r.body + " " + string(r.reply.Body)
		if first, ok := replies[r.key]; ok && first != id {
			return fmt.Sprintf("key %s has replies %q and %q", r.key, first, id)
		}
		replies[r.key] = id
	}
	return ""
}

func expectRefusal(t *testing.T, r result, code refusal.Code, ran refusal.Ran) {
	t.Helper()
	if r.refused == nil || r.refused.Code() != code || r.refused.Ran() != ran {
		t.Fatalf("got %v, want %s (ran: %s)", r.refused, code, ran)
	}
}

// Guards against a repeat that runs the call again, returns a different reply, or is refused although the result is known.
func TestRepeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, d := newFakes([]int{startLinkLost}, nil, nil)
		first := call(newRunner(o, d, 1), "r1", "k", "b")
		second := call(newRunner(o, d, 2), "r2", "k", "b")
		if first.refused != nil || second.refused != nil || string(first.reply.Body) != string(second.reply.Body) {
			t.Fatalf("got %+v and %+v", first, second)
		}
		expectRefusal(t, call(newRunner(o, d, 2), "r3", "k", "other"), refusal.KeyReused, refusal.NotRun)
		if d.runs["t.k"] != 1 {
			t.Fatalf("ran %d times", d.runs["t.k"])
		}
	})
}

// Guards against sending a call without a claim while the store is unavailable.
func TestStoreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, steps := range [][]int{{storeUnreachable}, {storeResponseLost, storeUnreachable}, {storeWriteLost}} {
			o, d := newFakes(nil, nil, steps)
			r := call(newRunner(o, d, 1), "r", "k", "b")
			expectRefusal(t, r, refusal.StoreDown, refusal.Unknown)
			if d.runs["t.k"] != 0 || r.refused.RetryAfter() == 0 {
				t.Fatalf("ran %d times, retry after %s", d.runs["t.k"], r.refused.RetryAfter())
			}
			if r := call(newRunner(o, d, 2), "r2", "k", "b"); r.refused != nil {
				t.Fatalf("after the outage: %v", r.refused)
			}
		}
	})
}

// Guards against refusing a repeat as not run during a store outage although the first call with its key ran.
func TestRepeatInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, d := newFakes(nil, nil, []int{0, storeUnreachable})
		if r := call(newRunner(o, d, 1), "r", "k", "b"); r.refused != nil || d.runs["t.k"] != 1 {
			t.Fatalf("got %v after %d runs", r.refused, d.runs["t.k"])
		}
		expectRefusal(t, call(newRunner(o, d, 2), "r2", "k", "b"), refusal.StoreDown, refusal.Unknown)
	})
}

// Guards against refusing a call whose claim was written because the store's response was lost.
func TestAnswerLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, d := newFakes(nil, nil, []int{storeResponseLost})
		if r := call(newRunner(o, d, 1), "r", "k", "b"); r.refused != nil || d.runs["t.k"] != 1 {
			t.Fatalf("got %v after %d runs", r.refused, d.runs["t.k"])
		}
	})
}

// Guards against concurrent requests with the same key that block each other's send with tombstones until all are refused.
func TestConcurrentRequests(t *testing.T) {
	for pause := range 8 {
		synctest.Test(t, func(t *testing.T) {
			o, d := newFakes(nil, nil, nil)
			var results [3]result
			var wg sync.WaitGroup
			for i := range results {
				wg.Go(func() {
					time.Sleep(time.Duration(i*pause) * time.Millisecond / 2)
					results[i] = call(newRunner(o, d, byte(i)), fmt.Sprintf("r%d", i), "k", "b")
				})
			}
			wg.Wait()
			for _, r := range results {
				if r.refused != nil {
					t.Fatalf("pause %d: %v", pause, r.refused)
				}
			}
			if err := verify(d, results[:]); err != "" {
				t.Fatalf("pause %d: %s", pause, err)
			}
		})
	}
}

// Guards against a second run after a restart: a call is in flight to an incarnation that records a tombstone and then
// restarts. The next incarnation does not know the tombstone and must not run the call, because the claim has moved to
// another daemon.
func TestLateSendAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, d := newFakes([]int{startDelayed}, nil, nil)
		time.AfterFunc(20*time.Millisecond, func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			for i, keys := range d.keys {
				if a, seen := keys["t.k"]; seen && a == nil {
					d.incs[i]++
					d.keys[i] = map[string]*attempt{}
				}
			}
		})
		r := call(newRunner(o, d, 1), "r1", "k", "b")
		time.Sleep(time.Second)
		if r.refused != nil || d.runs["t.k"] != 1 || d.incs[0]+d.incs[1]+d.incs[2] != 4 {
			t.Fatalf("got %v after %d runs, incarnations %v", r.refused, d.runs["t.k"], d.incs)
		}
	})
}

// Guards against calls whose attempts are missing from the trace.
func TestExplain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, d := newFakes([]int{startBusy}, nil, nil)
		c := newRunner(o, d, 1)
		if r := call(c, "r", "k", "b"); r.refused != nil {
			t.Fatalf("call: %v", r.refused)
		}
		e, ok := c.dispatcher.(*dispatch.Dispatcher).Explain("r")
		if !ok || e.State != dispatch.Finished || len(e.Tries) != 2 || e.Tries[0].Outcome != "busy" || e.Tries[1].Outcome != dispatch.Finished {
			t.Fatalf("got %+v", e)
		}
	})
}

// Guards against sending a call to a second daemon without proof that the first one will never run it.
func TestFates(t *testing.T) {
	for _, c := range []struct {
		starts, queries []int
		code            refusal.Code
		ran             refusal.Ran
	}{
		{[]int{startDuringRestart}, nil, refusal.OutcomeUnknown, refusal.Unknown},
		{[]int{startLinkLost}, []int{1, 1, 1}, refusal.OutcomeUnknown, refusal.Unknown},
		{[]int{startDelayed}, []int{1, 1, 1}, refusal.OutcomeUnknown, refusal.Unknown},
		{[]int{startCrash}, nil, refusal.Crashed, refusal.Partial},
		{[]int{startLost}, nil, "", ""},
		{[]int{startThenRefused}, nil, "", ""},
		{[]int{startBusy, startBusy}, nil, "", ""},
		{[]int{startBusy, startBusy, startBusy}, nil, refusal.NoUpstream, refusal.NotRun},
	} {
		synctest.Test(t, func(t *testing.T) {
			o, d := newFakes(c.starts, c.queries, nil)
			r := call(newRunner(o, d, 1), "r", "k", "b")
			time.Sleep(time.Second)
			if c.code != "" {
				expectRefusal(t, r, c.code, c.ran)
			} else if r.refused != nil {
				t.Fatalf("starts %v: %v", c.starts, r.refused)
			}
			if err := verify(d, []result{r}); err != "" {
				t.Fatalf("starts %v: %s", c.starts, err)
			}
		})
	}
}

// Guards against accepting keys that are empty, too long, or unsafe in an object name.
func TestInvalidKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, d := newFakes(nil, nil, nil)
		for _, key := range []string{"", "a b", "é", string(make([]byte, maxKeyBytes+1))} {
			expectRefusal(t, call(newRunner(o, d, 1), "r", key, "b"), refusal.BadRequest, refusal.NotRun)
		}
	})
}

// List implements Swept.
func (o *fakeStore) List(context.Context, string, string) (wire.Listing, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var l wire.Listing
	for name, v := range o.values {
		l.Objects = append(l.Objects, wire.Entry{Name: name, Version: v.Version})
	}
	return l, nil
}

// Delete implements Swept.
func (o *fakeStore) Delete(_ context.Context, _, name string, version int64) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.values[name].Version != version {
		return store.NewConflictError(Kind, name, o.values[name])
	}
	delete(o.values, name)
	return nil
}

type constantRandom struct{}

func (constantRandom) Float64() float64 { return 0.5 }

// Guards against claims that accumulate in the store, and against deleting a claim that has not expired.
func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, d := newFakes(nil, nil, nil)
		c := newRunner(o, d, 1)
		for i := range 48 {
			if r := call(c, "r", fmt.Sprintf("k%d", i), "b"); r.refused != nil {
				t.Fatalf("call: %v", r.refused)
			}
			time.Sleep(time.Hour)
		}
		// The offset of half an hour keeps the running time of the calls from affecting which claims are expired.
		n, err := NewSweeper(o, constantRandom{}).Sweep(t.Context(), time.Now().Add(-30*time.Minute))
		if err != nil || n != 24 || len(o.values) != 24 {
			t.Fatalf("deleted %d, %d left: %v", n, len(o.values), err)
		}
		for i := 24; i < 48; i++ {
			if _, ok := o.values[fmt.Sprintf("t.k%d", i)]; !ok {
				t.Fatalf("claim of hour %d was deleted", i)
			}
		}
	})
}
