// Package job holds the types of batch jobs, which are submitted as a list of items and run asynchronously.
//
// # Usage
//
//	j := job.Job{ID: "j1", Model: "m", MinVersion: 6, Items: items}
//	if err := j.Validate(); err != nil { … } // a *job.FormatError
package job

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Item is one request of a job.
type Item struct {
	ID     string
	Path   string
	Header map[string]string
	Body   []byte
	Tokens int // prompt tokens plus the maximum of output tokens
	Group  string
	Reward *Reward // nil if the item is not scored
	// Unsendable is set if the id or the path of the item or of its reward call cannot be sent to a server.
	Unsendable bool
}

// Reward is the request that scores the text of an item. It may be sent more than once.
type Reward struct {
	ID   string
	Host string
	Path string
	Body []byte
}

// Job is a batch job as a trainer submits it.
type Job struct {
	ID         string
	Step       int
	Model      string
	MinVersion int // oldest weight version that may generate tokens of the job
	Groups     int // number of complete groups that the trainer waits for
	Items      []Item
}

// State is the final state of an item.
type State int

// Final states of items.
const (
	Completed State = iota
	Terminated
)

// Result is the outcome of one item.
type Result struct {
	Item     string
	State    State
	Text     string // data fields of all events, separated by line feeds
	Versions []int  // weight versions that generated the text, ascending
	Score    string // response to the reward request; empty if the item is not scored
}

// Page is a part of the results of a job.
type Page struct {
	Total   int // number of items of the job
	Next    int // position that follows the last result
	Results []Result
}

// FormatError reports an invalid job; its text is returned to the client.
type FormatError struct {
	cause string
}

// NewFormatError returns a FormatError.
func NewFormatError(cause string) *FormatError { return &FormatError{cause: cause} }

// Error implements error.
func (e *FormatError) Error() string { return "job: " + e.cause }

// LimitError reports a job that is too large to be served by any instance; its text is returned to the client.
type LimitError struct {
	cause string
}

// NewLimitError returns a LimitError.
func NewLimitError(cause string) *LimitError { return &LimitError{cause: cause} }

// Error implements error.
func (e *LimitError) Error() string { return "job: " + e.cause }

// Validate checks that the job has items, that their ids are unique and that the fields that are needed to run and score
// them are set. Its error is a *FormatError, which names items by their index: it is logged, and an id may contain a key.
func (j Job) Validate() error {
	if j.ID == "" {
		return NewFormatError("the job has no id")
	}
	if len(j.Items) == 0 {
		return NewFormatError("the job has no items")
	}
	seen := make(map[string]bool, len(j.Items))
	for i, it := range j.Items {
		switch {
		case it.ID == "":
			return NewFormatError(fmt.Sprintf("item %d has no id", i))
		case it.Path == "" || it.Path[0] != '/':
			return NewFormatError(fmt.Sprintf("item %d has no path", i))
		case seen[it.ID]:
			return NewFormatError(fmt.Sprintf("item %d has the id of another item", i))
		}
		if err := it.Reward.validate(i); err != nil {
			return err
		}
		seen[it.ID] = true
	}
	return nil
}

// validate checks the reward request of the item with the given index; nil is valid.
func (r *Reward) validate(item int) error {
	switch {
	case r == nil:
		return nil
	case r.ID == "":
		return NewFormatError(fmt.Sprintf("the reward call of item %d has no id", item))
	case r.Host == "":
		return NewFormatError(fmt.Sprintf("the reward call of item %d has no host", item))
	case r.Path == "" || r.Path[0] != '/':
		return NewFormatError(fmt.Sprintf("the reward call of item %d has no path", item))
	}
	return nil
}

// CheckSendable checks that ids, paths and headers of a new job can be sent to servers. Its error is a *FormatError.
func (j Job) CheckSendable() error {
	for i, it := range j.Items {
		if !it.sendable() {
			return NewFormatError(fmt.Sprintf("item %d: the id or path of the item or of its reward call cannot be sent to a server", i))
		}
		for name, value := range it.Header {
			if !isHeader(name, value) {
				return NewFormatError(fmt.Sprintf("item %d has a header that cannot be sent to a server", i))
			}
		}
	}
	return nil
}

// MarkUnsendable drops the headers of a job that cannot be sent to servers, and marks the items that cannot be. Former
// versions accepted such jobs, which must not be lost as a whole.
func (j Job) MarkUnsendable() {
	for i := range j.Items {
		it := &j.Items[i]
		it.Unsendable = !it.sendable()
		maps.DeleteFunc(it.Header, func(name, value string) bool { return !isHeader(name, value) })
	}
}

// sendable reports whether the ids and paths of an item and of its reward call can be sent to servers.
func (it *Item) sendable() bool {
	if !isHeaderValue(it.ID) || !isTarget(it.Path) {
		return false
	}
	r := it.Reward
	return r == nil || isHeaderValue(r.ID) && isTarget(r.Host) && isTarget(r.Path)
}

func isHeader(name, value string) bool { return isHeaderName(name) && isHeaderValue(value) }

// AnyID reports whether f holds for the id of an item or of a reward call.
func (j Job) AnyID(f func(id string) bool) bool {
	return slices.ContainsFunc(j.Items, func(it Item) bool { return f(it.ID) || it.Reward != nil && f(it.Reward.ID) })
}

// isHeaderName reports whether a text is a token as of RFC 9110. A job chooses the names and values of headers, which are
// written to servers as they are: with a line break in one of them it could add any header, or another request.
func isHeaderName(s string) bool {
	const special = "!#$%&'*+-.^_`|~"
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool {
		return (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && !strings.ContainsRune(special, r)
	})
}

// isHeaderValue reports whether a text contains no control characters but tabs.
func isHeaderValue(s string) bool {
	return !strings.ContainsFunc(s, func(r rune) bool { return r < ' ' && r != '\t' || r == '\x7f' })
}

// isTarget reports whether a text can be a part of a request line, or a host.
func isTarget(s string) bool { return isHeaderValue(s) && !strings.ContainsAny(s, " \t") }
