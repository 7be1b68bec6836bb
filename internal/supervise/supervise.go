// Package supervise builds the supervisor tree of a program.
//
// # Usage
//
//	tree := supervise.New("entry", logger)
//	tree.Add(supervise.Task("watch configuration", watcher.Run))
//	err := tree.Serve(ctx)
//
// A task that returns or panics is logged and restarted with backoff. A goroutine that serves a single connection runs
// under Guard instead: it is not restarted, and a panic ends only that goroutine.
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

// stopTimeout bounds the wait for running tasks after the context of the tree has ended.
const stopTimeout = 10 * time.Second

// New returns a supervisor that logs the events of its tasks. It may be the root of a tree or be added to another one.
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

// Task returns a named service that runs f. If f returns before its context ends, the supervisor restarts it.
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
		return errors.New("supervise: task returned without an error")
	}
	return fmt.Errorf("supervise: %s: %w", t.name, err)
}

// String implements fmt.Stringer.
func (t *task) String() string { return t.name }

// Guard runs f, and recovers and logs a panic in it.
func Guard(logger *slog.Logger, name string, f func()) {
	defer func() {
		if r := recover(); r != nil {
			event.TaskPanicked.Log(logger, "task", name, "cause", fmt.Sprint(r), "stack", string(debug.Stack()))
		}
	}()
	f()
}

// Handler wraps h so that a panic in it is recovered and logged. The client then gets status 500 and its connection is
// closed.
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
