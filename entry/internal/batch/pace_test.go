package batch

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"bulrushspoke/standin/objects"
)

// simulateReaders simulates, in virtual time, clients that read whole jobs from one instance at once, page by page over
// its link. Pages queue on the link; a client gives a page up after patience, as the platform's clients do, and
// requests it again. It returns how many clients have read their job at the end, and the number of pages given up.
func simulateReaders(n, job int, link float64, most func(now time.Time) int, sent func(size int, now time.Time)) (whole, late int) {
	const (
		patience = 1500 * time.Millisecond
		length   = 10 * time.Second
	)
	now := time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)
	end := now.Add(length)
	free := now // when the link has sent all queued pages
	got := make([]int, n)
	next := make([]time.Time, n)
	for i := range next {
		next[i] = now
	}
	for {
		first := -1
		for i := range next {
			if got[i] < job && (first < 0 || next[i].Before(next[first])) {
				first = i
			}
		}
		if first < 0 || next[first].After(end) {
			break
		}
		now = next[first]
		size := min(most(now), job-got[first])
		sent(size, now)
		if free.Before(now) {
			free = now
		}
		free = free.Add(time.Duration(float64(size) / link * float64(time.Second)))
		if free.Sub(now) > patience {
			late++
			next[first] = now.Add(patience)
			continue
		}
		got[first] += size
		next[first] = free
	}
	for i := range got {
		if got[i] >= job {
			whole++
		}
	}
	return whole, late
}

// Simulates forty clients that read ended jobs of 1.3 MB from one instance with a link of 60 Mbit/s, within the ten
// seconds in which the platform reads them at the end of a day. The baseline returns a page of full size for each read.
func TestSmallPagesReachAllReaders(t *testing.T) {
	const (
		n    = 40
		job  = 1300 << 10
		link = 60e6 / 8
	)
	base, baseLate := simulateReaders(n, job, link, func(time.Time) int { return maxPageBytes }, func(int, time.Time) {})
	p := newPageLimiter(link)
	whole, late := simulateReaders(n, job, link, p.maxBytes, p.add)
	t.Logf("%d of %d readers have their job and %d pages came late, by the baseline %d and %d", whole, n, late, base, baseLate)
	if whole < n || late > 0 || baseLate == 0 {
		t.Errorf("%d of %d readers have their job and %d pages came late, by the baseline %d and %d", whole, n, late, base, baseLate)
	}
}

// Guards against small pages for a single client: a trainer reads twice a second.
func TestLoneReaderGetsLargePages(t *testing.T) {
	p := newPageLimiter(60e6 / 8)
	now := time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)
	for range 10 {
		if got := p.maxBytes(now); got < maxPageBytes {
			t.Fatalf("page limit of %d bytes, want maxPageBytes", got)
		}
		p.add(300<<10, now)
		now = now.Add(500 * time.Millisecond)
	}
}

// Guards against a job that can never be read, because each client times out before the job is loaded and the next read
// starts loading again.
func TestLoadingOutlivesReader(t *testing.T) {
	e := newEngine(t, 1)
	r := newRig(t, e)
	m, crash := r.manager("a", "a1")
	var ids []string
	for i := range 20 {
		ids = append(ids, fmt.Sprintf("g%d-2", i))
	}
	r.submit(m, "j", payload(1, ids...))
	want := r.collect(m, "j", len(ids))
	if reply := m.End(t.Context(), nobody, "j"); reply.Status != http.StatusOK {
		t.Fatal(reply)
	}
	crash()
	r.cut("a", true)
	other, _ := r.manager("b", "b1")
	r.store.SetFault(objects.Fault{CallDelay: 150 * time.Millisecond})
	for tries := 0; ; tries++ {
		if tries == 20 {
			t.Fatal("the job is not loaded after 20 reads")
		}
		ctx, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond)
		reply := other.Results(ctx, nobody, "j", 0, 0)
		cancel()
		if reply.Status == http.StatusOK {
			break
		}
	}
	checkTexts(t, r.collect(other, "j", len(ids)), ids...)
	if len(want) != len(ids) {
		t.Errorf("%d results", len(want))
	}
	if reply := other.Body(t.Context(), nobody, "j", ids[0]); string(reply.Body) != "body of "+ids[0] {
		t.Errorf("body is %d %q", reply.Status, reply.Body)
	}
}
