package batch

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"bulrushspoke/internal/event"
	"bulrushspoke/internal/jsonenc"
	"bulrushspoke/internal/sleep"
	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

const (
	// checkpointInterval is the time between two checkpoints of a job: it bounds what a new owner has to generate
	// again, at the cost of one store call a second.
	checkpointInterval = time.Second
	// minCheckpointEvents is the number of new events that justify a checkpoint.
	minCheckpointEvents = 32
	// maxCheckpointBytes bounds the encoded texts in a checkpoint, unless the store accepts smaller objects only; the longest
	// are included first.
	maxCheckpointBytes = 700 << 10
	// partOverhead is the encoded size of what is known of an item beside its texts and versions, in bytes.
	partOverhead = 128
)

// checkpointer writes the unlisted texts of a job, and the failures of its items, to the store periodically.
//
// When the owner of a job is lost in the middle of a step, or all entries at once, the longest items, which decide when
// the step is complete, resume instead of starting again.
type checkpointer struct {
	job      *Job
	revision int64 // of the object in the store; 0 before the first write
	events   int   // number of events in the last checkpoint
	failures int   // number of failures in the last checkpoint
}

// run writes checkpoints until ctx ends.
func (k *checkpointer) run(ctx context.Context) {
	for {
		sleep.For(ctx, checkpointInterval)
		if ctx.Err() != nil {
			return
		}
		parts, events := k.job.longestParts()
		failures := 0
		for _, p := range parts {
			failures += p.Failures
		}
		if events < k.events+minCheckpointEvents && events+minCheckpointEvents > k.events && failures <= k.failures {
			continue
		}
		if err := k.write(ctx, parts); err != nil {
			// Logged by the store client. Checkpoints are optional: they only avoid generating texts again.
			continue
		}
		k.events, k.failures = events, failures
	}
}

// write replaces the checkpoint, unless a later owner has written it. Another conflict is caused by an earlier owner, or by
// an earlier write of this process, and the next checkpoint replaces theirs.
func (k *checkpointer) write(ctx context.Context, parts []wire.JobPart) error {
	value, err := jsonenc.Marshal(wire.JobTexts{Epoch: k.job.epoch, Parts: parts})
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
		var held wire.JobTexts
		if json.Unmarshal(conflict.Current().Value, &held) != nil || held.Epoch <= k.job.epoch {
			k.revision = conflict.Current().Version
		}
		return err
	}
	if err != nil {
		return err
	}
	k.revision = revision
	return nil
}

// longestParts returns the unlisted texts that fit into a checkpoint, the longest first, and their number of events.
func (j *Job) longestParts() ([]wire.JobPart, int) {
	all := j.unlistedParts()
	sortByLength(all)
	events, size := 0, 0
	for i, p := range all {
		size += partOverhead + jsonenc.StringSize(p.Item) + versionBytes*len(p.Versions)
		for _, d := range p.Data {
			size += jsonenc.StringSize(d) + len(",")
		}
		if size > min(maxCheckpointBytes, j.manager.MaxObjectBytes-envelopeBytes) {
			return all[:i], events
		}
		events += len(p.Data)
	}
	return all, events
}

// loadCheckpoint returns the texts of a job that a former owner has written to the store.
func (m *Manager) loadCheckpoint(ctx context.Context, id string) []wire.JobPart {
	r, err := m.Store.Get(ctx, KindTexts, id)
	if err != nil {
		return nil // absent, or logged by the store client
	}
	var t wire.JobTexts
	if err := json.Unmarshal(r.Spec, &t); err != nil {
		event.ObjectInvalid.Log(m.Logger, "kind", KindTexts, "name", id, "cause", err.Error())
		return nil
	}
	event.TextsRestored.Log(m.Logger, "job", id, "texts", len(t.Parts), "revision", r.Revision)
	return t.Parts
}
