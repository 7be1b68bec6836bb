package hostile_test

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"bulrushspoke/internal/call"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/node"
	"bulrushspoke/internal/program"
	"bulrushspoke/platform"
	"bulrushspoke/platform/platformtest"
	"bulrushspoke/scenario/rig"
	"bulrushspoke/standin/objects"
)

// Ports of the instance and of the platform around it. Each instance has a loopback address of its own.
const (
	portIngress = 18161
	portReady   = 18167
	portStore   = 18169
	portServer  = 18200
	portLinks   = 17720
	portMetrics = 9464
)

const (
	secret       = "secret-of-the-crowds"
	host         = "hostile.example"
	bigBodyBytes = 250_000          // of an answer that an entry buffers
	startTimeout = 20 * time.Second // until the instance is ready
	calmTimeout  = 60 * time.Second // until an ordinary request is answered after the crowd has left
	routeTimeout = 30 * time.Second // of requests whose bodies stay open
	maxHeadBytes = 16 << 10         // of the configuration
	reservedFDs  = 200              // descriptors that the platform keeps for files
	fdBound      = maxFDs - reservedFDs
	maxFDs       = 600
)

// instance is a running entry with a lowered memory limit.
type instance struct {
	rig      *rig.Rig
	process  *rig.Process
	ip       string
	memory   int64 // bytes
	maxFound int   // most open descriptors that were seen
}

// nextHost numbers the loopback addresses of this test process.
var nextHost int

// newInstance starts an entry with a memory limit and a limit on bodies, and waits until it is ready.
func newInstance(t *testing.T, bin string, memory int64, maxBody int) *instance {
	t.Helper()
	nextHost++
	// The soak tests use 127.64 and above.
	in := &instance{ip: fmt.Sprintf("127.%d.%d.1", 2+os.Getpid()%60, nextHost), memory: memory, rig: rig.New(bin, t.TempDir())}
	t.Cleanup(in.rig.Close)
	store := objects.New()
	in.serve(t, portStore, store)
	in.serve(t, portServer, http.HandlerFunc(serveRequest))
	route := catalog.Route{
		Host: host, Timeout: routeTimeout, Objective: time.Second, MaxAttempts: 2, Shares: []catalog.Share{{Service: "cards", Weight: 1}},
	}
	safe, items := route, route
	safe.Name, safe.Prefix, safe.Kind = "safe", "/safe/", catalog.Safe
	items.Name, items.Prefix, items.Kind, items.MaxQueueTime = "items", "/items-of/", catalog.Batch, time.Minute
	store.Put(platformtest.Config, platformtest.Main, platformtest.EncodeConfig(catalog.Config{
		Version: 1, Routes: []catalog.Route{safe, items},
		Services: map[string]catalog.Service{"cards": {Name: "cards", MaxConns: 100}},
		Limits: catalog.Limits{
			MaxHeaderBytes: maxHeadBytes, MaxBodyBytes: maxBody, HeaderTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second,
		},
	}))
	store.Put(platformtest.Servers, "cards-1", platformtest.EncodeServer(catalog.Server{
		Service: "cards", Address: in.address(portServer), Domain: "a", Slots: 64, StartedAt: time.Now().UnixMilli(),
	}, 0))
	in.start(t, node.Settings{
		Name: "entry", Role: "entry", Domain: "a", Region: "r", IP: in.ip, Regions: map[string]string{"a": "r"},
		Ingress: in.address(portIngress), Readiness: in.address(portReady), Ports: node.Ports{First: portLinks, Last: portLinks + 9},
		MemoryBytes: memory, MaxDescriptors: maxFDs, HeartbeatInterval: time.Second,
		Store: node.Store{Address: in.address(portStore), MaxValueBytes: 1 << 20, HistoryRetention: 20 * time.Second},
		Bounds: node.Bounds{
			Grace: 8 * time.Second, ResultRetention: 2 * time.Minute, DrainDelay: 4 * time.Second, ConfigDelay: 4 * time.Second,
			AddressReuse: 2 * time.Second,
		},
	})
	return in
}

func (in *instance) start(t *testing.T, s node.Settings) {
	t.Helper()
	path := filepath.Join(in.rig.Dir(), "entry.conf")
	if err := os.WriteFile(path, platformtest.EncodeSettings(s), 0o600); err != nil {
		t.Fatal(err)
	}
	environ := []string{platform.SettingsEnv + "=" + path, program.SecretEnv + "=" + secret}
	p, err := in.rig.StartWith(environ, "entry", "bulrush-entry", "--platform")
	if err != nil {
		t.Fatal(err)
	}
	in.process = p
	in.waitServed(t, startTimeout)
}

