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
func (h *Handler) complete(r *gate.Request) error {
	p, err := h.resolveProfile(time.Now(), r)
	if err != nil {
		return err
	}
	var q wire.CompletionRequest
	if err := r.Decode(&q); err != nil {
		return err
	}
	j, err := h.newJob(r, &p, &q)
	if err != nil {
		return err
	}
	// The context of the request is not used because it ends when the server begins to shut down, which must not cancel
	// work in progress.
	ctx, cancel := context.WithCancelCause(context.Background())
	stop := watchClose(r.Conn(), func() { cancel(errClientClosed) })
	if q.Stream {
		return h.stream(ctx, func() { stop(); cancel(nil) }, r, &p, j)
	}
	defer cancel(nil)
	defer stop()
	return h.respond(ctx, r, &p, j)
}

func (h *Handler) newJob(r *gate.Request, p *requestProfile, q *wire.CompletionRequest) (dispatch.Job, error) {
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
	case len(q.Prompt) > h.limits.MaxPrompt:
		return dispatch.Job{}, refusal.New(refusal.TooLarge, refusal.NotRun, "prompt: %d bytes, at most %d", len(q.Prompt), h.limits.MaxPrompt)
	}
	if q.MaxTokens == 0 {
		q.MaxTokens = p.Tokens
	}
	w := p.newWork(r)
	w.Model, w.Prompt, w.Max = q.Model, q.Prompt, q.MaxTokens
	return dispatch.Job{Work: w, Deadline: p.deadline, Hedge: p.Hedge}, nil
}

// respond runs a job and writes the complete response.
func (h *Handler) respond(ctx context.Context, r *gate.Request, p *requestProfile, j dispatch.Job) error {
	res, err := h.dispatcher.Run(ctx, j)
	if err != nil {
		return err
	}
	h.recordMetrics(p, r.Identity.Workspace, &res)
	r.Response.Header.Set(VersionsHeader, FormatVersions(res.Spans))
	return r.JSON(wire.CompletionResponse{
		ID:       r.ID,
		Object:   objectName,
		Model:    j.Work.Model,
		Choices:  []wire.Choice{{Text: strings.Join(res.Tokens, ""), FinishReason: res.Finish}},
		Usage:    &wire.Usage{CompletionTokens: len(res.Tokens)},
		Versions: res.Spans,
	})
}

// FormatVersions returns the value of VersionsHeader for the given spans.
func FormatVersions(spans []wire.Span) string {
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

// tokenBuffer passes tokens from the dispatcher to the writer of a stream. It is unbounded, so the dispatcher never waits
// for a slow client; in practice its size is limited by the maximum number of tokens of a completion.
type tokenBuffer struct {
	mu     sync.Mutex
	tokens []string
	ended  bool
	result dispatch.Result
	err    error
	signal chan struct{}
}

func newTokenBuffer() *tokenBuffer { return &tokenBuffer{signal: make(chan struct{}, 1)} }

func (b *tokenBuffer) add(_ int, tokens []string, _ []wire.Span) {
	b.mu.Lock()
	b.tokens = append(b.tokens, tokens...)
	b.mu.Unlock()
	b.notify()
}

func (b *tokenBuffer) finish(res dispatch.Result, err error) {
	b.mu.Lock()
	b.ended, b.result, b.err = true, res, err
	b.mu.Unlock()
	b.notify()
}

func (b *tokenBuffer) notify() {
	select {
	case b.signal <- struct{}{}:
	default:
	}
}

// take waits for tokens or the end of the completion. It returns and removes the buffered tokens.
func (b *tokenBuffer) take() (tokens []string, ended bool) {
	for {
		b.mu.Lock()
		tokens, ended = b.tokens, b.ended
		b.tokens = nil
		b.mu.Unlock()
		if len(tokens) > 0 || ended {
			return tokens, ended
		}
		<-b.signal
	}
}

// stream runs a job and writes its tokens as server-sent events. A refusal before the first token is returned as an error,
// so that it gets its own HTTP status; a later one is written as an event.
func (h *Handler) stream(ctx context.Context, release func(), r *gate.Request, p *requestProfile, j dispatch.Job) error {
	b := newTokenBuffer()
	j.Sink = b.add
	go func() {
		res, err := dispatch.Result{}, error(refusal.New(refusal.Internal, refusal.Unknown, "caller: internal error"))
		supervise.Guard(h.logger, "completion", func() { res, err = h.dispatcher.Run(ctx, j) })
		b.finish(res, err)
	}()
	tokens, ended := b.take()
	if ended && b.err != nil && len(tokens) == 0 {
		release()
		return b.err
	}
	r.SetContentType("text/event-stream")
	r.Response.Header.Set("Cache-Control", "no-cache")
	id, workspace, profile := r.ID, r.Identity.Workspace, *p
	r.Stream(func(w *bufio.Writer) {
		defer release()
		e := eventWriter{w: w, id: id, model: j.Work.Model}
		for {
			if len(tokens) > 0 && !e.writeTokens(tokens) {
				return
			}
			if ended {
				break
			}
			tokens, ended = b.take()
		}
		e.writeEnd(b.result, b.err)
		if b.err == nil {
			h.recordMetrics(&profile, workspace, &b.result)
		}
	})
	return nil
}

// eventWriter writes the server-sent events of a completion.
type eventWriter struct {
	w     *bufio.Writer
	id    string
	model string
}

// writeTokens writes one event and reports whether the write succeeded.
func (e *eventWriter) writeTokens(tokens []string) bool {
	return e.writeEvent(wire.CompletionResponse{
		ID: e.id, Object: objectName, Model: e.model, Choices: []wire.Choice{{Text: strings.Join(tokens, "")}},
	})
}

func (e *eventWriter) writeEnd(res dispatch.Result, err error) {
	if err != nil {
		var refused *refusal.Error
		if !errors.As(err, &refused) {
			refused = refusal.New(refusal.Internal, refusal.Unknown, "caller: internal error")
		}
		e.writeEvent(wire.ErrorBody{Error: gate.Problem(refused, e.id)})
		return
	}
	last := wire.CompletionResponse{
		ID: e.id, Object: objectName, Model: e.model, Choices: []wire.Choice{{FinishReason: res.Finish}},
		Usage: &wire.Usage{CompletionTokens: len(res.Tokens)}, Versions: res.Spans,
	}
	if e.writeEvent(last) {
		_, _ = e.w.WriteString("data: [DONE]\n\n")
		_ = e.w.Flush()
	}
}

func (e *eventWriter) writeEvent(v any) bool {
	b, err := json.Marshal(v)
	if err != nil {
		return false
	}
	_, _ = e.w.WriteString("data: ")
	_, _ = e.w.Write(b)
	_, _ = e.w.WriteString("\n\n")
	return e.w.Flush() == nil
}
