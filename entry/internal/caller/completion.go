package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"sync"
	"time"

	"bulrushspoke/entry/internal/dispatch"
	"bulrushspoke/entry/internal/gate"
	"bulrushspoke/internal/refusal"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/wire"
)

const objectName = "text_completion"

// complete serves POST /v1/completions.
func (c *Caller) complete(r *gate.Request) error {
	p, err := c.resolve(time.Now(), r)
	if err != nil {
		return err
	}
	var q wire.CompletionRequest
	if err := r.Decode(&q); err != nil {
		return err
	}
	j, err := c.job(r, &p, &q)
	if err != nil {
		return err
	}
	// The context of the request ends when the server begins to stop, which must not cut off work.
	ctx, cancel := context.WithCancelCause(context.Background())
	stop := watch(r.Conn(), func() { cancel(errGone) })
	if q.Stream {
		return c.stream(ctx, func() { stop(); cancel(nil) }, r, &p, j)
	}
	defer cancel(nil)
	defer stop()
	return c.answer(ctx, r, &p, j)
}

func (c *Caller) job(r *gate.Request, p *resolved, q *wire.CompletionRequest) (dispatch.Job, error) {
	switch {
	case p.Once:
		return dispatch.Job{}, refusal.New(refusal.Forbidden, refusal.NotRun, "profile %s is for calls that must not be repeated", p.Name)
	case q.Model == "":
		return dispatch.Job{}, refusal.New(refusal.BadRequest, refusal.NotRun, "model: required")
	case q.Prompt == "":
		return dispatch.Job{}, refusal.New(refusal.BadRequest, refusal.NotRun, "prompt: required")
	case q.MaxTokens < 0:
		return dispatch.Job{}, refusal.New(refusal.BadRequest, refusal.NotRun, "max_tokens: %d is below 1", q.MaxTokens)
	case q.MaxTokens > p.Tokens:
		return dispatch.Job{}, refusal.New(refusal.TooLarge, refusal.NotRun, "max_tokens: %d is above %d", q.MaxTokens, p.Tokens)
	case len(q.Prompt) > c.limits.Prompt:
		return dispatch.Job{}, refusal.New(refusal.TooLarge, refusal.NotRun, "prompt: %d bytes, at most %d", len(q.Prompt), c.limits.Prompt)
	}
	if q.MaxTokens == 0 {
		q.MaxTokens = p.Tokens
	}
	w := p.work(r)
	w.Model, w.Prompt, w.Max = q.Model, q.Prompt, q.MaxTokens
	return dispatch.Job{Work: w, Deadline: p.deadline, Hedge: p.Hedge}, nil
}

// answer runs a job and writes the whole completion.
func (c *Caller) answer(ctx context.Context, r *gate.Request, p *resolved, j dispatch.Job) error {
	res, err := c.dispatcher.Run(ctx, j)
	if err != nil {
		return err
	}
	c.record(p, r.Identity.Workspace, &res)
	r.Response.Header.Set(VersionsHeader, Versions(res.Spans))
	return r.JSON(wire.CompletionResponse{
		ID:       r.ID,
		Object:   objectName,
		Model:    j.Work.Model,
		Choices:  []wire.Choice{{Text: strings.Join(res.Tokens, ""), FinishReason: res.Finish}},
		Usage:    &wire.Usage{CompletionTokens: len(res.Tokens)},
		Versions: res.Spans,
	})
}

// Versions formats weight versions by token segment for a header.
func Versions(spans []wire.Span) string {
	var b []byte
	for i, s := range spans {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendInt(b, s.Version, 10)
		b = append(b, ':')
		b = strconv.AppendInt(b, int64(s.First), 10)
		b = append(b, '-')
		b = strconv.AppendInt(b, int64(s.Last), 10)
	}
	return string(b)
}

