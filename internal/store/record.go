package store

import "fmt"

// Record is an object of a store that keeps what the owner asks for (Spec) apart from what was reached (Status).
type Record struct {
	Name     string
	Revision int64 // of the last change, unique in the whole store
	Spec     []byte
	Status   []byte
	Deleting bool
}

// Change is one event of a watch.
type Change struct {
	Record
	Deleted bool
}

// GoneError tells that a watch began before the oldest change that the store remembers.
type GoneError struct {
	kind  string
	after int64
}

// NewGoneError returns a GoneError.
func NewGoneError(kind string, after int64) *GoneError { return &GoneError{kind: kind, after: after} }

// Error implements error.
func (e *GoneError) Error() string {
	return fmt.Sprintf("store: history of %s after %d is gone", e.kind, e.after)
}

// NewAbsentError returns an AbsentError, for stores other than Client.
func NewAbsentError(kind, name string) *AbsentError { return &AbsentError{kind: kind, name: name} }
