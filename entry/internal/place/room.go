package place

import (
	"time"

	"bulrushspoke/internal/catalog"
)

// Full reports whether each of the servers, as far as this process knows, has all slots in use and extra more requests
// waiting. Servers in back-off count by their slots as well. It returns false without servers.
func (t *Tracker) Full(now time.Time, servers []catalog.Server, extra int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range servers {
		if t.inflight(s.ID, now) < min(max(s.Slots, 1)+extra, t.state[s.ID].windowSize()) {
			return false
		}
	}
	return len(servers) > 0
}
