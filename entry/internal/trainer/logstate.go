package trainer

import (
	"context"

	"bulrushspoke/entry/internal/steplog"
	"bulrushspoke/wire"
)

// logState is the content of a step's log, as far as it has been read.
type logState struct {
	spec    *wire.Spec
	owner   wire.Record
	records []wire.Record
	end     *wire.Record
}

// apply adds the next record.
func (ls *logState) apply(r wire.Record) error {
	switch r.Kind {
	case steplog.KindSpec:
		ls.spec = r.Spec
	case steplog.KindOwner:
		ls.owner = r
	case steplog.KindCommit, steplog.KindVoid:
		ls.records = append(ls.records, r)
	case steplog.KindEnd:
		ls.end = &r
	}
	return nil
}

func (ls *logState) read(ctx context.Context, l *steplog.Log) error { return l.Read(ctx, ls.apply) }

// restore rebuilds the samples of a step from its log; the mutex must be held unless the step has not started. The
// first sample committed for a slot stays until it is voided.
func (s *Step) restore(records []wire.Record) {
	for i := range s.slots {
		s.slots[i].sample = nil
	}
	s.batches = nil
	for _, r := range records {
		for _, w := range r.Void {
			i, ok := s.slotNumber(w.Group, w.Index)
			if ok && s.slots[i].sample != nil && s.slots[i].sample.ID == w.ID {
				s.slots[i].sample = nil
				s.staleCount++
			}
		}
		b := &batch{visible: true}
		for n := range r.Give {
			sample := &r.Give[n]
			i, ok := s.slotNumber(sample.Group, sample.Index)
			if !ok || s.slots[i].sample != nil {
				continue
			}
			s.slots[i].sample = sample
			b.items = append(b.items, batchItem{slot: i, sample: sample})
		}
		if len(b.items) > 0 {
			s.batches = append(s.batches, b)
		}
	}
	for i := range s.slots {
		if s.slots[i].sample != nil {
			s.plan.Close(i)
		}
	}
}

// newOwnerRecord returns a record that names this entry; its epoch is set when it is appended.
func (t *Trainer) newOwnerRecord() wire.Record {
	self := t.options.Self
	return wire.Record{Kind: steplog.KindOwner, Writer: t.options.NewID(), Owner: &self}
}

func newEndRecord(writer string, epoch int64, state string) wire.Record {
	return wire.Record{Kind: steplog.KindEnd, Writer: writer, Epoch: epoch, State: state}
}
