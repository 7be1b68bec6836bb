// Package steplog keeps the append-only log of a step in the object store.
//
// # Usage
//
//	l := steplog.New(store, "run", 7)
//	err := l.Read(ctx, func(r wire.Record) error { … })
//	err = l.Append(ctx, record)
//
// Position n is the object step/<run>.<step>.<n>, which is created only if absent, so a writer has read every position
// below n. If the position is taken, Append returns a *PositionTakenError with the record found there, and the writer
// reads on. If the reply to a create is lost, the writer id of the record at the position shows whose write took
// effect.
//
// When a step ends, position 0 is replaced by an end marker before the other objects are deleted. A writer that was
// paused during the deletion can create a position that had been taken before. Append therefore reads position 0 after
// each create, and finds the marker.
package steplog

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

// Record kinds, as stored. A commit record holds finished samples for the trainer; a void record withdraws samples that
// exceed the staleness bound.
const (
	KindSpec   = "spec"
	KindOwner  = "owner"
	KindCommit = "give"
	KindVoid   = "void"
	KindEnd    = "end"
)

// States in an end record, as stored.
const (
	StateEnded     = "ended"
	StateCancelled = "cancelled"
)

const (
	recordObjects = "step"
	partObjects   = "part"
	// VerdictObjects is the kind of the objects that hold verdicts; Close deletes them with the step.
	VerdictObjects  = "verdict"
	ownerHintSuffix = "owner"
)

// MaxRecordBytes bounds the JSON of a record, and of the groups of a part. The store accepts values of up to 1 MB.
const MaxRecordBytes = store.MaxValueBytes - 64<<10

// Store is the subset of the object store client that the log uses.
type Store interface {
	Get(ctx context.Context, kind, name string) (store.Object, error)
	Create(ctx context.Context, kind, name string, value []byte) (int64, error)
	Update(ctx context.Context, kind, name string, value []byte, version int64) (int64, error)
	Delete(ctx context.Context, kind, name string, version int64) error
	List(ctx context.Context, kind, prefix string) (wire.Listing, error)
}

// PositionTakenError reports that another record holds the position.
type PositionTakenError struct {
	record wire.Record
}

// Record returns the record that holds the position.
func (e *PositionTakenError) Record() wire.Record { return e.record }

// Error implements error.
func (e *PositionTakenError) Error() string {
	return fmt.Sprintf("steplog: position already holds a record of kind %s, epoch %d", e.record.Kind, e.record.Epoch)
}

// EndedError reports that the step has ended.
type EndedError struct {
	record wire.Record
}

// Record returns the end record.
func (e *EndedError) Record() wire.Record { return e.record }

// Error implements error.
func (e *EndedError) Error() string { return "steplog: step is " + e.record.State }

// NewEndedError returns the error for an end record.
func NewEndedError(r wire.Record) error { return &EndedError{record: r} }

// Log is one writer's view of the log of a step. It is not safe for concurrent use.
type Log struct {
	store            Store
	name             string
	nextPosition     int
	callTimeout      time.Duration
	lastCallDuration time.Duration
}

// New returns a Log that starts at position 0. It does not call the store.
func New(s Store, run string, step int) *Log {
	return &Log{store: s, name: run + "." + strconv.Itoa(step)}
}

// SetCallTimeout limits each further get and create; 0 leaves the limit to the store client. Updates, deletes and lists
// are not affected.
func (l *Log) SetCallTimeout(d time.Duration) { l.callTimeout = d }

// LastCallDuration returns how long the last get or create took.
func (l *Log) LastCallDuration() time.Duration { return l.lastCallDuration }

// startCall applies the timeout to a call to the store. The returned function ends the call and records its duration.
func (l *Log) startCall(ctx context.Context) (context.Context, func()) {
	start := time.Now()
	cancel := context.CancelFunc(func() {})
	if l.callTimeout > 0 {
		ctx, cancel = context.WithTimeout(ctx, l.callTimeout)
	}
	return ctx, func() {
		cancel()
		l.lastCallDuration = time.Since(start)
	}
}

