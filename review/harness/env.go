package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names of the deployment, and its ports. Each process and server has a loopback address of its own.
const (
	service   = "huvo11a"
	host      = "ficu95.example"
	prefix    = "/pufi791/"
	portFront = 18161
	portReady = 18167
	portStore = 18169
	portApp   = 18165
	portFirst = 17720
	portLast  = 17735
)

// Third octet of the addresses.
const (
	netFront = 1
	netSide  = 2
	netKeep  = 3
	netStore = 5  // the store, one address for each process
	netProxy = 10 // the other fronts, as front n sees them: 10 + n
)

// Bounds of the data sheet of saule-rollout.
const (
	contact  = 4 * time.Second
	cancelMS = 3 * time.Second
	settle   = time.Second
)

var models = []string{"daka510000", "rada7437b5"}

var regions = map[string]string{"pamplemousses": "nord", "grand-port": "sud", "riviere-rempart": "nord"}

// fronts are the zones of the fronts. A runs in a zone of its own, as in saule-rollout.
var fronts = []string{"grand-port", "pamplemousses", "pamplemousses", "riviere-rempart"}

const (
	frontA = iota
	frontB
	frontC
	frontD
)

// errSetup means that the case could not run.
var errSetup = errors.New("the case could not run")

type options struct {
	root          string // of the repository
	dir           string // of temporary files
	record        string // path of the record
	trouble       bool
	slots         int
	eventInterval time.Duration
	maxQueue      float64 // seconds
}

type env struct {
	options
	base   string // first two octets of the addresses
	store  *store
	began  time.Time
	random *rand.Rand

	recordMu sync.Mutex
	out      *bufio.Writer
	broken   int

	mu       sync.Mutex
	procs    map[string]*proc
	proxies  map[[2]int]*proxy
	engines  []*engine
	arrivals []arrival
	done     map[string]bool
}

type arrival struct {
	item   string
	engine string
	after  int
	at     time.Time
}

type proc struct {
	name    string
	program string
	conf    string
	cmd     *exec.Cmd
	exited  chan struct{}
}

func newEnv(o options) (*env, error) {
	f, err := os.Create(o.record)
	if err != nil {
		return nil, err
	}
	e := &env{
		options: o, store: newStore(), began: time.Now(), random: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1)),
		out: bufio.NewWriter(f), procs: map[string]*proc{}, proxies: map[[2]int]*proxy{}, done: map[string]bool{},
	}
	for n := 20 + e.random.IntN(60); ; n++ {
		if n > 250 {
			return nil, errSetup
		}
		e.base = fmt.Sprintf("127.%d.", n)
		l, err := net.Listen("tcp4", e.ip(netStore, 1)+fmt.Sprintf(":%d", portStore))
		if err == nil {
			_ = l.Close()
			break
		}
	}
	e.note("trouble=%t", o.trouble)
	return e, nil
}

func (e *env) ip(network, n int) string { return fmt.Sprintf("%s%d", e.prefix(network), n) }

func (e *env) prefix(network int) string { return fmt.Sprintf("%s%d.", e.base, network) }

// note writes a line to the record.
func (e *env) note(format string, args ...any) {
	e.recordMu.Lock()
	defer e.recordMu.Unlock()
	fmt.Fprintf(e.out, "%8.3f %s\n", time.Since(e.began).Seconds(), fmt.Sprintf(format, args...))
}

// breaks notes that a rule was broken.
func (e *env) breaks(format string, args ...any) {
	e.note("BROKEN "+format, args...)
	e.recordMu.Lock()
	defer e.recordMu.Unlock()
	e.broken++
	fmt.Printf("BROKEN "+format+"\n", args...)
}

func (e *env) brokenRules() int {
	e.recordMu.Lock()
	defer e.recordMu.Unlock()
	return e.broken
}

func serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	return nil
}

