// Package refusal defines the typed errors that bulrushspoke answers with.
//
// # Usage
//
//	return refusal.New(refusal.Busy, refusal.NotRun, "queue is full").After(2 * time.Second)
//
// A caller of a function matches it with errors.As and *refusal.Error. Ran states what is proved about the work:
// NotRun is only used with proof that no upstream started it, and a timeout alone gives Unknown.
package refusal

import (
	"fmt"
	"time"

	"bulrushspoke/wire"
)

// Ran states what is proved about refused work.
type Ran string

const (
	// NotRun means that the work was never started and never will be.
	NotRun Ran = "no"
	// Unknown means that the work may or may not have run.
	Unknown Ran = "unknown"
	// Partial means that the work ran in part and was stopped.
	Partial Ran = "partial"
)

// Code names the reason of a refusal.
type Code string

// Codes of refusals, with their HTTP status in Status.
const (
	Unauthorized   Code = "unauthorized"
	Forbidden      Code = "forbidden"
	BadRequest     Code = "bad_request"
	KeyRequired    Code = "key_required"
	KeyReused      Code = "key_reused"
	TooLarge       Code = "too_large"
	NotFound       Code = "not_found"
	Conflict       Code = "conflict"
	TooMany        Code = "too_many_requests"
	Busy           Code = "busy"
	NoUpstream     Code = "no_upstream"
	Leaving        Code = "leaving"
	StaleConfig    Code = "stale_config"
	StaleVersion   Code = "stale_version"
	StoreDown      Code = "store_down"
	Unready        Code = "unready"
	Deadline       Code = "deadline"
	OutcomeUnknown Code = "outcome_unknown"
	Tombstoned     Code = "tombstoned"
	Poison         Code = "poison"
	Crashed        Code = "crashed"
	Cancelled      Code = "cancelled"
	Broken         Code = "broken"
	Internal       Code = "internal"
)

var statuses = map[Code]int{
	Unauthorized:   401,
	Forbidden:      403,
	BadRequest:     400,
	KeyRequired:    400,
	KeyReused:      422,
	TooLarge:       413,
	NotFound:       404,
	Conflict:       409,
	TooMany:        429,
	Busy:           503,
	NoUpstream:     503,
	Leaving:        503,
	StaleConfig:    503,
	StaleVersion:   503,
	StoreDown:      503,
	Unready:        503,
	Deadline:       504,
	OutcomeUnknown: 502,
	Tombstoned:     409,
	Poison:         422,
	Crashed:        502,
	Cancelled:      499,
	Broken:         502,
	Internal:       500,
}

// Status returns the HTTP status for the code.
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

// New returns a refusal without a time to come back.
func New(code Code, ran Ran, format string, args ...any) *Error {
	return &Error{code: code, ran: ran, message: fmt.Sprintf(format, args...)}
}

// After returns a copy that asks the caller to come back after d.
func (e *Error) After(d time.Duration) *Error {
	c := *e
	c.retry = d
	return &c
}

// WithRan returns a copy that states ran about the work.
func (e *Error) WithRan(ran Ran) *Error {
	c := *e
	c.ran = ran
	return &c
}

// Code returns the reason.
func (e *Error) Code() Code { return e.code }

// Ran returns what is proved about the work.
func (e *Error) Ran() Ran { return e.ran }

// Retry returns the time after which a new try makes sense, 0 if unknown.
func (e *Error) Retry() time.Duration { return e.retry }

// Message returns the text for people.
func (e *Error) Message() string { return e.message }

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("refusal: %s (ran: %s): %s", e.code, e.ran, e.message)
}

// Wire returns the message that refuses an attempt at configuration revision rev.
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

// FromWire returns the refusal that a message carries.
func FromWire(m wire.Refuse) *Error {
	return &Error{
		code:    Code(m.Code),
		ran:     Ran(m.Ran),
		message: m.Message,
		retry:   time.Duration(m.Retry) * time.Millisecond,
	}
}
