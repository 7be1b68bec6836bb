package batch

import (
	"sync"
	"time"

	"bulrushspoke/internal/job"
	"bulrushspoke/platform"
	"bulrushspoke/wire"
)

const (
	// textTime is how long the text of an item that was not listed is kept for a later job of its trainer.
	textTime = 30 * time.Second
	// textMost bounds the kept texts in bytes.
	textMost = 4 << 20
)

func hint(it job.Item) int { return platform.Headers{}.Hint(it.Header) }

// texts keeps what exists of items that were not listed when their job ended: the same items may come again in a later
// job.
type texts struct {
	mu    sync.Mutex
	parts map[string]kept
	size  int
}

type kept struct {
	part wire.JobPart
	size int
	at   time.Time
}

func newTexts() *texts { return &texts{parts: make(map[string]kept)} }

func (t *texts) put(p wire.JobPart, now time.Time) {
	size := 0
	for _, d := range p.Data {
		size += len(d)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, k := range t.parts {
		if now.Sub(k.at) > textTime {
			t.size -= k.size
			delete(t.parts, id)
		}
	}
	if t.size+size > textMost {
		return
	}
	t.size += size - t.parts[p.Item].size
	t.parts[p.Item] = kept{part: p, size: size, at: now}
}

func (t *texts) get(item string) (wire.JobPart, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k, ok := t.parts[item]
	return k.part, ok
}
