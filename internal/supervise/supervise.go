// Package supervise builds the supervisor tree of a program.
//
// # Usage
//
//	tree := supervise.New("entry", logger)
//	tree.Add(supervise.Task("watch configuration", watcher.Run))
//	err := tree.Serve(ctx)
//
// A task that returns or panics is started again with backoff, and both are logged. A task for one connection is
// not restarted: it runs under Guard, so that its panic ends it alone.
package supervise

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"github.com/thejerf/suture/v4"
	"github.com/valyala/fasthttp"

	"bulrushspoke/internal/event"
)

// stopTimeout is how long the tree waits for its tasks after its context has ended.
const stopTimeout = 10 * time.Second

// New returns the root or a branch of a tree.
func New(name string, logger *slog.Logger) *suture.Supervisor {
	return suture.New(name, suture.Spec{
		Timeout: stopTimeout,
		EventHook: func(e suture.Event) {
			event.TaskRestarted.Log(logger, "cause", e.String())
		},
	})
}

type task struct {
	name string
	run  func(context.Context) error
}

// Task returns a service that runs f until its context ends.
func Task(name string, f func(context.Context) error) suture.Service {
	return &task{name: name, run: f}
}

// Serve implements suture.Service.
func (t *task) Serve(ctx context.Context) error {
	err := t.run(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err == nil {
		return errors.New("supervise: task returned")
	}
	return fmt.Errorf("supervise: %s: %w", t.name, err)
}

// String implements fmt.Stringer.
func (t *task) String() string { return t.name }

// Guard runs f and logs a panic in place of passing it on.
func Guard(logger *slog.Logger, name string, f func()) {
	defer func() {
		if r := recover(); r != nil {
			event.TaskPanicked.Log(logger, "task", name, "cause", fmt.Sprint(r), "stack", string(debug.Stack()))
		}
	}()
	f()
}

// Handler runs h for each request and answers 500 if it panics, in place of ending the process.
func Handler(logger *slog.Logger, h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		served := false
		Guard(logger, "http handler", func() {
			h(ctx)
			served = true
		})
		if !served {
			ctx.Error("internal error", fasthttp.StatusInternalServerError)
			ctx.SetConnectionClose()
		}
	}
}
