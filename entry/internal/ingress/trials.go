package ingress

import (
	"context"
	"log/slog"
	"maps"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushspoke/internal/event"
	"bulrushspoke/internal/link"
	"bulrushspoke/wire"
)

const (
	// claimTimeout bounds the question to another entry whether a trial may begin.
	claimTimeout = 300 * time.Millisecond
	// waitShare is the share of the time of a request for which it waits for the end of a trial, which leaves time to run it.
	waitShare = 0.5
	// retryTrial is the retry time of a request that has waited for a trial in vain.
	retryTrial = time.Second
)

// TrialPeers connects to the other entries.
type TrialPeers interface {
	Request(ctx context.Context, name, kind string, body, answer any) error
	Broadcast(kind string, body any)
	Connected() []string
}

// noPeers is used by an entry without others.
type noPeers struct{}

func (noPeers) Request(context.Context, string, string, any, any) error { return nil }
func (noPeers) Broadcast(string, any)                                   {}
func (noPeers) Connected() []string                                     { return nil }

// Trials has a request that has been blocked tried by one entry at a time once its block is over.
//
// Entries ask the one that a hash of the request picks among them. While they disagree on who is connected, or cannot reach
// that one, several of them may try it.
type Trials struct {
	name     string
	peers    TrialPeers
	suspects *Suspects
	logger   *slog.Logger

	mu      sync.Mutex
	granted map[uint64]time.Time // by request: when the trial ends at the latest
}

// NewTrials returns the trials of the entry with the given name.
func NewTrials(name string, peers TrialPeers, s *Suspects, logger *slog.Logger) *Trials {
	return &Trials{name: name, peers: peers, suspects: s, logger: logger, granted: make(map[uint64]time.Time)}
}

// permit allows a request to be sent to servers.
type permit struct {
	end    func() // to be called after the last attempt
	waited bool   // the request has waited for the end of a trial
}

// admit reports whether a request with the given time left may be sent to a server. If not, the client may come back after the
// returned time. It waits for the outcome of a trial elsewhere.
func (t *Trials) admit(
	ctx context.Context, fingerprint uint64, left time.Duration, now time.Time,
) (p permit, retryAfter time.Duration, ok bool) {
	deadline := now.Add(time.Duration(waitShare * float64(left)))
	for {
		a := t.suspects.admit(fingerprint, left, now)
		switch a.verdict {
		case passes:
			p.end = func() {}
			return p, 0, true
		case blocked:
			return p, a.wait, false
		case isTrial:
			if t.claim(ctx, fingerprint, left, now) {
				p.end = func() { t.end(fingerprint) }
				return p, 0, true
			}
			a.wait = left
		}
		p.waited = true
		timer := time.NewTimer(min(a.wait, deadline.Sub(now)))
		select {
		case <-a.settled:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if now = time.Now(); ctx.Err() != nil || !now.Before(deadline) {
			return p, retryTrial, false
		}
	}
}

// claim asks for the permission to try a request for up to the given time.
func (t *Trials) claim(ctx context.Context, fingerprint uint64, most time.Duration, now time.Time) bool {
	name := t.arbiter(fingerprint)
	if name == t.name {
		return t.grant(fingerprint, most, now)
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var r wire.TrialReply
	if err := t.peers.Request(ctx, name, link.Trial, wire.Trial{Print: fingerprint, Most: most.Milliseconds()}, &r); err != nil {
		event.TrialUnclaimed.Log(t.logger, "peer", name, "cause", err.Error())
		return t.grant(fingerprint, most, now)
	}
	return r.Granted
}

// arbiter returns the entry that permits the trials of a request.
func (t *Trials) arbiter(fingerprint uint64) string {
	weight := func(name string) uint64 { return xxhash.Sum64String(strconv.FormatUint(fingerprint, 16) + " " + name) }
	best := t.name
	for _, name := range t.peers.Connected() {
		if weight(name) > weight(best) {
			best = name
		}
	}
	return best
}

// grant permits a trial unless another one is running.
func (t *Trials) grant(fingerprint uint64, most time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.granted, func(_ uint64, until time.Time) bool { return !now.Before(until) })
	if _, ok := t.granted[fingerprint]; ok || len(t.granted) >= maxSuspects {
		return false
	}
	t.granted[fingerprint] = now.Add(most)
	return true
}

// end ends a trial of this entry.
func (t *Trials) end(fingerprint uint64) {
	t.revoke(fingerprint)
	t.suspects.EndTrial(fingerprint)
	t.peers.Broadcast(link.Trial, wire.Trial{Print: fingerprint, Done: true})
}

func (t *Trials) revoke(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.granted, fingerprint)
}

// Handle handles a message of another entry, and returns the answer to a question.
func (t *Trials) Handle(q wire.Trial, now time.Time) wire.TrialReply {
	if q.Done {
		t.revoke(q.Print)
		t.suspects.EndTrial(q.Print)
		return wire.TrialReply{}
	}
	return wire.TrialReply{Granted: t.grant(q.Print, time.Duration(q.Most)*time.Millisecond, now)}
}
