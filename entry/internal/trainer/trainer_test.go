package trainer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bulrushspoke/entry/internal/cursor"
	"bulrushspoke/entry/internal/steplog"
	"bulrushspoke/internal/refusal"
	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

var testIdentity = Identity{Workspace: "berges", Profile: "train"}

func testRequest(groups, samples int) wire.StepRequest {
	r := wire.StepRequest{Run: "r", Step: 1, Model: testModel, Version: 1}
	for i := range groups {
		r.Groups = append(r.Groups, wire.Group{Name: fmt.Sprintf("g%d", i), Prompt: "p", Samples: samples, Tokens: 100})
	}
	return r
}

// Guards against a step that does not end on one entry, and against objects that are left in the store.
func TestStepOnOneEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(1, 1)
		defer cl.close()
		tr := cl.entries[0].trainer
		ctx := context.Background()
		if _, err := tr.Open(ctx, testIdentity, testRequest(10, 4)); err != nil {
			t.Fatalf("open: %v", err)
		}
		seen := make(map[string]bool)
		cursor := ""
		for {
			a, err := tr.PullSamples(ctx, testIdentity, "r", 1, wire.PullRequest{Cursor: cursor, Version: 1, Wait: 1000})
			if err != nil {
				t.Fatalf("pull: %v", err)
			}
			for _, s := range a.Samples {
				id := fmt.Sprintf("%s.%d", s.Group, s.Index)
				if seen[id] {
					t.Fatalf("slot %s was delivered twice", id)
				}
				seen[id] = true
			}
			cursor = a.Cursor
			if a.Done && len(a.Samples) == 0 {
				break
			}
		}
		if len(seen) != 40 {
			t.Fatalf("%d slots were delivered, want 40", len(seen))
		}
		time.Sleep(10 * time.Second)
		if left := cl.objectCount(); left != 1 {
			t.Fatalf("%d objects are left, want the end marker alone", left)
		}
		status, err := tr.Open(ctx, testIdentity, testRequest(10, 4))
		if err != nil || status.State != "ended" {
			t.Fatalf("late open gives %v, %v", status, err)
		}
		var r *refusal.Error
		_, err = tr.Open(ctx, testIdentity, testRequest(11, 4))
		if !errors.As(err, &r) || r.Code() != refusal.Conflict {
			t.Fatalf("another spec gives %v, want a conflict", err)
		}
		a, err := tr.PullSamples(ctx, testIdentity, "r", 1, wire.PullRequest{Cursor: cursor, Version: 1})
		if err != nil || !a.Done {
			t.Fatalf("repeated last pull gives %v, %v", a, err)
		}
	})
}

func refused(err error, code refusal.Code) bool {
	var r *refusal.Error
	return errors.As(err, &r) && r.Code() == code
}

// Guards against a step that is lost, or loses more than 2% of its tokens, when its owner dies.
func TestOwnerDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(3, 2)
		defer cl.close()
		cl.tokens = func(s wire.Slot) int { return 50 + 5*s.Index }
		ck := &checker{cluster: cl, accepted: make(map[string]string), answers: make(map[string]seenAnswer)}
		time.AfterFunc(4*time.Second, func() { cl.kill(0) })
		if _, err := cl.entries[0].trainer.Open(context.Background(), testIdentity, testRequest(30, 8)); err != nil {
			t.Fatalf("open: %v", err)
		}
		ck.runTrainer(testRequest(30, 8), time.Minute)
		if len(ck.problems) > 0 || len(ck.accepted) != 240 {
			t.Fatalf("%d slots accepted: %v", len(ck.accepted), ck.problems)
		}
		needed := 0 // tokens
		for i := range 8 {
			needed += 30 * cl.tokens(wire.Slot{Index: i})
		}
		time.Sleep(time.Minute)
		cl.mu.Lock()
		defer cl.mu.Unlock()
		t.Logf("daemons made %d tokens for a step of %d", cl.tokensMade, needed)
		if cl.tokensMade > needed+needed/50 {
			t.Fatalf("daemons made %d tokens for a step of %d", cl.tokensMade, needed)
		}
	})
}

// Guards against finished samples that daemons drop before they are in the log: the next owner would have to generate
// them again.
func TestSamplesStayUntilCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(4, 1)
		defer cl.close()
		if _, err := cl.entries[0].trainer.Open(context.Background(), testIdentity, testRequest(2, 4)); err != nil {
			t.Fatalf("open: %v", err)
		}
		kept := func() int {
			cl.mu.Lock()
			defer cl.mu.Unlock()
			return len(cl.held)
		}
		cl.disruptStore("down", 10*time.Second)
		time.Sleep(9 * time.Second)
		if n := kept(); n != 8 {
			t.Fatalf("daemons keep %d of 8 samples before the commit", n)
		}
		time.Sleep(20 * time.Second)
		if n := kept(); n != 0 {
			t.Fatalf("daemons keep %d samples after the commit", n)
		}
	})
}

