package engine

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"bulrushspoke/internal/event"
	"bulrushspoke/internal/stagger"
	"bulrushspoke/wire"
)

const (
	// firstPause and lastPause are the pauses between repeated commands. They start short, because all servers are to
	// run a new version within 18 s.
	firstPause = 250 * time.Millisecond
	lastPause  = 10 * time.Second
	// readPause is the time between two reads of the version while a load goes on, and loadLimit the time after which
	// a load that reports no end is ordered again.
	readPause = 200 * time.Millisecond
	loadLimit = time.Minute
)

// Ownership tells whether this process may command a server.
type Ownership interface {
	Take(ctx context.Context, server string) error
	Check(ctx context.Context, server string) (bool, error)
}

// Follow brings the engine to the target of its model, and back to it whenever it runs something older, until ctx
// ends. It commands only while this process is in charge of the server.
func (e *Engine) Follow(
	ctx context.Context, targets *Targets, ownership Ownership, window, period time.Duration, random *rand.Rand,
) error {
	if err := e.takeOwnership(ctx, ownership, random); err != nil {
		return err
	}
	var reached int64 // fencing token of the last target that the engine ran
	pause := firstPause
	for ctx.Err() == nil {
		target, changed := targets.of(e.config.Model)
		if e.runs(target) {
			if target.Fence != reached && target.Fence != 0 {
				reached = target.Fence
				event.WeightsLoaded.Log(e.logger, "version", target.Version)
			}
			pause = firstPause
			e.await(ctx, changed, period)
			continue
		}
		if !e.Server().Up {
			// Watch notices its return.
			e.await(ctx, changed, readPause)
			continue
		}
		if target.Fence != reached && pause == firstPause {
			// Swaps of one model are spread over the window. A repair is not delayed.
			if sleep(ctx, stagger.Delay(e.config.Name, targets.place(e.config.Name), window)) != nil {
				break
			}
			target, _ = targets.of(e.config.Model)
		}
		if e.command(ctx, target, ownership) {
			continue
		}
		event.WeightsDiffer.Log(e.logger, "version", e.Server().Version, "target", target.Version)
		e.await(ctx, changed, pause/2+time.Duration(random.Int64N(int64(pause))))
		pause = min(2*pause, lastPause)
	}
	return ctx.Err()
}

// takeOwnership claims the server; while the store is down it tries again with growing pauses.
func (e *Engine) takeOwnership(ctx context.Context, ownership Ownership, random *rand.Rand) error {
	for pause := firstPause; ; pause = min(2*pause, lastPause) {
		err := ownership.Take(ctx, e.config.Name)
		if err == nil {
			return nil
		}
		if err := sleep(ctx, pause/2+time.Duration(random.Int64N(int64(pause)))); err != nil {
			return err
		}
	}
}

// runs reports whether the engine runs the target or something newer. An engine that honours fencing tokens must also
// have seen the token, so that it refuses a late command of a process that is no longer in charge.
func (e *Engine) runs(t wire.Target) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if t.Fence == 0 {
		return true
	}
	if !e.up || e.version < t.Version {
		return false
	}
	return e.version > t.Version || !e.config.Fencing || e.fence >= t.Fence
}

func (e *Engine) await(ctx context.Context, changed <-chan struct{}, limit time.Duration) {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-t.C:
	}
}

// command orders the target and reports whether the engine runs it afterwards.
func (e *Engine) command(ctx context.Context, t wire.Target, ownership Ownership) bool {
	if _, err := e.ReadVersion(); err != nil {
		return false
	}
	if e.runs(t) {
		return true
	}
	mine, err := ownership.Check(ctx, e.config.Name)
	if err != nil {
		return false
	}
	if !mine {
		event.OwnedElsewhere.Log(e.logger)
		return false
	}
	if err := e.order(t); err != nil {
		return false
	}
	for end := time.Now().Add(loadLimit); time.Now().Before(end); {
		v, err := e.ReadVersion()
		if err == nil && e.runs(t) {
			return true
		}
		if err != nil || v.Loading == 0 {
			return false
		}
		if sleep(ctx, readPause) != nil {
			return false
		}
	}
	return false
}

func (e *Engine) order(t wire.Target) error {
	event.WeightsOrdered.Log(e.logger, "version", t.Version, "fence", t.Fence)
	body, err := json.Marshal(wire.EngineOrder{Version: t.Version, Fence: t.Fence})
	if err != nil {
		return eris.Wrap(err, "engine: order")
	}
	status, answer, err := e.do(fasthttp.MethodPost, "/load", body)
	if err == nil && status != fasthttp.StatusOK {
		err = eris.Errorf("engine: load answered %d: %.200s", status, answer)
	}
	return err
}
