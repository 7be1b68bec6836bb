// Package trainer is the stand-in of a trainer: it opens one step, pulls its samples and checks every one of them.
//
// # Usage
//
//	summary := trainer.Run(ctx, trainer.Config{Entries: urls, Token: token, Run: "r1", Step: 1, …})
//
// After an error or a broken connection it goes on at the next entry with the same cursor. It accepts an answer only
// if the answer was checked against a weight version that is not below its own.
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
	answerTimeout = 5 * time.Second        // beyond the time that a pull waits
	pause         = 100 * time.Millisecond // after an error
	maxAnswer     = 64 << 20               // bytes
	maxProblems   = 50
)

// Config describes the step and the trainer.
type Config struct {
	Entries   []string // base URLs, used in turn
	Token     string
	Run       string
	Step      int
	Model     string
	Version   int64 // weight version that the trainer holds at first
	Groups    int
	Samples   int // per group
	Tokens    int // per sample
	Long      int // the last Long groups have samples Stretch times as long
	Stretch   int
	Scorer    string
	Staleness int64         // bound that the trainer checks, below 0 for none
	Max       int           // samples of one pull, 0 for no limit
	Wait      time.Duration // time that a pull waits
	Compute   time.Duration // time that the trainer works on each sample
	Publish   int           // samples accepted before new weights are published, 0 for never
	Keep      bool          // leaves the step open
	Prompt    string        // beginning of every prompt
	Progress  io.Writer     // gets a line "held N left M" after each accepted answer; may be nil
}

type slot struct {
	group string
	index int
}

type trainer struct {
	config  Config
	client  *http.Client
	entry   int // index of the entry in use
	version int64
	cursor  string
	opened  time.Time
	groups  map[string]wire.Group
	held    map[slot]bool
	sum     report.Step
}

// failure is an answer other than 200.
type failure struct {
	status  int
	problem wire.Problem
}

// Error implements error.
func (f *failure) Error() string {
	return fmt.Sprintf("trainer: status %d: %s: %s", f.status, f.problem.Code, f.problem.Message)
}

// Run runs the step until it is done or the context ends. The summary lists everything that was wrong.
func Run(ctx context.Context, c Config) report.Step {
	t := &trainer{
		config:  c,
		client:  &http.Client{Timeout: c.Wait + answerTimeout},
		version: c.Version,
		opened:  time.Now(),
		groups:  map[string]wire.Group{},
		held:    map[slot]bool{},
		sum: report.Step{
			Run: c.Run, Step: c.Step, Slots: c.Groups * c.Samples, Versions: map[string]int64{}, Problems: []string{},
			Accepted: []report.Accepted{},
		},
	}
	if err := t.run(ctx); err != nil {
		t.problem("%v", err)
	}
	if len(t.held) != t.sum.Slots {
		t.problem("%d of %d slots received", len(t.held), t.sum.Slots)
	}
	return t.sum
}

func (t *trainer) run(ctx context.Context) error {
	groups := t.plan()
	if err := t.open(ctx, groups); err != nil {
		return err
	}
	for done := false; !done; {
		start := time.Now()
		answer, err := t.pull(ctx, groups)
		t.sum.Idle += time.Since(start).Milliseconds()
		if err != nil {
			return err
		}
		if answer.Checked < t.version {
			t.sum.Rejected++
			continue
		}
		t.accept(answer)
		if c := t.config; c.Progress != nil {
			_, _ = fmt.Fprintf(c.Progress, "held %d left %d\n", len(t.held), answer.Left)
		}
		done = answer.Done
		if err := t.compute(ctx, len(answer.Samples)); err != nil {
			return err
		}
	}
	t.sum.Total = time.Since(t.opened).Milliseconds()
	if t.config.Keep {
		return nil
	}
	return t.call(ctx, t.path("/end"), nil, nil)
}

// plan makes the groups of the step.
func (t *trainer) plan() []wire.Group {
	c := t.config
	groups := make([]wire.Group, c.Groups)
	for i := range groups {
		tokens := c.Tokens
		if i >= c.Groups-c.Long {
			tokens *= max(1, c.Stretch)
		}
		name := "g" + strconv.Itoa(i)
		prompt := fmt.Sprintf("%s run %s step %d group %d", c.Prompt, c.Run, c.Step, i)
		groups[i] = wire.Group{Name: name, Prompt: prompt, Samples: c.Samples, Tokens: tokens}
		t.groups[name] = groups[i]
	}
	return groups
}

func (t *trainer) path(end string) string {
	return fmt.Sprintf("/v1/steps/%s/%d%s", t.config.Run, t.config.Step, end)
}

func (t *trainer) open(ctx context.Context, groups []wire.Group) error {
	c := t.config
	return t.call(ctx, "/v1/steps", wire.StepRequest{
		Run: c.Run, Step: c.Step, Model: c.Model, Version: c.Version, Groups: groups, Scorer: c.Scorer, Cursor: t.cursor,
	}, nil)
}

