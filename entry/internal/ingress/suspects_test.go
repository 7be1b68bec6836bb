package ingress

import (
	"fmt"
	"testing"
	"time"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/wire"
)

// crashLimit is the number of early crashes after which a request is blocked.
const crashLimit = blockWeight / earlyWeight

// crashedRun returns a run that a server broke before it answered; servers with different numbers are different ones.
func crashedRun(server int, now time.Time) run {
	return run{server: catalog.Server{ID: fmt.Sprint("i", server)}, startedAt: now, endedAt: now}
}

// lateRun returns a run that a server broke long after it had begun to answer.
func lateRun(server int, now time.Time) run {
	r := crashedRun(server, now)
	r.startedAt, r.headAt = now.Add(-2*earlyCrash), now.Add(-earlyCrash)
	return r
}

// blocks reports whether requests that arrive are refused.
func blocks(s *Suspects, fingerprint uint64, now time.Time) bool {
	_, ok := admitted(s, fingerprint, now)
	return !ok
}

// admitted reports whether a request that may take a second may be sent to a server, and otherwise when it may come back.
func admitted(s *Suspects, fingerprint uint64, now time.Time) (time.Duration, bool) {
	a := s.admit(fingerprint, time.Second, now)
	return a.wait, a.verdict == passes || a.verdict == isTrial
}

// connected returns the sets of suspects of entries that report to each other.
func connected(n int, now time.Time) []*Suspects {
	var all []*Suspects
	for i := range n {
		all = append(all, NewSuspects(func(c wire.Crash) {
			for j, s := range all {
				if j != i {
					s.ApplyRemote(c, now)
				}
			}
		}))
	}
	return all
}

// Guards against a request that crashes three servers through each of several entries, or through one that has just started,
// and against a request that is blocked at all entries because some servers reset part of all connections.
func TestSuspectsOfSeveralEntries(t *testing.T) {
	now := time.Now()
	all := connected(4, now)
	const poison, common = 1, 2
	for i := range crashLimit {
		if blocks(all[i], poison, now) {
			t.Fatalf("blocked after %d crashes", i)
		}
		all[i].RecordCrash(poison, crashedRun(i, now), now)
	}
	for i, s := range all {
		if !blocks(s, poison, now) {
			t.Errorf("entry %d does not block the request", i)
		}
		if blocks(s, poison, now.Add(minBlock+time.Second)) {
			t.Errorf("entry %d still blocks the request after the time", i)
		}
	}
	started := NewSuspects(func(wire.Crash) {})
	teller := NewSuspects(func(c wire.Crash) { started.ApplyRemote(c, now) })
	for i := range crashLimit {
		teller.addCrash(wire.Crash{Print: poison, Server: fmt.Sprint("i", i), Early: true}, now, now.Add(-time.Second))
	}
	for range 2 { // each other entry reports the same crashes
		teller.SendSnapshot(now)
	}
	if wait, ok := admitted(started, poison, now); ok || wait > minBlock-time.Second {
		t.Errorf("an entry that has just started blocks the request for %v", wait)
	}
	for i := range 20 {
		all[i%4].RecordCrash(common, crashedRun(i, now), now)
		all[(i+1)%4].RecordResponse(common)
		for _, s := range all {
			if blocks(s, common, now) {
				t.Fatal("a request to which servers respond is blocked")
			}
		}
	}
}

