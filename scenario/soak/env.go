package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
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
	"bulrushspoke/standin/cloud"
	"bulrushspoke/standin/objects"
	"bulrushspoke/standin/relay"
)

// Every process has its own loopback address, so all use the same ports. Like those of package rig, they lie below the
// usual range of outgoing connections.
const (
	portIngress    = 18161
	portReady      = 18167
	portStore      = 18169
	portAPI        = 18171
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
	// Relays in front of the links that an entry opens, one network for each entry.
	firstNetOutgoing = 16
)

// Fourth octet of the processes' addresses.
const (
	firstEntry  = 1
	firstDaemon = 101
	keeperHost  = 200
	apiHost     = 201 // in netStore
)

const (
	heartbeatInterval = 400 * time.Millisecond // of processes and servers
	serverExpiry      = 3 * heartbeatInterval  // after a crash, until the record of the server is removed
	gracePeriod       = 8 * time.Second        // between SIGTERM and SIGKILL
	memoryLimit       = 216 << 20              // bytes; rounded minimum of instances with clients on the platform's data sheets
	maxDescriptors    = 4100
	startTimeout      = 20 * time.Second // until all entries are ready
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

// env is the environment of one run: the programs as processes, and the platform around them in this process.
type env struct {
	size          size
	netIndex      int // second octet of the loopback addresses
	rig           *rig.Rig
	checker       *checker
	objects       *objects.Store
	servers       []*server
	storeHandlers map[string]*storeHandler
	relays        map[string]*relay.Relay   // by "store PROCESS", "link ENTRY" and "client ENTRY"
	outgoing      map[string][]*relay.Relay // in front of the links that an entry opens, by its name
	lostCreations atomic.Pointer[lostCreations]
	api           *cloud.API

	mu       sync.Mutex
	random   *rand.Rand
	stopping map[string]bool   // processes that are being stopped on purpose
	pauses   map[string][]span // by process: when it was paused; the last one may have no end
	versions map[string]int
	config   catalog.Config
	spares   map[string]bool // spare keys that the configuration holds
}

// storeHandler serves the store to one process and injects faults that only this process sees.
type storeHandler struct {
	env         *env
	process     string
	linkNetwork int // of the addresses at which the process reaches the links of entries
	refuse      atomic.Bool
	slow        atomic.Bool
}

// lostCreations is a fault of the store: it applies the creations of records and leaves them unanswered.
type lostCreations struct {
	writers chan string // process whose creation was the first one left unanswered
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
		w = &rewriter{ResponseWriter: w, from: h.env.networkPrefix(netProcess), to: h.env.networkPrefix(h.linkNetwork)}
	}
	if f := h.env.lostCreations.Load(); f != nil && r.Method == http.MethodPost && strings.HasPrefix(r.URL.Path, "/objects/"+kindRecords) {
		h.loseCreation(w, r, f)
		return
	}
	h.env.objects.ServeHTTP(w, r)
}

// loseCreation leaves a creation unanswered that the store applies, and passes on the answer to any other.
func (h *storeHandler) loseCreation(w http.ResponseWriter, r *http.Request, f *lostCreations) {
	answer := httptest.NewRecorder()
	h.env.objects.ServeHTTP(answer, r)
	if answer.Code == http.StatusOK {
		select {
		case f.writers <- h.process:
		default: // not the first one
		}
		<-r.Context().Done()
		return
	}
	maps.Copy(w.Header(), answer.Header())
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes()) // fails only if the process has disconnected
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