// start starts the store, the engines, the proxies and the processes, and waits until the fronts are ready.
func (e *env) start(engines int) error {
	e.config(7, true)
	for i := range engines {
		zone := []string{"pamplemousses", "grand-port", "riviere-rempart"}[i%3]
		g := &engine{
			env: e, id: fmt.Sprintf("i-%08x", e.random.Uint32()), address: fmt.Sprintf("%s:%d", e.ip(netSide, i+1), portApp),
			zone: zone, slots: e.slots, born: time.Now().UnixMilli(), versions: map[string]int{models[0]: 1, models[1]: 1}, step: make(chan struct{}),
		}
		if err := serve(g.address, g); err != nil {
			return err
		}
		go g.steps()
		g.publish()
		e.engines = append(e.engines, g)
	}
	for i := range fronts {
		for j := range fronts {
			if i == j {
				continue
			}
			p, err := startProxy(fmt.Sprintf("%s:%d", e.ip(netProxy+i, j+1), portFirst), fmt.Sprintf("%s:%d", e.ip(netFront, j+1), portFirst))
			if err != nil {
				return err
			}
			e.proxies[[2]int{i, j}] = p
		}
	}
	for i, zone := range fronts {
		ip := e.ip(netFront, i+1)
		extra := fmt.Sprintf("listen.front=%s:%d\nlisten.ready=%s:%d\n", ip, portFront, ip, portReady)
		if err := e.startProcess(frontName(i), "entry", "front", zone, netFront, i+1, "0.304", 284, extra, i); err != nil {
			return err
		}
	}
	for i, g := range e.engines {
		extra := fmt.Sprintf("app=%s\nservice=%s\n", g.address, service)
		if err := e.startProcess(fmt.Sprintf("side-%d", i+1), "daemon", "side", g.zone, netSide, i+1, "0.32", 216, extra, -1); err != nil {
			return err
		}
	}
	for i, zone := range []string{"pamplemousses", "grand-port", "riviere-rempart"} {
		if err := e.startProcess(fmt.Sprintf("store-%d", i+1), "entry", "store", zone, netKeep, i+1, "0.8", 314, "data_dir="+e.dir+"\n", -1); err != nil {
			return err
		}
	}
	limit := time.Now().Add(20 * time.Second)
	for i := range fronts {
		for !e.ready(i) {
			if time.Now().After(limit) {
				return fmt.Errorf("%w: %s is not ready", errSetup, frontName(i))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second) // the links between the fronts are open
	e.note("%d fronts are ready, %d engines with %d slots", len(fronts), engines, e.slots)
	return nil
}

func frontName(i int) string { return fmt.Sprintf("front-%c", 'A'+i) }

// config writes a configuration of the operator, with or without the route of batch jobs.
func (e *env) config(version int, batch bool) {
	e.note("configuration %d, with the route of batch jobs: %t", version, batch)
	routes := []map[string]any{{
		"name": "r-a3hwrr6", "hostname": host, "path_prefix": "/lohu930/", "kind": "safe", "timeout_ms": 3000, "slo_ms": 200,
		"priority": 2, "service": service, "max_attempts": 2,
	}}
	if batch {
		routes = append(routes, map[string]any{
			"name": "r-x73d3zj", "hostname": host, "path_prefix": prefix, "kind": "rollout", "timeout_ms": 10000, "slo_ms": 400,
			"priority": 0, "service": service, "max_attempts": 3, "max_queue_s": e.maxQueue, "due_ms": 7500, "single_version": false,
			"sticky": true, "resumable": true,
		})
	}
	e.store.put("config", "main", map[string]any{
		"version": version,
		"routes":  routes,
		"services": []map[string]any{{
			"name": service, "health_path": "/health", "max_conns": 150, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": e.slots, "kv_capacity": 95878, "models": []map[string]any{{"name": models[0]}, {"name": models[1]}}},
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// startProcess writes the settings of a process and starts it with the command of the deploy file.
func (e *env) startProcess(name, program, class, zone string, network, n int, share string, memory int, extra string, observer int) error {
	at := &endpoint{store: e.store, process: name}
	if observer >= 0 {
		at.from, at.to = e.prefix(netFront), e.prefix(netProxy+observer)
	}
	address := fmt.Sprintf("%s:%d", e.ip(netStore, network*50+n-50), portStore)
	if err := serve(address, at); err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "node=%s\nrole=%s\nmachine_class=%s\nserves=%s\nip=%s\nzone=%s\nregion=%s\n", name, program, class, class, e.ip(network, n), zone, regions[zone])
	for z, r := range regions {
		fmt.Fprintf(&b, "zones.%s=%s\n", z, r)
	}
	b.WriteString(extra)
	fmt.Fprintf(&b, "port_range=%d,%d\nbootstrap=true\nlimits.cpu_share=%s\nlimits.cores=1\nlimits.memory_mb=%d\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\n", portFirst, portLast, share, memory)
	b.WriteString("discovery=platform\nentry=virtual_ip\nheartbeat_ms=1200\n" +
		"contracts=base,drain,config,cost,recover,samples,stream,engine,batch,platform\nfault_tolerance.machines=1\n" +
		"bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.contact_ms=4000\nbounds.ack_ms=5000\nbounds.sync_s=4.7\nbounds.drain_ms=2500\n" +
		"bounds.grace_s=8\nbounds.loss_slack_ms=200\nbounds.config_ms=2500\nbounds.rollback_slack_ms=250\nbounds.max_skew_ms=6000\n" +
		"bounds.recovery_s=12\nbounds.pass_ms=250\nbounds.retry_after_s=0\nbounds.finish_s=10\nbounds.status_s=120\nbounds.cancel_ms=3000\n" +
		"bounds.settle_ms=1000\nbounds.quota_excess=0.1\nbounds.require_fence=false\nbounds.lease_ms=3000\nbounds.thaw_ms=300\n")
	fmt.Fprintf(&b, "platform.address=%s\nplatform.form=objects\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.history_s=20\nplatform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n", address)
	p := &proc{name: name, program: filepath.Join(e.root, "target", program), conf: filepath.Join(e.dir, name+".conf")}
	if err := os.WriteFile(p.conf, []byte(b.String()), 0o600); err != nil {
		return err
	}
	e.procs[name] = p
	return e.launch(p)
}

func (e *env) launch(p *proc) error {
	log, err := os.OpenFile(filepath.Join(e.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(p.program, "--platform")
	c.Dir = e.root
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BULRUSHSPOKE_NODE_FILE=" + p.conf, "BULRUSHSPOKE_SECRET=bench-only-peer-secret", "GOMAXPROCS=1"}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return fmt.Errorf("%w: %w", errSetup, err)
	}
	exited := make(chan struct{})
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	e.mu.Lock()
	p.cmd, p.exited = c, exited
	e.mu.Unlock()
	return nil
}

// signal sends a signal to a process.
func (e *env) signal(name string, s syscall.Signal) {
	e.note("signal %q to %s", s, name)
	_ = e.procs[name].cmd.Process.Signal(s)
}

// restart stops a front with SIGTERM, kills it after the grace period, and starts it again.
func (e *env) restart(i int) error {
	p := e.procs[frontName(i)]
	e.signal(p.name, syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(8 * time.Second):
		e.signal(p.name, syscall.SIGKILL)
		<-p.exited
	}
	time.Sleep(300 * time.Millisecond)
	e.note("%s starts again", p.name)
	return e.launch(p)
}

// close ends all processes of this test.
func (e *env) close() {
	for _, p := range e.procs {
		if p.cmd != nil {
			_ = p.cmd.Process.Kill()
		}
	}
	for _, p := range e.procs {
		if p.cmd != nil {
			<-p.exited
		}
	}
	e.recordMu.Lock()
	defer e.recordMu.Unlock()
	_ = e.out.Flush()
}

// cutOff cuts a front off from all other fronts, or heals the cut. It still reaches the platform's store, and clients
// still reach it.
func (e *env) cutOff(i int, cut bool) {
	e.note("%s is cut off from the other fronts: %t", frontName(i), cut)
	for pair, p := range e.proxies {
		if pair[0] == i || pair[1] == i {
			p.setCut(cut)
		}
	}
}

func (e *env) ready(i int) bool {
	status, _, err := e.call(context.Background(), http.MethodGet, fmt.Sprintf("http://%s:%d/ready", e.ip(netFront, i+1), portReady), nil, nil)
	return err == nil && status == http.StatusOK
}

// arrived records that a server began to work on an item.
func (e *env) arrived(item, engine string, after int, now time.Time) {
	e.mu.Lock()
	e.arrivals = append(e.arrivals, arrival{item: item, engine: engine, after: after, at: now})
	e.mu.Unlock()
	e.note("run item=%s server=%s after=%d", item, engine, after)
}

func (e *env) finished(item string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.done[item] = true
}

// call sends one HTTP request on a new connection.
func (e *env) call(ctx context.Context, method, url string, header map[string]string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Host = host
	r.Close = true
	for k, v := range header {
		r.Header.Set(k, v)
	}
	t := &http.Transport{DisableKeepAlives: true}
	defer t.CloseIdleConnections()
	resp, err := t.RoundTrip(r)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	return resp.StatusCode, out, err
}

func (e *env) front(i int, path string) string {
	return fmt.Sprintf("http://%s:%d%s", e.ip(netFront, i+1), portFront, path)
}

// item is an item of a batch job.
type item struct {
	id, group, last string // last is the last element of its path
	events          int
}

// newGroups returns new groups of items with the given numbers of events.
func (e *env) newGroups(groups, size int, events func() int) []item {
	var l []item
	for range groups {
		group := fmt.Sprintf("g%08x", e.random.Uint32())
		for range size {
			n := events()
			l = append(l, item{id: fmt.Sprintf("%016x", e.random.Uint64()), group: group, events: n, last: fmt.Sprint(n)})
		}
	}
	return l
}

func (e *env) newID() string { return fmt.Sprintf("%016x", e.random.Uint64()) }

// submit hands in a batch job at a front and returns the status.
func (e *env) submit(front int, id, model string, step, minVersion, groupCount int, items []item) int {
	l := make([]map[string]any, 0, len(items))
	for _, it := range items {
		l = append(l, map[string]any{
			"id": it.id, "path": prefix + "3/" + it.last, "body": "q83vEjRWeJA=", "tokens": 1016 + 16*max(it.events, 1), "group": it.group,
			"headers": map[string]string{
				"X-Model": model, "X-Token-Count": fmt.Sprintf("1016,%d", 16*max(it.events, 1)), "X-Prompt-Prefix": "9c2e41:1000," + it.id[:6] + ":16",
				"X-Length-Hint": fmt.Sprint(16 * max(it.events, 1)),
			},
		})
	}
	body, err := json.Marshal(map[string]any{"step": step, "model": model, "min_version": minVersion, "group_count": groupCount, "items": l})
	if err != nil {
		panic(err)
	}
	status, _, err := e.call(context.Background(), http.MethodPost, e.front(front, prefix+id), map[string]string{"X-Request-Id": id, "X-Deadline-Ms": "3000", "Content-Type": "application/json"}, body)
	e.note("submit job=%s step=%d items=%d at %s: %d %v", id, step, len(items), frontName(front), status, err)
	return status
}

type result struct {
	ID       string `json:"id"`
	State    string `json:"state"`
	Text     string `json:"text"`
	Versions []int  `json:"versions"`
}

// readPage reads results from a position on.
func (e *env) readPage(front int, id string, after int) (int, []result) {
	status, body, err := e.call(context.Background(), http.MethodGet, e.front(front, fmt.Sprintf("/lots/%s?after=%d", id, after)), map[string]string{"X-Wait-Ms": "1000"}, nil)
	var p struct {
		Total, Next int
		Results     []result
	}
	if err == nil && status == http.StatusOK {
		err = json.Unmarshal(body, &p)
	}
	if err != nil || len(p.Results) > 0 || status != http.StatusOK {
		e.note("read job=%s after=%d at %s: %d, %d results %v", id, after, frontName(front), status, len(p.Results), err)
	}
	return status, p.Results
}

// end ends a batch job at a front and returns the status.
func (e *env) end(front int, id, who string) int {
	status, _, err := e.call(context.Background(), http.MethodDelete, e.front(front, "/lots/"+id), nil, nil)
	e.note("end job=%s by %s at %s: %d %v", id, who, frontName(front), status, err)
	return status
}

// completeGroups returns the groups whose items are all listed.
func completeGroups(items []item, listed map[string]bool) map[string]bool {
	open := map[string]bool{}
	all := map[string]bool{}
	for _, it := range items {
		all[it.group] = true
		if !listed[it.id] {
			open[it.group] = true
		}
	}
	for g := range open {
		delete(all, g)
	}
	return all
}

// checkText returns what is wrong with the text of a completed item, empty if nothing is.
func checkText(it item, r result) string {
	got := strings.Split(r.Text, "\n")
	var want []string
	for n := 1; n <= it.events; n++ {
		want = append(want, eventData(it.id, n))
	}
	if slices.Equal(got, want) {
		return ""
	}
	ids := []string{}
	for i, g := range got {
		if n, ok := strings.CutPrefix(g, it.id[:4]+"."); ok {
			g = n
		}
		if i < 6 {
			ids = append(ids, g)
		}
	}
	return fmt.Sprintf("the output of its servers has events 1 to %d, its text has %d events, which begin with %s", it.events, len(got), strings.Join(ids, ", "))
}
