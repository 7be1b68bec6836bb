package dispatch

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bulrushspoke/wire"
)

// crashLimit is the number of crashes after which content is refused.
const crashLimit = 2

// maxSuspects bounds the table; the suspect that expires first is evicted.
const maxSuspects = 4096

// Fingerprint returns the content fingerprint of work, a hash of its workspace, model, prompt and call.
func Fingerprint(w *wire.Work) uint64 {
	h := xxhash.New()
	write := func(s string) {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	write(w.Workspace)
	write(w.Model)
	write(w.Prompt)
	if w.Call != nil {
		write(w.Call.Method)
		write(w.Call.Path)
		_, _ = h.Write(w.Call.Body)
	}
	return h.Sum64()
}

// suspect is content that may crash servers.
type suspect struct {
	crashes int
	expires time.Time
	probing bool          // a solo run is in progress
	changed chan struct{} // closed and replaced whenever waiting jobs must ask again
}

// suspects remembers which content may crash servers. A suspect runs alone on its server, one run at a time, so that a
// crash can be attributed to it. Such a solo run is called a probe.
type suspects struct {
	mu      sync.Mutex
	ttl     time.Duration
	entries map[uint64]*suspect
}

func newSuspects(ttl time.Duration) *suspects {
	return &suspects{ttl: ttl, entries: make(map[uint64]*suspect)}
}

// admission tells how content with a fingerprint is to be treated.
type admission struct {
	solo       bool            // run alone; the caller must call recordSuccess, recordCrash or abandonProbe afterwards
	blockedFor time.Duration   // refuse, for this time
	wait       <-chan struct{} // another solo run is in progress; ask again once the channel is closed
}

// admit returns how to treat content. Work that must complete is never refused, since its crashes may have had another cause: it
// runs alone until it succeeds.
func (s *suspects) admit(now time.Time, fingerprint uint64, mustComplete bool) admission {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.find(now, fingerprint)
	switch {
	case e == nil:
		return admission{}
	case e.crashes >= crashLimit && !mustComplete:
		return admission{blockedFor: e.expires.Sub(now)}
	case e.probing:
		return admission{wait: e.changed}
	default:
		e.probing = true
		return admission{solo: true}
	}
}

// recordCrash records a crash while the content was running. The first crash makes it suspect; after that only a crash
// in which it ran alone counts, however many others there are. It returns the message for the other entries, and
// whether the content is now refused.
func (s *suspects) recordCrash(now time.Time, fingerprint uint64, alone bool) (wire.Suspect, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.find(now, fingerprint)
	if e == nil {
		e = s.add(fingerprint)
		e.crashes = 1
	} else if alone {
		e.crashes++
	}
	e.expires = now.Add(s.ttl)
	s.finishProbe(e)
	return wire.Suspect{Print: fingerprint, Crashes: e.crashes, Left: s.ttl.Milliseconds()}, e.crashes >= crashLimit
}

// recordSuccess clears a suspect whose solo run finished.
func (s *suspects) recordSuccess(fingerprint uint64) wire.Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(fingerprint)
	return wire.Suspect{Print: fingerprint}
}

// abandonProbe ends a solo run that proved nothing.
func (s *suspects) abandonProbe(fingerprint uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[fingerprint]; e != nil {
		s.finishProbe(e)
	}
}

// merge applies a suspicion received from another entry.
func (s *suspects) merge(now time.Time, m wire.Suspect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.Crashes == 0 {
		s.remove(m.Print)
		return
	}
	e := s.find(now, m.Print)
	if e == nil {
		e = s.add(m.Print)
	}
	e.crashes = max(e.crashes, m.Crashes)
	left := min(time.Duration(m.Left)*time.Millisecond, s.ttl)
	if t := now.Add(left); t.After(e.expires) {
		e.expires = t
	}
	if e.crashes >= crashLimit {
		s.finishProbe(e)
	}
}

func (s *suspects) find(now time.Time, fingerprint uint64) *suspect {
	e := s.entries[fingerprint]
	if e != nil && !now.Before(e.expires) {
		s.remove(fingerprint)
		return nil
	}
	return e
}

func (s *suspects) add(fingerprint uint64) *suspect {
	if len(s.entries) >= maxSuspects {
		s.evict()
	}
	e := &suspect{changed: make(chan struct{})}
	s.entries[fingerprint] = e
	return e
}

func (s *suspects) evict() {
	var earliest uint64
	var end time.Time
	for p, e := range s.entries {
		if end.IsZero() || e.expires.Before(end) {
			earliest, end = p, e.expires
		}
	}
	s.remove(earliest)
}

func (s *suspects) remove(fingerprint uint64) {
	if e := s.entries[fingerprint]; e != nil {
		delete(s.entries, fingerprint)
		s.finishProbe(e)
	}
}

// finishProbe marks the solo run as ended and wakes the jobs that wait for it.
func (s *suspects) finishProbe(e *suspect) {
	e.probing = false
	close(e.changed)
	e.changed = make(chan struct{})
}
