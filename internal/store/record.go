package store

import "fmt"

// Record is a stored object that keeps its desired state (Spec) apart from its observed state (Status).
type Record struct {
	Name     string
	Revision int64 // of the last change; unique across the store
	Spec     []byte
	Status   []byte
	Deleting bool
}

// Change is a single event of a watch.
type Change struct {
	Record
	Deleted bool
}

// ExpiredError means that a watch started before the oldest change that the store retains.
type ExpiredError struct {
	kind  string
	after int64
}

// NewExpiredError returns an error for a watch of kind that was to start after revision n.
func NewExpiredError(kind string, n int64) *ExpiredError { return &ExpiredError{kind: kind, after: n} }

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("store: history of %s after %d is gone", e.kind, e.after)
}

// TooLargeError means that the store does not take an object because of its size.
type TooLargeError struct {
	kind string
	name string
}

// NewTooLargeError returns a TooLargeError. It is meant for store implementations other than Client.
func NewTooLargeError(kind, name string) *TooLargeError {
	return &TooLargeError{kind: kind, name: name}
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("store: %s/%s is too large", e.kind, e.name)
}

// NewNotFoundError returns a NotFoundError. It is meant for store implementations other than Client.
func NewNotFoundError(kind, n string) *NotFoundError { return &NotFoundError{kind: kind, name: n} }
