package trainer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bulrushspoke/wire"
)

// runThroughOutage runs a step through a store outage. It returns how long the trainer waited for samples and how long
// the step took.
func runThroughOutage(t *testing.T, outageThreshold time.Duration) (waited, took time.Duration) {
	const (
		outage  = 20 * time.Second
		compute = 20 * time.Millisecond // for each sample
	)
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(7, 1)
		defer cl.close()
		cl.tokenTime = func() time.Duration { return 5*time.Millisecond + cl.random(int64(10*time.Millisecond)) }
		tr := cl.entries[0].trainer
		tr.outageThreshold = outageThreshold
		ctx := context.Background()
		if _, err := tr.Open(ctx, testIdentity, testRequest(200, 4)); err != nil {
			t.Fatalf("open: %v", err)
		}
		start := time.Now()
		time.AfterFunc(2*time.Second, func() { cl.disruptStore("down", outage) })
		cursor := ""
		for {
			asked := time.Now()
			a, err := tr.PullSamples(ctx, testIdentity, "r", 1, wire.PullRequest{Cursor: cursor, Version: 1, Wait: 5000})
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
		if left := cl.objectCount(); left != 1 {
			t.Fatalf("%d objects are left after the outage, want the end marker alone", left)
		}
	})
	return waited, took
}

// Guards against a trainer that gets no samples during a store outage, and against records that are not appended after
// it.
func TestTrainerIdleInOutage(t *testing.T) {
	withCursor, took := runThroughOutage(t, outageThreshold)
	waitingForLog, tookWaitingForLog := runThroughOutage(t, time.Hour)
	t.Logf("store down for 20 s, virtual time: trainer idle %v of %v under the cursor, %v of %v waiting for the log",
		withCursor, took, waitingForLog, tookWaitingForLog)
	if withCursor > waitingForLog/2 {
		t.Fatalf("trainer idle %v under the cursor, %v waiting for the log", withCursor, waitingForLog)
	}
}
