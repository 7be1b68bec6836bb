package batch

import (
	"time"

	"bulrushspoke/entry/internal/place"
	"bulrushspoke/internal/catalog"
)

const (
	// confirmTime is the time after an end without framing within which an answer of the same server confirms it. A server
	// that has crashed is back after some seconds, at times under the same id.
	confirmTime = 2 * time.Second
	// maxUnframedEnds is the number of ends after the same event that count as the end of the text although no server could be
	// asked in time. Ends at servers that turn out to be gone are not among them.
	maxUnframedEnds = 3
)

// ending is the end of a response without framing: that of the text, or of the connection of an engine that has died.
type ending struct {
	server catalog.Server
	after  int // events of the text
	at     time.Time
	count  int  // ends after the same event in a row; 0 for none
	asked  bool // the server has refused to confirm it
}

// isAt reports whether the response that has ended was that of the given incarnation.
func (e ending) isAt(s catalog.Server) bool {
	return e.count > 0 && e.server.ID == s.ID && e.server.StartedAt == s.StartedAt
}

// endText notes that the response of a server, to a request that was sent at the given time, has ended without framing after
// the first n events of an item, and reports whether this is the end of the text. It is if the same server had ended a
// response there before and has answered since, so that it had not died, or if several responses end there.
func (j *Job) endText(it *item, s catalog.Server, sentAt time.Time, n int, now time.Time) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	last := it.ending
	if last.count == 0 || last.after != n {
		last = ending{}
	}
	it.ending = ending{server: s, after: n, at: now, count: last.count + 1}
	return last.isAt(s) && sentAt.Sub(last.at) <= confirmTime || it.ending.count >= maxUnframedEnds
}

// confirmingServer returns the server that is to be asked whether the text of an item is complete, if there is one and it
// still takes requests.
func (j *Job) confirmingServer(it *item, pools place.Pools) ([]catalog.Server, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if it.ending.asked || it.ending.after != len(it.data) {
		return nil, false
	}
	for _, servers := range pools {
		for i, s := range servers {
			if it.ending.isAt(s) {
				return servers[i : i+1], true
			}
		}
	}
	return nil, false
}

// endingUnconfirmed notes that a server has not confirmed the end of its response. If it is gone, it has died, and the end
// is dropped; otherwise it has refused the request.
func (j *Job) endingUnconfirmed(it *item, s catalog.Server, gone bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case !it.ending.isAt(s):
	case gone:
		it.ending = ending{}
	default:
		it.ending.asked = true
	}
}