// Guards against sound requests that are blocked because servers crashed beside them, and against requests that crash servers
// and are not.
func TestWhatBlocksARequest(t *testing.T) {
	const print = 1
	start := time.Now()
	for _, c := range []struct {
		name    string
		crashes func(s *Suspects)
		blocked bool
	}{
		{"three servers", func(s *Suspects) {
			for i := range 3 {
				s.RecordCrash(print, crashedRun(i, start), start)
			}
		}, true},
		{"two servers", func(s *Suspects) {
			for i := range 2 {
				s.RecordCrash(print, crashedRun(i, start), start)
			}
		}, false},
		{"two servers, many equal requests at once", func(s *Suspects) {
			for i := range 2 {
				for range 20 {
					s.RecordCrash(print, crashedRun(i, start.Add(-time.Millisecond)), start)
				}
			}
		}, false},
		{"one server that starts again under its id", func(s *Suspects) {
			for i := range 3 {
				at := start.Add(time.Duration(i) * time.Minute)
				s.RecordCrash(print, crashedRun(1, at), at)
			}
		}, true},
		{"long run, five servers", func(s *Suspects) {
			for i := range 5 {
				s.RecordCrash(print, lateRun(i, start), start)
			}
		}, false},
		{"long run, six servers", func(s *Suspects) {
			for i := range 6 {
				s.RecordCrash(print, lateRun(i, start), start)
			}
		}, true},
		{"servers reset connections and go on", func(s *Suspects) {
			for i := range 10 {
				s.RecordCrash(print, crashedRun(i, start), start)
				s.RecordAnswer(crashedRun(i, start).server, start.Add(time.Millisecond), start.Add(aliveTime/2))
			}
		}, false},
		{"servers answer what they got before", func(s *Suspects) {
			for i := range 3 {
				s.RecordCrash(print, crashedRun(i, start), start)
				s.RecordAnswer(crashedRun(i, start).server, start.Add(-time.Millisecond), start.Add(time.Millisecond))
			}
		}, true},
		{"servers answer once they are back under their id", func(s *Suspects) {
			for i := range 3 {
				s.RecordCrash(print, crashedRun(i, start), start)
				s.RecordAnswer(crashedRun(i, start).server, start.Add(3*time.Second), start.Add(3*time.Second))
			}
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := NewSuspects(func(wire.Crash) {})
			c.crashes(s)
			if got := s.Blocked(print, start); got != c.blocked {
				t.Errorf("blocked: %t, want %t", got, c.blocked)
			}
			if got := blocks(s, print, start); got != c.blocked {
				t.Errorf("refused: %t, want %t", got, c.blocked)
			}
		})
	}
}

// Guards against a request that crashes servers again each time a fixed period has passed, and against a sound one that is
// never tried again.
func TestBlockedRequestIsTriedSeldom(t *testing.T) {
	const print = 1
	now := time.Now()
	start := now
	s := NewSuspects(func(wire.Crash) {})
	for i := range crashLimit {
		s.RecordCrash(print, crashedRun(i, now), now)
	}
	trials := 0
	for ; now.Sub(start) < 24*time.Hour; now = now.Add(2 * time.Second) {
		wait, ok := admitted(s, print, now)
		if !ok {
			if wait <= 0 {
				t.Fatalf("refused without a time to come back after %v", now.Sub(start))
			}
			continue
		}
		if !blocks(s, print, now) {
			t.Errorf("two trials at once after %v", now.Sub(start))
		}
		trials++
		now = now.Add(time.Second)
		s.RecordCrash(print, run{server: catalog.Server{ID: fmt.Sprint("t", trials)}, startedAt: now.Add(-time.Second), endedAt: now}, now)
	}
	if trials < 1 || trials > 3 {
		t.Errorf("%d trials in a day, want 1 to 3", trials)
	}
	s.RecordResponse(print)
	if blocks(s, print, now) {
		t.Error("blocked after a complete response")
	}
}

// Guards against a sound request that is blocked for long because many servers that ran it died at once.
func TestMassOfCrashesBlocksShortly(t *testing.T) {
	const print = 1
	now := time.Now()
	all := connected(2, now)
	for i := range 2 * maxCrashes {
		all[0].RecordCrash(print, crashedRun(i, now), now)
	}
	for i, s := range all {
		if wait, ok := admitted(s, print, now); ok || wait > minBlock {
			t.Errorf("entry %d blocks the request for %v, want at most %v", i, wait, minBlock)
		}
		if _, ok := admitted(s, print, now.Add(minBlock)); !ok {
			t.Errorf("entry %d does not try the request again", i)
		}
	}
}

// Guards against memory that grows with the number of suspected requests.
func TestSuspectsAreBounded(t *testing.T) {
	s := NewSuspects(func(wire.Crash) {})
	now := time.Now()
	for i := range maxSuspects + 10 {
		now = now.Add(time.Millisecond)
		s.RecordCrash(uint64(i), crashedRun(i, now), now)
	}
	if len(s.seen) > maxSuspects {
		t.Errorf("%d requests are tracked", len(s.seen))
	}
	if s.seen[0] != nil || s.seen[maxSuspects+9] == nil {
		t.Error("not the oldest requests were dropped")
	}
	if l := s.snapshot(now); len(l) != maxSnapshot || l[0].Print != maxSuspects+9 {
		t.Errorf("an entry that has just started gets %d crashes, the first of request %d", len(l), l[0].Print)
	}
}
