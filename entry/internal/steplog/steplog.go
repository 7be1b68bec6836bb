// Package steplog keeps the log of a step in the object store.
//
// # Usage
//
//	l := steplog.New(store, "run", 7)
//	err := l.Read(ctx, func(r wire.Record) error { … })
//	err = l.Append(ctx, record)
//
// Position n is the object step/<run>.<step>.<n>, created only if absent, so a writer has read every position below
// n. Append returns a *TakenError with the record that holds the position, and the writer reads on. A lost answer is
// resolved by comparing the writer id of the record at the position.
//
// When a step ends, position 0 is replaced by an end marker before the other objects are deleted. A writer that slept
// through the deletion can create a position that was taken before; it finds the marker when it reads position 0 after
// the create, which Append does each time.
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

// Kinds of records.
const (
	Spec  = "spec"
	Owner = "owner"
	Give  = "give"
	Void  = "void"
	End   = "end"
)

// States of an end record.
const (
	Ended     = "ended"
	Cancelled = "cancelled"
)

const (
	steps = "step"
	parts = "part"
	// Verdicts is the kind of the objects that hold verdicts; they are deleted with the step.
	Verdicts = "verdict"
	hint     = "owner"
)

// MaxRecord is the largest encoded record or part in bytes; the store holds 1 MB.
const MaxRecord = store.MaxValue - 64<<10

// Store is the part of the object store's client that the log uses.
type Store interface {
	Get(ctx context.Context, kind, name string) (store.Object, error)
	Create(ctx context.Context, kind, name string, value []byte) (int64, error)
	Update(ctx context.Context, kind, name string, value []byte, version int64) (int64, error)
	Delete(ctx context.Context, kind, name string, version int64) error
	List(ctx context.Context, kind, prefix string) (wire.Listing, error)
}

// TakenError tells that another record holds the position.
type TakenError struct {
	record wire.Record
}

// Record returns the record that holds the position.
func (e *TakenError) Record() wire.Record { return e.record }

// Error implements error.
func (e *TakenError) Error() string {
	return fmt.Sprintf("steplog: position is taken by a record of kind %s, epoch %d", e.record.Kind, e.record.Epoch)
}

// EndedError tells that the step has ended; it holds the end record.
type EndedError struct {
	record wire.Record
}

// Record returns the end record.
func (e *EndedError) Record() wire.Record { return e.record }

// Error implements error.
func (e *EndedError) Error() string { return "steplog: step is " + e.record.State }

// Over returns the error for an end record.
func Over(r wire.Record) error { return &EndedError{record: r} }

// Log is the log of one step as one writer sees it. It is not safe for concurrent use.
type Log struct {
	store Store
	name  string
	next  int
	limit time.Duration
	took  time.Duration
}

// New returns a log of which nothing has been read.
func New(s Store, run string, step int) *Log {
	return &Log{store: s, name: run + "." + strconv.Itoa(step)}
}

// Limit bounds every call to the store from now on; 0 leaves it to the store's client.
func (l *Log) Limit(d time.Duration) { l.limit = d }

// Took returns how long the last call to the store lasted.
func (l *Log) Took() time.Duration { return l.took }

// bounded starts a call to the store; the function it returns ends the call.
func (l *Log) bounded(ctx context.Context) (context.Context, func()) {
	start := time.Now()
	cancel := context.CancelFunc(func() {})
	if l.limit > 0 {
		ctx, cancel = context.WithTimeout(ctx, l.limit)
	}
	return ctx, func() {
		cancel()
		l.took = time.Since(start)
	}
}

func (l *Log) read(ctx context.Context, kind, name string) (store.Object, error) {
	ctx, done := l.bounded(ctx)
	defer done()
	return l.store.Get(ctx, kind, name)
}

func (l *Log) create(ctx context.Context, kind, name string, value []byte) (int64, error) {
	ctx, done := l.bounded(ctx)
	defer done()
	return l.store.Create(ctx, kind, name, value)
}

// Next returns the first position that has not been read or written.
func (l *Log) Next() int { return l.next }

// Rewind makes the next Read start at position 0.
func (l *Log) Rewind() { l.next = 0 }

func (l *Log) position(n int) string { return l.name + "." + strconv.Itoa(n) }

func (l *Log) get(ctx context.Context, n int) (wire.Record, int64, error) {
	var r wire.Record
	o, err := l.read(ctx, steps, l.position(n))
	if err != nil {
		return r, 0, err
	}
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return r, 0, eris.Wrapf(err, "steplog: position %d", n)
	}
	return r, o.Version, nil
}

// Read passes every record from the next position on to apply and stops at the first absent position. An end marker
// in position 0 gives an *EndedError.
func (l *Log) Read(ctx context.Context, apply func(wire.Record) error) error {
	for {
		r, _, err := l.get(ctx, l.next)
		var absent *store.AbsentError
		if errors.As(err, &absent) {
			return nil
		}
		if err != nil {
			return err
		}
		if l.next == 0 && r.Kind == End {
			return &EndedError{record: r}
		}
		if err := apply(r); err != nil {
			return err
		}
		l.next++
	}
}

