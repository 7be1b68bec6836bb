package ratelimit

import (
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushspoke/internal/call"
)

var start = time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func limiter() *Limiter { return New(slog.New(slog.DiscardHandler)) }

func stated(rate float64) call.Limit { return call.Limit{Stated: true, Rate: rate} }

// delivery is a report on its way to a sender.
type delivery struct {
	due    time.Time
	to     int
	report Report
}

// press sends requests from several senders, each with more demand than the limit, for the given time. Reports arrive after
// delay, and none between senders of different groups. It returns when the server got its requests.
func press(senders, groups int, rate float64, delay, length time.Duration, seed uint64) []time.Time {
	random := rand.New(rand.NewPCG(seed, 1))
	all := make([]*Limiter, senders)
	for i := range all {
		all[i] = limiter()
		if groups > 1 {
			all[i].SetShare(func(time.Time) float64 { return 1 / float64(groups) })
		}
		all[i].Record("s", stated(rate), start, start)
	}
	var sent []time.Time
	var flying []delivery
	const tick = 2 * time.Millisecond
	demand := 20 * rate / float64(senders) * tick.Seconds() // requests of a sender in a tick
	for now := start; now.Before(start.Add(length)); now = now.Add(tick) {
		for len(flying) > 0 && !now.Before(flying[0].due) {
			all[flying[0].to].Apply(flying[0].report, now)
			flying = flying[1:]
		}
		for i, l := range all {
			if random.Float64() > demand {
				continue
			}
			if !l.Allows("s", Live, 0, now) {
				l.Reject("s", time.Second, now)
				continue
			}
			l.Take("s", Live, now)
			sent = append(sent, now)
			for _, r := range l.TakeReports() {
				for k := range all {
					if k != i && k%groups == i%groups {
						flying = append(flying, delivery{due: now.Add(delay), to: k, report: r})
					}
				}
			}
		}
	}
	return sent
}

// most returns the largest number of requests in a window.
func most(sent []time.Time, window time.Duration) int {
	n, first := 0, 0
	for i, t := range sent {
		for t.Sub(sent[first]) >= window {
			first++
		}
		n = max(n, i-first+1)
	}
	return n
}

// Guards against senders that together exceed a limit, also if some cannot hear each other, and against a limit that is not
// used.
func TestSendersTogetherStayWithinLimit(t *testing.T) {
	for _, tc := range []struct {
		senders, groups int
		rate            float64
	}{{1, 1, 1.3}, {4, 1, 1.3}, {4, 1, 4}, {4, 2, 2}, {20, 1, 1.3}, {20, 1, 2}, {20, 1, 50}, {20, 2, 4}, {20, 4, 10}} {
		for seed := range uint64(5) {
			name := fmt.Sprintf("%d senders in %d groups, %.1f a second, seed %d", tc.senders, tc.groups, tc.rate, seed)
			const length = 60 * time.Second
			sent := press(tc.senders, tc.groups, tc.rate, 25*time.Millisecond, length, seed)
			allowed := 1.5*tc.rate*4 + 5
			if got := most(sent, 4*time.Second); float64(got) > allowed {
				t.Errorf("%s: %d requests in 4 s, allowed are %.1f", name, got, allowed)
			}
			if mean := float64(len(sent)) / length.Seconds(); mean > 1.1*tc.rate || mean < 0.8*tc.rate {
				t.Errorf("%s: %.2f requests a second", name, mean)
			}
		}
	}
}

// Guards against a limit that outlasts the server's statement or its incarnation, or that an answer ends which is older than
// the statement, or that is restored by a report from before its end.
func TestLimitHoldsAsLongAsStated(t *testing.T) {
	l := limiter()
	full := func(now float64) bool { return !l.Allows("s", Live, 0, at(now)) }
	l.Record("s", stated(1), at(0), at(0.1))
	if !full(0.2) {
		t.Error("requests are allowed right after the limit became known")
	}
	l.Record("s", call.Limit{}, at(0.05), at(0.3))
	if !full(0.3) {
		t.Error("the answer to an earlier request ended the limit")
	}
	l.Record("s", call.Limit{}, at(0.4), at(0.5))
	if full(0.5) {
		t.Error("the limit holds though the server states none any more")
	}
	l.Apply(Report{Server: "s", Rate: 1, Sent: 1}, at(0.6))
	if full(0.6) {
		t.Error("a report from before the end restored the limit")
	}
	l.Apply(Report{Server: "s", Rate: 1, Fresh: true}, at(0.7))
	if !full(0.7) {
		t.Error("a new statement reported by another sender is ignored")
	}
	l.Apply(Report{Server: "s", Ended: true}, at(0.8))
	if full(0.8) {
		t.Error("the end reported by another sender is ignored")
	}
	l.Record("s", stated(1), at(0.9), at(1))
	l.Forget("s")
	if full(1) || l.Limited() != 0 {
		t.Error("the limit outlasts the server")
	}
}

