package duty

import "time"

// NextCall returns the next call of the platform's API, if one is due. It must be made at once; the runner reports its result
// to Called. Reports are sent in order, and only those that a successful write of this process has proven.
func (s *Seat) NextCall(now time.Duration) (APICall, bool) {
	// A call leaves this process before its timeout, so that none does so once another entry may have taken the duty over.
	left := s.leaseFrom + s.timing.Lease - now
	if !s.holding || s.callBusy || s.stopping || s.yielding || now < s.nextCall || left <= 0 {
		return APICall{}, false
	}
	for _, r := range s.object.Reports {
		if !s.confirmed[r.Window] {
			s.callBusy, s.callWindow = true, r.Window
			timeout := min(time.Duration(s.failures+1)*callTimeout, maxCallTimeout, left+callGrace)
			return APICall{Report: r, Token: s.object.Token, Timeout: timeout, Until: now + left}, true
		}
	}
	return APICall{}, false
}

// CallResult is the result of a call of the platform's API.
type CallResult int

// Results of a call.
const (
	Confirmed   CallResult = iota
	Unconfirmed            // an answer that asks for a repetition
	Unanswered             // sent, but no answer
	Unreached              // not sent, as no connection could be opened
	Expired                // not sent, as the lease has ended
	Rejected               // the platform does not accept the report as it is
)

// Called records the result of a call. It reports whether the report was given up.
func (s *Seat) Called(result CallResult, now time.Duration) (givenUp bool) {
	s.callBusy = false
	if result == Expired {
		return false
	}
	if result == Unanswered {
		s.arriving = now + arrivalMargin
	}
	if result == Rejected {
		if s.rejections++; s.rejections >= maxRejections {
			s.dropped++
			givenUp = true
		}
	}
	if result == Confirmed || givenUp {
		s.confirmed[s.callWindow] = true
		s.silent = false
		s.failures, s.rejections, s.nextCall = 0, 0, now+s.timing.CallGap
		return givenUp
	}
	switch {
	case result != Unanswered && result != Unreached:
		s.silent = false
	case !s.silent:
		s.silent, s.silentFrom = true, now
	}
	// An API that takes the call but does not answer is slow or silent for all entries.
	s.yielding = s.yielding || result == Unreached && now-s.silentFrom >= yieldAfter && s.mayYield(now)
	s.nextCall = now + min(callRetry<<min(s.failures, 4), maxCallRetry)
	s.failures++
	return false
}

// mayYield reports whether the duty has not changed hands so often lately that the API is down for all entries.
func (s *Seat) mayYield(now time.Duration) bool {
	return len(s.changes) < maxYields || now-s.changes[0] >= yieldPeriod
}
