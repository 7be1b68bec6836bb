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
	// minBackoff and maxBackoff bound the pause between repeated commands. The pause starts short, because all servers must
	// run a new version within 18 s.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 10 * time.Second
	// loadPollInterval is the time between two reads of the version during a load. A load that takes longer than loadTimeout
	// is ordered again.
	loadPollInterval = 200 * time.Millisecond
	loadTimeout      = time.Minute
)

// Ownership decides which process may send commands to a server. *ownership.Ownership implements it.
type Ownership interface {
	Take(ctx context.Context, server string) error
	Check(ctx context.Context, server string) (bool, error)
}

// Follow keeps the engine at the target of its model until ctx is done: it orders the target whenever the engine runs an
// older version. It sends commands only while this process owns the server. The loads of a new target are spread over
// window; the version is checked at least once each period.
func (e *Engine) Follow(
	ctx context.Context, targets *Targets, ownership Ownership, window, period time.Duration, random *rand.Rand,
) error {
	if err := e.takeOwnership(ctx, ownership, random); err != nil {
		return err
	}
	var reached int64 // fencing token of the last target that the engine ran
	backoff := minBackoff
	for ctx.Err() == nil {
		target, changed := targets.get(e.config.Model)
		if e.runsTarget(target) {
			if target.Fence != reached && target.Fence != 0 {
				reached = target.Fence
				event.WeightsLoaded.Log(e.logger, "version", target.Version)
			}
			backoff = minBackoff
			e.await(ctx, changed, period)
			continue
		}
		if !e.Server().Up {
			// Watch detects when the engine is up again.
			e.await(ctx, changed, loadPollInterval)
			continue
		}
		if target.Fence != reached && backoff == minBackoff {
			// Loads of one model are spread over the window. Repeated loads and repairs are not delayed.
			if sleep(ctx, stagger.Delay(e.config.Name, targets.place(e.config.Name), window)) != nil {
				break
			}
			target, _ = targets.get(e.config.Model)
		}
		if e.command(ctx, targets, target, ownership) {
			continue
		}
		event.WeightsDiffer.Log(e.logger, "version", e.Server().Version, "target", target.Version)
		e.await(ctx, changed, backoff/2+time.Duration(random.Int64N(int64(backoff))))
		backoff = min(2*backoff, maxBackoff)
	}
	return ctx.Err()
}

// takeOwnership takes ownership of the server. While the store is down, it retries with exponential backoff.
func (e *Engine) takeOwnership(ctx context.Context, ownership Ownership, random *rand.Rand) error {
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		err := ownership.Take(ctx, e.config.Name)
		if err == nil {
			return nil
		}
		if err := sleep(ctx, backoff/2+time.Duration(random.Int64N(int64(backoff)))); err != nil {
			return err
		}
	}
}

// runsTarget reports whether the engine runs the target or a newer version. An engine that supports fencing tokens must
// also have seen the token, so that it refuses a delayed command of a process that no longer owns it.
func (e *Engine) runsTarget(t wire.Target) bool {
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

// await blocks until the targets have changed, limit has elapsed or ctx is done.
func (e *Engine) await(ctx context.Context, changed <-chan struct{}, limit time.Duration) {
	t := time.NewTimer(limit)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-t.C:
	}
}

// command orders the target, waits for the end of the load and reports whether the engine runs the target or there is a
// newer one.
func (e *Engine) command(ctx context.Context, targets *Targets, t wire.Target, ownership Ownership) bool {
	if _, err := e.ReadVersion(); err != nil {
		return false
	}
	if e.runsTarget(t) {
		return true
	}
	owned, err := ownership.Check(ctx, e.config.Name)
	if err != nil {
		return false
	}
	if !owned {
		event.OwnedElsewhere.Log(e.logger)
		return false
	}
	// The check takes a call to the store. An engine that ignores fencing tokens would load what has been replaced since.
	if newest, _ := targets.get(e.config.Model); newest.Fence > t.Fence {
		return true
	}
	if err := e.order(t); err != nil {
		return false
	}
	for end := time.Now().Add(loadTimeout); time.Now().Before(end); {
		v, err := e.ReadVersion()
		if err == nil && e.runsTarget(t) {
			return true
		}
		if err != nil || v.Loading == 0 {
			return false
		}
		if sleep(ctx, loadPollInterval) != nil {
			return false
		}
	}
	return false
}

func (e *Engine) order(t wire.Target) error {
	event.WeightsOrdered.Log(e.logger, "version", t.Version, "fence", t.Fence)
	body, err := json.Marshal(wire.EngineLoadRequest{Version: t.Version, Fence: t.Fence})
	if err != nil {
		return eris.Wrap(err, "engine: order")
	}
	status, answer, err := e.do(fasthttp.MethodPost, "/load", body)
	if err == nil && status != fasthttp.StatusOK {
		err = eris.Errorf("engine: POST /load returned status %d: %.200s", status, answer)
	}
	return err
}
