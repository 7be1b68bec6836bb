// Package trainer simulates a trainer: it opens one step, pulls its samples and checks each of them.
//
// # Usage
//
//	summary := trainer.Run(ctx, trainer.Config{Entries: urls, BearerToken: token, Run: "r1", Step: 1, …})
//
// After an error or a broken connection it continues with the next entry and the same cursor. It accepts the response
// of a pull only if the entry checked it against a weight version that is not older than the trainer's.
package trainer

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"bulrushspoke/standin/report"
	"bulrushspoke/standin/token"
	"bulrushspoke/wire"
)

const (
	responseTimeout  = 5 * time.Second        // in addition to the time that a pull waits
	retryDelay       = 100 * time.Millisecond // after an error
	maxResponseBytes = 64 << 20               // bytes
	maxProblems      = 50
)

// Config describes the step and the trainer.
type Config struct {
	Entries         []string // base URLs; after an error the next one is used
	BearerToken     string
	Run             string
	Step            int
	Model           string
	Version         int64 // weight version of the trainer at the start
	Groups          int
	SamplesPerGroup int
	TokensPerSample int
	LongGroups      int // the samples of the last LongGroups groups are LongFactor times as long
	LongFactor      int
	Scorer          string
	StalenessBound  int64         // in weight versions, checked by the trainer; below 0 for none
	MaxPullSamples  int           // limit on the samples of one pull, 0 for none
	PullWait        time.Duration // time that a pull waits for samples
	TimePerSample   time.Duration // simulated training time of each sample
	PublishAfter    int           // accepted samples after which the next weight version is published once, 0 for never
	KeepOpen        bool          // does not end the step
	Prompt          string        // prefix of every prompt
	Progress        io.Writer     // gets a line "held N left M" after each accepted pull; may be nil
}

type slot struct {
	group string
	index int
}

type trainer struct {
	config   Config
	client   *http.Client
	entry    int // index of the entry in use
	version  int64
	cursor   string
	openedAt time.Time
	groups   map[string]wire.Group
	received map[slot]bool
	summary  report.Step
}

// statusError is a response with a status outside of 2xx.
type statusError struct {
	status  int
	problem wire.Problem
}

// Error implements error.
func (f *statusError) Error() string {
	return fmt.Sprintf("trainer: status %d: %s: %s", f.status, f.problem.Code, f.problem.Message)
}

// Run runs the step until it is complete or the context ends. The summary lists the first 50 problems.
func Run(ctx context.Context, c Config) report.Step {
	t := &trainer{
		config:   c,
		client:   &http.Client{Timeout: c.PullWait + responseTimeout},
		version:  c.Version,
		openedAt: time.Now(),
		groups:   map[string]wire.Group{},
		received: map[slot]bool{},
		summary: report.Step{
			Run: c.Run, Step: c.Step, Slots: c.Groups * c.SamplesPerGroup, Versions: map[string]int64{}, Problems: []string{},
			Accepted: []report.Accepted{},
		},
	}
	if err := t.run(ctx); err != nil {
		t.addProblem("%v", err)
	}
	if len(t.received) != t.summary.Slots {
		t.addProblem("%d of %d slots received", len(t.received), t.summary.Slots)
	}
	return t.summary
}

func (t *trainer) run(ctx context.Context) error {
	groups := t.makeGroups()
	if err := t.open(ctx, groups); err != nil {
		return err
	}
	for done := false; !done; {
		start := time.Now()
		answer, err := t.pull(ctx, groups)
		t.summary.Idle += time.Since(start).Milliseconds()
		if err != nil {
			return err
		}
		if answer.Checked < t.version {
			t.summary.Rejected++
			continue
		}
		t.accept(answer)
		if c := t.config; c.Progress != nil {
			_, _ = fmt.Fprintf(c.Progress, "held %d left %d\n", len(t.received), answer.Left)
		}
		done = answer.Done
		if err := t.train(ctx, len(answer.Samples)); err != nil {
			return err
		}
	}
	t.summary.Total = time.Since(t.openedAt).Milliseconds()
	if t.config.KeepOpen {
		return nil
	}
	return t.postWithRetry(ctx, t.stepPath("/end"), nil, nil)
}

// makeGroups returns the groups of the step and stores them by name.
func (t *trainer) makeGroups() []wire.Group {
	c := t.config
	groups := make([]wire.Group, c.Groups)
	for i := range groups {
		tokens := c.TokensPerSample
		if i >= c.Groups-c.LongGroups {
			tokens *= max(1, c.LongFactor)
		}
		name := "g" + strconv.Itoa(i)
		prompt := fmt.Sprintf("%s run %s step %d group %d", c.Prompt, c.Run, c.Step, i)
		groups[i] = wire.Group{Name: name, Prompt: prompt, Samples: c.SamplesPerGroup, Tokens: tokens}
		t.groups[name] = groups[i]
	}
	return groups
}

func (t *trainer) stepPath(suffix string) string {
	return fmt.Sprintf("/v1/steps/%s/%d%s", t.config.Run, t.config.Step, suffix)
}

func (t *trainer) open(ctx context.Context, groups []wire.Group) error {
	c := t.config
	return t.postWithRetry(ctx, "/v1/steps", wire.StepRequest{
		Run: c.Run, Step: c.Step, Model: c.Model, Version: c.Version, Groups: groups, Scorer: c.Scorer, Cursor: t.cursor,
	}, nil)
}