func (l *Log) getObject(ctx context.Context, kind, name string) (store.Object, error) {
	ctx, done := l.startCall(ctx)
	defer done()
	return l.store.Get(ctx, kind, name)
}

func (l *Log) createObject(ctx context.Context, kind, name string, value []byte) (int64, error) {
	ctx, done := l.startCall(ctx)
	defer done()
	return l.store.Create(ctx, kind, name, value)
}

// NextPosition returns the first position that has been neither read nor written.
func (l *Log) NextPosition() int { return l.nextPosition }

// Rewind makes the next Read start at position 0.
func (l *Log) Rewind() { l.nextPosition = 0 }

func (l *Log) positionName(n int) string { return l.name + "." + strconv.Itoa(n) }

func (l *Log) getRecord(ctx context.Context, n int) (wire.Record, int64, error) {
	var r wire.Record
	o, err := l.getObject(ctx, recordObjects, l.positionName(n))
	if err != nil {
		return r, 0, err
	}
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return r, 0, eris.Wrapf(err, "steplog: decode position %d", n)
	}
	return r, o.Version, nil
}

// Read passes every record from the next position on to apply and stops at the first absent position. It returns an
// *EndedError if position 0 holds an end marker.
func (l *Log) Read(ctx context.Context, apply func(wire.Record) error) error {
	for {
		r, _, err := l.getRecord(ctx, l.nextPosition)
		var absent *store.NotFoundError
		if errors.As(err, &absent) {
			return nil
		}
		if err != nil {
			return err
		}
		if l.nextPosition == 0 && r.Kind == KindEnd {
			return &EndedError{record: r}
		}
		if err := apply(r); err != nil {
			return err
		}
		l.nextPosition++
	}
}

// ReadSpec reads the spec from position 0 only. It returns an *EndedError if position 0 holds an end marker.
func (l *Log) ReadSpec(ctx context.Context) (wire.Spec, error) {
	r, _, err := l.getRecord(ctx, 0)
	if err != nil {
		return wire.Spec{}, err
	}
	if r.Kind == KindEnd {
		return wire.Spec{}, &EndedError{record: r}
	}
	if r.Spec == nil {
		return wire.Spec{}, eris.Errorf("steplog: position 0 holds a record of kind %s instead of the spec", r.Kind)
	}
	return *r.Spec, nil
}

// Append writes the record at the next position. It returns a *PositionTakenError, an *EndedError or a
// *store.UnavailableError, which is ambiguous if the record may be in the log; the same record may then be appended again.
func (l *Log) Append(ctx context.Context, r wire.Record) error {
	value, err := json.Marshal(r)
	if err != nil {
		return eris.Wrap(err, "steplog: encode record")
	}
	version, err := l.createObject(ctx, recordObjects, l.positionName(l.nextPosition), value)
	if err != nil {
		return l.resolveFailedCreate(ctx, r, err)
	}
	return l.confirmNotEnded(ctx, version)
}

// resolveFailedCreate finds out which record holds the position after a create that did not succeed.
func (l *Log) resolveFailedCreate(ctx context.Context, r wire.Record, err error) error {
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return l.compareWriter(ctx, r, conflict.Current())
	}
	var down *store.UnavailableError
	if !errors.As(err, &down) || !down.Ambiguous() {
		return err
	}
	o, readErr := l.getObject(ctx, recordObjects, l.positionName(l.nextPosition))
	if readErr != nil {
		// Return the error of the create: the write may still take effect.
		return err //nolint:nilerr // see above
	}
	return l.compareWriter(ctx, r, o)
}

func (l *Log) compareWriter(ctx context.Context, r wire.Record, o store.Object) error {
	var winner wire.Record
	if err := json.Unmarshal(o.Value, &winner); err != nil {
		return eris.Wrapf(err, "steplog: decode position %d", l.nextPosition)
	}
	if winner.Writer == r.Writer {
		return l.confirmNotEnded(ctx, o.Version)
	}
	if l.nextPosition == 0 && winner.Kind == KindEnd {
		return &EndedError{record: winner}
	}
	return &PositionTakenError{record: winner}
}