// Guards against a verdict that is counted twice, also when the reply to its write is lost.
func TestVerdictCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(1, 2)
		defer cl.close()
		ctx := context.Background()
		if _, err := cl.entries[0].trainer.Open(ctx, testIdentity, testRequest(1, 2)); err != nil {
			t.Fatalf("open: %v", err)
		}
		v := wire.VerdictRequest{ID: "crew-1", Run: "r", Step: 1, Group: "g0", Index: 1, Value: 0.75}
		cl.mu.Lock()
		cl.lostReplyShare = 1
		cl.mu.Unlock()
		a, err := cl.entries[1].trainer.RecordVerdict(ctx, testIdentity, v)
		if err != nil || !a.Counted {
			t.Fatalf("verdict with a lost reply gives %v, %v", a, err)
		}
		cl.mu.Lock()
		cl.lostReplyShare = 0
		cl.mu.Unlock()
		if a, err = cl.entries[0].trainer.RecordVerdict(ctx, testIdentity, v); err != nil || a.Counted {
			t.Fatalf("repeated verdict gives %v, %v", a, err)
		}
		v.ID = "crew-2"
		if _, err = cl.entries[0].trainer.RecordVerdict(ctx, testIdentity, v); !refused(err, refusal.Conflict) {
			t.Fatalf("second verdict gives %v, want a conflict", err)
		}
		if _, err = cl.entries[0].trainer.RecordVerdict(ctx, Identity{Workspace: "other"}, v); !refused(err, refusal.NotFound) {
			t.Fatalf("verdict of another workspace gives %v, want not found", err)
		}
	})
}

// Guards against a verdict that counts a second time at an entry that has not learnt of the end of the step.
func TestVerdictAfterTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(1, 2)
		defer cl.close()
		ctx := context.Background()
		if _, err := cl.entries[0].trainer.Open(ctx, testIdentity, testRequest(1, 2)); err != nil {
			t.Fatalf("open: %v", err)
		}
		v := wire.VerdictRequest{ID: "crew-1", Run: "r", Step: 1, Group: "g0", Index: 1, Value: 0.75}
		if a, err := cl.entries[1].trainer.RecordVerdict(ctx, testIdentity, v); err != nil || !a.Counted {
			t.Fatalf("verdict gives %v, %v", a, err)
		}
		if _, err := cl.entries[0].trainer.End(ctx, testIdentity, "r", 1, "cancelled"); err != nil {
			t.Fatalf("end: %v", err)
		}
		time.Sleep(10 * time.Second)
		for _, id := range []string{"crew-1", "crew-2"} {
			v.ID = id
			if a, err := cl.entries[1].trainer.RecordVerdict(ctx, testIdentity, v); !refused(err, refusal.Conflict) {
				t.Errorf("verdict %s after the end gives %v, %v, want a conflict", id, a, err)
			}
		}
		if left := cl.objectCount(); left != 1 {
			t.Errorf("%d objects are left, want the end marker alone", left)
		}
	})
}

// Guards against an owner that keeps generating samples after the step was cancelled through another entry.
func TestCancelAtAnotherEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(1, 2)
		defer cl.close()
		ctx := context.Background()
		if _, err := cl.entries[0].trainer.Open(ctx, testIdentity, testRequest(100, 4)); err != nil {
			t.Fatalf("open: %v", err)
		}
		time.Sleep(time.Second)
		a, err := cl.entries[1].trainer.End(ctx, testIdentity, "r", 1, "cancelled")
		if err != nil || a.State != "cancelled" {
			t.Fatalf("cancel gives %v, %v", a, err)
		}
		time.Sleep(2 * ownershipCheckInterval)
		if left := cl.entries[0].trainer.Steps(); len(left) != 0 {
			t.Fatalf("the owner still runs %v", left)
		}
		_, err = cl.entries[0].trainer.PullSamples(ctx, testIdentity, "r", 1, wire.PullRequest{})
		if !refused(err, refusal.Conflict) {
			t.Fatalf("pull of a cancelled step gives %v, want a conflict", err)
		}
		if a, err = cl.entries[0].trainer.Progress(ctx, testIdentity, "r", 1); err != nil || a.State != "cancelled" {
			t.Fatalf("progress gives %v, %v", a, err)
		}
	})
}