// Guards against values that lift a known limit, block a server for good or overflow.
func TestUnusualValues(t *testing.T) {
	l := limiter()
	l.Record("s", stated(2), at(0), at(0))
	l.Record("s", call.Limit{Stated: true, Invalid: true}, at(0.1), at(0.2))
	if l.Allows("s", Live, 0, at(0.2)) {
		t.Error("an invalid value lifted the limit")
	}
	for _, r := range []Report{
		{Server: "s", Rate: -1},
		{Server: "s", Rate: math.NaN()},
		{Server: "s", Rate: math.Inf(1)},
		{Server: "s", Rate: 2, Sent: -5},
		{Server: "s", Rate: 2, Level: math.NaN()},
		{Server: "s", Rate: 2, Level: math.Inf(1)},
	} {
		l.Apply(r, at(0.2))
	}
	if wait, limited := l.Delay("s", at(0.2)); !limited || wait > time.Second {
		t.Errorf("after invalid reports the next request waits %s (limited: %t)", wait, limited)
	}
	l.Apply(Report{Server: "s", Rate: 2, Sent: math.MaxInt, Promised: math.MaxInt, Level: 1e300}, at(0.2))
	if !l.Allows("s", Live, 0, at(0.2).Add(maxDebt)) {
		t.Error("an absurd report blocks the server for longer than the longest debt")
	}
	l.Record("z", stated(0), at(0), at(0))
	if l.Allows("z", Live, 0, at(1)) {
		t.Error("a limit of 0 allows a request at once")
	}
	if !l.Allows("z", Live, 0, at(1/minRate+0.1)) {
		t.Error("a limit of 0 never allows a request that could show its end")
	}
	l.Record("a", stated(1e30), at(0), at(0))
	if !l.Allows("a", Live, 0, at(0)) {
		t.Error("a limit without effect rejects requests")
	}
}

// Guards against rejected requests that are told to come back all at once or before their turn, and against background
// requests that take their places.
func TestRejectedRequestsReturnInOrder(t *testing.T) {
	l := limiter()
	l.Record("s", stated(1), at(0), at(0))
	var waits []float64
	for range 3 {
		waits = append(waits, l.Reject("s", 5*time.Second, at(0)).Seconds())
	}
	if d := cmp.Diff([]float64{1, 2, 3}, waits); d != "" {
		t.Errorf("seconds until the rejected requests may return (-want +got):\n%s", d)
	}
	if l.Allows("s", Background, 0, at(1)) {
		t.Error("a background request takes the place of a rejected one")
	}
	for i := range 3 {
		if now := at(float64(i + 1)); !l.Allows("s", Live, 0, now) {
			t.Errorf("the rejected request %d finds no place when it returns", i+1)
		} else {
			l.Take("s", Live, now)
		}
	}
	if !l.Allows("s", Background, 0, at(4)) || l.Allows("s", Optional, 0, at(4)) {
		t.Error("want a background request and no optional one in a free place")
	}
}

// Guards against rejected requests that never return and keep their places for ever.
func TestPromisesExpire(t *testing.T) {
	l := limiter()
	l.Record("s", stated(1), at(0), at(0))
	for range 3 {
		l.Reject("s", 5*time.Second, at(0))
	}
	if wait := l.Reject("s", time.Second, at(0)); wait != 4*time.Second {
		t.Errorf("a request that cannot return in time is told %s, want 4s", wait)
	}
	if !l.Allows("s", Background, 0, at(4.1)) {
		t.Error("places are kept for requests that have not returned or cannot return in time")
	}
}
