package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/node"
	"bulrushspoke/internal/program"
	"bulrushspoke/platform"
	"bulrushspoke/platform/platformtest"
	"bulrushspoke/scenario/rig"
	"bulrushspoke/standin/objects"
	"bulrushspoke/standin/relay"
)

// Every process has its own loopback address, so all use the same ports. Like those of package rig, they lie below the
// usual range of outgoing connections.
const (
	portIngress    = 18161
	portReady      = 18167
	portStore      = 18169
	portServer     = 18200
	portRangeFirst = 17720
	portRangeLast  = 17735
)

// Third octet of the loopback addresses, which are 127.RUN.NETWORK.HOST.
const (
	netProcess     = 1 // programs and engines
	netLinkRelay   = 2 // relays in front of the entries' links
	netClientRelay = 3 // relays in front of the entries' client ports
	netStoreRelay  = 4 // relays in front of the store, one for each process
	netStore       = 5 // the store, one address for each process
	netServer      = 6 // plain services
)

// Fourth octet of the processes' addresses.
const (
	firstEntry  = 1
	firstDaemon = 101
	keeperHost  = 200
)

const (
	heartbeatInterval = 400 * time.Millisecond // of processes and servers
	serverExpiry      = 3 * heartbeatInterval  // after a crash, until the record of the server is removed
	gracePeriod       = 8 * time.Second        // between SIGTERM and SIGKILL
	memoryLimit       = 216 << 20              // bytes; rounded minimum of instances with clients on the platform's data sheets
	maxDescriptors    = 4100
	startTimeout      = 20 * time.Second // until all processes are ready
	watchInterval     = 50 * time.Millisecond
	slowStoreDelay    = 250 * time.Millisecond
	host              = "soak.example"
	domain            = "a" // of all instances; no rule depends on distance
	region            = "r"
	secret            = "secret-of-the-soak"
)

// discardLog drops what net/http logs about broken connections, which the injected faults cause all the time.
var discardLog = log.New(io.Discard, "", 0)

// size is the number of processes, servers and models of a run.
type size struct {
	entries int
	engines int // each with a daemon
	plain   int // servers of each plain service
	models  int
}

// testbed is the environment of one run: the programs as processes, and the platform around them in this process.
type testbed struct {
	size          size
	netIndex      int // second octet of the loopback addresses
	rig           *rig.Rig
	checker       *checker
	objects       *objects.Store
	servers       []*server
	storeHandlers map[string]*storeHandler
	relays        map[string]*relay.Relay // by "store PROCESS", "link ENTRY" and "client ENTRY"

	mu       sync.Mutex
	random   *rand.Rand
	stopping map[string]bool // processes that are being stopped on purpose
	versions map[string]int
	config   catalog.Config
}

// storeHandler serves the store to one process and injects faults that only this process sees.
type storeHandler struct {
	testbed *testbed
	refuse  atomic.Bool
	slow    atomic.Bool
}

// ServeHTTP implements http.Handler.
func (h *storeHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.slow.Load() && !pause(r.Context(), slowStoreDelay) {
		return
	}
	if h.refuse.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	// Entries publish their link addresses in the store; readers get the addresses of the relays in front of them.
	if r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, "/objects/members") {
		w = &rewriter{ResponseWriter: w, from: h.testbed.networkPrefix(netProcess), to: h.testbed.networkPrefix(netLinkRelay)}
	}
	h.testbed.objects.ServeHTTP(w, r)
}

// rewriter replaces address prefixes in a response that is written with a single call of Write.
type rewriter struct {
	http.ResponseWriter
	from, to string
}

// Write implements http.ResponseWriter.
func (w *rewriter) Write(b []byte) (int, error) {
	if _, err := w.ResponseWriter.Write(bytes.ReplaceAll(b, []byte(w.from), []byte(w.to))); err != nil {
		return 0, err
	}
	return len(b), nil
}

func newTestbed(ctx context.Context, bin, dir string, number int, seed uint64, z size) (*testbed, error) {
	tb := &testbed{
		size: z, netIndex: number, rig: rig.New(bin, dir), checker: newChecker(time.Now()), objects: objects.New(),
		storeHandlers: map[string]*storeHandler{}, relays: map[string]*relay.Relay{}, random: rand.New(rand.NewPCG(seed, 1)),
		stopping: map[string]bool{}, versions: map[string]int{},
	}
	tb.applyConfig(func(*catalog.Config) {})
	for i := range z.plain {
		tb.addServer("cards", tb.address(netServer, 1+i, portServer), false)
		tb.addServer("tables", tb.address(netServer, 101+i, portServer), false)
	}
	for i := range z.engines {
		tb.addServer("engines", tb.address(netProcess, firstDaemon+i, portServer), true)
	}
	for _, s := range tb.servers {
		if err := s.start(time.Now()); err != nil {
			return tb, err
		}
	}
	go tb.heartbeats(ctx)
	for name, n := range tb.processes() {
		if err := tb.startProcess(ctx, name, n); err != nil {
			return tb, err
		}
	}
	go tb.restartExited(ctx)
	return tb, nil
}

