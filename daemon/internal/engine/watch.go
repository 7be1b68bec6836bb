package engine

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"bulrushspoke/daemon/internal/exchange"
	"bulrushspoke/internal/event"
	"bulrushspoke/wire"
)

const (
	// downPoll and downPollMax are the pauses between version reads while the engine does not answer.
	downPoll    = 100 * time.Millisecond
	downPollMax = 2 * time.Second
)

// Recheck asks for a read of the version soon.
func (e *Engine) Recheck() {
	select {
	case e.recheck <- struct{}{}:
	default:
	}
}

// Watch reads the version each period, and more often while the engine does not answer, until ctx ends.
func (e *Engine) Watch(ctx context.Context, period time.Duration, random *rand.Rand) error {
	pause := downPoll
	for {
		_, err := e.ReadVersion()
		if err == nil {
			pause = downPoll
		}
		wait := period
		if err != nil {
			wait = pause/2 + time.Duration(random.Int64N(int64(pause)))
			pause = min(2*pause, downPollMax)
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-e.recheck:
			t.Stop()
			// A crashed engine that restarts is not asked in a tight loop.
			if err := sleep(ctx, time.Duration(random.Int64N(int64(downPoll)))); err != nil {
				return err
			}
		case <-t.C:
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// ReadVersion asks the engine what it runs.
func (e *Engine) ReadVersion() (wire.EngineVersion, error) {
	var v wire.EngineVersion
	e.mu.Lock()
	losses := e.losses
	e.mu.Unlock()
	status, body, err := e.do(fasthttp.MethodGet, "/version", nil)
	if err == nil && status != fasthttp.StatusOK {
		err = eris.Errorf("engine: version answered %d", status)
	}
	if err == nil {
		err = json.Unmarshal(body, &v)
	}
	if err != nil {
		e.unanswered(err)
		return v, err
	}
	e.mu.Lock()
	late := e.losses != losses
	if !late {
		e.fence = v.Fence
		e.misses = 0
	}
	e.mu.Unlock()
	if late {
		return v, eris.New("engine: the answer was sent before a crash")
	}
	e.seen(v.Version)
	return v, nil
}

// maxMisses is the number of version reads in a row without an answer after which the engine counts as down. A slow
// neighbour delays single answers beyond their timeout.
const maxMisses = 3

// unanswered notes a failed read of the version. A refused connection is proof that nothing listens.
func (e *Engine) unanswered(cause error) {
	e.mu.Lock()
	e.misses++
	was := e.up
	e.up = was && e.misses < maxMisses && !exchange.Refused(cause)
	down := was && !e.up
	s := e.server()
	e.mu.Unlock()
	if down {
		event.ServerDown.Log(e.logger, "cause", cause.Error())
		e.changed(s, false)
	}
}
