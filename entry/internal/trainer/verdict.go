package trainer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"bulrushspoke/entry/internal/steplog"
	"bulrushspoke/internal/refusal"
	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

const maxVerdictID = 128

// Judge counts a verdict on a slot. A repeat of the same id is answered as counted before, another id for the slot is a
// conflict.
func (t *Trainer) Judge(ctx context.Context, id Identity, q wire.VerdictRequest) (wire.VerdictAnswer, error) {
	var none wire.VerdictAnswer
	if q.ID == "" || len(q.ID) > maxVerdictID || !runName.MatchString(q.Run) || !groupName.MatchString(q.Group) ||
		q.Step < 0 || q.Index < 0 {
		return none, bad("a verdict needs an id of up to %d bytes, a run, step, group and index", maxVerdictID)
	}
	k := stepKey{run: q.Run, step: q.Step}
	spec, owner, err := t.find(ctx, k, t.site(k))
	var over *steplog.EndedError
	if errors.As(err, &over) {
		return none, refusal.New(refusal.Conflict, refusal.NotRun, "trainer: step is %s", over.Record().State)
	}
	if err != nil {
		return none, err
	}
	if spec.Workspace != id.Workspace {
		return none, unknown(k)
	}
	a, err := t.count(ctx, q)
	if err != nil || !a.Counted {
		return a, err
	}
	v := wire.Verdict{ID: q.ID, Value: q.Value, Slot: wire.Slot{Run: q.Run, Step: q.Step, Group: q.Group, Index: q.Index}}
	if t.local(k) != nil || owner.Owner == nil || *owner.Owner == t.options.Self {
		t.Verdict(v)
		return a, nil
	}
	// The verdict counts in the store. Its owner only puts it into a sample that is not committed yet, so a lost message
	// is harmless.
	_ = t.options.Peers.Verdict(owner.Owner.Name, v)
	return a, nil
}

// count creates the verdict of a slot if there is none. After a lost answer the object is read back.
func (t *Trainer) count(ctx context.Context, q wire.VerdictRequest) (wire.VerdictAnswer, error) {
	name := fmt.Sprintf("%s.%d.%s.%d", q.Run, q.Step, q.Group, q.Index)
	mine := wire.Judgement{ID: q.ID, Value: q.Value, Writer: t.options.IDs()}
	value, err := json.Marshal(mine)
	if err != nil {
		return wire.VerdictAnswer{}, eris.Wrap(err, "trainer: encode")
	}
	_, err = t.options.Store.Create(ctx, steplog.VerdictObjects, name, value)
	var down *store.DownError
	var conflict *store.ConflictError
	var winner store.Object
	switch {
	case err == nil:
		return wire.VerdictAnswer{ID: q.ID, Counted: true}, nil
	case errors.As(err, &conflict):
		winner = conflict.Winner()
	case errors.As(err, &down) && down.Ambiguous():
		if winner, err = t.options.Store.Get(ctx, steplog.VerdictObjects, name); err != nil {
			return wire.VerdictAnswer{}, refusal.New(refusal.StoreDown, refusal.Unknown, "trainer: verdict may be counted: %v", err).
				After(retryStore)
		}
	default:
		return wire.VerdictAnswer{}, storeError(err)
	}
	var counted wire.Judgement
	if err := json.Unmarshal(winner.Value, &counted); err != nil {
		return wire.VerdictAnswer{}, eris.Wrap(err, "trainer: verdict")
	}
	if counted.ID != q.ID {
		return wire.VerdictAnswer{}, refusal.New(refusal.Conflict, refusal.NotRun, "trainer: verdict %s counts for this sample",
			counted.ID)
	}
	return wire.VerdictAnswer{ID: q.ID, Counted: counted.Writer == mine.Writer}, nil
}

// Verdict takes note of a counted verdict: it becomes the score of a sample that is not whole yet.
func (t *Trainer) Verdict(v wire.Verdict) {
	s := t.local(stepKey{run: v.Slot.Run, step: v.Slot.Step})
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if i, ok := s.slot(v.Slot.Group, v.Slot.Index); ok {
		value := v.Value
		s.cells[i].score = &value
	}
}
