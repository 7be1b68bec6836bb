// Package refusal defines the typed errors that are returned to clients and peers.
//
// # Usage
//
//	return refusal.New(refusal.Busy, refusal.NotRun, "queue is full").WithRetryAfter(2 * time.Second)
//
// Callers match it with errors.As and *refusal.Error. Ran states what is known for certain about the execution of the
// work: NotRun requires proof that no upstream started it, and a timeout alone yields Unknown.
package refusal

import (
	"fmt"
	"time"

	"bulrushspoke/wire"
)

// Ran states what is known for certain about the execution of refused work.
type Ran string

const (
	// NotRun means that the work has not started and never will.
	NotRun Ran = "no"
	// Unknown means that the work may have run.
	Unknown Ran = "unknown"
	// Partial means that the work was started and stopped before it completed.
	Partial Ran = "partial"
)

// Code identifies the reason of a refusal.
type Code string

// Codes of refusals. Status returns the HTTP status of each.
const (
	Unauthorized    Code = "unauthorized"
	Forbidden       Code = "forbidden"
	BadRequest      Code = "bad_request"
	KeyRequired     Code = "key_required"
	KeyReused       Code = "key_reused"
	TooLarge        Code = "too_large"
	NotFound        Code = "not_found"
	Conflict        Code = "conflict"
	TooManyRequests Code = "too_many_requests"
	Busy            Code = "busy"
	NoUpstream      Code = "no_upstream"
	Leaving         Code = "leaving"
	StaleConfig     Code = "stale_config"
	StaleVersion    Code = "stale_version"
	StoreDown       Code = "store_down"
	Unready         Code = "unready"
	Deadline        Code = "deadline"
	OutcomeUnknown  Code = "outcome_unknown"
	Tombstoned      Code = "tombstoned"
	Poison          Code = "poison"
	Crashed         Code = "crashed"
	Cancelled       Code = "cancelled"
	Broken          Code = "broken"
	Internal        Code = "internal"
)

var statuses = map[Code]int{
	Unauthorized:    401,
	Forbidden:       403,
	BadRequest:      400,
	KeyRequired:     400,
	KeyReused:       422,
	TooLarge:        413,
	NotFound:        404,
	Conflict:        409,
	TooManyRequests: 429,
	Busy:            503,
	NoUpstream:      503,
	Leaving:         503,
	StaleConfig:     503,
	StaleVersion:    503,
	StoreDown:       503,
	Unready:         503,
	Deadline:        504,
	OutcomeUnknown:  502,
	Tombstoned:      409,
	Poison:          422,
	Crashed:         502,
	Cancelled:       499,
	Broken:          502,
	Internal:        500,
}

// Status returns the HTTP status of the code, 500 for an unknown one.
func (c Code) Status() int {
	if s, ok := statuses[c]; ok {
		return s
	}
	return 500
}

// Error is a refusal.
type Error struct {
	code    Code
	ran     Ran
	message string
	retry   time.Duration
}

// New returns a refusal without a retry delay.
func New(code Code, ran Ran, format string, args ...any) *Error {
	return &Error{code: code, ran: ran, message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy that asks the caller to retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.retry = d
	return &c
}

// WithRan returns a copy with the given execution state.
func (e *Error) WithRan(ran Ran) *Error {
	c := *e
	c.ran = ran
	return &c
}

// Code returns the reason of the refusal.
func (e *Error) Code() Code { return e.code }

// Ran returns what is known about the execution of the work.
func (e *Error) Ran() Ran { return e.ran }

// RetryAfter returns the delay after which the caller may retry, 0 if unknown.
func (e *Error) RetryAfter() time.Duration { return e.retry }

// Message returns the human-readable text.
func (e *Error) Message() string { return e.message }

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("refusal: %s (ran: %s): %s", e.code, e.ran, e.message)
}

// Wire returns the message by which a peer at configuration revision rev refuses an attempt.
func (e *Error) Wire(attempt string, rev int64) wire.Refuse {
	return wire.Refuse{
		Attempt: attempt,
		Code:    string(e.code),
		Ran:     string(e.ran),
		Retry:   e.retry.Milliseconds(),
		Rev:     rev,
		Message: e.message,
	}
}

// FromWire converts a received message to an *Error.
func FromWire(m wire.Refuse) *Error {
	return &Error{
		code:    Code(m.Code),
		ran:     Ran(m.Ran),
		message: m.Message,
		retry:   time.Duration(m.Retry) * time.Millisecond,
	}
}
