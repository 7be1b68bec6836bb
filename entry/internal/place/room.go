package place

import (
	"time"

	"bulrushspoke/internal/catalog"
)

// Full reports whether each of the servers, as far as this process knows, has all slots in use and extra more requests
// waiting. The window of a server that has refused requests does not count: it says how much of a server this process uses,
// not how many slots the server has. Servers in back-off are left out unless all are, since they get no requests. It returns
// false without servers.
func (t *Tracker) Full(now time.Time, servers []catalog.Server, extra int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	available := false
	fullBackOff := len(servers) > 0
	for _, s := range servers {
		full := t.inflight(s.ID, now) >= max(s.Slots, 1)+extra
		if t.state[s.ID].avoided("", now) {
			fullBackOff = fullBackOff && full
			continue
		}
		if !full {
			return false
		}
		available = true
	}
	return available || fullBackOff
}