func newEnv(ctx context.Context, bin, dir string, number int, seed uint64, z size) (*env, error) {
	e := &env{
		size: z, netIndex: number, rig: rig.New(bin, dir), checker: newChecker(time.Now()), objects: objects.New(),
		storeHandlers: map[string]*storeHandler{}, relays: map[string]*relay.Relay{}, outgoing: map[string][]*relay.Relay{}, random: rand.New(rand.NewPCG(seed, 1)),
		stopping: map[string]bool{}, pauses: map[string][]span{}, versions: map[string]int{}, spares: map[string]bool{},
	}
	e.checker.entries = z.entries
	e.api = cloud.New(e.receiveUsage)
	e.applyConfig(func(*catalog.Config) {})
	// The entries start without a configuration.
	e.objects.Remove(platformtest.Config, platformtest.Main)
	if err := serve(ctx, e.address(netStore, apiHost, portAPI), e.api); err != nil {
		return e, err
	}
	for i := range z.plain {
		e.addServer("cards", e.address(netServer, 1+i, portServer), false)
		e.addServer("tables", e.address(netServer, 101+i, portServer), false)
	}
	for i := range z.engines {
		e.addServer("engines", e.address(netProcess, firstDaemon+i, portServer), true)
	}
	for _, s := range e.servers {
		if err := s.start(time.Now()); err != nil {
			return e, err
		}
	}
	go e.heartbeats(ctx)
	for name, n := range e.processes() {
		if err := e.startProcess(ctx, name, n); err != nil {
			return e, err
		}
	}
	e.checkUnconfigured(ctx)
	e.mu.Lock()
	e.putConfig(e.config)
	e.mu.Unlock()
	go e.restartExited(ctx)
	return e, nil
}

// networkPrefix returns the first three octets of all addresses of a network, with a dot at the end.
func (e *env) networkPrefix(n int) string { return fmt.Sprintf("127.%d.%d.", e.netIndex, n) }

func (e *env) ip(network, n int) string { return e.networkPrefix(network) + strconv.Itoa(n) }

func (e *env) address(network, n, port int) string {
	return net.JoinHostPort(e.ip(network, n), strconv.Itoa(port))
}

