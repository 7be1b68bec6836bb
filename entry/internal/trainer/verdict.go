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

const maxVerdictIDBytes = 128

// RecordVerdict counts a verdict on a slot. A repeat of the same id succeeds without being counted again; another id
// for the slot is a conflict.
func (t *Trainer) RecordVerdict(ctx context.Context, id Identity, q wire.VerdictRequest) (wire.VerdictAnswer, error) {
	var empty wire.VerdictAnswer
	if q.ID == "" || len(q.ID) > maxVerdictIDBytes || !runName.MatchString(q.Run) || !groupName.MatchString(q.Group) ||
		q.Step < 0 || q.Index < 0 {
		return empty, badRequest("a verdict needs an id of up to %d bytes, a run, step, group and index", maxVerdictIDBytes)
	}
	k := stepKey{run: q.Run, step: q.Step}
	info := t.info(k)
	spec, owner, err := t.lookUp(ctx, k, info)
	var ended *steplog.EndedError
	if errors.As(err, &ended) {
		return empty, verdictAfterEnd(ended)
	}
	if err != nil {
		return empty, err
	}
	if spec.Workspace != id.Workspace {
		return empty, notFoundError(k)
	}
	a, version, err := t.countVerdict(ctx, q)
	if err != nil {
		return a, err
	}
	// What is known of the step may be older than its end, with which all verdicts are deleted.
	_, err = steplog.New(t.options.Store, k.run, k.step).ReadSpec(ctx)
	if errors.As(err, &ended) {
		t.forgetEnded(k, info)
		// A verdict that stays because of a failure, which the store client logs, counts for nothing.
		_ = t.options.Store.Delete(ctx, steplog.VerdictObjects, verdictName(q), version)
		return empty, verdictAfterEnd(ended)
	}
	if err != nil {
		return empty, verdictUnknown(err)
	}
	if !a.Counted {
		return a, nil
	}
	v := wire.Verdict{ID: q.ID, Value: q.Value, Slot: wire.Slot{Run: q.Run, Step: q.Step, Group: q.Group, Index: q.Index}}
	if t.ownedStep(k) != nil || owner.Owner == nil || *owner.Owner == t.options.Self {
		t.VerdictCounted(v)
		return a, nil
	}
	// The verdict already counts in the store. The owner only adds it to a sample that is not accepted yet, so a lost
	// message is harmless.
	_ = t.options.Peers.Verdict(owner.Owner.Name, v)
	return a, nil
}

func verdictAfterEnd(e *steplog.EndedError) error {
	return refusal.New(refusal.Conflict, refusal.NotRun, "trainer: step is %s", e.Record().State)
}

func verdictUnknown(err error) error {
	return refusal.New(refusal.StoreDown, refusal.Unknown, "trainer: verdict may be counted: %v", err).
		WithRetryAfter(storeRetryAfter)
}

func verdictName(q wire.VerdictRequest) string {
	return fmt.Sprintf("%s.%d.%s.%d", q.Run, q.Step, q.Group, q.Index)
}

// countVerdict creates the verdict of a slot if there is none, and returns the store version of the object. After a lost
// reply, the object is read back.
func (t *Trainer) countVerdict(ctx context.Context, q wire.VerdictRequest) (wire.VerdictAnswer, int64, error) {
	name := verdictName(q)
	own := wire.StoredVerdict{ID: q.ID, Value: q.Value, Writer: t.options.NewID()}
	value, err := json.Marshal(own)
	if err != nil {
		return wire.VerdictAnswer{}, 0, eris.Wrap(err, "trainer: encode verdict")
	}
	version, err := t.options.Store.Create(ctx, steplog.VerdictObjects, name, value)
	var down *store.UnavailableError
	var conflict *store.ConflictError
	var winner store.Object
	switch {
	case err == nil:
		return wire.VerdictAnswer{ID: q.ID, Counted: true}, version, nil
	case errors.As(err, &conflict):
		winner = conflict.Current()
	case errors.As(err, &down) && down.Ambiguous():
		if winner, err = t.options.Store.Get(ctx, steplog.VerdictObjects, name); err != nil {
			return wire.VerdictAnswer{}, 0, verdictUnknown(err)
		}
	default:
		return wire.VerdictAnswer{}, 0, refusalOrStoreError(err)
	}
	var counted wire.StoredVerdict
	if err := json.Unmarshal(winner.Value, &counted); err != nil {
		return wire.VerdictAnswer{}, 0, eris.Wrap(err, "trainer: decode verdict")
	}
	if counted.ID != q.ID {
		return wire.VerdictAnswer{}, 0, refusal.New(refusal.Conflict, refusal.NotRun,
			"trainer: verdict %s counts for this sample", counted.ID)
	}
	return wire.VerdictAnswer{ID: q.ID, Counted: counted.Writer == own.Writer}, winner.Version, nil
}

// VerdictCounted records a counted verdict, which becomes the score of a sample that is not accepted yet.
func (t *Trainer) VerdictCounted(v wire.Verdict) {
	s := t.ownedStep(stepKey{run: v.Slot.Run, step: v.Slot.Step})
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if i, ok := s.slotNumber(v.Slot.Group, v.Slot.Index); ok {
		value := v.Value
		s.slots[i].score = &value
	}
}
