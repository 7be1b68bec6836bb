package batch

import (
	"sync"
	"time"
)

const (
	// maxPage bounds the text in one page of results in bytes; the platform allows 1 MB in all.
	maxPage = 900 << 10
	// leastPage is the bound while the instance's link is busy. Readers of ended jobs go on from page to page, and give
	// each 1.5 s.
	leastPage = 96 << 10
	// linkShare is the part of the instance's link that pages may take before they get smaller.
	linkShare = 0.5
	// usualLink is assumed for an instance whose link is not told, in bytes a second.
	usualLink = 60e6 / 8
)

// pacer decides how large pages of results may be. It is safe for concurrent use.
//
// It answers a load in which many readers want whole ended jobs at once, and one instance holds them all: full pages would
// stand in line at its link until their readers have given up, where small ones reach all of them.
type pacer struct {
	rate float64 // bytes a second

	mu    sync.Mutex
	level float64 // bytes of pages that are on their way
	at    time.Time
}

// newPacer returns a pacer for a link of the given bytes a second, 0 if unknown.
func newPacer(link float64) *pacer {
	if link <= 0 {
		link = usualLink
	}
	return &pacer{rate: linkShare * link}
}

// most returns how many bytes of text the next page may hold.
func (p *pacer) most(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drain(now)
	return max(maxPage-int(p.level), leastPage)
}

// sent notes a page.
func (p *pacer) sent(size int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drain(now)
	p.level += float64(size)
}

// drain takes off what has been sent meanwhile; the caller holds mu.
func (p *pacer) drain(now time.Time) {
	if gone := now.Sub(p.at).Seconds() * p.rate; gone > 0 {
		p.level = max(p.level-gone, 0)
	}
	p.at = now
}
