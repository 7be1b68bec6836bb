package batch

import (
	"context"
	"net/http"
	"time"

	"bulrushspoke/internal/link"
	"bulrushspoke/platform"
	"bulrushspoke/wire"
)

// Register installs the handlers of messages from other entries.
func (m *Manager) Register(h Handlers) {
	h.Handle(link.Read, func(ctx context.Context, f link.Frame) (string, any, error) {
		var q wire.JobRead
		if err := f.Decode(&q); err != nil {
			return "", nil, err
		}
		j := m.local(q.Job)
		if j == nil {
			j = m.loadOwn(ctx, q.Job)
		}
		if j == nil {
			return link.Page, wire.JobPage{Body: []byte{}}, nil
		}
		if !m.ensureCurrent(ctx, j, q.After, time.Now()) {
			return link.Page, wire.JobPage{Known: true, Body: []byte{}}, nil
		}
		if m.local(q.Job) != j {
			return link.Page, wire.JobPage{Body: []byte{}}, nil
		}
		// Encoded here, since the entry that passes the page on may have little CPU time.
		body, err := platform.EncodePage(m.readPage(ctx, j, q.After, time.Duration(q.Wait)*time.Millisecond, q.Most))
		if err != nil {
			return "", nil, err
		}
		return link.Page, wire.JobPage{Known: true, Body: body}, nil
	})
	h.Handle(link.End, func(_ context.Context, f link.Frame) (string, any, error) {
		var q wire.JobEnd
		if err := f.Decode(&q); err != nil {
			return "", nil, err
		}
		if j := m.local(q.Job); j != nil {
			j.markEnded(time.Now())
		}
		m.mu.Lock()
		if s, ok := m.owners[q.Job]; ok {
			s.Ended = true
			m.owners[q.Job] = s
		}
		m.mu.Unlock()
		return link.Replied, wire.JobReply{Done: true}, nil
	})
	h.Handle(link.Owner, func(_ context.Context, f link.Frame) (string, any, error) {
		var q wire.JobOwner
		if err := f.Decode(&q); err != nil {
			return "", nil, err
		}
		m.recordRunning(q, time.Now())
		m.ownerChanged(q)
		return link.Replied, wire.JobReply{Done: true}, nil
	})
	h.Handle(link.Start, func(_ context.Context, f link.Frame) (string, any, error) {
		var q wire.JobStart
		if err := f.Decode(&q); err != nil {
			return "", nil, err
		}
		return link.Replied, wire.JobReply{Done: m.startDelegated(q)}, nil
	})
	h.Handle(link.Item, func(_ context.Context, f link.Frame) (string, any, error) {
		var q wire.JobItem
		if err := f.Decode(&q); err != nil {
			return "", nil, err
		}
		b := wire.JobBody{Body: []byte{}}
		if j := m.local(q.Job); j != nil && len(j.spec.Items) > 0 {
			reply := itemBody(j.spec, q.Item)
			b.Known, b.Found = true, reply.Status == http.StatusOK
			b.Body = append(b.Body, reply.Body...)
		}
		return link.Body, b, nil
	})
	h.Handle(link.Adopt, func(ctx context.Context, f link.Frame) (string, any, error) {
		var q wire.JobAdopt
		if err := f.Decode(&q); err != nil {
			return "", nil, err
		}
		// This entry may not have heard of the owner that passes the job on.
		if j := m.local(q.Job); j != nil && j.epoch < q.Epoch && !j.hasEnded() {
			m.dropLost(j)
		}
		lost := 0
		if !q.Gone {
			lost = anyEpoch // the owner passes the job on with its texts
		}
		reply := m.takeOver(ctx, q.Job, q.Parts, lost)
		// A job reported as having no owner may turn out to have one, and is not taken over then.
		return link.Replied, wire.JobReply{Done: reply.Status == 0 && (!q.Gone || m.local(q.Job) != nil)}, nil
	})
}
