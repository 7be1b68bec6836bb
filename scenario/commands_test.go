package scenario_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"bulrushspoke/scenario/history"
	"bulrushspoke/scenario/rig"
	"bulrushspoke/standin/report"
	"bulrushspoke/wire"
)

const (
	maxTries   = 10 // of a completion that is refused as busy
	retryPause = 500 * time.Millisecond
)

// worldKey finds the state of a script.
type worldKey struct{}

// world is the state of a script.
type world struct {
	ctx   context.Context
	rig   *rig.Rig
	fleet *rig.Fleet
	work  sync.WaitGroup // callers

	mu      sync.Mutex
	history history.History
	jobs    map[string]chan struct{} // callers by name, closed at the end
	servers map[string][]string      // by daemon
}

func newWorld(ctx context.Context, r *rig.Rig) *world {
	return &world{ctx: ctx, rig: r, jobs: map[string]chan struct{}{}, servers: map[string][]string{}}
}

type command func(w *world, ts *testscript.TestScript, args []string) error

// commands returns the commands of the scripts.
//
//	fleet [name=value …]        starts a fleet: entries, daemons, rate, slots, swap, delay, stagger, staleness, relays, ignore
//	step NAME [flag …]          starts a trainer with more flags of bulrush-standin trainer
//	held NAME N                 waits until the trainer holds N samples
//	call NAME [name=value …]    starts callers of completions: n, at a time, tokens, gap (ms), stream
//	write NAME [name=value …]   starts callers of the service: n keys, copies of each at a time, gap (ms), twice
//	join NAME …                 waits for trainers and callers
//	owner RUN.STEP VAR          sets VAR to the entry that owns a step, and VAR_other to another one
//	destroy|freeze|thaw|term NAME sends SIGKILL, SIGSTOP, SIGCONT or SIGTERM
//	ended NAME STATUS           waits for the end of a process
//	start NAME                  starts a process that has ended again
//	control NAME JSON           injects a fault into a stand-in
//	silence|cut DAEMON          makes the links to a daemon silent, or closes them
//	outage refuse|hang|end      of the store
//	drain ENTRY DAEMON          asks a daemon to leave
//	leaves SERVER               notes that a server leaves now
//	race ENTRY …                operators change the configuration through all these entries at once; one must win
//	ready ENTRY                 waits until an entry is linked to all servers
//	sleep MS
//	answers NAME STATUS N       checks that at least N calls of NAME were answered with a status
//	versions NAME N             checks that the samples of a trainer come from at least N weight versions
//	lost N                      checks that the store lost the answers of at least N writes
//	check                       applies every rule of package history to what was seen
func commands() map[string]func(*testscript.TestScript, bool, []string) {
	out := map[string]func(*testscript.TestScript, bool, []string){}
	for name, c := range map[string]command{
		"fleet": fleet, "step": step, "held": held, "call": call, "write": write, "join": join, "owner": owner,
		"destroy": signal(syscall.SIGKILL), "freeze": signal(syscall.SIGSTOP), "thaw": signal(syscall.SIGCONT),
		"term": signal(syscall.SIGTERM), "ended": ended, "start": start, "control": control, "silence": silence,
		"cut": cutLink, "outage": outage, "drain": drain, "leaves": leaves, "ready": ready, "sleep": sleep, "check": check,
		"answers": answers, "race": configRace, "versions": versions, "lost": lost,
	} {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			w := ts.Value(worldKey{}).(*world)
			err := c(w, ts, args)
			if neg && err == nil {
				ts.Fatalf("%s succeeded", name)
			}
			if err != nil && !neg {
				ts.Logf("%s", w.rig.Logs())
				ts.Fatalf("%s: %v", name, err)
			}
		}
	}
	return out
}

// options reads arguments of the form name=value; a name alone is true.
type options map[string]string

func parse(args []string) options {
	o := options{}
	for _, a := range args {
		k, v, ok := strings.Cut(a, "=")
		if !ok {
			v = "true"
		}
		o[k] = v
	}
	return o
}

func (o options) number(name string, otherwise int) int {
	v, ok := o[name]
	if !ok {
		return otherwise
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		panic(err)
	}
	return n
}

func (o options) time(name string, otherwise int) time.Duration {
	return time.Duration(o.number(name, otherwise)) * time.Millisecond
}

