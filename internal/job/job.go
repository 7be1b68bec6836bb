// Package job holds the types of batch jobs: many items that are submitted at once and run later.
//
// # Usage
//
//	j := job.Job{ID: "j1", Model: "m", MinVersion: 6, Items: items}
//	if err := j.Validate(); err != nil { … }
package job

import "fmt"

// Item is one request of a job.
type Item struct {
	ID     string
	Path   string
	Header map[string]string
	Body   []byte
	Tokens int // prompt tokens and the most output tokens
	Group  string
	Reward *Reward // nil if the item has no score
}

// Reward is the call that scores the text of an item. It may be repeated.
type Reward struct {
	ID   string
	Host string
	Path string
	Body []byte
}

// Job is a batch job as its trainer submitted it.
type Job struct {
	ID         string
	Step       int
	Model      string
	MinVersion int // oldest weight version that may generate its tokens
	Groups     int // whole groups that the trainer waits for
	Items      []Item
}

// State tells how an item ended.
type State int

// States of results.
const (
	Completed State = iota
	Terminated
)

// Result is the outcome of one item.
type Result struct {
	Item     string
	State    State
	Text     string // data of all events, separated by line feeds
	Versions []int  // weight versions that generated the text, ascending
	Score    string // what the reward call answered; empty if the item has none
}

// Page is a part of a job's results.
type Page struct {
	Total   int // items of the job
	Next    int // position after the last result
	Results []Result
}

// FormatError tells what is wrong with a submitted job.
type FormatError struct {
	cause string
}

// NewFormatError returns a FormatError.
func NewFormatError(cause string) *FormatError { return &FormatError{cause: cause} }

// Error implements error.
func (e *FormatError) Error() string { return "job: " + e.cause }

// Validate checks that the items can be told apart and run.
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

// validate checks the reward call of an item; an item may have none.
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
