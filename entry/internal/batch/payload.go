package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"bulrushspoke/entry/internal/ingress"
	"bulrushspoke/internal/job"
	"bulrushspoke/internal/store"
	"bulrushspoke/platform"
	"bulrushspoke/wire"
)

// maxParts is the largest number of parts of a payload that is read; a body of 32 MiB has 33 parts of a store with objects of 1 MiB.
const maxParts = 4096

// envelopeBytes is reserved in each object of the store for data beside the payload.
const envelopeBytes = 4 << 10

// splitPayload replaces a payload that does not fit into one object.
type splitPayload struct {
	Parts int `json:"parts"`
}

// putPayload writes the payload of a job to the store, in parts if necessary, and reports whether any of it was there
// already. A payload that is there is the same one.
func (m *Manager) putPayload(ctx context.Context, id string, body []byte) (found bool, err error) {
	room := m.MaxObjectBytes - envelopeBytes
	if len(body) <= room {
		return m.putPart(ctx, id, body)
	}
	chunk := m.partBytes()
	n := 0
	for rest := body; len(rest) > 0; n++ {
		size := min(chunk, len(rest))
		value, err := json.Marshal(rest[:size])
		if err != nil {
			return found, err
		}
		old, err := m.putPart(ctx, partName(id, n), value)
		found = found || old
		if err != nil {
			return found, err
		}
		rest = rest[size:]
	}
	value, err := json.Marshal(splitPayload{Parts: n})
	if err != nil {
		return found, err
	}
	old, err := m.putPart(ctx, id, value)
	return found || old, err
}

// putPart writes an object of a payload and reports whether it may have been there already.
func (m *Manager) putPart(ctx context.Context, name string, value []byte) (found bool, err error) {
	_, err = m.Store.Create(ctx, KindPayload, name, value)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return true, nil
	}
	var down *store.UnavailableError
	if errors.As(err, &down) && down.Ambiguous() {
		if _, readErr := m.Store.Get(ctx, KindPayload, name); readErr == nil {
			return true, nil
		}
	}
	return false, err
}

func partName(id string, n int) string { return fmt.Sprintf("%s.%d", id, n) }

// PayloadParts returns the names of the parts of a payload, given the job and the value of its main object; none if it is not
// split.
func PayloadParts(id string, value []byte) []string {
	var p splitPayload
	if err := json.Unmarshal(value, &p); err != nil {
		return nil // an unsplit payload of any form
	}
	var l []string
	for n := range min(p.Parts, maxParts) {
		l = append(l, partName(id, n))
	}
	return l
}

// JobOfPart returns the job of a part of a payload, given the name of its object; empty if the name is not that of a part.
func JobOfPart(name string) string {
	i := strings.LastIndexByte(name, '.')
	if i < 0 {
		return ""
	}
	if _, err := strconv.Atoi(name[i+1:]); err != nil {
		return ""
	}
	return name[:i]
}

// payload reads the payload of a job from the store. It reserves memory for a split one, which the caller releases.
func (m *Manager) payload(ctx context.Context, id string) ([]byte, *jobMemory, error) {
	r, err := m.Store.Get(ctx, KindPayload, id)
	if err != nil {
		return nil, nil, err
	}
	var p splitPayload
	if err := json.Unmarshal(r.Spec, &p); err != nil || p.Parts <= 0 {
		return r.Spec, nil, nil //nolint:nilerr // an unsplit payload is decoded by the caller
	}
	if p.Parts > maxParts {
		return nil, nil, fmt.Errorf("batch: payload of job %s has %d parts", id, p.Parts)
	}
	size := int64(p.Parts) * int64(m.partBytes())
	memory := m.newMemory()
	if err := m.grow(memory, size); err != nil {
		return nil, memory, err
	}
	body := make([]byte, 0, size)
	for n := range p.Parts {
		r, err := m.Store.Get(ctx, KindPayload, partName(id, n))
		if err != nil {
			return nil, memory, err
		}
		var chunk []byte
		if err := json.Unmarshal(r.Spec, &chunk); err != nil {
			return nil, memory, fmt.Errorf("batch: part %d of job %s: %w", n, id, err)
		}
		body = append(body, chunk...)
	}
	return body, memory, nil
}

// partBytes returns the length of a part of a split payload. A part is encoded as a base64 JSON string, which takes a third
// more.
func (m *Manager) partBytes() int { return (m.MaxObjectBytes - envelopeBytes) * 3 / 4 }

// readSpec reads a job as submitted by its trainer from the store, and reserves memory for it, which the caller releases
// also after an error. A job that finds no memory is not lost: it is read again at the next call for it.
func (m *Manager) readSpec(ctx context.Context, id string) (job.Job, *jobMemory, error) {
	body, memory, err := m.payload(ctx, id)
	if err != nil {
		return job.Job{}, memory, err
	}
	size, err := platform.MeasureStoredJob(body)
	if err != nil {
		return job.Job{}, memory, err
	}
	if memory == nil {
		memory = m.newMemory()
	}
	if err := m.grow(memory, size); err != nil {
		return job.Job{}, memory, err
	}
	spec, err := platform.DecodeStoredJob(id, body)
	memory.shrinkToHeld(spec)
	return spec, memory, err
}

// pageReply returns the reply to a client that reads results.
func pageReply(p job.Page) ingress.Reply {
	body, err := platform.EncodePage(p)
	if err != nil {
		return ingress.Reply{Status: http.StatusInternalServerError, Cause: err.Error()}
	}
	return ingress.Reply{Status: http.StatusOK, Body: body, JSON: true}
}

func toResult(r job.Result) wire.JobResult {
	v := r.Versions
	if v == nil {
		v = []int{}
	}
	return wire.JobResult{Item: r.Item, Void: r.State == job.Terminated, Text: r.Text, Versions: v, Score: r.Score}
}

func fromResult(w wire.JobResult) job.Result {
	r := job.Result{Item: w.Item, Text: w.Text, Versions: w.Versions, Score: w.Score}
	if w.Void {
		r.State = job.Terminated
	}
	return r
}
