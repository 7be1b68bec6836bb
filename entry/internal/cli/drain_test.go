package cli

import (
	"context"
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

// instance is a running platform entry with one server, which answers paths that end in "fast" at once and others never.
type instance struct {
	t         *testing.T
	address   string
	stop      context.CancelFunc // like a SIGTERM
	stopped   chan struct{}      // closed when the entry has ended
	store     *objects.Store
	config    catalog.Config
	header    map[string]string // sent with requests in addition
	mu        sync.Mutex
	forwarded map[string]bool // ids of the requests that the server has seen
}

// instanceIP is a loopback address of its own, since the port of the metrics is fixed.
const instanceIP = "127.19.7.31"

func freeAddress(t *testing.T) (address string, port int) {
	t.Helper()
	l, err := net.Listen("tcp4", instanceIP+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	a, ok := l.Addr().(*net.TCPAddr)
	if !ok {
		t.Fatalf("listener address %v", l.Addr())
	}
	return a.String(), a.Port
}

func startInstance(t *testing.T, grace time.Duration) *instance {
	t.Helper()
	n := &instance{t: t, stopped: make(chan struct{}), forwarded: make(map[string]bool)}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked := platformtest.DecodeServerRequest(r.Header)
		n.mu.Lock()
		n.forwarded[asked.ID] = true
		n.mu.Unlock()
		if !strings.HasSuffix(r.URL.Path, "fast") {
			<-r.Context().Done()
			return
		}
		platformtest.SetResponseHeaders(w.Header(), call.Answer{ID: asked.ID, Signature: platformtest.Signature})
		_, _ = io.WriteString(w, "fine")
	}))
	t.Cleanup(server.CloseClientConnections)
	store := objects.New()
	n.store = store
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.CloseClientConnections)
	route := catalog.Route{
		Host: "h.example", Timeout: 10 * time.Second, MaxAttempts: 1, Shares: []catalog.Share{{Service: "v", Weight: 1}},
	}
	safe, unsafe := route, route
	safe.Name, safe.Prefix, safe.Kind = "safe", "/safe/", catalog.Safe
	unsafe.Name, unsafe.Prefix, unsafe.Kind = "unsafe", "/unsafe/", catalog.Unsafe
	n.config = catalog.Config{
		Version: 1, Routes: []catalog.Route{safe, unsafe}, Services: map[string]catalog.Service{"v": {Name: "v", MaxConns: 10}},
		Limits: catalog.Limits{MaxBodyBytes: 1 << 20},
	}
	store.Put(platform.KindConfig, "main", platformtest.EncodeConfig(n.config))
	store.Put(platform.KindServers, "i1", platformtest.EncodeServer(catalog.Server{
		ID: "i1", Service: "v", Domain: "d", Slots: 8, Address: strings.TrimPrefix(server.URL, "http://"),
	}, 0))
	readiness, _ := freeAddress(t)
	_, port := freeAddress(t)
	n.address, _ = freeAddress(t)
	settings := node.Settings{
		Name: "e1", Role: "entry", Domain: "d", Region: "r", IP: instanceIP, Regions: map[string]string{"d": "r"},
		Ingress: n.address, Readiness: readiness, Ports: node.Ports{First: port, Last: port},
		Store:       node.Store{Address: strings.TrimPrefix(storeServer.URL, "http://"), MaxValueBytes: 1 << 20},
		MemoryBytes: 1 << 30,
		Bounds:      node.Bounds{Grace: grace, ResultRetention: time.Minute, ConfigDelay: 2500 * time.Millisecond},
	}
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	go func() {
		defer close(n.stopped)
		if err := servePlatform(ctx, settings, []byte("0123456789abcdef")); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		stop()
		<-n.stopped
	})
	deadline := time.Now().Add(10 * time.Second)
	for {
		if time.Now().After(deadline) {
			t.Fatal("the entry does not become ready")
		}
		resp, err := http.Get("http://" + readiness) //nolint:noctx // bounded by the deadline above
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return n
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// answered is what a client got.
type answered struct {
	status int
	body   string
	err    error
	retry  time.Duration
	at     time.Time
}

// send sends a request on a new connection. The client allows the request longer than its route does.
func (n *instance) send(id, path string, allowed time.Duration) answered {
	q, err := http.NewRequestWithContext(n.t.Context(), http.MethodPost, "http://"+n.address+path, strings.NewReader("body"))
	if err != nil {
		return answered{err: err}
	}
	q.Host = "h.example"
	platformtest.SetRequestHeaders(q.Header, call.Request{ID: id, Deadline: allowed})
	for name, value := range n.header {
		q.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(q)
	if err != nil {
		return answered{err: err, at: time.Now()}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answered{
		status: resp.StatusCode, body: string(body), err: err, retry: platformtest.Retry(resp.Header), at: time.Now(),
	}
}

func (n *instance) wasForwarded(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.forwarded[id]
}

// Guards against requests that are passed on late in a planned stop and cut off without an answer at its end, although
// they could have been rejected, and against those passed on before it that get no answer.
func TestStopAnswersEachRequest(t *testing.T) {
	const grace = 6 * time.Second
	n := startInstance(t, grace)
	var tasks sync.WaitGroup
	earlier := make(chan answered, 2)
	for _, path := range []string{"/safe/slow", "/unsafe/slow"} {
		tasks.Go(func() { earlier <- n.send("earlier"+path, path, 12*time.Second) })
	}
	time.Sleep(300 * time.Millisecond)
	n.stop()
	began := time.Now()
	for _, at := range []time.Duration{200 * time.Millisecond, 1500 * time.Millisecond, 2 * time.Second} {
		tasks.Go(func() {
			time.Sleep(at)
			id := "late " + at.String()
			a := n.send(id, "/unsafe/slow", 12*time.Second)
			if a.err != nil || a.status != http.StatusServiceUnavailable || a.retry <= 0 {
				t.Errorf("%s after the start of the stop: the client got %+v, want 503 with a retry time", at, a)
			}
			if n.wasForwarded(id) {
				t.Errorf("%s after the start of the stop: the request was passed on", at)
			}
		})
		tasks.Go(func() {
			time.Sleep(at)
			if a := n.send("short "+at.String(), "/unsafe/fast", time.Second); a.status != http.StatusOK {
				t.Errorf("%s after the start of the stop: a short request got %+v", at, a)
			}
		})
		tasks.Go(func() {
			time.Sleep(at)
			if a := n.send("safe "+at.String(), "/safe/fast", 12*time.Second); a.status != http.StatusOK {
				t.Errorf("%s after the start of the stop: a repeatable request got %+v", at, a)
			}
		})
	}
	<-n.stopped
	if took := time.Since(began); took > grace {
		t.Errorf("the stop took %s, the grace period is %s", took, grace)
	}
	end := time.Now()
	tasks.Wait()
	for range cap(earlier) {
		a := <-earlier
		if a.err != nil || a.status != http.StatusBadGateway && a.status != http.StatusGatewayTimeout {
			t.Errorf("a request from before the stop got %+v, want 502 or 504", a)
		}
		if a.at.After(end) {
			t.Error("a request from before the stop was answered after the end of the process")
		}
	}
}
