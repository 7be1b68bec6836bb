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

// Every process has a loopback address of its own, so all use the same ports. They lie below the usual range of outgoing
// connections, as those of package rig.
const (
	portIngress = 18161
	portReady   = 18167
	portStore   = 18169
	portServer  = 18200
	portFirst   = 17720
	portLast    = 17735
)

// Third numbers of the loopback addresses 127.RUN.x.y.
const (
	netProcess = 1 // programs and engines
	netLink    = 2 // relays in front of the entries' links
	netClient  = 3 // relays in front of the entries' client connections
	netStore   = 4 // relays in front of the store, one for each process
	netFront   = 5 // the store, one address for each process
	netServer  = 6 // plain services
)

// Fourth numbers of the processes' addresses.
const (
	firstEntry  = 1
	firstDaemon = 101
	keeper      = 200
)

const (
	beat        = 400 * time.Millisecond // of the servers
	lapse       = 3 * beat               // after which the entry of a server that crashed is removed
	grace       = 8 * time.Second        // between SIGTERM and SIGKILL
	memory      = 216 << 20              // bytes, the least that instances with clients have on the platform's sheets, rounded
	descriptors = 4100
	startLimit  = 20 * time.Second // until all processes are ready
	watchEvery  = 50 * time.Millisecond
	slowStore   = 250 * time.Millisecond
	host        = "soak.example"
	domain      = "a" // of all instances; distance is no matter of the promises
	region      = "r"
	secret      = "secret-of-the-soak"
)

// silent drops what net/http logs of broken connections, which are the point here.
var silent = log.New(io.Discard, "", 0)

// size is the number of processes of a run.
type size struct {
	entries int
	engines int // each with a daemon
	plain   int // servers of each plain service
	models  int
}

// world is one run: the programs as processes, and everything around them in this process.
type world struct {
	size    size
	number  int // of the loopback network
	rig     *rig.Rig
	ledger  *ledger
	objects *objects.Store
	servers []*server
	fronts  map[string]*front
	relays  map[string]*relay.Relay // by "store NAME", "link NAME" and "client NAME"

	mu       sync.Mutex
	random   *rand.Rand
	ending   map[string]bool // processes that are being stopped by the soak
	versions map[string]int
	config   catalog.Config
}

// front is the store as one process sees it.
type front struct {
	world  *world
	refuse atomic.Bool
	slow   atomic.Bool
}

// ServeHTTP implements http.Handler.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.slow.Load() && !pause(r.Context(), slowStore) {
		return
	}
	if f.refuse.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	// Entries find each other by what they write to the store; the others get the address of a relay.
	if r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, "/objects/members") {
		w = &rewriter{ResponseWriter: w, from: f.world.network(netProcess), to: f.world.network(netLink)}
	}
	f.world.objects.ServeHTTP(w, r)
}

// rewriter replaces the network of addresses in an answer that is written at once.
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

func newWorld(ctx context.Context, bin, dir string, number int, seed uint64, z size) (*world, error) {
	w := &world{
		size: z, number: number, rig: rig.New(bin, dir), ledger: newLedger(time.Now()), objects: objects.New(),
		fronts: map[string]*front{}, relays: map[string]*relay.Relay{}, random: rand.New(rand.NewPCG(seed, 1)),
		ending: map[string]bool{}, versions: map[string]int{},
	}
	w.configure(func(*catalog.Config) {})
	for i := range z.plain {
		w.addServer("cards", w.address(netServer, 1+i, portServer), false)
		w.addServer("tables", w.address(netServer, 101+i, portServer), false)
	}
	for i := range z.engines {
		w.addServer("engines", w.address(netProcess, firstDaemon+i, portServer), true)
	}
	for _, s := range w.servers {
		if err := s.start(time.Now()); err != nil {
			return w, err
		}
	}
	go w.heartbeats(ctx)
	for name, n := range w.processes() {
		if err := w.process(ctx, name, n); err != nil {
			return w, err
		}
	}
	go w.watch(ctx)
	return w, nil
}

// network returns the beginning of all addresses of a network.
func (w *world) network(n int) string { return fmt.Sprintf("127.%d.%d.", w.number, n) }

func (w *world) ip(network, n int) string { return w.network(network) + strconv.Itoa(n) }