func fleet(w *world, _ *testscript.TestScript, args []string) error {
	o := parse(args)
	l := rig.Layout{
		Slots: o.number("slots", 8), TokenRate: float64(o.number("rate", 100)), LoadTime: o.time("swap", 200),
		ServiceDelay: o.time("delay", 5), StaggerWindow: o.time("stagger", 500), Staleness: o.number("staleness", 1),
		ListLag: o.time("lag", 200), Relays: o["relays"] != "",
	}
	if v := o["ignore"]; v != "" {
		l.IgnoreFencing = strings.Split(v, ",")
	}
	sites := []rig.Site{{Region: "nord", Domain: "n1"}, {Region: "sud", Domain: "s1"}, {Region: "nord", Domain: "n2"}}
	for i := range o.number("entries", 2) {
		l.Entries = append(l.Entries, rig.Instance{Name: fmt.Sprintf("entry%d", i+1), Site: sites[i%len(sites)]})
	}
	for i := range o.number("daemons", 3) {
		d := rig.Instance{
			Name: fmt.Sprintf("daemon%d", i+1), Site: sites[i%len(sites)], Engines: []string{fmt.Sprintf("engine%d", i+1)},
		}
		if i < 2 {
			d.Services = []string{fmt.Sprintf("ledger%d", i+1)}
		}
		w.servers[d.Name] = append(append([]string{}, d.Engines...), d.Services...)
		l.Daemons = append(l.Daemons, d)
	}
	w.fleet = rig.NewFleet(w.rig, l)
	return w.fleet.Start(w.ctx)
}

// step starts a trainer on all entries.
func step(w *world, _ *testscript.TestScript, args []string) error {
	name := args[0]
	flags := []string{
		"trainer", "--token", rig.TrainerToken, "--run", name, "--model", rig.Model, "--staleness", "1", "--timeout", "80s",
	}
	for _, e := range w.fleet.Entries() {
		flags = append(flags, "--entry", e)
	}
	_, err := w.rig.Start(name, "bulrush-standin", append(flags, args[1:]...)...)
	return err
}

// held waits for the line of a trainer that tells how many samples it holds.
func held(w *world, _ *testscript.TestScript, args []string) error {
	want, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	p, err := w.rig.Process(args[0])
	if err != nil {
		return err
	}
	n := 0
	err = rig.Poll(w.ctx, args[0]+" to hold "+args[1], func(context.Context) error {
		running := p.Running()
		text, err := p.Log()
		if err != nil {
			return err
		}
		for line := range strings.Lines(string(text)) {
			_, _ = fmt.Sscanf(line, "held %d", &n)
		}
		if n < want && running {
			return fmt.Errorf("%s holds %d", args[0], n)
		}
		return nil
	})
	if err == nil && n < want {
		return fmt.Errorf("%s ended with %d samples", args[0], n)
	}
	return err
}

// job runs f under a name that join knows.
func (w *world) job(name string, f func()) {
	done := make(chan struct{})
	w.mu.Lock()
	w.jobs[name] = done
	w.mu.Unlock()
	w.work.Go(func() {
		defer close(done)
		f()
	})
}

// call starts n completions, spread over the entries.
func call(w *world, _ *testscript.TestScript, args []string) error {
	name, o := args[0], parse(args[1:])
	entries := w.fleet.Entries()
	w.job(name, func() {
		var g sync.WaitGroup
		for i := range o.number("n", 10) {
			g.Go(func() {
				w.complete(entries[i%len(entries)], wire.CompletionRequest{
					Model: rig.Model, Prompt: fmt.Sprintf("%s call %d %s", name, i, o["text"]), MaxTokens: o.number("tokens", 40),
					Stream: o["stream"] != "",
				})
			})
			time.Sleep(o.time("gap", 50))
		}
		g.Wait()
	})
	return nil
}

// complete calls for a completion, and again after a refusal as busy, as callers are asked to do. Each try has its own
// prompt, so that a refused one can be looked for at the engines.
func (w *world) complete(entry string, q wire.CompletionRequest) {
	prompt := q.Prompt
	for i := range maxTries {
		q.Prompt = fmt.Sprintf("%s try %d", prompt, i)
		c := rig.Complete(w.ctx, entry, rig.LiveToken, q)
		w.mu.Lock()
		w.history.Completions = append(w.history.Completions, c)
		w.mu.Unlock()
		if c.Code != "busy" || c.Ran != history.NotRun {
			return
		}
		time.Sleep(retryPause)
	}
}

// write starts n calls of the service; each key is sent by several copies at once, through different entries, and
// with twice once more after them.
func write(w *world, _ *testscript.TestScript, args []string) error {
	name, o := args[0], parse(args[1:])
	entries := w.fleet.Entries()
	send := func(key string, i int) {
		r := rig.Write(w.ctx, entries[i%len(entries)], rig.LedgerToken, rig.Service, key, "/entries/"+key)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.history.Writes = append(w.history.Writes, r)
	}
	w.job(name, func() {
		var all sync.WaitGroup
		for i := range o.number("n", 10) {
			key := fmt.Sprintf("%s-%d", name, i)
			all.Go(func() {
				var g sync.WaitGroup
				for j := range o.number("copies", 1) {
					g.Go(func() { send(key, i+j) })
				}
				g.Wait()
				if o["twice"] != "" {
					send(key, i+1)
				}
			})
			time.Sleep(o.time("gap", 50))
		}
		all.Wait()
	})
	return nil
}

