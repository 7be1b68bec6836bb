package batch

import (
	"context"
	"encoding/json"

	"bulrushspoke/internal/event"
	"bulrushspoke/wire"
)

// Hosts returns the hosts that the jobs in the store were submitted to, and whether the route that accepted the newest job of
// a host needed no key. Errors are those of the store.
func (m *Manager) Hosts(ctx context.Context) (map[string]bool, error) {
	list, _, err := m.Store.List(ctx, KindState)
	if err != nil {
		return nil, err
	}
	hosts := make(map[string]bool)
	newest := make(map[string]int64)
	for _, r := range list {
		var s wire.JobState
		if err := json.Unmarshal(r.Spec, &s); err != nil {
			event.ObjectInvalid.Log(m.Logger, "kind", KindState, "name", r.Name, "cause", err.Error())
			continue
		}
		if _, ok := hosts[s.Host]; !ok || s.At >= newest[s.Host] {
			hosts[s.Host], newest[s.Host] = s.Open, s.At
		}
	}
	return hosts, nil
}
