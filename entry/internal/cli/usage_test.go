package cli

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"bulrushspoke/internal/node"
	"bulrushspoke/platform/platformtest"
)

// Guards against an entry that does not report its windows to the platform in order and with one token each, or that stops
// without giving the duty up.
func TestUsageIsReported(t *testing.T) {
	var mu sync.Mutex
	var reports []platformtest.UsageReport
	api := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		u, err := platformtest.DecodeUsage(r)
		if err != nil || u.Holder != "e1" || u.Counts == nil {
			t.Errorf("report %+v, %v", u, err)
		}
		mu.Lock()
		defer mu.Unlock()
		reports = append(reports, u)
	}))
	t.Cleanup(api.Close)
	n := startInstanceWith(t, 8*time.Second, func(s *node.Settings) {
		s.CloudAPI = node.CloudAPI{
			Address: strings.TrimPrefix(api.URL, "http://"), Duties: []string{node.DutyMetering}, Rate: 50,
		}
		s.Bounds.ReportWindow, s.Bounds.UsageDelay = time.Second, 2*time.Second
	})
	const wanted = 3
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		mu.Lock()
		count := len(reports)
		mu.Unlock()
		if count >= wanted {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d windows are reported", count)
		}
	}
	n.stop()
	<-n.stopped
	mu.Lock()
	defer mu.Unlock()
	for i, r := range reports {
		if r.Token != reports[0].Token || i > 0 && r.Window != reports[i-1].Window+1 {
			t.Fatalf("reports %v", reports)
		}
	}
	var seat struct{ Released bool }
	if err := json.Unmarshal(n.store.Spec("duties", "metering"), &seat); err != nil || !seat.Released {
		t.Errorf("the duty is not given up: %+v, %v", seat, err)
	}
}