// networkPrefix returns the first three octets of all addresses of a network, with a dot at the end.
func (tb *testbed) networkPrefix(n int) string { return fmt.Sprintf("127.%d.%d.", tb.netIndex, n) }

func (tb *testbed) ip(network, n int) string { return tb.networkPrefix(network) + strconv.Itoa(n) }

func (tb *testbed) address(network, n, port int) string {
	return net.JoinHostPort(tb.ip(network, n), strconv.Itoa(port))
}

// processes returns the fourth octet of the address of each process, by name.
func (tb *testbed) processes() map[string]int {
	l := map[string]int{"keeper": keeperHost}
	for i := range tb.size.entries {
		l[entryName(i)] = firstEntry + i
	}
	for i := range tb.size.engines {
		l["daemon"+strconv.Itoa(i)] = firstDaemon + i
	}
	return l
}

func entryName(i int) string { return "entry" + strconv.Itoa(i) }

// entryIndex returns the index of an entry, and false for any other process.
func entryIndex(name string) (int, bool) {
	n, err := strconv.Atoi(strings.TrimPrefix(name, "entry"))
	return n, err == nil
}

// randomInt returns a random number from 0 to n-1.
func (tb *testbed) randomInt(n int) int {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.random.IntN(n)
}

// randomDuration returns a random duration of at least a and less than b.
func (tb *testbed) randomDuration(a, b time.Duration) time.Duration {
	return a + time.Duration(tb.randomInt(int(b-a)))
}

func (tb *testbed) addServer(service, address string, engine bool) {
	s := &server{
		testbed: tb, service: service, address: address, engine: engine,
		random: rand.New(rand.NewPCG(uint64(tb.randomInt(1<<30)), uint64(len(tb.servers)))),
	}
	if engine {
		s.versions = map[string]int{}
		for m := range tb.size.models {
			s.versions[modelName(m)] = 1
		}
	}
	tb.servers = append(tb.servers, s)
}

func modelName(i int) string { return "model" + strconv.Itoa(i) }

// heartbeats publishes the records of all servers at every heartbeat, until ctx ends.
func (tb *testbed) heartbeats(ctx context.Context) {
	for pause(ctx, heartbeatInterval) {
		for _, s := range tb.servers {
			s.publish()
		}
	}
}

// startProcess starts a process with its own store handler and relays.
func (tb *testbed) startProcess(ctx context.Context, name string, n int) error {
	sh := &storeHandler{testbed: tb}
	tb.storeHandlers[name] = sh
	if err := serve(ctx, tb.address(netStore, n, portStore), sh); err != nil {
		return err
	}
	s := node.Settings{
		Name: name, Role: "keeper", Domain: domain, Region: region, IP: tb.ip(netProcess, n), Regions: map[string]string{domain: region},
		Ports: node.Ports{First: portRangeFirst, Last: portRangeLast}, Memory: memoryLimit, Descriptors: maxDescriptors, Beat: heartbeatInterval,
		Store:  node.Store{Address: tb.address(netStoreRelay, n, portStore), Value: 1 << 20, History: 20 * time.Second},
		Bounds: node.Bounds{Grace: gracePeriod, Status: 2 * time.Minute, Drain: drainLag, Config: configLag, Reuse: 2 * time.Second},
	}
	relays := map[string][2]string{"store " + name: {s.Store.Address, tb.address(netStore, n, portStore)}}
	binary := "bulrush-entry"
	if _, ok := entryIndex(name); ok {
		s.Role, s.Ingress, s.Readiness = "entry", tb.address(netProcess, n, portIngress), tb.address(netProcess, n, portReady)
		relays["link "+name] = [2]string{tb.address(netLinkRelay, n, portRangeFirst), tb.address(netProcess, n, portRangeFirst)}
		relays["client "+name] = [2]string{tb.address(netClientRelay, n, portIngress), s.Ingress}
	} else if name != "keeper" {
		binary = "bulrush-daemon"
		s.Role, s.Engine, s.Service = "daemon", tb.address(netProcess, n, portServer), "engines"
	}
	for name, ends := range relays {
		r := relay.New(ends[1])
		l, err := net.Listen("tcp4", ends[0])
		if err != nil {
			return err
		}
		tb.relays[name] = r
		go func() { _ = r.Run(ctx, l) }() // ends with ctx
	}
	path := filepath.Join(tb.rig.Dir(), name+".conf")
	if err := os.WriteFile(path, platformtest.EncodeSettings(s), 0o600); err != nil {
		return err
	}
	env := []string{platform.SettingsEnv + "=" + path, program.SecretEnv + "=" + secret}
	_, err := tb.rig.StartWith(env, name, binary, "--platform")
	return err
}

// serve serves an address until ctx ends.
func serve(ctx context.Context, address string, h http.Handler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, ErrorLog: discardLog}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	go func() { _ = s.Serve(l) }() // ends with ctx
	return nil
}

