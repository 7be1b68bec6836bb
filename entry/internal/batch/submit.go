package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"bulrushspoke/entry/internal/ingress"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/event"
	"bulrushspoke/internal/job"
	"bulrushspoke/internal/link"
	"bulrushspoke/internal/store"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/internal/workspace"
	"bulrushspoke/platform"
	"bulrushspoke/wire"
)

// Submit accepts a job and starts to run it.
func (m *Manager) Submit(
	ctx context.Context, w workspace.Workspace, r *catalog.Route, id string, body []byte, now time.Time,
) ingress.Reply {
	if id == "" {
		return ingress.Reply{Status: http.StatusBadRequest, Cause: causeNoID, Body: []byte(causeNoID)}
	}
	return m.submit(ctx, w, r, scopedID(w, id), body, now)
}

// submit implements Submit for a scoped id.
func (m *Manager) submit(
	ctx context.Context, w workspace.Workspace, r *catalog.Route, id string, body []byte, now time.Time,
) ingress.Reply {
	accepted := ingress.Reply{Status: http.StatusAccepted}
	if m.local(id) != nil {
		return accepted
	}
	memory, err := m.reserve(body)
	if err != nil {
		return m.refuseMemory(id, err)
	}
	defer memory.release()
	spec, err := platform.DecodeJob(id, body)
	if err == nil && m.hasKeyInID(spec) {
		err = job.NewFormatError("the id of an item or of a reward call contains a key")
	}
	if err != nil {
		return ingress.Reply{Status: http.StatusBadRequest, Cause: err.Error(), Body: []byte(err.Error())}
	}
	memory.shrinkToHeld(spec)
	owner := m.preferredOwner(spec.Model, len(spec.Items), now)
	if len(body) > maxDelegated && !m.leaving() {
		owner = candidate{name: m.Name, inc: m.Self.Inc}
	}
	if owner.name == "" {
		return m.refuse(id, http.StatusServiceUnavailable, busyRetryAfter, "this entry is shutting down")
	}
	found, err := m.putPayload(ctx, id, body)
	if err != nil {
		// Without a state object nothing runs, so this refusal is definite.
		return m.refuse(id, http.StatusServiceUnavailable, retryAfter(m.Outage(now)), err.Error())
	}
	state := wire.JobState{
		Owner: owner.name, Inc: owner.inc, Epoch: 1, Host: r.Host, Path: r.Prefix, Total: len(spec.Items),
		At: now.UnixMilli(), Model: spec.Model, Config: m.configRevision(), Open: r.Open,
	}
	setWorkspace(&state, w)
	createdAt := time.Now()
	held, err := m.createState(ctx, id, state)
	if err != nil {
		return m.refuseAmbiguous(id, err, now)
	}
	if found && !held.Ended {
		// A payload of an earlier job with the id may have been removed before the state was written.
		if _, err := m.putPayload(ctx, id, body); err != nil {
			return m.refuse(id, http.StatusGatewayTimeout, 0, err.Error())
		}
	}
	if !held.Ended {
		m.recordRunning(wire.JobOwner{Owner: held.Owner, Inc: held.Inc, Model: spec.Model, Items: len(spec.Items)}, now)
	}
	switch {
	case held.Ended || held.Epoch > 1:
	case held.Owner == m.Name && held.Inc == m.Self.Inc:
		m.start(newJob(m, spec, held, nil, createdAt).attachMemory(memory), nil)
	case held.Owner == owner.name && held.Inc == owner.inc:
		kept := memory.transfer()
		go supervise.Guard(m.Logger, "delegate", func() {
			defer kept.release()
			m.delegate(id, held, body, &loadedSpec{spec: spec, memory: kept})
		})
	}
	event.JobAccepted.Log(m.Logger, "job", id, "workspace", w.Name, "step", spec.Step, "model", spec.Model, "min", spec.MinVersion,
		"items", len(spec.Items), "owner", held.Owner, "epoch", held.Epoch, "config", held.Config, "ms", time.Since(now).Milliseconds())
	return accepted
}

// configRevision returns the revision of the configuration that this entry holds.
func (m *Manager) configRevision() int64 {
	if c := m.Catalog.Config(); c != nil {
		return c.Revision
	}
	return 0
}

// hasKeyInID reports whether the id of an item or of a reward call of a new job contains a key, which the ingress may have
// masked. Ids reach servers, logs and results, and cannot be changed.
func (m *Manager) hasKeyInID(spec job.Job) bool {
	c := m.Catalog.Config()
	if c == nil || c.Workspaces == nil {
		return false
	}
	return spec.AnyID(func(id string) bool {
		return strings.Contains(id, workspace.MaskText) || c.Workspaces.ContainsKey(id)
	})
}

