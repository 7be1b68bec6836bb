package batch

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"bulrushspoke/internal/event"
	"bulrushspoke/internal/sleep"
	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

const (
	// keepEvery is the time between two writes of the unlisted texts of a job: what a new owner has to make again at most,
	// for one call a second.
	keepEvery = time.Second
	// keepLeast is how many new events are worth a write.
	keepLeast = 32
	// maxKept bounds the texts in one write in bytes; the longest come first.
	maxKept = 700 << 10
)

// keeper writes the texts of a job that are not listed to the store now and then.
//
// It answers the loss of an owner, or of all entries at once, in the middle of a step: the longest items, which decide
// when the step is whole, go on instead of beginning anew.
type keeper struct {
	job      *Job
	revision int64 // of the object; 0 before the first write
	events   int   // in the last write
}

// run keeps texts until ctx ends.
func (k *keeper) run(ctx context.Context) {
	for {
		sleep.For(ctx, keepEvery)
		if ctx.Err() != nil {
			return
		}
		parts, events := k.job.longest()
		if events < k.events+keepLeast && events+keepLeast > k.events {
			continue
		}
		if err := k.write(ctx, parts); err != nil {
			// The store's client has logged the cause; texts are kept to save work only.
			continue
		}
		k.events = events
	}
}

// write replaces the object. A conflict can only come from an earlier write of this process, or from a new owner, whose
// log tells this one soon.
func (k *keeper) write(ctx context.Context, parts []wire.JobPart) error {
	value, err := json.Marshal(wire.JobTexts{Parts: parts})
	if err != nil {
		return err
	}
	m, id := k.job.manager, k.job.spec.ID
	var revision int64
	if k.revision == 0 {
		revision, err = m.Store.Create(ctx, KindTexts, id, value)
	} else {
		revision, err = m.Store.Update(ctx, KindTexts, id, value, k.revision)
	}
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		k.revision = conflict.Winner().Version
		return err
	}
	if err != nil {
		return err
	}
	k.revision = revision
	return nil
}

// longest returns the texts that are not listed, the longest first as far as one write holds them, and the number of
// their events.
func (j *Job) longest() ([]wire.JobPart, int) {
	all := j.parts()
	sortByLength(all)
	events, size := 0, 0
	for i, p := range all {
		for _, d := range p.Data {
			size += len(d)
		}
		if size > maxKept {
			return all[:i], events
		}
		events += len(p.Data)
	}
	return all, events
}

// kept returns the texts of a job that a former owner kept.
func (m *Manager) kept(ctx context.Context, id string) []wire.JobPart {
	r, err := m.Store.Get(ctx, KindTexts, id)
	if err != nil {
		return nil // absent, or the client has logged the cause
	}
	var t wire.JobTexts
	if err := json.Unmarshal(r.Spec, &t); err != nil {
		event.ObjectInvalid.Log(m.Logger, "kind", KindTexts, "name", id, "cause", err.Error())
		return nil
	}
	event.TextsKept.Log(m.Logger, "job", id, "texts", len(t.Parts), "revision", r.Revision)
	return t.Parts
}