func (w *world) address(network, n, port int) string {
	return net.JoinHostPort(w.ip(network, n), strconv.Itoa(port))
}

// processes returns the fourth number of each process's address by its name.
func (w *world) processes() map[string]int {
	l := map[string]int{"keeper": keeper}
	for i := range w.size.entries {
		l[entryName(i)] = firstEntry + i
	}
	for i := range w.size.engines {
		l["daemon"+strconv.Itoa(i)] = firstDaemon + i
	}
	return l
}

func entryName(i int) string { return "entry" + strconv.Itoa(i) }

// entryOf returns the number of an entry; false for another process.
func entryOf(name string) (int, bool) {
	n, err := strconv.Atoi(strings.TrimPrefix(name, "entry"))
	return n, err == nil
}

// draw returns a number below n.
func (w *world) draw(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

// between returns a time from a to b.
func (w *world) between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.draw(int(b-a)))
}

func (w *world) addServer(service, address string, engine bool) {
	s := &server{
		world: w, service: service, address: address, engine: engine,
		random: rand.New(rand.NewPCG(uint64(w.draw(1<<30)), uint64(len(w.servers)))),
	}
	if engine {
		s.versions = map[string]int{}
		for m := range w.size.models {
			s.versions[modelName(m)] = 1
		}
	}
	w.servers = append(w.servers, s)
}

func modelName(i int) string { return "model" + strconv.Itoa(i) }

// heartbeats makes the servers renew their entries.
func (w *world) heartbeats(ctx context.Context) {
	for pause(ctx, beat) {
		for _, s := range w.servers {
			s.publish()
		}
	}
}

// process starts a program with its store and relays.
func (w *world) process(ctx context.Context, name string, n int) error {
	f := &front{world: w}
	w.fronts[name] = f
	if err := serve(ctx, w.address(netFront, n, portStore), f); err != nil {
		return err
	}
	s := node.Settings{
		Name: name, Role: "keeper", Domain: domain, Region: region, IP: w.ip(netProcess, n), Regions: map[string]string{domain: region},
		Ports: node.Ports{First: portFirst, Last: portLast}, Memory: memory, Descriptors: descriptors, Beat: beat,
		Store:  node.Store{Address: w.address(netStore, n, portStore), Value: 1 << 20, History: 20 * time.Second},
		Bounds: node.Bounds{Grace: grace, Status: 2 * time.Minute, Drain: drainLag, Config: configLag, Reuse: 2 * time.Second},
	}
	relays := map[string][2]string{"store " + name: {s.Store.Address, w.address(netFront, n, portStore)}}
	binary := "bulrush-entry"
	if _, ok := entryOf(name); ok {
		s.Role, s.Ingress, s.Readiness = "entry", w.address(netProcess, n, portIngress), w.address(netProcess, n, portReady)
		relays["link "+name] = [2]string{w.address(netLink, n, portFirst), w.address(netProcess, n, portFirst)}
		relays["client "+name] = [2]string{w.address(netClient, n, portIngress), s.Ingress}
	} else if name != "keeper" {
		binary = "bulrush-daemon"
		s.Role, s.Engine, s.Service = "daemon", w.address(netProcess, n, portServer), "engines"
	}
	for name, ends := range relays {
		r := relay.New(ends[1])
		l, err := net.Listen("tcp4", ends[0])
		if err != nil {
			return err
		}
		w.relays[name] = r
		go func() { _ = r.Run(ctx, l) }() // ends with ctx
	}
	path := filepath.Join(w.rig.Dir(), name+".conf")
	if err := os.WriteFile(path, platformtest.EncodeSettings(s), 0o600); err != nil {
		return err
	}
	env := []string{platform.SettingsEnv + "=" + path, program.SecretEnv + "=" + secret}
	_, err := w.rig.StartWith(env, name, binary, "--platform")
	return err
}

// serve serves an address until ctx ends.
func serve(ctx context.Context, address string, h http.Handler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, ErrorLog: silent}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	go func() { _ = s.Serve(l) }() // ends with ctx
	return nil
}

