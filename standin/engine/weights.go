package engine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"bulrushspoke/standin/report"
	"bulrushspoke/wire"
)

// Outcomes of a load besides Crashed.
const (
	loading  = "loading"
	loaded   = "loaded"
	present  = "present"
	failed   = "failed"
	replaced = "replaced"
	fenced   = "fenced"
)

// weights is what the engine runs and loads.
type weights struct {
	version int64
	target  int64 // being loaded, 0 if none
	fence   int64 // highest fencing token seen
	order   int   // index of the present load in the history
}

// state describes the weights; the caller holds the lock.
func (e *Engine) state() wire.EngineVersion {
	return wire.EngineVersion{
		Model: e.config.Model, Version: e.weights.version, Loading: e.weights.target, Fence: e.weights.fence,
		Slots: e.config.Slots,
	}
}

// load accepts or refuses an order. The load itself goes on after the answer; streams keep the old version until it
// ends. A newer order replaces one that has not ended.
func (e *Engine) load(o wire.EngineOrder, now time.Time) (wire.EngineVersion, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := report.EngineLoad{Version: o.Version, Fence: o.Fence, At: now.UnixMilli(), Outcome: loading}
	if !e.config.Ignore && o.Fence < e.weights.fence {
		entry.Outcome = fenced
		e.history.Loads = append(e.history.Loads, entry)
		return e.state(), false
	}
	e.weights.fence = max(e.weights.fence, o.Fence)
	if e.weights.target == o.Version || (e.weights.target == 0 && e.weights.version == o.Version) {
		entry.Outcome = present
		e.history.Loads = append(e.history.Loads, entry)
		return e.state(), true
	}
	if e.weights.target != 0 {
		e.history.Loads[e.weights.order].Outcome = replaced
		e.weights.target = 0
	}
	e.history.Loads = append(e.history.Loads, entry)
	e.weights.order = len(e.history.Loads) - 1
	if e.weights.version == o.Version {
		e.history.Loads[e.weights.order].Outcome = present
		return e.state(), true
	}
	e.weights.target = o.Version
	go e.swap(o.Version, e.weights.order, e.crash)
	return e.state(), true
}

// swap loads a version and takes it into use unless it fails or a crash or another order came first.
func (e *Engine) swap(version int64, order int, crash <-chan struct{}) {
	err := e.fetch(version, crash)
	t := time.NewTimer(e.config.Swap)
	defer t.Stop()
	select {
	case <-crash:
		return
	case <-t.C:
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.weights.target != version || e.weights.order != order || e.history.Loads[order].Outcome != loading {
		return
	}
	e.weights.target = 0
	if err != nil || e.fails > 0 {
		e.fails = max(0, e.fails-1)
		e.history.Loads[order].Outcome = failed
		return
	}
	e.history.Loads[order].Outcome = loaded
	e.weights.version = version
}

// fetch reads the weights from the weight store.
func (e *Engine) fetch(version int64, crash <-chan struct{}) error {
	if e.config.Weights == "" {
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-crash:
			cancel()
		case <-ctx.Done():
		}
	}()
	url := fmt.Sprintf("%s/weights/%s/%d", e.config.Weights, e.config.Model, version)
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer func() { _ = a.Body.Close() }()
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		return err
	}
	if a.StatusCode != http.StatusOK {
		return fmt.Errorf("engine: weight store answered %d", a.StatusCode)
	}
	return nil
}
