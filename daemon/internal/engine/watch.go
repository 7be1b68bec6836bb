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
	// minDownPoll and maxDownPoll bound the pause between version reads while the engine does not answer.
	minDownPoll = 100 * time.Millisecond
	maxDownPoll = 2 * time.Second
)

// Recheck makes Watch read the version soon.
func (e *Engine) Recheck() {
	select {
	case e.recheck <- struct{}{}:
	default:
	}
}

// Watch reads the version each period, and more often while the engine does not answer, until ctx is done.
func (e *Engine) Watch(ctx context.Context, period time.Duration, random *rand.Rand) error {
	pause := minDownPoll
	for {
		_, err := e.ReadVersion()
		if err == nil {
			pause = minDownPoll
		}
		wait := period
		if err != nil {
			wait = pause/2 + time.Duration(random.Int64N(int64(pause)))
			pause = min(2*pause, maxDownPoll)
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-e.recheck:
			t.Stop()
			// A random delay keeps failing attempts from polling a restarting engine in a tight loop.
			if err := sleep(ctx, time.Duration(random.Int64N(int64(minDownPoll)))); err != nil {
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

// ReadVersion reads the version that the engine runs and updates the state.
func (e *Engine) ReadVersion() (wire.EngineVersion, error) {
	var v wire.EngineVersion
	e.mu.Lock()
	downCount := e.downCount
	e.mu.Unlock()
	status, body, err := e.do(fasthttp.MethodGet, "/version", nil)
	if err == nil && status != fasthttp.StatusOK {
		err = eris.Errorf("engine: GET /version returned status %d", status)
	}
	if err == nil {
		err = json.Unmarshal(body, &v)
	}
	if err != nil {
		e.recordFailedRead(err)
		return v, err
	}
	e.mu.Lock()
	late := e.downCount != downCount
	if !late {
		e.fence = v.Fence
		e.failedReads = 0
	}
	e.mu.Unlock()
	if late {
		return v, eris.New("engine: version read may predate a failure of the engine")
	}
	e.setVersion(v.Version)
	return v, nil
}

// maxFailedReads is the number of consecutive failed version reads after which the engine counts as down. A noisy
// neighbour on the machine delays single responses beyond their timeout.
const maxFailedReads = 3

// recordFailedRead records a failed version read. A refused connection proves that nothing listens, so it marks the engine as
// down at once.
func (e *Engine) recordFailedRead(cause error) {
	e.mu.Lock()
	e.failedReads++
	was := e.up
	e.up = was && e.failedReads < maxFailedReads && !exchange.Refused(cause)
	down := was && !e.up
	s := e.server()
	e.mu.Unlock()
	if down {
		event.ServerDown.Log(e.logger, "cause", cause.Error())
		e.changed(s, false)
	}
}