// restartExited reports processes that exit without being stopped and restarts them, as the platform does.
func (tb *testbed) restartExited(ctx context.Context) {
	for pause(ctx, watchInterval) {
		for name := range tb.processes() {
			p, err := tb.rig.Process(name)
			tb.mu.Lock()
			exited := err == nil && !p.Running() && !tb.stopping[name]
			tb.mu.Unlock()
			if !exited {
				continue
			}
			tb.checker.report("FAULT", "%s exited unexpectedly: %s", name, p.Tail())
			if err := tb.rig.Restart(name); err != nil {
				tb.checker.report("FAULT", "restart of %s failed: %v", name, err)
				return
			}
		}
	}
}

// restart ends a process with a signal and starts it again after a downtime. A process that is already being stopped only
// gets the signal.
func (tb *testbed) restart(ctx context.Context, name string, s syscall.Signal, downtime time.Duration) {
	p, err := tb.rig.Process(name)
	if err != nil {
		return
	}
	tb.mu.Lock()
	alreadyStopping := tb.stopping[name]
	tb.stopping[name] = true
	tb.mu.Unlock()
	if e, ok := entryIndex(name); ok {
		end := tb.checker.disturb(e, s == syscall.SIGTERM)
		defer end()
	}
	_ = p.Signal(s) // the process may have exited
	limit, cancel := context.WithTimeout(ctx, gracePeriod)
	defer cancel()
	if _, err := p.Wait(limit); err != nil && ctx.Err() == nil {
		tb.checker.report("FAULT", "%s still running %s after signal %d", name, gracePeriod, s)
		_ = p.Signal(syscall.SIGKILL)
	}
	if alreadyStopping || !pause(ctx, downtime) {
		return
	}
	if err := tb.rig.Restart(name); err != nil {
		tb.checker.report("FAULT", "restart of %s failed: %v", name, err)
	}
	tb.mu.Lock()
	tb.stopping[name] = false
	tb.mu.Unlock()
	// The process counts as disturbed until it has had time to read the configuration.
	pause(ctx, time.Second)
}

// applyConfig writes a new version of the default configuration, modified by change, to the store.
func (tb *testbed) applyConfig(change func(*catalog.Config)) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	c := catalog.Config{
		Version: tb.config.Version + 1 + tb.random.IntN(3),
		Limits:  catalog.Limits{Header: 16 << 10, Body: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second},
		Services: map[string]catalog.Service{
			"cards":   {Name: "cards", Health: "/health", Conns: 100},
			"tables":  {Name: "tables", Health: "/health", Conns: 100},
			"engines": {Name: "engines", Health: "/health", Conns: 150, Slots: engineSlots, Memory: 90000},
		},
	}
	engines := c.Services["engines"]
	for m := range tb.size.models {
		engines.Models = append(engines.Models, modelName(m))
	}
	c.Services["engines"] = engines
	plain := catalog.Route{Host: host, Timeout: 4 * time.Second, Objective: 200 * time.Millisecond, Attempts: maxRequestAttempts}
	plain.Shares = []catalog.Share{{Service: "cards", Weight: 1}}
	safe, once := plain, plain
	safe.Name, safe.Prefix, safe.Kind = "safe", "/safe/", catalog.Safe
	once.Name, once.Prefix = "once", "/once/"
	c.Routes = append(c.Routes, safe, once)
	c.Routes = append(c.Routes, catalog.Route{
		Name: "items", Host: host, Prefix: "/items-of/", Kind: catalog.Batch, Timeout: 10 * time.Second,
		Objective: 400 * time.Millisecond, Attempts: maxItemAttempts, Resumable: true, Due: 7500 * time.Millisecond, Queue: time.Minute,
		Shares: []catalog.Share{{Service: "engines", Weight: 1}},
	})
	change(&c)
	tb.config = c
	services := map[string]string{}
	for _, r := range c.Routes {
		services[r.Name] = r.Shares[0].Service
	}
	tb.objects.Put(platformtest.Config, platformtest.Main, platformtest.EncodeConfig(c))
	tb.checker.recordConfig(services, time.Now())
}

// publishVersion publishes the next weight version of a model.
func (tb *testbed) publishVersion(model string) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.versions[model] = max(tb.versions[model], 1) + 1
	tb.objects.Put(platformtest.Versions, model, platformtest.EncodeVersion(model, tb.versions[model]))
}

// newestVersion returns the newest published weight version of a model; the first is 1.
func (tb *testbed) newestVersion(model string) int {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return max(tb.versions[model], 1)
}

// waitReady waits until all entries are ready, and returns an error if that takes longer than limit.
func (tb *testbed) waitReady(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for i := range tb.size.entries {
		err := rig.Poll(ctx, entryName(i)+" to be ready", func(ctx context.Context) error {
			a, err := rig.Do(ctx, http.MethodGet, "http://"+tb.address(netProcess, firstEntry+i, portReady)+"/ready", nil, nil)
			if err == nil && a.Status != http.StatusOK {
				err = fmt.Errorf("status %d", a.Status)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}
