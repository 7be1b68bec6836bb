package batch

import (
	"sync"
	"time"
)

const (
	// maxPageBytes bounds the text in one page of results; the platform allows responses of 1 MB in all.
	maxPageBytes = 900 << 10
	// minPageBytes is the bound while the link of the instance is saturated. Clients that read ended jobs request page
	// after page, and give up on each after 1.5 s.
	minPageBytes = 96 << 10
	// pageLinkShare is the share of the link that pages may use before they get smaller.
	pageLinkShare = 0.5
	// defaultLinkRate is assumed for instances of unknown bandwidth, in bytes per second.
	defaultLinkRate = 60e6 / 8
)

// pageLimiter decides how large pages of results may be. It is safe for concurrent use.
//
// When many clients read whole ended jobs from one instance at once, full pages would queue on its link until the
// clients have timed out. Small pages reach all of them.
type pageLimiter struct {
	rate float64 // at which pages are sent, in bytes per second

	mu        sync.Mutex
	pending   float64 // estimated bytes of pages that are not sent yet
	updatedAt time.Time
}

// newPageLimiter returns a pageLimiter for a link of the given bandwidth in bytes per second, 0 if unknown.
func newPageLimiter(link float64) *pageLimiter {
	if link <= 0 {
		link = defaultLinkRate
	}
	return &pageLimiter{rate: pageLinkShare * link}
}

// maxBytes returns how many bytes of text the next page may hold.
func (p *pageLimiter) maxBytes(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drain(now)
	return max(maxPageBytes-int(p.pending), minPageBytes)
}

// add counts a page as being sent.
func (p *pageLimiter) add(size int, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drain(now)
	p.pending += float64(size)
}

// drain subtracts what has been sent since the last update; the caller holds mu.
func (p *pageLimiter) drain(now time.Time) {
	if drained := now.Sub(p.updatedAt).Seconds() * p.rate; drained > 0 {
		p.pending = max(p.pending-drained, 0)
	}
	p.updatedAt = now
}
