// Package job holds the types of batch jobs, which are submitted as a list of items and run asynchronously.
//
// # Usage
//
//	j := job.Job{ID: "j1", Model: "m", MinVersion: 6, Items: items}
//	if err := j.Validate(); err != nil { … } // a *job.FormatError
package job

import "fmt"

// Item is one request of a job.
type Item struct {
	ID     string
	Path   string
	Header map[string]string
	Body   []byte
	Tokens int // prompt tokens plus the maximum of output tokens
	Group  string
	Reward *Reward // nil if the item is not scored
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
// them are set. Its error is a *FormatError.
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
			return NewFormatError(fmt.Sprintf("item %s has no path", it.ID))
		case seen[it.ID]:
			return NewFormatError(fmt.Sprintf("item %s stands twice", it.ID))
		}
		if err := it.Reward.validate(it.ID); err != nil {
			return err
		}
		seen[it.ID] = true
	}
	return nil
}

// validate checks the reward request of an item; nil is valid.
func (r *Reward) validate(item string) error {
	switch {
	case r == nil:
		return nil
	case r.ID == "":
		return NewFormatError(fmt.Sprintf("the reward call of item %s has no id", item))
	case r.Host == "":
		return NewFormatError(fmt.Sprintf("the reward call of item %s has no host", item))
	case r.Path == "" || r.Path[0] != '/':
		return NewFormatError(fmt.Sprintf("the reward call of item %s has no path", item))
	}
	return nil
}