// feed passes tokens from the dispatcher to the writer of a stream. The dispatcher never waits for a slow reader; the
// tokens that wait are bounded by the largest answer.
type feed struct {
	mu     sync.Mutex
	tokens []string
	over   bool
	result dispatch.Result
	err    error
	signal chan struct{}
}

func newFeed() *feed { return &feed{signal: make(chan struct{}, 1)} }

func (f *feed) put(_ int, tokens []string, _ []wire.Span) {
	f.mu.Lock()
	f.tokens = append(f.tokens, tokens...)
	f.mu.Unlock()
	f.wake()
}

func (f *feed) end(res dispatch.Result, err error) {
	f.mu.Lock()
	f.over, f.result, f.err = true, res, err
	f.mu.Unlock()
	f.wake()
}

func (f *feed) wake() {
	select {
	case f.signal <- struct{}{}:
	default:
	}
}

// take waits for tokens or the end and returns the tokens that have come.
func (f *feed) take() (tokens []string, over bool) {
	for {
		f.mu.Lock()
		tokens, over = f.tokens, f.over
		f.tokens = nil
		f.mu.Unlock()
		if len(tokens) > 0 || over {
			return tokens, over
		}
		<-f.signal
	}
}

// stream runs a job and writes server-sent events. A refusal before the first token is an ordinary refusal.
func (c *Caller) stream(ctx context.Context, release func(), r *gate.Request, p *resolved, j dispatch.Job) error {
	f := newFeed()
	j.Sink = f.put
	go func() {
		res, err := dispatch.Result{}, error(refusal.New(refusal.Internal, refusal.Unknown, "caller: internal error"))
		supervise.Guard(c.logger, "completion", func() { res, err = c.dispatcher.Run(ctx, j) })
		f.end(res, err)
	}()
	tokens, over := f.take()
	if over && f.err != nil && len(tokens) == 0 {
		release()
		return f.err
	}
	r.SetContentType("text/event-stream")
	r.Response.Header.Set("Cache-Control", "no-cache")
	id, workspace, profile := r.ID, r.Identity.Workspace, *p
	r.Stream(func(w *bufio.Writer) {
		defer release()
		e := events{w: w, id: id, model: j.Work.Model}
		for {
			if len(tokens) > 0 && !e.tokens(tokens) {
				return
			}
			if over {
				break
			}
			tokens, over = f.take()
		}
		e.end(f.result, f.err)
		if f.err == nil {
			c.record(&profile, workspace, &f.result)
		}
	})
	return nil
}

// events writes the server-sent events of one completion.
type events struct {
	w     *bufio.Writer
	id    string
	model string
}

// tokens writes one event and reports whether the client still reads.
func (e *events) tokens(tokens []string) bool {
	return e.write(wire.CompletionResponse{
		ID: e.id, Object: objectName, Model: e.model, Choices: []wire.Choice{{Text: strings.Join(tokens, "")}},
	})
}

func (e *events) end(res dispatch.Result, err error) {
	if err != nil {
		var refused *refusal.Error
		if !errors.As(err, &refused) {
			refused = refusal.New(refusal.Internal, refusal.Unknown, "caller: internal error")
		}
		e.write(wire.ErrorBody{Error: gate.Problem(refused, e.id)})
		return
	}
	last := wire.CompletionResponse{
		ID: e.id, Object: objectName, Model: e.model, Choices: []wire.Choice{{FinishReason: res.Finish}},
		Usage: &wire.Usage{CompletionTokens: len(res.Tokens)}, Versions: res.Spans,
	}
	if e.write(last) {
		_, _ = e.w.WriteString("data: [DONE]\n\n")
		_ = e.w.Flush()
	}
}

func (e *events) write(v any) bool {
	b, err := json.Marshal(v)
	if err != nil {
		return false
	}
	_, _ = e.w.WriteString("data: ")
	_, _ = e.w.Write(b)
	_, _ = e.w.WriteString("\n\n")
	return e.w.Flush() == nil
}
