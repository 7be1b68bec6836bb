package ingress

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/link"
	"bulrushspoke/wire"
)

// trialMesh connects the trials of several entries in one process.
type trialMesh struct {
	mu     sync.Mutex
	trials map[string]*Trials
	cut    bool // no entry reaches another one
}

type trialMember struct {
	*trialMesh
	name string
}

func (m trialMember) Connected() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var l []string
	for name := range m.trials {
		if name != m.name {
			l = append(l, name)
		}
	}
	return l
}

func (m trialMember) get(name string) *Trials {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cut {
		return nil
	}
	return m.trials[name]
}

func (m trialMember) Request(_ context.Context, name, kind string, body, answer any) error {
	t := m.get(name)
	if t == nil || kind != link.Trial {
		return errors.New("cut off")
	}
	*answer.(*wire.TrialReply) = t.Handle(body.(wire.Trial), time.Now())
	return nil
}

func (m trialMember) Broadcast(_ string, body any) {
	for _, name := range m.Connected() {
		if t := m.get(name); t != nil {
			t.Handle(body.(wire.Trial), time.Now())
		}
	}
}

// afterBlock returns the trials of n entries that know a request whose first block has just ended.
func afterBlock(n int, print uint64) (*trialMesh, []*Trials) {
	mesh := &trialMesh{trials: make(map[string]*Trials)}
	now := time.Now()
	sets := connected(n, now)
	var all []*Trials
	for i, s := range sets {
		for server := range crashLimit {
			s.addCrash(wire.Crash{Print: print, Server: fmt.Sprint("i", server), Early: true}, now.Add(-2*minBlock), now.Add(-2*minBlock))
		}
		name := fmt.Sprint("e", i)
		t := NewTrials(name, trialMember{mesh, name}, s, slog.New(slog.DiscardHandler))
		mesh.trials[name] = t
		all = append(all, t)
	}
	return mesh, all
}

// trialResult is what an entry has decided about a request.
type trialResult struct {
	entry *Trials
	permit
	wait time.Duration
	ok   bool
}

// admitAll asks all entries at once about a request that has ten seconds left.
func admitAll(ctx context.Context, all []*Trials, print uint64) <-chan trialResult {
	results := make(chan trialResult, len(all))
	for _, t := range all {
		go func() {
			r := trialResult{entry: t}
			r.permit, r.wait, r.ok = t.admit(ctx, print, 10*time.Second, time.Now())
			results <- r
		}()
	}
	return results
}

func nextResult(t *testing.T, results <-chan trialResult) trialResult {
	t.Helper()
	select {
	case r := <-results:
		return r
	case <-time.After(4 * time.Second):
		t.Fatal("no entry decides")
		return trialResult{}
	}
}

// Guards against a request that crashes its servers and is tried by several entries at once (review/13), or by one of them
// again while its first trial runs, and against a sound one that is refused while it is tried.
func TestOneTrialAtATime(t *testing.T) {
	const print, entries = 1, 4
	for _, c := range []struct {
		name   string
		settle func(r trialResult)
		served int  // of the other entries
		block  bool // the others are refused until the next trial
	}{
		{"the server crashes", func(r trialResult) {
			now := time.Now()
			r.entry.suspects.RecordCrash(print, run{server: catalog.Server{ID: "t"}, startedAt: now.Add(-time.Second), endedAt: now}, now)
		}, 0, true},
		{"the server answers", func(r trialResult) { r.entry.suspects.RecordResponse(print) }, entries - 1, false},
		{"no outcome", func(trialResult) {}, entries - 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			_, all := afterBlock(entries, print)
			results := admitAll(t.Context(), all, print)
			first := nextResult(t, results)
			if !first.ok {
				t.Fatal("no entry tries the request")
			}
			if p, _, ok := first.entry.admit(t.Context(), print, 100*time.Millisecond, time.Now()); ok {
				p.end()
				t.Error("the entry tries the request twice at once")
			}
			select {
			case <-results:
				t.Fatal("another entry has decided before the end of the trial")
			case <-time.After(100 * time.Millisecond):
			}
			c.settle(first)
			first.end()
			served := 0
			for range entries - 1 {
				r := nextResult(t, results)
				if !r.waited {
					t.Error("an entry has not waited for the trial")
				}
				if r.ok {
					served++
					r.end()
				} else if c.block && r.wait < minBlock {
					t.Errorf("an entry refuses the request for %v", r.wait)
				}
			}
			if served != c.served {
				t.Errorf("%d other entries send the request, want %d", served, c.served)
			}
		})
	}
}

// Guards against trials that wait for a client that has left, for longer than the request has time, for an entry that is gone,
// or for a trial whose end is never told.
func TestTrialsDoNotWaitForGood(t *testing.T) {
	const print = 1
	t.Run("client left", func(t *testing.T) {
		_, all := afterBlock(2, print)
		ctx, leave := context.WithCancel(t.Context())
		results := admitAll(ctx, all, print)
		if !nextResult(t, results).ok {
			t.Fatal("no entry tries the request")
		}
		leave()
		if nextResult(t, results).ok {
			t.Error("a request without a client is tried")
		}
	})
	t.Run("no time left", func(t *testing.T) {
		_, all := afterBlock(2, print)
		if _, _, ok := all[0].admit(t.Context(), print, time.Minute, time.Now()); !ok {
			t.Fatal("no entry tries the request")
		}
		if _, wait, ok := all[1].admit(t.Context(), print, 50*time.Millisecond, time.Now()); ok || wait <= 0 {
			t.Errorf("the request is admitted: %t, or may come back after %v", ok, wait)
		}
	})
	t.Run("entries out of reach", func(t *testing.T) {
		mesh, all := afterBlock(2, print)
		mesh.cut = true
		for _, a := range all {
			if _, _, ok := a.admit(t.Context(), print, time.Second, time.Now()); !ok {
				t.Error("the request is not tried")
			}
		}
	})
	t.Run("end not told", func(t *testing.T) {
		_, all := afterBlock(2, print)
		if _, _, ok := all[0].admit(t.Context(), print, 200*time.Millisecond, time.Now()); !ok {
			t.Fatal("no entry tries the request")
		}
		time.Sleep(250 * time.Millisecond)
		if _, _, ok := all[1].admit(t.Context(), print, 2*time.Second, time.Now()); !ok {
			t.Error("the request is not tried after the first trial is over")
		}
	})
}
