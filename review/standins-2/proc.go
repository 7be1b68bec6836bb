package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const secret = "bench-only-peer-secret"

// network is a free loopback network of 127.A.B.x addresses.
type network struct{ prefix string }

func newNetwork() network {
	for {
		n := network{fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250))}
		l, err := net.Listen("tcp4", n.ip(250)+":8169")
		if err != nil {
			continue
		}
		_ = l.Close()
		return n
	}
}

func (n network) ip(host int) string { return fmt.Sprintf("%s%d", n.prefix, host) }

// record is record.txt: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
	bad   []string
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		cannot("record: %v", err)
	}
	return &record{f: f, start: time.Now()}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.line("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bad = append(r.bad, text)
}

// cannot ends the run with the status for a case that could not run.
func cannot(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	stopAll()
	_ = os.RemoveAll(tempDir)
	os.Exit(2)
}

// tempDir holds settings and logs of the processes; empty before it is made.
var tempDir string

// process is a program of the project, started with the command of the deploy file.
type process struct {
	name string
	conf string
	args []string
	dir  string
	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

var (
	allMu sync.Mutex
	all   []*process
)

func newProcess(dir, name, program, settings string) *process {
	p := &process{name: name, conf: filepath.Join(dir, name+".conf"), args: []string{program, "--platform"}, dir: dir}
	if err := os.WriteFile(p.conf, []byte(settings), 0o600); err != nil {
		cannot("settings: %v", err)
	}
	allMu.Lock()
	all = append(all, p)
	allMu.Unlock()
	return p
}

func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannot("log: %v", err)
	}
	defer out.Close()
	c := exec.Command(p.args[0], p.args[1:]...)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BULRUSHSPOKE_SECRET=" + secret, "BULRUSHSPOKE_NODE_FILE=" + p.conf}
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		cannot("start %s: %v", p.name, err)
	}
	p.cmd, p.done = c, make(chan struct{})
	done := p.done
	go func() { _ = c.Wait(); close(done) }()
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	p.wait()
}

func (p *process) wait() {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done != nil {
		<-done
	}
}

func stopAll() {
	allMu.Lock()
	defer allMu.Unlock()
	for _, p := range all {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	for _, p := range all {
		p.wait()
	}
}

func serveOn(address string, h http.Handler) *http.Server {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		cannot("listen: %v", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	return s
}

// settings returns the settings file of a small deployment, with the figures of saule-rollout.
func settings(n network, class, name, zone string, host int, more ...string) string {
	region := map[string]string{"pamplemousses": "nord", "riviere-rempart": "nord", "grand-port": "sud"}[zone]
	l := []string{
		"node=" + name, "role=" + class, "machine_class=" + class, "serves=" + class, "ip=" + n.ip(host), "zone=" + zone, "region=" + region,
		"zones.pamplemousses=nord", "zones.grand-port=sud", "zones.riviere-rempart=nord", "port_range=7720,7735", "seeds=",
		"bootstrap=true", "fault_counted=false", "limits.cores=1", "discovery=platform", "entry=virtual_ip", "heartbeat_ms=1200",
		"contracts=base,drain,config,cost,recover,samples,stream,engine,batch,platform", "fault_tolerance.machines=1",
		"bounds.seed_lag_s=3", "bounds.reuse_after_s=2", "bounds.contact_ms=4000", "bounds.ack_ms=5000", "bounds.sync_s=4.7",
		"bounds.drain_ms=2500", "bounds.grace_s=8", "bounds.loss_slack_ms=200", "bounds.config_ms=2500", "bounds.rollback_slack_ms=250",
		"bounds.max_skew_ms=6000", "bounds.recovery_s=12", "bounds.pass_ms=250", "bounds.retry_after_s=0", "bounds.finish_s=10",
		"bounds.status_s=120", "bounds.cancel_ms=3000", "bounds.settle_ms=1000", "bounds.quota_excess=0.1", "bounds.require_fence=false",
		"bounds.lease_ms=3000", "bounds.thaw_ms=300", "platform.address=" + n.ip(250) + ":8169", "platform.form=objects",
		"platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.history_s=20", "platform.value_bytes=1048576", "platform.ttl_min_ms=1000",
	}
	switch class {
	case "front":
		l = append(l, "limits.cpu_share=0.304", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
			"listen.front="+n.ip(host)+":8161", "listen.ready="+n.ip(host)+":8167")
	case "side":
		l = append(l, "limits.cpu_share=0.32", "limits.memory_mb=216", "limits.max_fds=4096", "limits.link_mbps=2000.0", "limits.disk_mb=0",
			"app="+n.ip(host)+":8165", "service=plan-models")
	}
	return strings.Join(append(l, more...), "\n") + "\n"
}
