package batch

import (
	"sync"
	"time"

	"bulrushspoke/internal/job"
	"bulrushspoke/platform"
	"bulrushspoke/wire"
)

const (
	// textRetention is how long the text of an unlisted item is cached for a later job of its trainer.
	textRetention = 30 * time.Second
	// maxTextCacheBytes bounds the cached texts.
	maxTextCacheBytes = 4 << 20
)

func lengthHint(it job.Item) int { return platform.Headers{}.Hint(it.Header) }

// textCache holds the texts of items that were not listed when their job ended: trainers may submit these items again
// in a later job.
type textCache struct {
	mu    sync.Mutex
	parts map[textKey]cachedText
	size  int
}

// textKey identifies an item; its id is chosen by the trainer, so each workspace has ids of its own.
type textKey struct {
	workspace string
	item      string
}

type cachedText struct {
	part wire.JobPart
	size int
	at   time.Time
}

func newTextCache() *textCache { return &textCache{parts: make(map[textKey]cachedText)} }

func (t *textCache) put(workspace string, p wire.JobPart, now time.Time) {
	size := 0
	for _, d := range p.Data {
		size += len(d)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, k := range t.parts {
		if now.Sub(k.at) > textRetention {
			t.size -= k.size
			delete(t.parts, id)
		}
	}
	if t.size+size > maxTextCacheBytes {
		return
	}
	key := textKey{workspace: workspace, item: p.Item}
	t.size += size - t.parts[key].size
	t.parts[key] = cachedText{part: p, size: size, at: now}
}

func (t *textCache) get(workspace, item string) (wire.JobPart, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k, ok := t.parts[textKey{workspace: workspace, item: item}]
	return k.part, ok
}