// join waits for callers, and for trainers, whose summaries it adds to the history.
func join(w *world, ts *testscript.TestScript, args []string) error {
	for _, name := range args {
		w.mu.Lock()
		done := w.jobs[name]
		w.mu.Unlock()
		if done != nil {
			select {
			case <-done:
			case <-w.ctx.Done():
				return fmt.Errorf("%s has not ended", name)
			}
			continue
		}
		if err := w.trained(ts, name); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) trained(ts *testscript.TestScript, name string) error {
	p, err := w.rig.Process(name)
	if err != nil {
		return err
	}
	if _, err := p.Wait(w.ctx); err != nil {
		return err
	}
	text, err := p.Output()
	if err != nil {
		return err
	}
	var s report.Step
	if err := json.Unmarshal(text, &s); err != nil {
		return fmt.Errorf("summary %.200q: %w", text, err)
	}
	ts.Logf("%s: %d samples in %d ms, idle %d ms, versions %v, oldest %d, %d errors, %d rejected, %d reopened",
		name, s.Samples, s.Total, s.Idle, s.Versions, s.Oldest, s.Errors, s.Rejected, s.Reopened)
	w.history.Steps = append(w.history.Steps, s)
	return nil
}

func owner(w *world, ts *testscript.TestScript, args []string) error {
	run, number, _ := strings.Cut(args[0], ".")
	return rig.Poll(w.ctx, "the owner of "+args[0], func(ctx context.Context) error {
		var s wire.StepStatus
		header := map[string]string{"Authorization": "Bearer " + rig.TrainerToken}
		if err := rig.Get(ctx, w.fleet.Entries()[0]+"/v1/steps/"+run+"/"+number, &s, header); err != nil {
			return err
		}
		if s.Owner == "" {
			return errors.New("no owner")
		}
		other := "entry1"
		if s.Owner == other {
			other = "entry2"
		}
		ts.Setenv(args[1], s.Owner)
		ts.Setenv(args[1]+"_other", other)
		return nil
	})
}

func signal(s os.Signal) command {
	return func(w *world, _ *testscript.TestScript, args []string) error {
		for _, name := range args {
			p, err := w.rig.Process(name)
			if err != nil {
				return err
			}
			if err := p.Signal(s); err != nil {
				return err
			}
		}
		return nil
	}
}

func ended(w *world, _ *testscript.TestScript, args []string) error {
	p, err := w.rig.Process(args[0])
	if err != nil {
		return err
	}
	status, err := p.Wait(w.ctx)
	if err != nil {
		return err
	}
	if want := args[1]; strconv.Itoa(status) != want {
		return fmt.Errorf("%s ended with status %d, want %s", args[0], status, want)
	}
	return nil
}

func start(w *world, _ *testscript.TestScript, args []string) error { return w.rig.Restart(args[0]) }

func control(w *world, _ *testscript.TestScript, args []string) error {
	return w.control(args[0], json.RawMessage(args[1]))
}

func (w *world) control(name string, fault any) error {
	a, err := w.fleet.Address(name)
	if err != nil {
		return err
	}
	return rig.Control(w.ctx, a, fault)
}

func silence(w *world, _ *testscript.TestScript, args []string) error {
	mode := "existing"
	return w.control("link-"+args[0], report.RelayControl{Silent: &mode})
}

func cutLink(w *world, _ *testscript.TestScript, args []string) error {
	return w.control("link-"+args[0], report.RelayControl{Cut: true})
}

func outage(w *world, _ *testscript.TestScript, args []string) error {
	mode := args[0]
	if mode == "end" {
		mode = ""
	}
	return w.control("store", report.StoreControl{Outage: &mode})
}

func drain(w *world, ts *testscript.TestScript, args []string) error {
	a, err := rig.Do(w.ctx, http.MethodPost, w.fleet.URL(args[0])+"/v1/upstreams/"+args[1]+"/drain", nil,
		map[string]string{"Authorization": "Bearer " + rig.OperatorToken})
	if err != nil {
		return err
	}
	if a.Status/100 != 2 {
		return fmt.Errorf("status %d: %s", a.Status, a.Body)
	}
	return leaves(w, ts, args[1:])
}

func leaves(w *world, _ *testscript.TestScript, args []string) error {
	now := time.Now().UnixMilli()
	for _, d := range args {
		for _, s := range w.servers[d] {
			w.history.Drains = append(w.history.Drains, history.Drain{Server: s, At: now})
		}
	}
	return nil
}

func ready(w *world, _ *testscript.TestScript, args []string) error {
	return w.fleet.Ready(w.ctx, args[0])
}

func sleep(_ *world, _ *testscript.TestScript, args []string) error {
	ms, err := strconv.Atoi(args[0])
	time.Sleep(time.Duration(ms) * time.Millisecond)
	return err
}

// configRace replaces the same revision through several entries at once. Exactly one change may win, and it must come
// into force at every entry.
func configRace(w *world, ts *testscript.TestScript, args []string) error {
	base, err := w.fleet.Config(w.ctx, args[0])
	if err != nil {
		return err
	}
	statuses := make([]int, len(args))
	var g sync.WaitGroup
	for i, entry := range args {
		g.Go(func() {
			doc := wire.Document{Change: fmt.Sprintf("%s-%d-%d", entry, base.Revision, i), Profiles: base.Document.Profiles}
			a, err := w.fleet.Apply(w.ctx, entry, doc, base.Revision)
			if err != nil {
				ts.Logf("%s: %v", entry, err)
			}
			statuses[i] = a.Status
		})
	}
	g.Wait()
	winner := ""
	for i, s := range statuses {
		switch {
		case s == http.StatusOK && winner == "":
			winner = fmt.Sprintf("%s-%d-%d", args[i], base.Revision, i)
		case s != http.StatusConflict:
			return fmt.Errorf("statuses %v, want one 200 and else 409", statuses)
		}
	}
	if winner == "" {
		return fmt.Errorf("statuses %v: no change won", statuses)
	}
	for _, entry := range args {
		err := rig.Poll(w.ctx, winner+" in force at "+entry, func(ctx context.Context) error {
			c, err := w.fleet.Config(ctx, entry)
			if err == nil && c.Document.Change != winner {
				err = fmt.Errorf("revision %d of %s is in force", c.Revision, c.Document.Change)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// answers checks that the calls started under a name were served, so that a fleet that refuses everything fails.
func answers(w *world, _ *testscript.TestScript, args []string) error {
	status, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	want, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	n, others := 0, map[string]int{}
	count := func(key string, got int, other string) {
		switch {
		case !strings.HasPrefix(key, args[0]):
		case got == status:
			n++
		default:
			others[fmt.Sprintf("%d %s", got, other)]++
		}
	}
	for _, c := range w.history.Completions {
		count(c.Prompt, c.Status, c.Code+" "+c.Ran+" "+c.Message+c.Error)
	}
	for _, c := range w.history.Writes {
		count(c.Key, c.Status, c.Code+" "+c.Ran+" "+c.Message+c.Error)
	}
	if n < want {
		return fmt.Errorf("%d calls were answered %d, want %d; others %v", n, status, want, others)
	}
	return nil
}

// versions checks that a weight change reached the samples, so that a step that ends before it proves nothing.
func versions(w *world, _ *testscript.TestScript, args []string) error {
	for _, s := range w.history.Steps {
		if s.Run == args[0] && strconv.Itoa(len(s.Versions)) >= args[1] {
			return nil
		}
	}
	return fmt.Errorf("no step of %s with %s versions", args[0], args[1])
}

// lost checks that a fault was met, so that a run without it proves nothing.
func lost(w *world, _ *testscript.TestScript, args []string) error {
	var c report.StoreCounts
	if err := rig.Get(w.ctx, w.fleet.URL("store")+"/counts", &c, nil); err != nil {
		return err
	}
	if want, err := strconv.ParseInt(args[0], 10, 64); err != nil || c.Lost < want {
		return fmt.Errorf("%d answers were lost, want %s", c.Lost, args[0])
	}
	return nil
}

// check applies every rule of package history, and looks for reports of the race detector in the logs.
func check(w *world, ts *testscript.TestScript, _ []string) error {
	if err := w.fleet.Collect(w.ctx, &w.history); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	answered, longest := map[string]int{}, int64(0)
	for _, c := range w.history.Completions {
		answered[fmt.Sprintf("completion %d %s %s", c.Status, c.Code, c.Ran)]++
		longest = max(longest, c.Total)
	}
	for _, c := range w.history.Writes {
		answered[fmt.Sprintf("write %d %s %s", c.Status, c.Code, c.Ran)]++
	}
	made, used := w.history.Tokens()
	ts.Logf("answers %v; longest completion %d ms; %d of %d tokens used", answered, longest, used, made)
	if w.rig.LogsContain("WARNING: DATA RACE") {
		return errRace
	}
	if p := w.history.Check(); len(p) > 0 {
		return fmt.Errorf("%d problems:\n%s", len(p), strings.Join(p, "\n"))
	}
	return nil
}