// restart kills the process and starts it again.
func (in *instance) restart(t *testing.T) {
	t.Helper()
	if err := in.process.Signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	if _, err := in.process.Wait(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := in.rig.Restart("entry"); err != nil {
		t.Fatal(err)
	}
	p, err := in.rig.Process("entry")
	if err != nil {
		t.Fatal(err)
	}
	in.process = p
	in.waitServed(t, startTimeout)
}

// serve serves a port of the platform around the instance until the test ends.
func (in *instance) serve(t *testing.T, port int, h http.Handler) {
	t.Helper()
	l, err := net.Listen("tcp4", in.address(port))
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, ErrorLog: log.New(io.Discard, "", 0)}
	t.Cleanup(func() { _ = s.Close() })
	go func() { _ = s.Serve(l) }() // ends with the test
}

// serveRequest answers as a server of a plain service; paths that end in /big get a long answer.
func serveRequest(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := platformtest.DecodeServerRequest(r.Header).ID
	platformtest.Identity(w.Header(), "cards-1")
	platformtest.SetResponseHeaders(w.Header(), call.Answer{ID: id, Signature: platformtest.Signature})
	body := "fine"
	if strings.HasSuffix(r.URL.Path, "/big") {
		body = strings.Repeat("x", bigBodyBytes)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body) // fails only if the entry has disconnected
}

func (in *instance) address(port int) string { return net.JoinHostPort(in.ip, strconv.Itoa(port)) }

// post sends a request on a new connection and returns the status of the answer.
func (in *instance) post(path string, body io.Reader) (int, error) {
	return in.do(http.MethodPost, path, "ordinary-"+strconv.FormatInt(time.Now().UnixNano(), 10), body)
}

// do is post with any method and request id.
func (in *instance) do(method, path, id string, body io.Reader) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), routeTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+in.address(portIngress)+path, body)
	if err != nil {
		return 0, err
	}
	r.Host, r.Close = host, true
	platformtest.SetRequestHeaders(r.Header, call.Request{ID: id})
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// waitServed repeats an ordinary request and a readiness probe until both are answered with 200.
func (in *instance) waitServed(t *testing.T, limit time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	err := rig.Poll(ctx, "an ordinary request to be answered", func(ctx context.Context) error {
		if status, err := in.post("/safe/ordinary", strings.NewReader("ordinary")); err != nil || status != http.StatusOK {
			return fmt.Errorf("status %d, error %w", status, err)
		}
		probe, err := rig.Do(ctx, http.MethodGet, "http://"+in.address(portReady)+"/ready", nil, nil)
		if err == nil && probe.Status != http.StatusOK {
			err = fmt.Errorf("status %d of the readiness probe", probe.Status)
		}
		return err
	})
	if err != nil {
		t.Errorf("%v\n%s", err, in.process.Tail())
	}
}

// countDescriptors notes how many descriptors the process has open.
func (in *instance) countDescriptors(t *testing.T) {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", in.process.PID()))
	if err != nil {
		return // the process has exited, which check reports
	}
	in.maxFound = max(in.maxFound, len(entries))
}

// peakMemory returns the peak resident memory of the process in bytes.
func (in *instance) peakMemory(t *testing.T) int64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", in.process.PID()))
	if err != nil {
		return 0 // the process has exited, which check reports
	}
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmHWM:" {
			kib, err := strconv.ParseInt(f[1], 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			return kib << 10
		}
	}
	return 0
}

// check fails the test if the process has exited or exceeds the limits of its instance.
func (in *instance) check(t *testing.T) {
	t.Helper()
	if !in.process.Running() {
		t.Fatalf("the process has exited: %s", in.process.Tail())
	}
	peak := in.peakMemory(t)
	t.Logf("peak memory %d MiB of %d, %d descriptors of %d", peak>>20, in.memory>>20, in.maxFound, fdBound)
	if peak > in.memory {
		t.Errorf("peak memory of %d MiB exceeds the %d MiB of the instance", peak>>20, in.memory>>20)
	}
	if in.maxFound > fdBound {
		t.Errorf("%d open descriptors exceed the bound of %d", in.maxFound, fdBound)
	}
}
