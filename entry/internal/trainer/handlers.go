package trainer

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"bulrushspoke/entry/internal/gate"
	"bulrushspoke/entry/internal/steplog"
	"bulrushspoke/internal/refusal"
	"bulrushspoke/wire"
)

// Router registers the handlers of routes.
type Router interface {
	Handle(method, pattern, role string, h gate.Handler)
}

// handlerTimeout bounds a call; a pull may take maxPullWait in addition.
const handlerTimeout = 20 * time.Second

const stepPath = "/v1/steps/{run}/{step}"

// Register registers the routes of the trainer API.
func (t *Trainer) Register(r Router) {
	r.Handle(fasthttp.MethodPost, "/v1/steps", gate.Trainer, t.postStep)
	r.Handle(fasthttp.MethodPost, stepPath+"/pull", gate.Trainer, t.postPull)
	r.Handle(fasthttp.MethodGet, stepPath, gate.Trainer, t.getStep)
	r.Handle(fasthttp.MethodPost, stepPath+"/end", gate.Trainer, t.endStep(steplog.StateEnded))
	r.Handle(fasthttp.MethodDelete, stepPath, gate.Trainer, t.endStep(steplog.StateCancelled))
	r.Handle(fasthttp.MethodPost, "/v1/weights", gate.Trainer, t.postWeights)
	r.Handle(fasthttp.MethodPost, "/v1/verdicts", gate.Trainer, t.postVerdict)
}

func identity(r *gate.Request) Identity {
	return Identity{Workspace: r.Identity.Workspace, Profile: r.Identity.Profile}
}

// pathStep returns the run and step that the path names.
func pathStep(r *gate.Request) (stepKey, error) {
	step, err := strconv.Atoi(r.Param("step"))
	k := stepKey{run: r.Param("run"), step: step}
	if err != nil || step < 0 || !runName.MatchString(k.run) {
		return k, badRequest("path names no run and step")
	}
	return k, nil
}

func (t *Trainer) postStep(r *gate.Request) error {
	var q wire.StepRequest
	if err := r.Decode(&q); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), handlerTimeout)
	defer cancel()
	a, err := t.Open(ctx, identity(r), q)
	if err != nil {
		return err
	}
	return r.JSON(a)
}

func (t *Trainer) postPull(r *gate.Request) error {
	k, err := pathStep(r)
	if err != nil {
		return err
	}
	var q wire.PullRequest
	if err := r.Decode(&q); err != nil {
		return err
	}
	if q.Wait < 0 || q.Max < 0 || q.Version < 0 {
		return badRequest("wait, max and version must be at least 0")
	}
	ctx, cancel := context.WithTimeout(context.Background(), handlerTimeout+maxPullWait)
	defer cancel()
	a, err := t.PullSamples(ctx, identity(r), k.run, k.step, q)
	if err != nil {
		return err
	}
	return r.JSON(a)
}

func (t *Trainer) getStep(r *gate.Request) error {
	k, err := pathStep(r)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), handlerTimeout)
	defer cancel()
	a, err := t.Progress(ctx, identity(r), k.run, k.step)
	if err != nil {
		return err
	}
	return r.JSON(a)
}

func (t *Trainer) endStep(state string) gate.Handler {
	return func(r *gate.Request) error {
		k, err := pathStep(r)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(context.Background(), handlerTimeout)
		defer cancel()
		a, err := t.End(ctx, identity(r), k.run, k.step, state)
		if err != nil {
			return err
		}
		return r.JSON(a)
	}
}

func (t *Trainer) postWeights(r *gate.Request) error {
	var q wire.WeightsRequest
	if err := r.Decode(&q); err != nil {
		return err
	}
	if q.Model == "" || q.Version < 1 {
		return badRequest("weights need a model and a version of at least 1")
	}
	ctx, cancel := context.WithTimeout(context.Background(), handlerTimeout)
	defer cancel()
	if err := t.options.Weights.Publish(ctx, q.Model, q.Version); err != nil {
		return refusalOrStoreError(err)
	}
	return r.JSON(q)
}

func (t *Trainer) postVerdict(r *gate.Request) error {
	var q wire.VerdictRequest
	if err := r.Decode(&q); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), handlerTimeout)
	defer cancel()
	a, err := t.RecordVerdict(ctx, identity(r), q)
	if err != nil {
		return err
	}
	return r.JSON(a)
}

// refusalOrStoreError converts errors of the store to refusals and leaves other errors as they are.
func refusalOrStoreError(err error) error {
	var r *refusal.Error
	if errors.As(err, &r) {
		return err
	}
	return stepStoreError(stepKey{}, err)
}