// Guards against an end that is acknowledged by an entry that has lost the step, and never reaches the log.
func TestEndAtFormerOwner(t *testing.T) {
	for name, end := range map[string]func(t *testing.T, cl *cluster){
		"cancel": func(t *testing.T, cl *cluster) {
			t.Helper()
			a, err := cl.entries[0].trainer.End(context.Background(), testIdentity, "r", 1, "cancelled")
			if err != nil || a.State != "cancelled" {
				t.Fatalf("end gives %v, %v", a, err)
			}
		},
		"last pull": func(t *testing.T, cl *cluster) {
			t.Helper()
			full := fullCursor(t, testRequest(100, 4))
			a, err := cl.entries[0].trainer.PullSamples(context.Background(), testIdentity, "r", 1, wire.PullRequest{Cursor: full})
			if err != nil || !a.Done {
				t.Fatalf("last pull gives %v, %v", a, err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(1, 2)
				defer cl.close()
				ctx := context.Background()
				if _, err := cl.entries[0].trainer.Open(ctx, testIdentity, testRequest(100, 4)); err != nil {
					t.Fatalf("open: %v", err)
				}
				cl.entries[0].pause()
				if _, err := cl.entries[1].trainer.PullSamples(ctx, testIdentity, "r", 1, wire.PullRequest{Wait: 100}); err != nil {
					t.Fatalf("pull: %v", err)
				}
				if len(cl.entries[1].trainer.Steps()) != 1 {
					t.Fatal("the second entry did not take over the step")
				}
				cl.entries[0].resume()
				end(t, cl)
				time.Sleep(2 * ownershipCheckInterval)
				if left := cl.entries[1].trainer.Steps(); len(left) != 0 {
					t.Errorf("the new owner still runs %v", left)
				}
				if left := cl.objectCount(); left != 1 {
					t.Errorf("%d objects are left, want the end marker alone", left)
				}
			})
		})
	}
}

// Guards against the end of another step of the same name: an entry ended a step of its own in an outage, and finds another
// spec in the log.
func TestEndInOutageSparesAnotherSpec(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(1, 2)
		defer cl.close()
		ctx := context.Background()
		cl.disruptStore("down", 10*time.Second)
		if _, err := cl.entries[1].trainer.Open(ctx, testIdentity, testRequest(1, 2)); err != nil {
			t.Fatalf("open in the outage: %v", err)
		}
		if _, err := cl.entries[1].trainer.End(ctx, testIdentity, "r", 1, "cancelled"); err != nil {
			t.Fatalf("end in the outage: %v", err)
		}
		cl.entries[1].pause()
		time.Sleep(10 * time.Second)
		if _, err := cl.entries[0].trainer.Open(ctx, testIdentity, testRequest(100, 4)); err != nil {
			t.Fatalf("open: %v", err)
		}
		cl.entries[1].resume()
		time.Sleep(2 * ownershipCheckInterval)
		if len(cl.entries[1].trainer.Steps()) != 0 || len(cl.entries[0].trainer.Steps()) != 1 {
			t.Errorf("the entries run %v and %v, want the second step alone", cl.entries[1].trainer.Steps(), cl.entries[0].trainer.Steps())
		}
	})
}

// fullCursor returns the cursor that holds every slot of a step.
func fullCursor(t *testing.T, r wire.StepRequest) string {
	t.Helper()
	slots := 0
	for _, g := range r.Groups {
		slots += g.Samples
	}
	set := cursor.New(steplog.Digest(r.Groups), slots)
	for i := range slots {
		set.Add(i)
	}
	return set.String()
}

// Guards against a step that exceeds a limit and is accepted, or refused with the wrong code.
func TestLimits(t *testing.T) {
	l := Limits{Groups: 3, Samples: 10, Tokens: 100, SpecBytes: 100}
	p := wire.Profile{Tokens: 50}
	for name, c := range map[string]struct {
		change func(r *wire.StepRequest)
		code   refusal.Code
	}{
		"run":     {func(r *wire.StepRequest) { r.Run = "a.b" }, refusal.BadRequest},
		"empty":   {func(r *wire.StepRequest) { r.Groups = nil }, refusal.BadRequest},
		"twice":   {func(r *wire.StepRequest) { r.Groups[1].Name = "g0" }, refusal.BadRequest},
		"none":    {func(r *wire.StepRequest) { r.Groups[0].Samples = 0 }, refusal.BadRequest},
		"groups":  {func(r *wire.StepRequest) { r.Groups = testRequest(4, 1).Groups }, refusal.TooLarge},
		"samples": {func(r *wire.StepRequest) { r.Groups[0].Samples = 9 }, refusal.TooLarge},
		"sum":     {func(r *wire.StepRequest) { r.Groups[0].Samples = 1 << 62; r.Groups[1].Samples = 1 << 62 }, refusal.TooLarge},
		"tokens":  {func(r *wire.StepRequest) { r.Groups[0].Tokens = 51 }, refusal.TooLarge},
		"spec":    {func(r *wire.StepRequest) { r.Groups[0].Prompt = string(make([]byte, 100)) }, refusal.TooLarge},
	} {
		r := testRequest(2, 2)
		for i := range r.Groups {
			r.Groups[i].Tokens = 50
		}
		if _, err := l.check(r, p); err != nil {
			t.Fatalf("valid step is refused: %v", err)
		}
		c.change(&r)
		if _, err := l.check(r, p); !refused(err, c.code) {
			t.Errorf("%s: got %v, want %s", name, err, c.code)
		}
	}
}

