package trainer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bulrushspoke/wire"
)

// idle runs a step through a store outage and returns how long its trainer waited for samples and how long the step
// took.
func idle(t *testing.T, patience time.Duration) (waited, took time.Duration) {
	const (
		outage  = 20 * time.Second
		compute = 20 * time.Millisecond // for each sample
	)
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(7, 1)
		defer w.close()
		w.pace = func() time.Duration { return 5*time.Millisecond + w.random(int64(10*time.Millisecond)) }
		n := w.nodes[0].trainer
		n.outageThreshold = patience
		ctx := context.Background()
		if _, err := n.Open(ctx, testIdentity, testRequest(200, 4)); err != nil {
			t.Fatalf("open: %v", err)
		}
		start := time.Now()
		time.AfterFunc(2*time.Second, func() { w.disturb("down", outage) })
		cursor := ""
		for {
			asked := time.Now()
			a, err := n.Take(ctx, testIdentity, "r", 1, wire.PullRequest{Cursor: cursor, Version: 1, Wait: 5000})
			if err != nil {
				t.Fatalf("pull: %v", err)
			}
			waited += time.Since(asked)
			cursor = a.Cursor
			if a.Done && len(a.Samples) == 0 {
				break
			}
			time.Sleep(time.Duration(len(a.Samples)) * compute)
		}
		took = time.Since(start)
		time.Sleep(time.Minute)
		if left := w.left(); left != 1 {
			t.Fatalf("%d objects are left after the outage, want the end marker alone", left)
		}
	})
	return waited, took
}

// Guards against a trainer that stands still in a store outage, and against records that are not appended after it.
func TestTrainerIdleInOutage(t *testing.T) {
	underCursor, took := idle(t, outageAfter)
	forLog, tookForLog := idle(t, time.Hour)
	t.Logf("store down for 20 s, virtual time: trainer idle %v of %v under the cursor, %v of %v waiting for the log",
		underCursor, took, forLog, tookForLog)
	if underCursor > forLog/2 {
		t.Fatalf("trainer idle %v under the cursor, %v waiting for the log", underCursor, forLog)
	}
}
