package cli

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"bulrushspoke/internal/call"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/node"
	"bulrushspoke/platform"
	"bulrushspoke/platform/platformtest"
	"bulrushspoke/standin/objects"
)

// usageAPI is a platform that records usage reports.
type usageAPI struct {
	mu      sync.Mutex
	reports []platformtest.UsageReport
}

func (a *usageAPI) received() []platformtest.UsageReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]platformtest.UsageReport(nil), a.reports...)
}

// await waits until the last of the reports received meets a condition.
func (a *usageAPI) await(t *testing.T, what string, enough func([]platformtest.UsageReport) bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !enough(a.received()); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: reports %+v", what, a.received())
		}
	}
}

// startLinked starts an entry that has links to the other entries of the store, and returns the function that stops it.
func startLinked(t *testing.T, name, ip, storeAddress, apiAddress string) (clients string, stop func()) {
	t.Helper()
	port := func() (string, int) {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		return l.Addr().String(), l.Addr().(*net.TCPAddr).Port //nolint:forcetypeassert // a TCP listener
	}
	ingress, _ := port()
	readiness, _ := port()
	_, links := port()
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		if err := servePlatform(ctx, node.Settings{
			Name: name, Role: "entry", Domain: "d", Region: "r", IP: ip, Regions: map[string]string{"d": "r"},
			Ingress: ingress, Readiness: readiness, Ports: node.Ports{First: links, Last: links},
			Store:       node.Store{Address: storeAddress, MaxValueBytes: 1 << 20},
			MemoryBytes: 1 << 30,
			CloudAPI:    node.CloudAPI{Address: apiAddress, Duties: []string{node.DutyMetering}, Rate: 50},
			Bounds: node.Bounds{
				Grace: 8 * time.Second, ResultRetention: time.Minute, ConfigDelay: 2500 * time.Millisecond,
				ReportWindow: time.Second, UsageDelay: 10 * time.Second,
			},
		}, []byte("0123456789abcdef")); err != nil {
			t.Error(err)
		}
	}()
	return ingress, func() {
		cancel()
		<-stopped
	}
}

// begun counts the requests that a server has begun to run, by window and workspace.
type begun struct {
	mu     sync.Mutex
	counts map[int64]map[string]int
}

func (b *begun) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	asked := platformtest.DecodeServerRequest(r.Header)
	window := time.Now().Unix()
	b.mu.Lock()
	if b.counts[window] == nil {
		b.counts[window] = make(map[string]int)
	}
	b.counts[window][platformtest.DecodeSender(r.Header).Workspace]++
	b.mu.Unlock()
	platformtest.SetResponseHeaders(w.Header(), call.Answer{ID: asked.ID, Signature: platformtest.Signature})
	_, _ = io.WriteString(w, "fine")
}

// request sends one request of a workspace to an entry. A refusal is no failure: the entry may be about to stop.
func request(t *testing.T, address, key string, n int) {
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/p/x", strings.NewReader("body"))
	if err != nil {
		t.Error(err)
		return
	}
	q.Host = "h.example"
	q.Header.Set("Authorization", "Bearer "+key)
	platformtest.SetRequestHeaders(q.Header, call.Request{ID: fmt.Sprint("r", n), Deadline: 2 * time.Second})
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	if resp, err := client.Do(q); err == nil {
		_ = resp.Body.Close()
	}
}