// Spec reads the spec in position 0 alone; an end marker gives an *EndedError.
func (l *Log) Spec(ctx context.Context) (wire.Spec, error) {
	r, _, err := l.get(ctx, 0)
	if err != nil {
		return wire.Spec{}, err
	}
	if r.Kind == End {
		return wire.Spec{}, &EndedError{record: r}
	}
	if r.Spec == nil {
		return wire.Spec{}, eris.Errorf("steplog: position 0 holds a record of kind %s", r.Kind)
	}
	return *r.Spec, nil
}

// Append writes the record at the next position. Its errors are *TakenError, *EndedError and *store.DownError; after
// the last, the same record may be appended again.
func (l *Log) Append(ctx context.Context, r wire.Record) error {
	value, err := json.Marshal(r)
	if err != nil {
		return eris.Wrap(err, "steplog: encode")
	}
	version, err := l.create(ctx, steps, l.position(l.next), value)
	if err != nil {
		return l.resolve(ctx, r, err)
	}
	return l.confirm(ctx, version)
}

// resolve finds out who holds the position after a create that did not succeed.
func (l *Log) resolve(ctx context.Context, r wire.Record, err error) error {
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return l.compare(ctx, r, conflict.Winner())
	}
	var down *store.DownError
	if !errors.As(err, &down) || !down.Ambiguous() {
		return err
	}
	o, readErr := l.read(ctx, steps, l.position(l.next))
	if readErr != nil {
		// The original error stays: the write may still take effect.
		return err //nolint:nilerr // see above
	}
	return l.compare(ctx, r, o)
}

func (l *Log) compare(ctx context.Context, r wire.Record, o store.Object) error {
	var winner wire.Record
	if err := json.Unmarshal(o.Value, &winner); err != nil {
		return eris.Wrapf(err, "steplog: position %d", l.next)
	}
	if winner.Writer == r.Writer {
		return l.confirm(ctx, o.Version)
	}
	if l.next == 0 && winner.Kind == End {
		return &EndedError{record: winner}
	}
	return &TakenError{record: winner}
}

// confirm checks that the log had not been deleted before the position was created.
func (l *Log) confirm(ctx context.Context, version int64) error {
	if l.next == 0 {
		l.next++
		return nil
	}
	first, _, err := l.get(ctx, 0)
	var absent *store.AbsentError
	switch {
	case errors.As(err, &absent):
		first = wire.Record{Kind: End, State: Ended}
	case err != nil:
		return err
	}
	if first.Kind == End {
		_ = l.store.Delete(ctx, steps, l.position(l.next), version)
		return &EndedError{record: first}
	}
	l.next++
	return nil
}

// Close puts the end marker into position 0 and deletes every other object of the step. It may be repeated.
func (l *Log) Close(ctx context.Context, end wire.Record) error {
	first, version, err := l.get(ctx, 0)
	if err != nil {
		return err
	}
	if first.Kind != End {
		end.Spec = first.Spec
		value, err := json.Marshal(end)
		if err != nil {
			return eris.Wrap(err, "steplog: encode")
		}
		if _, err := l.store.Update(ctx, steps, l.position(0), value, version); err != nil {
			return err
		}
	}
	for _, kind := range []string{steps, parts, Verdicts} {
		if err := l.clear(ctx, kind); err != nil {
			return err
		}
	}
	return nil
}

// clear deletes the objects of one kind from the highest version down, so that the log stays free of gaps.
func (l *Log) clear(ctx context.Context, kind string) error {
	list, err := l.store.List(ctx, kind, l.name+".")
	if err != nil {
		return err
	}
	for i := len(list.Objects) - 1; i >= 0; i-- {
		o := list.Objects[i]
		if kind == steps && o.Name == l.position(0) {
			continue
		}
		err := l.store.Delete(ctx, kind, o.Name, o.Version)
		var down *store.DownError
		if errors.As(err, &down) {
			return err
		}
	}
	return nil
}

// Hint returns the owner that last announced itself. It may be out of date: the newest owner record counts.
func (l *Log) Hint(ctx context.Context) (wire.Record, error) {
	var r wire.Record
	o, err := l.read(ctx, steps, l.name+"."+hint)
	if err != nil {
		return r, err
	}
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return r, eris.Wrap(err, "steplog: owner hint")
	}
	return r, nil
}

// Announce writes the hint that saves other entries reading the whole log to find the owner. A failure is harmless.
func (l *Log) Announce(ctx context.Context, r wire.Record) {
	value, err := json.Marshal(r)
	if err != nil {
		return
	}
	name := l.name + "." + hint
	_, err = l.create(ctx, steps, name, value)
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return
	}
	var present wire.Record
	if json.Unmarshal(conflict.Winner().Value, &present) == nil && present.Epoch >= r.Epoch {
		return
	}
	_, _ = l.store.Update(ctx, steps, name, value, conflict.Winner().Version)
}

// Check reads whether another writer has ended the step or written the next position; the errors are those of Append.
func (l *Log) Check(ctx context.Context) error {
	first, _, err := l.get(ctx, 0)
	if err != nil {
		return err
	}
	if first.Kind == End {
		return &EndedError{record: first}
	}
	r, _, err := l.get(ctx, l.next)
	var absent *store.AbsentError
	if errors.As(err, &absent) {
		return nil
	}
	if err != nil {
		return err
	}
	return &TakenError{record: r}
}
