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

// Outcomes of a weight load, besides Crashed.
const (
	loading  = "loading"
	loaded   = "loaded"
	present  = "present"
	failed   = "failed"
	replaced = "replaced"
	fenced   = "fenced"
)

// weightState is the weight version in use and the one being loaded.
type weightState struct {
	version   int64
	loading   int64 // version being loaded, 0 if none
	maxFence  int64 // highest fencing token seen
	loadIndex int   // index of the current load in the history
}

// weightStatus returns the response body of GET /version; the caller holds the lock.
func (e *Engine) weightStatus() wire.EngineVersion {
	return wire.EngineVersion{
		Model: e.config.Model, Version: e.weights.version, Loading: e.weights.loading, Fence: e.weights.maxFence,
		Slots: e.config.Slots,
	}
}

// startLoad accepts or refuses a request to load a weight version. The load continues after the response; streams use
// the old version until it completes. A new request replaces a load that is in progress.
func (e *Engine) startLoad(o wire.EngineLoadRequest, now time.Time) (wire.EngineVersion, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := report.EngineLoad{Version: o.Version, Fence: o.Fence, At: now.UnixMilli(), Outcome: loading}
	if !e.config.IgnoreFencing && o.Fence < e.weights.maxFence {
		entry.Outcome = fenced
		e.history.Loads = append(e.history.Loads, entry)
		return e.weightStatus(), false
	}
	e.weights.maxFence = max(e.weights.maxFence, o.Fence)
	if e.weights.loading == o.Version || (e.weights.loading == 0 && e.weights.version == o.Version) {
		entry.Outcome = present
		e.history.Loads = append(e.history.Loads, entry)
		return e.weightStatus(), true
	}
	if e.weights.loading != 0 {
		e.history.Loads[e.weights.loadIndex].Outcome = replaced
		e.weights.loading = 0
	}
	e.history.Loads = append(e.history.Loads, entry)
	e.weights.loadIndex = len(e.history.Loads) - 1
	if e.weights.version == o.Version {
		e.history.Loads[e.weights.loadIndex].Outcome = present
		return e.weightStatus(), true
	}
	e.weights.loading = o.Version
	go e.performLoad(o.Version, e.weights.loadIndex, e.crashed)
	return e.weightStatus(), true
}

// performLoad performs a load and activates the version, unless the load fails or is replaced or the engine crashes.
func (e *Engine) performLoad(version int64, index int, crash <-chan struct{}) {
	err := e.fetch(version, crash)
	t := time.NewTimer(e.config.LoadTime)
	defer t.Stop()
	select {
	case <-crash:
		return
	case <-t.C:
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.weights.loading != version || e.weights.loadIndex != index || e.history.Loads[index].Outcome != loading {
		return
	}
	e.weights.loading = 0
	if err != nil || e.failingLoads > 0 {
		e.failingLoads = max(0, e.failingLoads-1)
		e.history.Loads[index].Outcome = failed
		return
	}
	e.history.Loads[index].Outcome = loaded
	e.weights.version = version
}

// fetch downloads the weights from the weight store and discards them; a crash aborts it.
func (e *Engine) fetch(version int64, crash <-chan struct{}) error {
	if e.config.WeightStoreURL == "" {
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
	url := fmt.Sprintf("%s/weights/%s/%d", e.config.WeightStoreURL, e.config.Model, version)
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
		return fmt.Errorf("engine: weight store responded with status %d", a.StatusCode)
	}
	return nil
}