// pull asks for samples. An entry that does not know the step, or can't read its log, is given the step again.
func (t *trainer) pull(ctx context.Context, groups []wire.Group) (wire.PullAnswer, error) {
	for {
		q := wire.PullRequest{
			Cursor: t.cursor, Version: t.version, Max: t.config.Max, Wait: t.config.Wait.Milliseconds(),
		}
		var a wire.PullAnswer
		t.sum.Pulls++
		err := t.post(ctx, t.path("/pull"), q, &a)
		if err == nil {
			return a, nil
		}
		if err := t.next(ctx, err); err != nil {
			return a, err
		}
		var f *failure
		if errors.As(err, &f) && (f.problem.Code == "not_found" || f.problem.Code == "store_down") {
			t.sum.Reopened++
			if err := t.open(ctx, groups); err != nil {
				return a, err
			}
		}
	}
}

// call posts to one entry after another until one answers 200.
func (t *trainer) call(ctx context.Context, path string, body, answer any) error {
	for {
		err := t.post(ctx, path, body, answer)
		if err == nil {
			return nil
		}
		if err := t.next(ctx, err); err != nil {
			return err
		}
	}
}

// next turns to the next entry after an error. It returns an error if trying again makes no sense.
func (t *trainer) next(ctx context.Context, cause error) error {
	t.sum.Errors++
	t.entry = (t.entry + 1) % len(t.config.Entries)
	var f *failure
	if errors.As(cause, &f) && final(f.status) && f.problem.Code != "not_found" {
		return cause
	}
	select {
	case <-ctx.Done():
		return fmt.Errorf("trainer: gave up: %w", cause)
	case <-time.After(pause):
		return nil
	}
}

func final(status int) bool {
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
	r.Header.Set("Authorization", "Bearer "+t.config.Token)
	r.Header.Set("Content-Type", "application/json")
	a, err := t.client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = a.Body.Close() }()
	got, err := io.ReadAll(io.LimitReader(a.Body, maxAnswer))
	if err != nil {
		return err
	}
	if a.StatusCode/100 != 2 {
		var e wire.ErrorBody
		_ = json.Unmarshal(got, &e)
		e.Error.Message = cmp.Or(e.Error.Message, string(got))
		return &failure{status: a.StatusCode, problem: e.Error}
	}
	if answer == nil {
		return nil
	}
	return json.Unmarshal(got, answer)
}

// accept takes an answer over and checks all its samples.
func (t *trainer) accept(a wire.PullAnswer) {
	t.cursor = a.Cursor
	for _, s := range a.Samples {
		t.check(s)
	}
	if want := t.sum.Slots - len(t.held); a.Left != want {
		t.problem("answer says %d left, %d slots are missing", a.Left, want)
	}
	if a.Done != (a.Left == 0) {
		t.problem("answer says done %t with %d left", a.Done, a.Left)
	}
}

func (t *trainer) check(s wire.Sample) {
	where := s.Group + "/" + strconv.Itoa(s.Index)
	g, ok := t.groups[s.Group]
	if !ok || s.Index < 0 || s.Index >= g.Samples {
		t.problem("%s is no slot of the step", where)
		return
	}
	k := slot{group: s.Group, index: s.Index}
	if t.held[k] {
		t.sum.Duplicates++
		t.problem("%s was received twice", where)
		return
	}
	t.held[k] = true
	t.sum.Samples++
	t.sum.Tokens += int64(s.Tokens)
	if err := token.Check(g.Prompt, s.Text, s.Spans); err != nil {
		t.problem("%s: %v", where, err)
	}
	tokens, _ := token.Split(s.Text)
	if len(tokens) != s.Tokens || s.Tokens != g.Tokens {
		t.problem("%s has %d tokens, says %d, wanted %d", where, len(tokens), s.Tokens, g.Tokens)
	}
	age := int64(0)
	for _, u := range tokens {
		t.sum.Versions[strconv.FormatInt(u.Version, 10)]++
		age = max(age, t.version-u.Version)
	}
	t.sum.Oldest = max(t.sum.Oldest, age)
	if t.config.Staleness >= 0 && age > t.config.Staleness {
		t.problem("%s is %d versions old, bound %d", where, age, t.config.Staleness)
	}
	t.sum.Accepted = append(t.sum.Accepted, report.Accepted{
		Group: s.Group, Index: s.Index, ID: s.ID, Age: age, Spans: s.Spans, At: time.Since(t.opened).Milliseconds(),
	})
}

// compute works on n samples and publishes new weights if that is due.
func (t *trainer) compute(ctx context.Context, n int) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Duration(n) * t.config.Compute):
	}
	if t.config.Publish == 0 || len(t.held) < t.config.Publish || t.version != t.config.Version {
		return nil
	}
	t.version++
	return t.call(ctx, "/v1/weights", wire.WeightsRequest{Model: t.config.Model, Version: t.version}, nil)
}

func (t *trainer) problem(format string, args ...any) {
	if len(t.sum.Problems) < maxProblems {
		t.sum.Problems = append(t.sum.Problems, fmt.Sprintf(format, args...))
	}
}
