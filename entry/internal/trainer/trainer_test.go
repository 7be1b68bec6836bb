package trainer

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bulrushspoke/internal/refusal"
	"bulrushspoke/wire"
)

var testIdentity = Identity{Tenant: "berges", Profile: "train"}

func testRequest(groups, samples int) wire.StepRequest {
	r := wire.StepRequest{Run: "r", Step: 1, Model: testModel, Version: 1}
	for i := range groups {
		r.Groups = append(r.Groups, wire.Group{Name: fmt.Sprintf("g%d", i), Prompt: "p", Samples: samples, Tokens: 100})
	}
	return r
}

// Guards against a step that does not reach its end on one entry, and against objects that stay in the store.
func TestStepOnOneEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(1, 1)
		defer w.close()
		n := w.nodes[0].trainer
		ctx := context.Background()
		if _, err := n.Open(ctx, testIdentity, testRequest(10, 4)); err != nil {
			t.Fatalf("open: %v", err)
		}
		seen := make(map[string]bool)
		cursor := ""
		for {
			a, err := n.Take(ctx, testIdentity, "r", 1, wire.PullRequest{Cursor: cursor, Version: 1, Wait: 1000})
			if err != nil {
				t.Fatalf("pull: %v", err)
			}
			for _, s := range a.Samples {
				id := fmt.Sprintf("%s.%d", s.Group, s.Index)
				if seen[id] {
					t.Fatalf("slot %s was given twice", id)
				}
				seen[id] = true
			}
			cursor = a.Cursor
			if a.Done && len(a.Samples) == 0 {
				break
			}
		}
		if len(seen) != 40 {
			t.Fatalf("%d slots were given, want 40", len(seen))
		}
		time.Sleep(10 * time.Second)
		w.mu.Lock()
		left := len(w.objects)
		w.mu.Unlock()
		if left != 1 {
			t.Fatalf("%d objects are left, want the end marker alone", left)
		}
		status, err := n.Open(ctx, testIdentity, testRequest(10, 4))
		if err != nil || status.State != "ended" {
			t.Fatalf("late open gives %v, %v", status, err)
		}
		var r *refusal.Error
		_, err = n.Open(ctx, testIdentity, testRequest(11, 4))
		if !errors.As(err, &r) || r.Code() != refusal.Conflict {
			t.Fatalf("another spec gives %v, want a conflict", err)
		}
		a, err := n.Take(ctx, testIdentity, "r", 1, wire.PullRequest{Cursor: cursor, Version: 1})
		if err != nil || !a.Done {
			t.Fatalf("repeated last pull gives %v, %v", a, err)
		}
	})
}