// Guards against entries that do not report each window to the platform once, in order and with rising tokens, also when the
// one that reports is stopped.
func TestUsageIsReported(t *testing.T) {
	api := &usageAPI{}
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		u, err := platformtest.DecodeUsage(r)
		if err != nil || u.Counts == nil {
			t.Errorf("report %+v, %v", u, err)
		}
		api.mu.Lock()
		defer api.mu.Unlock()
		api.reports = append(api.reports, u)
	}))
	t.Cleanup(server.Close)
	store := objects.New()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.CloseClientConnections)
	ran := &begun{counts: make(map[int64]map[string]int)}
	upstream := httptest.NewServer(ran)
	t.Cleanup(upstream.CloseClientConnections)
	store.Put(platform.KindConfig, "main", platformtest.EncodeConfigWithKeys(catalog.Config{
		Version: 1, Services: map[string]catalog.Service{"v": {Name: "v", MaxConns: 50}}, Limits: catalog.Limits{MaxBodyBytes: 1 << 20},
		Routes: []catalog.Route{{
			Name: "r", Host: "h.example", Prefix: "/p/", Timeout: 2 * time.Second, MaxAttempts: 1,
			Shares: []catalog.Share{{Service: "v", Weight: 1}},
		}},
	}, "w1", "w2", "w3"))
	store.Put(platform.KindServers, "i1", platformtest.EncodeServer(catalog.Server{
		ID: "i1", Service: "v", Domain: "d", Slots: 50, Address: strings.TrimPrefix(upstream.URL, "http://"),
	}, 0))
	stops := make(map[string]func())
	addresses := make([]string, 3)
	for i := range 3 {
		name := fmt.Sprint("e", i)
		addresses[i], stops[name] = startLinked(t, name, fmt.Sprint("127.19.7.", 41+i),
			strings.TrimPrefix(storeServer.URL, "http://"), strings.TrimPrefix(server.URL, "http://"))
	}
	t.Cleanup(func() {
		var all sync.WaitGroup
		for _, stop := range stops {
			all.Go(stop)
		}
		all.Wait()
	})
	load, endLoad := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	clients.Go(func() {
		for n := 0; load.Err() == nil; n++ {
			time.Sleep(20 * time.Millisecond)
			clients.Go(func() { request(t, addresses[n%len(addresses)], fmt.Sprint("w", 1+n%4), n) }) // w4 has no key
		}
	})
	api.await(t, "first holder", func(l []platformtest.UsageReport) bool { return len(l) >= 3 })
	first := api.received()[0]
	stops[first.Holder]()
	delete(stops, first.Holder)
	api.await(t, "second holder", func(l []platformtest.UsageReport) bool {
		return len(l) >= 2 && l[len(l)-2].Token > first.Token
	})
	endLoad()
	clients.Wait()
	end := time.Now().Unix()
	api.await(t, "last window", func(l []platformtest.UsageReport) bool { return l[len(l)-1].Window >= end })
	reports := api.received()
	checkCounts(t, reports, ran)
	for i, r := range reports {
		if i == 0 {
			continue
		}
		last := reports[i-1]
		// The second holder repeats a report whose confirmation it has not heard of.
		if r.Window != last.Window+1 && (r.Window > last.Window || r.Holder == last.Holder) ||
			r.Token < last.Token || (r.Token == last.Token) != (r.Holder == last.Holder) {
			t.Fatalf("report %d: %+v", i, reports)
		}
	}
}

// checkCounts checks that the reports count each request once. A request may be counted in the window before the one in which
// the server began it, as a busy machine delays it on its way.
func checkCounts(t *testing.T, reports []platformtest.UsageReport, ran *begun) {
	t.Helper()
	got := make(map[int64]map[string]int)
	for _, r := range reports {
		got[r.Window] = r.Counts
	}
	sums := make(map[string]int)
	ran.mu.Lock()
	defer ran.mu.Unlock()
	moved, total := 0, 0
	for window, counts := range ran.counts {
		for workspace, n := range counts {
			sums[workspace] += n
			total += n
			moved += max(n-got[window][workspace], 0)
		}
	}
	for _, counts := range got {
		for workspace, n := range counts {
			sums[workspace] -= n
		}
	}
	for workspace, n := range sums {
		if n != 0 {
			t.Errorf("%d requests of %s are not in the reports", n, workspace)
		}
	}
	t.Logf("%d requests, %d of them in a neighbouring window", total, moved)
}