// maxDelegated is the largest payload that is passed to another entry, in bytes; a link carries frames of up to 4 MB.
const maxDelegated = 2 << 20

// delegate passes an accepted job to its owner, and takes it over if the owner does not accept it. The memory of the job stays
// reserved until then, so that an accepted job finds memory here.
func (m *Manager) delegate(id string, s wire.JobState, body []byte, loaded *loadedSpec) {
	ctx, cancel := context.WithTimeout(m.baseCtx, askTimeout)
	defer cancel()
	var done wire.JobReply
	err := m.Peers.Request(ctx, s.Owner, link.Start, wire.JobStart{Job: id, State: s, Payload: body}, &done)
	if err == nil && done.Done {
		m.cacheState(id, s)
		return
	}
	// If the store is unavailable now, the next read by a client takes over the job.
	m.takeOverLoaded(m.baseCtx, id, nil, s.Epoch, loaded)
}

// startDelegated runs a job that another entry has accepted for this one.
func (m *Manager) startDelegated(q wire.JobStart) bool {
	memory, err := m.reserve(q.Payload)
	if err != nil {
		event.JobRefused.Log(m.Logger, "job", q.Job, "status", http.StatusTooManyRequests, "cause", err.Error())
		return false
	}
	defer memory.release()
	spec, err := platform.DecodeStoredJob(q.Job, q.Payload)
	if err != nil || q.State.Owner != m.Name || q.State.Inc != m.Self.Inc || m.outdated(q) {
		return false
	}
	memory.shrinkToHeld(spec)
	// The message may have taken long, so the first read of the state is due at once.
	return m.start(newJob(m, spec, q.State, nil, time.Now().Add(-stateCheckInterval)).attachMemory(memory), nil)
}

// outdated reports whether a delegated job has had another owner since.
func (m *Manager) outdated(q wire.JobStart) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owners[q.Job].Epoch > q.State.Epoch
}

// refuseAmbiguous returns the reply to a submission whose state object could not be written. If it may have been
// written nevertheless, the reply does not promise that the job will not run.
func (m *Manager) refuseAmbiguous(id string, err error, now time.Time) ingress.Reply {
	var removed *removedError
	if errors.As(err, &removed) {
		return m.refuse(id, http.StatusServiceUnavailable, removalRetryAfter, err.Error())
	}
	var down *store.UnavailableError
	if errors.As(err, &down) && !down.Ambiguous() {
		return m.refuse(id, http.StatusServiceUnavailable, retryAfter(m.Outage(now)), err.Error())
	}
	return m.refuse(id, http.StatusGatewayTimeout, 0, err.Error())
}

// removedError means that a job cannot be accepted because an earlier one with its id is being removed.
type removedError struct {
	id string
}

// Error implements error.
func (e *removedError) Error() string {
	return fmt.Sprintf("batch: an earlier job %s is being removed", e.id)
}

// retryAfter returns when to retry a submission that the store could not accept, given the length of the outage so far.
//
// With a fixed delay the few attempts of a trainer could all fall into one outage. Early in an outage trainers wait for
// its typical end, late in one they retry soon.
func retryAfter(outage time.Duration) time.Duration {
	return min(max(typicalOutage-outage, minRetryAfter), maxRetryAfter)
}

func (m *Manager) refuse(id string, status int, retry time.Duration, cause string) ingress.Reply {
	event.JobRefused.Log(m.Logger, "job", id, "status", status, "cause", cause)
	return ingress.Reply{Status: status, RetryAfter: retry, Cause: cause}
}

// createState creates the state object of a job and returns the one in the store, which may be that of an earlier
// submission.
func (m *Manager) createState(ctx context.Context, id string, s wire.JobState) (wire.JobState, error) {
	value, err := json.Marshal(s)
	if err != nil {
		return s, err
	}
	_, err = m.Store.Create(ctx, KindState, id, value)
	if err == nil {
		return s, nil
	}
	var conflict *store.ConflictError
	var down *store.UnavailableError
	switch {
	case errors.As(err, &conflict):
		decodeErr := json.Unmarshal(conflict.Current().Value, &s)
		if decodeErr == nil && s.Removed {
			return s, &removedError{id: id}
		}
		if decodeErr == nil && s.Owner != "" {
			return s, nil
		}
	case errors.As(err, &down) && down.Ambiguous():
		// The write may have succeeded although it got no answer.
	default:
		return s, err
	}
	held, _, readErr := m.readState(ctx, id)
	if readErr != nil {
		return s, err
	}
	event.StoreReadBack.Log(m.Logger, "kind", KindState, "name", id)
	return held, nil
}