// watch reports processes that end by themselves and starts them again, as the platform does.
func (w *world) watch(ctx context.Context) {
	for pause(ctx, watchEvery) {
		for name := range w.processes() {
			p, err := w.rig.Process(name)
			w.mu.Lock()
			own := err == nil && !p.Running() && !w.ending[name]
			w.mu.Unlock()
			if !own {
				continue
			}
			w.ledger.broken("FAULT", "%s ended by itself: %s", name, p.Tail())
			if err := w.rig.Restart(name); err != nil {
				w.ledger.broken("FAULT", "%s does not start again: %v", name, err)
				return
			}
		}
	}
}

// stop sends a process a signal that ends it, and starts it again some time after its end. A process that is being
// stopped gets the signal only.
func (w *world) stop(ctx context.Context, name string, s syscall.Signal, down time.Duration) {
	p, err := w.rig.Process(name)
	if err != nil {
		return
	}
	w.mu.Lock()
	twice := w.ending[name]
	w.ending[name] = true
	w.mu.Unlock()
	if e, ok := entryOf(name); ok {
		end := w.ledger.disturb(e, s == syscall.SIGTERM)
		defer end()
	}
	_ = p.Signal(s) // it may have ended
	limit, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	if _, err := p.Wait(limit); err != nil && ctx.Err() == nil {
		w.ledger.broken("FAULT", "%s has not ended %s after signal %d", name, grace, s)
		_ = p.Signal(syscall.SIGKILL)
	}
	if twice || !pause(ctx, down) {
		return
	}
	if err := w.rig.Restart(name); err != nil {
		w.ledger.broken("FAULT", "%s does not start again: %v", name, err)
	}
	w.mu.Lock()
	w.ending[name] = false
	w.mu.Unlock()
	// It is disturbed until it had time to read the configuration.
	pause(ctx, time.Second)
}

// configure puts a changed configuration in force.
func (w *world) configure(change func(*catalog.Config)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := catalog.Config{
		Version: w.config.Version + 1 + w.random.IntN(3),
		Limits:  catalog.Limits{Header: 16 << 10, Body: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second},
		Services: map[string]catalog.Service{
			"cards":   {Name: "cards", Health: "/health", Conns: 100},
			"tables":  {Name: "tables", Health: "/health", Conns: 100},
			"engines": {Name: "engines", Health: "/health", Conns: 150, Slots: engineSlots, Memory: 90000},
		},
	}
	engines := c.Services["engines"]
	for m := range w.size.models {
		engines.Models = append(engines.Models, modelName(m))
	}
	c.Services["engines"] = engines
	plain := catalog.Route{Host: host, Timeout: 4 * time.Second, Objective: 200 * time.Millisecond, Attempts: plainAttempts}
	plain.Shares = []catalog.Share{{Service: "cards", Weight: 1}}
	safe, once := plain, plain
	safe.Name, safe.Prefix, safe.Kind = "safe", "/safe/", catalog.Safe
	once.Name, once.Prefix = "once", "/once/"
	c.Routes = append(c.Routes, safe, once)
	c.Routes = append(c.Routes, catalog.Route{
		Name: "items", Host: host, Prefix: "/items-of/", Kind: catalog.Batch, Timeout: 10 * time.Second,
		Objective: 400 * time.Millisecond, Attempts: itemAttempts, Resumable: true, Due: 7500 * time.Millisecond, Queue: time.Minute,
		Shares: []catalog.Share{{Service: "engines", Weight: 1}},
	})
	change(&c)
	w.config = c
	services := map[string]string{}
	for _, r := range c.Routes {
		services[r.Name] = r.Shares[0].Service
	}
	w.objects.Put(platformtest.Config, platformtest.Main, platformtest.EncodeConfig(c))
	w.ledger.configure(services, time.Now())
}

// name names the next weight version of a model.
func (w *world) name(model string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.versions[model] = max(w.versions[model], 1) + 1
	w.objects.Put(platformtest.Versions, model, platformtest.EncodeVersion(model, w.versions[model]))
}

// named returns the newest weight version of a model.
func (w *world) named(model string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(w.versions[model], 1)
}

// ready waits until all entries are ready.
func (w *world) ready(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for i := range w.size.entries {
		err := rig.Poll(ctx, entryName(i)+" to be ready", func(ctx context.Context) error {
			a, err := rig.Do(ctx, http.MethodGet, "http://"+w.address(netProcess, firstEntry+i, portReady)+"/ready", nil, nil)
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