// pull requests samples until an entry responds. It opens the step again if an entry does not know it or cannot read
// its log.
func (t *trainer) pull(ctx context.Context, groups []wire.Group) (wire.PullAnswer, error) {
	for {
		q := wire.PullRequest{
			Cursor: t.cursor, Version: t.version, Max: t.config.MaxPullSamples, Wait: t.config.PullWait.Milliseconds(),
		}
		var a wire.PullAnswer
		t.summary.Pulls++
		err := t.post(ctx, t.stepPath("/pull"), q, &a)
		if err == nil {
			return a, nil
		}
		if err := t.nextEntry(ctx, err); err != nil {
			return a, err
		}
		var f *statusError
		if errors.As(err, &f) && (f.problem.Code == "not_found" || f.problem.Code == "store_down") {
			t.summary.Reopened++
			if err := t.open(ctx, groups); err != nil {
				return a, err
			}
		}
	}
}

// postWithRetry posts to one entry after another until a response has a status of 2xx.
func (t *trainer) postWithRetry(ctx context.Context, path string, body, answer any) error {
	for {
		err := t.post(ctx, path, body, answer)
		if err == nil {
			return nil
		}
		if err := t.nextEntry(ctx, err); err != nil {
			return err
		}
	}
}

// nextEntry selects the next entry after an error and waits for retryDelay. It returns an error if a retry cannot
// succeed or the context ends.
func (t *trainer) nextEntry(ctx context.Context, cause error) error {
	t.summary.Errors++
	t.entry = (t.entry + 1) % len(t.config.Entries)
	var f *statusError
	if errors.As(cause, &f) && isPermanent(f.status) && f.problem.Code != "not_found" {
		return cause
	}
	select {
	case <-ctx.Done():
		return fmt.Errorf("trainer: stopped retrying: %w", cause)
	case <-time.After(retryDelay):
		return nil
	}
}

func isPermanent(status int) bool {
	return status >= 400 && status < 500 && status != http.StatusTooManyRequests && status != http.StatusConflict
}

func (t *trainer) post(ctx context.Context, path string, body, answer any) error {
	text := []byte{}
	if body != nil {
		var err error
		if text, err = json.Marshal(body); err != nil {
			return err
		}
	}
	url := t.config.Entries[t.entry] + path
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(text))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+t.config.BearerToken)
	r.Header.Set("Content-Type", "application/json")
	a, err := t.client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = a.Body.Close() }()
	got, err := io.ReadAll(io.LimitReader(a.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if a.StatusCode/100 != 2 {
		var e wire.ErrorBody
		_ = json.Unmarshal(got, &e)
		e.Error.Message = cmp.Or(e.Error.Message, string(got))
		return &statusError{status: a.StatusCode, problem: e.Error}
	}
	if answer == nil {
		return nil
	}
	return json.Unmarshal(got, answer)
}

// accept takes the cursor of a pull response and checks all its samples.
func (t *trainer) accept(a wire.PullAnswer) {
	t.cursor = a.Cursor
	for _, s := range a.Samples {
		t.checkSample(s)
	}
	if want := t.summary.Slots - len(t.received); a.Left != want {
		t.addProblem("response reports %d samples left, but %d slots are missing", a.Left, want)
	}
	if a.Done != (a.Left == 0) {
		t.addProblem("response reports done %t with %d samples left", a.Done, a.Left)
	}
}

func (t *trainer) checkSample(s wire.Sample) {
	where := s.Group + "/" + strconv.Itoa(s.Index)
	g, ok := t.groups[s.Group]
	if !ok || s.Index < 0 || s.Index >= g.Samples {
		t.addProblem("%s is not a slot of the step", where)
		return
	}
	k := slot{group: s.Group, index: s.Index}
	if t.received[k] {
		t.summary.Duplicates++
		t.addProblem("%s was received twice", where)
		return
	}
	t.received[k] = true
	t.summary.Samples++
	t.summary.Tokens += int64(s.Tokens)
	if err := token.Check(g.Prompt, s.Text, s.Spans); err != nil {
		t.addProblem("%s: %v", where, err)
	}
	tokens, _ := token.Split(s.Text)
	if len(tokens) != s.Tokens || s.Tokens != g.Tokens {
		t.addProblem("%s has %d tokens, reports %d, want %d", where, len(tokens), s.Tokens, g.Tokens)
	}
	age := int64(0)
	for _, u := range tokens {
		t.summary.Versions[strconv.FormatInt(u.Version, 10)]++
		age = max(age, t.version-u.Version)
	}
	t.summary.Oldest = max(t.summary.Oldest, age)
	if t.config.StalenessBound >= 0 && age > t.config.StalenessBound {
		t.addProblem("%s is %d versions old, bound %d", where, age, t.config.StalenessBound)
	}
	t.summary.Accepted = append(t.summary.Accepted, report.Accepted{
		Group: s.Group, Index: s.Index, ID: s.ID, Age: age, Spans: s.Spans, At: time.Since(t.openedAt).Milliseconds(),
	})
}

// train simulates the work on n samples and publishes the next weight version if that is due.
func (t *trainer) train(ctx context.Context, n int) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Duration(n) * t.config.TimePerSample):
	}
	if t.config.PublishAfter == 0 || len(t.received) < t.config.PublishAfter || t.version != t.config.Version {
		return nil
	}
	t.version++
	return t.postWithRetry(ctx, "/v1/weights", wire.WeightsRequest{Model: t.config.Model, Version: t.version}, nil)
}

func (t *trainer) addProblem(format string, args ...any) {
	if len(t.summary.Problems) < maxProblems {
		t.summary.Problems = append(t.summary.Problems, fmt.Sprintf(format, args...))
	}
}