// confirmNotEnded verifies that the log had not been deleted before the position was created, and advances to the next.
func (l *Log) confirmNotEnded(ctx context.Context, version int64) error {
	if l.nextPosition == 0 {
		l.nextPosition++
		return nil
	}
	first, _, err := l.getRecord(ctx, 0)
	var absent *store.NotFoundError
	var down *store.UnavailableError
	switch {
	case errors.As(err, &absent):
		first = wire.Record{Kind: KindEnd, State: StateEnded}
	case errors.As(err, &down):
		return store.NewUnavailableError(true, "written, but not confirmed: "+down.Error())
	case err != nil:
		return err
	}
	if first.Kind == KindEnd {
		_ = l.store.Delete(ctx, recordObjects, l.positionName(l.nextPosition), version)
		return &EndedError{record: first}
	}
	l.nextPosition++
	return nil
}

// Close replaces position 0 by the end marker and deletes every other object of the step. It may be repeated.
func (l *Log) Close(ctx context.Context, end wire.Record) error {
	first, version, err := l.getRecord(ctx, 0)
	if err != nil {
		return err
	}
	if first.Kind != KindEnd {
		end.Spec = first.Spec
		value, err := json.Marshal(end)
		if err != nil {
			return eris.Wrap(err, "steplog: encode record")
		}
		if _, err := l.store.Update(ctx, recordObjects, l.positionName(0), value, version); err != nil {
			return err
		}
	}
	for _, kind := range []string{recordObjects, partObjects, VerdictObjects} {
		if err := l.deleteObjects(ctx, kind); err != nil {
			return err
		}
	}
	return nil
}

// deleteObjects deletes the objects of one kind in reverse order of their names, so that an interrupted deletion leaves
// no gap among positions with the same number of digits.
func (l *Log) deleteObjects(ctx context.Context, kind string) error {
	list, err := l.store.List(ctx, kind, l.name+".")
	if err != nil {
		return err
	}
	for i := len(list.Objects) - 1; i >= 0; i-- {
		o := list.Objects[i]
		if kind == recordObjects && o.Name == l.positionName(0) {
			continue
		}
		err := l.store.Delete(ctx, kind, o.Name, o.Version)
		var down *store.UnavailableError
		if errors.As(err, &down) {
			return err
		}
	}
	return nil
}

// ReadOwnerHint returns the last owner written by WriteOwnerHint. It may be out of date: the newest owner record in the
// log is authoritative.
func (l *Log) ReadOwnerHint(ctx context.Context) (wire.Record, error) {
	var r wire.Record
	o, err := l.getObject(ctx, recordObjects, l.name+"."+ownerHintSuffix)
	if err != nil {
		return r, err
	}
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return r, eris.Wrap(err, "steplog: decode owner hint")
	}
	return r, nil
}

// WriteOwnerHint stores the hint, which saves other entries from reading the whole log to find the owner. Failures are
// ignored, since the log is authoritative.
func (l *Log) WriteOwnerHint(ctx context.Context, r wire.Record) {
	value, err := json.Marshal(r)
	if err != nil {
		return
	}
	name := l.name + "." + ownerHintSuffix
	_, err = l.createObject(ctx, recordObjects, name, value)
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return
	}
	var present wire.Record
	if json.Unmarshal(conflict.Current().Value, &present) == nil && present.Epoch >= r.Epoch {
		return
	}
	_, _ = l.store.Update(ctx, recordObjects, name, value, conflict.Current().Version)
}

// Check verifies that no other writer has ended the step or written the next position; its errors are those of Append.
func (l *Log) Check(ctx context.Context) error {
	first, _, err := l.getRecord(ctx, 0)
	if err != nil {
		return err
	}
	if first.Kind == KindEnd {
		return &EndedError{record: first}
	}
	r, _, err := l.getRecord(ctx, l.nextPosition)
	var absent *store.NotFoundError
	if errors.As(err, &absent) {
		return nil
	}
	if err != nil {
		return err
	}
	return &PositionTakenError{record: r}
}