// scriptedStore is the store of a testEntry. onCreate, if set, runs before the next create of a log record; afterwards,
// failedReads reads fail, and the create is unanswered if loseCreate is set.
type scriptedStore struct {
	*testEntry
	mu          sync.Mutex
	onCreate    func()
	failedReads int
	loseCreate  bool
	armed       bool
}

func (s *scriptedStore) Create(ctx context.Context, kind, name string, value []byte) (int64, error) {
	s.mu.Lock()
	f := s.onCreate
	if kind == "step" {
		s.onCreate = nil
	}
	s.mu.Unlock()
	if f == nil || kind != "step" {
		return s.testEntry.Create(ctx, kind, name, value)
	}
	f()
	version, err := s.testEntry.Create(context.Background(), kind, name, value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.armed = s.onCreate == nil
	if s.loseCreate {
		return 0, store.NewUnavailableError(true, "lost")
	}
	return version, err
}

func (s *scriptedStore) Get(ctx context.Context, kind, name string) (store.Object, error) {
	s.mu.Lock()
	fail := s.armed && s.failedReads > 0
	if fail {
		s.failedReads--
	}
	s.mu.Unlock()
	if fail {
		return store.Object{}, store.NewUnavailableError(false, "down")
	}
	return s.testEntry.Get(ctx, kind, name)
}

// withStore replaces the trainer of an entry by one that uses the scripted store.
func (e *testEntry) withStore(s *scriptedStore) *Trainer {
	s.testEntry = e
	o := e.trainer.options
	o.Store = s
	e.trainer = New(o)
	return e.trainer
}

// Guards against a step that is opened again after its end: the entry was paused since before another one opened it, and
// cannot check at once whether its log still exists.
func TestOpenPausedUntilAfterTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(1, 2)
		defer cl.close()
		ctx := context.Background()
		s := &scriptedStore{failedReads: 1}
		late := cl.entries[1].withStore(s)
		s.onCreate = func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			// The next record, which is the owner of the step.
			s.onCreate = func() {
				if _, err := cl.entries[0].trainer.Open(ctx, testIdentity, testRequest(10, 4)); err != nil {
					t.Errorf("open: %v", err)
				}
				if _, err := cl.entries[0].trainer.End(ctx, testIdentity, "r", 1, "cancelled"); err != nil {
					t.Errorf("end: %v", err)
				}
				time.Sleep(10 * time.Second)
			}
		}
		if a, err := late.Open(ctx, testIdentity, testRequest(10, 4)); err != nil || a.State != "cancelled" {
			t.Errorf("late open gives %v, %v, want the end", a, err)
		}
		if left := late.Steps(); len(left) != 0 {
			t.Errorf("the entry runs %v", left)
		}
	})
}

// Guards against an end that is refused as not run although its record is in the log, or may still come into it.
func TestUnansweredEnd(t *testing.T) {
	for name, lose := range map[string]bool{"unanswered": true, "not confirmed": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(1, 2)
				defer cl.close()
				ctx := context.Background()
				s := &scriptedStore{failedReads: 1, loseCreate: lose, onCreate: func() {}}
				other := cl.entries[1].withStore(s)
				if _, err := cl.entries[0].trainer.Open(ctx, testIdentity, testRequest(1, 1)); err != nil {
					t.Fatalf("open: %v", err)
				}
				time.Sleep(5 * time.Second)
				_, err := other.End(ctx, testIdentity, "r", 1, "cancelled")
				var r *refusal.Error
				if !errors.As(err, &r) || r.Code() != refusal.StoreDown || r.Ran() != refusal.Unknown {
					t.Errorf("end gives %v, want an unknown outcome", err)
				}
				if a, err := other.End(ctx, testIdentity, "r", 1, "cancelled"); err != nil || a.State != "cancelled" {
					t.Errorf("repeated end gives %v, %v", a, err)
				}
			})
		})
	}
}
