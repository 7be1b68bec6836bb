package trainer

import (
	"context"

	"bulrushspoke/entry/internal/steplog"
	"bulrushspoke/wire"
)

// history is what a log says.
type history struct {
	spec    *wire.Spec
	owner   wire.Record
	records []wire.Record
	end     *wire.Record
}

// apply takes the next record.
func (h *history) apply(r wire.Record) error {
	switch r.Kind {
	case steplog.KindSpec:
		h.spec = r.Spec
	case steplog.KindOwner:
		h.owner = r
	case steplog.KindCommit, steplog.KindVoid:
		h.records = append(h.records, r)
	case steplog.KindEnd:
		h.end = &r
	}
	return nil
}

func (h *history) read(ctx context.Context, l *steplog.Log) error { return l.Read(ctx, h.apply) }

// load rebuilds the samples of a step from its log; the mutex must be held or the step not started. The first sample
// given for a slot stays until it is voided.
func (s *Step) load(records []wire.Record) {
	for i := range s.cells {
		s.cells[i].sample = nil
	}
	s.batches = nil
	for _, r := range records {
		for _, l := range r.Void {
			i, ok := s.slot(l.Group, l.Index)
			if ok && s.cells[i].sample != nil && s.cells[i].sample.ID == l.ID {
				s.cells[i].sample = nil
				s.stale++
			}
		}
		b := &batch{shown: true}
		for n := range r.Give {
			sample := &r.Give[n]
			i, ok := s.slot(sample.Group, sample.Index)
			if !ok || s.cells[i].sample != nil {
				continue
			}
			s.cells[i].sample = sample
			b.items = append(b.items, item{slot: i, sample: sample})
		}
		if len(b.items) > 0 {
			s.batches = append(s.batches, b)
		}
	}
	for i := range s.cells {
		if s.cells[i].sample != nil {
			s.plan.Close(i)
		}
	}
}

// ownerRecord returns a record that names this entry; its epoch is set when it is appended.
func (t *Trainer) ownerRecord() wire.Record {
	self := t.options.Self
	return wire.Record{Kind: steplog.KindOwner, Writer: t.options.IDs(), Owner: &self}
}

func endRecord(writer string, epoch int64, state string) wire.Record {
	return wire.Record{Kind: steplog.KindEnd, Writer: writer, Epoch: epoch, State: state}
}