// processes returns the fourth octet of the address of each process, by name.
func (e *env) processes() map[string]int {
	l := map[string]int{"keeper": keeperHost}
	for i := range e.size.entries {
		l[entryName(i)] = firstEntry + i
	}
	for i := range e.size.engines {
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

// intN returns a random number from 0 to n-1.
func (e *env) intN(n int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.IntN(n)
}

// randomDuration returns a random duration of at least a and less than b.
func (e *env) randomDuration(a, b time.Duration) time.Duration {
	return a + time.Duration(e.intN(int(b-a)))
}

func (e *env) addServer(service, address string, engine bool) {
	s := &server{
		env: e, service: service, address: address, engine: engine,
		random: rand.New(rand.NewPCG(uint64(e.intN(1<<30)), uint64(len(e.servers)))),
	}
	if engine {
		s.versions = map[string]int{}
		for m := range e.size.models {
			s.versions[modelName(m)] = 1
		}
	}
	e.servers = append(e.servers, s)
}

func modelName(i int) string { return "model" + strconv.Itoa(i) }

// heartbeats publishes the records of all servers at every heartbeat, until ctx ends.
func (e *env) heartbeats(ctx context.Context) {
	for pause(ctx, heartbeatInterval) {
		for _, s := range e.servers {
			s.publish()
		}
	}
}

// startProcess starts a process with its own store handler and relays.
func (e *env) startProcess(ctx context.Context, name string, n int) error {
	sh := &storeHandler{env: e, process: name, linkNetwork: netLinkRelay}
	if i, ok := entryIndex(name); ok {
		sh.linkNetwork = firstNetOutgoing + i
		if err := e.startOutgoing(ctx, name, i); err != nil {
			return err
		}
	}
	e.storeHandlers[name] = sh
	if err := serve(ctx, e.address(netStore, n, portStore), sh); err != nil {
		return err
	}
	s := node.Settings{
		Name: name, Role: "keeper", Domain: domain, Region: region, IP: e.ip(netProcess, n), Regions: map[string]string{domain: region},
		Ports: node.Ports{First: portRangeFirst, Last: portRangeLast}, MemoryBytes: memoryLimit, MaxDescriptors: maxDescriptors, HeartbeatInterval: heartbeatInterval,
		Store: node.Store{Address: e.address(netStoreRelay, n, portStore), MaxValueBytes: 1 << 20, HistoryRetention: 20 * time.Second},
		Bounds: node.Bounds{
			Grace: gracePeriod, ResultRetention: 2 * time.Minute, DrainDelay: drainLag, ConfigDelay: configLag, AddressReuse: 2 * time.Second,
			ReportWindow: reportWindow, UsageDelay: usageLate, UsageTolerance: usageTolerance, Lease: lease, Thaw: thaw,
		},
		CloudAPI: node.CloudAPI{Address: e.address(netStore, apiHost, portAPI), Duties: []string{node.DutyMetering}, Rate: dutyRate},
	}
	relays := map[string][2]string{"store " + name: {s.Store.Address, e.address(netStore, n, portStore)}}
	binary := "bulrush-entry"
	if _, ok := entryIndex(name); ok {
		s.Role, s.Ingress, s.Readiness = "entry", e.address(netProcess, n, portIngress), e.address(netProcess, n, portReady)
		relays["link "+name] = [2]string{e.address(netLinkRelay, n, portRangeFirst), e.address(netProcess, n, portRangeFirst)}
		relays["client "+name] = [2]string{e.address(netClientRelay, n, portIngress), s.Ingress}
	} else if name != "keeper" {
		binary = "bulrush-daemon"
		s.Role, s.Engine, s.Service = "daemon", e.address(netProcess, n, portServer), "engines"
	}
	for name, ends := range relays {
		r, err := startRelay(ctx, ends[0], ends[1])
		if err != nil {
			return err
		}
		e.relays[name] = r
	}
	path := filepath.Join(e.rig.Dir(), name+".conf")
	if err := os.WriteFile(path, platformtest.EncodeSettings(s), 0o600); err != nil {
		return err
	}
	environ := []string{platform.SettingsEnv + "=" + path, program.SecretEnv + "=" + secret}
	_, err := e.rig.StartWith(environ, name, binary, "--platform")
	return err
}

// startOutgoing starts the relays in front of the links that entry i opens. They lead to the relays in front of the links of
// the other entries.
func (e *env) startOutgoing(ctx context.Context, name string, i int) error {
	for n := range e.size.entries {
		r, err := startRelay(ctx, e.address(firstNetOutgoing+i, firstEntry+n, portRangeFirst), e.address(netLinkRelay, firstEntry+n, portRangeFirst))
		if err != nil {
			return err
		}
		e.outgoing[name] = append(e.outgoing[name], r)
	}
	return nil
}

// startRelay starts a relay between two addresses, which runs until ctx ends.
func startRelay(ctx context.Context, from, to string) (*relay.Relay, error) {
	r := relay.New(to)
	l, err := net.Listen("tcp4", from)
	if err != nil {
		return nil, err
	}
	go func() { _ = r.Run(ctx, l) }() // ends with ctx
	return r, nil
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
func (e *env) restartExited(ctx context.Context) {
	for pause(ctx, watchInterval) {
		for name := range e.processes() {
			p, err := e.rig.Process(name)
			e.mu.Lock()
			exited := err == nil && !p.Running() && !e.stopping[name]
			e.mu.Unlock()
			if !exited {
				continue
			}
			e.checker.report("FAULT", "%s exited unexpectedly: %s", name, p.Tail())
			if err := e.rig.Restart(name); err != nil {
				e.checker.report("FAULT", "restart of %s failed: %v", name, err)
				return
			}
		}
	}
}

// restart ends a process with a signal and starts it again after a downtime. A process that is already being stopped only
// gets the signal.
func (e *env) restart(ctx context.Context, name string, s syscall.Signal, downtime time.Duration) {
	p, err := e.rig.Process(name)
	if err != nil {
		return
	}
	e.mu.Lock()
	alreadyStopping := e.stopping[name]
	e.stopping[name] = true
	e.mu.Unlock()
	if i, ok := entryIndex(name); ok {
		end := e.checker.disturb(i, s == syscall.SIGTERM)
		defer end()
	}
	sentAt := time.Now()
	_ = p.Signal(s) // the process may have exited
	if !e.awaitExit(ctx, p, name, sentAt) && ctx.Err() == nil {
		e.checker.report("FAULT", "%s still running %s after signal %d", name, gracePeriod, s)
		_ = p.Signal(syscall.SIGKILL)
	}
	if alreadyStopping || !pause(ctx, downtime) {
		return
	}
	if err := e.rig.Restart(name); err != nil {
		e.checker.report("FAULT", "restart of %s failed: %v", name, err)
	}
	e.mu.Lock()
	e.stopping[name] = false
	e.mu.Unlock()
	// The process counts as disturbed until it has had time to read the configuration.
	pause(ctx, time.Second)
}

// awaitExit waits until a process has exited, and returns false if it runs for longer than the grace period after a signal. The
// time for which it is paused does not count, since a paused process cannot exit by itself.
func (e *env) awaitExit(ctx context.Context, p *rig.Process, name string, sentAt time.Time) bool {
	for {
		now := time.Now()
		left := gracePeriod - now.Sub(sentAt) + e.pausedSince(name, sentAt, now)
		if left <= 0 || ctx.Err() != nil {
			return false
		}
		limit, cancel := context.WithTimeout(ctx, left)
		_, err := p.Wait(limit)
		cancel()
		if err == nil {
			return true
		}
	}
}

// span is a time with its end, which is zero as long as it has none.
type span struct{ from, to time.Time }

// pausedSince returns for how long a process was paused between two times.
func (e *env) pausedSince(name string, from, to time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	sum := time.Duration(0)
	for _, p := range e.pauses[name] {
		if p.to.IsZero() || p.to.After(to) {
			p.to = to
		}
		if p.from.Before(from) {
			p.from = from
		}
		sum += max(p.to.Sub(p.from), 0)
	}
	return sum
}

// notePause notes that a process is paused until the returned function is called.
func (e *env) notePause(name string) (end func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pauses[name] = append(e.pauses[name], span{from: time.Now()})
	n := len(e.pauses[name]) - 1
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.pauses[name][n].to = time.Now()
	}
}

// applyConfig writes a new version of the default configuration, modified by change, to the store.
func (e *env) applyConfig(change func(*catalog.Config)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := catalog.Config{
		Version: e.config.Version + 1 + e.random.IntN(3),
		Limits:  catalog.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second},
		Services: map[string]catalog.Service{
			"cards":   {Name: "cards", HealthPath: "/health", MaxConns: 100},
			"tables":  {Name: "tables", HealthPath: "/health", MaxConns: 100},
			"engines": {Name: "engines", HealthPath: "/health", MaxConns: 150, Slots: engineSlots, KVCapacity: 90000},
		},
	}
	engines := c.Services["engines"]
	for m := range e.size.models {
		engines.Models = append(engines.Models, modelName(m))
	}
	c.Services["engines"] = engines
	plain := catalog.Route{Host: host, Timeout: 4 * time.Second, Objective: 200 * time.Millisecond, MaxAttempts: maxRequestAttempts}
	plain.Shares = []catalog.Share{{Service: "cards", Weight: 1}}
	safe, once := plain, plain
	safe.Name, safe.Prefix, safe.Kind = "safe", "/safe/", catalog.Safe
	once.Name, once.Prefix = "once", "/once/"
	c.Routes = append(c.Routes, safe, once)
	c.Routes = append(c.Routes, catalog.Route{
		Name: "items", Host: host, Prefix: "/items-of/", Kind: catalog.Batch, Timeout: 10 * time.Second,
		Objective: 400 * time.Millisecond, MaxAttempts: maxItemAttempts, Resumable: true, DueAfter: 7500 * time.Millisecond, MaxQueueTime: time.Minute,
		Shares: []catalog.Share{{Service: "engines", Weight: 1}},
	})
	change(&c)
	e.putConfig(c)
}

// publishVersion publishes the next weight version of a model.
func (e *env) publishVersion(model string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.versions[model] = max(e.versions[model], 1) + 1
	e.objects.Put(platformtest.Versions, model, platformtest.EncodeVersion(model, e.versions[model]))
}

// newestVersion returns the newest published weight version of a model; the first is 1.
func (e *env) newestVersion(model string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(e.versions[model], 1)
}

// waitReady waits until all entries are ready, and returns an error if that takes longer than limit.
func (e *env) waitReady(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for i := range e.size.entries {
		err := rig.Poll(ctx, entryName(i)+" to be ready", func(ctx context.Context) error {
			a, err := rig.Do(ctx, http.MethodGet, "http://"+e.address(netProcess, firstEntry+i, portReady)+"/ready", nil, nil)
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
