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
	maxAttempts = 10 // attempts of a completion that is refused as busy
	retryDelay  = 500 * time.Millisecond
)

// scriptKey is the key of a script in the values of a testscript.Env.
type scriptKey struct{}

// script is the state of a running script.
type script struct {
	ctx     context.Context
	rig     *rig.Rig
	fleet   *rig.Fleet
	callers sync.WaitGroup // running callers

	mu      sync.Mutex
	history history.History
	jobs    map[string]chan struct{} // by name of the callers, closed when all have ended
	servers map[string][]string      // by daemon name
}

func newScript(ctx context.Context, r *rig.Rig) *script {
	return &script{ctx: ctx, rig: r, jobs: map[string]chan struct{}{}, servers: map[string][]string{}}
}

type command func(w *script, ts *testscript.TestScript, args []string) error

// commands returns the commands of the scripts.
//
//	fleet [name=value …]        starts a fleet: entries, daemons, rate, slots, swap, delay, stagger, staleness, lag,
//	                            relays, ignore
//	step NAME [flag …]          starts a trainer with additional flags of bulrush-standin trainer
//	held NAME N                 waits until the trainer has received N samples
//	call NAME [name=value …]    starts n callers of completions: n, gap between their starts (ms), tokens, text, stream
//	write NAME [name=value …]   starts callers of the service: n keys, gap between their starts (ms), copies of each key
//	                            sent concurrently, twice to send each key again afterwards
//	join NAME …                 waits for trainers and callers
//	owner RUN.STEP VAR          sets VAR to the entry that owns a step, and VAR_other to the other entry
//	destroy|freeze|thaw|term NAME …  sends SIGKILL, SIGSTOP, SIGCONT or SIGTERM
//	ended NAME STATUS           waits until a process exits and checks its exit status
//	start NAME                  restarts a process that has exited
//	control NAME JSON           injects a fault into a stand-in
//	silence|cut DAEMON          makes the links to a daemon silent, or closes them
//	outage refuse|hang|end      starts an outage of the store, which refuses calls or hangs, or ends the outage
//	drain ENTRY DAEMON          drains a daemon through an entry and records the start of the drain
//	leaves DAEMON …             records that the drain of the servers of a daemon starts now
//	race ENTRY …                replaces the configuration through these entries at once; exactly one change must win
//	ready ENTRY                 waits until an entry is ready and linked to all servers
//	sleep MS                    waits for a time
//	answers NAME STATUS N       checks that at least N calls of NAME ended with a status
//	versions NAME N             checks that the samples of a trainer come from at least N weight versions
//	lost N                      checks that the store lost the responses to at least N writes
//	check                       applies all checks of package history and fails on a data race
func commands() map[string]func(*testscript.TestScript, bool, []string) {
	out := map[string]func(*testscript.TestScript, bool, []string){}
	for name, c := range map[string]command{
		"fleet": startFleet, "step": startTrainer, "held": waitForSamples, "call": startCompletions, "write": startWrites,
		"join": join, "owner": findOwner,
		"destroy": sendSignal(syscall.SIGKILL), "freeze": sendSignal(syscall.SIGSTOP), "thaw": sendSignal(syscall.SIGCONT),
		"term": sendSignal(syscall.SIGTERM), "ended": waitForExit, "start": restart, "control": injectJSON,
		"silence": silenceLinks, "cut": cutLink, "outage": setOutage, "drain": drain, "leaves": recordDrain,
		"ready": waitForReady, "sleep": sleep, "check": checkHistory,
		"answers": checkStatuses, "race": configRace, "versions": checkVersions, "lost": checkLostAnswers,
	} {
		out[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			w := ts.Value(scriptKey{}).(*script)
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

// options holds arguments of the form name=value; a name alone has the value true.
type options map[string]string

func parseOptions(args []string) options {
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

func (o options) integer(name string, fallback int) int {
	v, ok := o[name]
	if !ok {
		return fallback
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		panic(err)
	}
	return n
}

func (o options) duration(name string, fallback int) time.Duration {
	return time.Duration(o.integer(name, fallback)) * time.Millisecond
}

func startFleet(w *script, _ *testscript.TestScript, args []string) error {
	o := parseOptions(args)
	l := rig.Layout{
		Slots: o.integer("slots", 8), TokenRate: float64(o.integer("rate", 100)), LoadTime: o.duration("swap", 200),
		ServiceDelay: o.duration("delay", 5), StaggerWindow: o.duration("stagger", 500), Staleness: o.integer("staleness", 1),
		ListLag: o.duration("lag", 200), Relays: o["relays"] != "",
	}
	if v := o["ignore"]; v != "" {
		l.IgnoreFencing = strings.Split(v, ",")
	}
	sites := []rig.Site{{Region: "nord", Domain: "n1"}, {Region: "sud", Domain: "s1"}, {Region: "nord", Domain: "n2"}}
	for i := range o.integer("entries", 2) {
		l.Entries = append(l.Entries, rig.Instance{Name: fmt.Sprintf("entry%d", i+1), Site: sites[i%len(sites)]})
	}
	for i := range o.integer("daemons", 3) {
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

// startTrainer starts a trainer that uses all entries.
func startTrainer(w *script, _ *testscript.TestScript, args []string) error {
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

// waitForSamples waits until the log of a trainer reports the number of samples received.
func waitForSamples(w *script, _ *testscript.TestScript, args []string) error {
	want, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	p, err := w.rig.Process(args[0])
	if err != nil {
		return err
	}
	n := 0
	err = rig.Poll(w.ctx, args[0]+" to have samples: "+args[1], func(context.Context) error {
		running := p.Running()
		text, err := p.Log()
		if err != nil {
			return err
		}
		for line := range strings.Lines(string(text)) {
			_, _ = fmt.Sscanf(line, "held %d", &n)
		}
		if n < want && running {
			return fmt.Errorf("%s has %d samples", args[0], n)
		}
		return nil
	})
	if err == nil && n < want {
		return fmt.Errorf("%s exited with %d samples", args[0], n)
	}
	return err
}

// startCallers runs f under a name that join accepts.
func (w *script) startCallers(name string, f func()) {
	done := make(chan struct{})
	w.mu.Lock()
	w.jobs[name] = done
	w.mu.Unlock()
	w.callers.Go(func() {
		defer close(done)
		f()
	})
}

// startCompletions starts n completions, spread round robin over the entries.
func startCompletions(w *script, _ *testscript.TestScript, args []string) error {
	name, o := args[0], parseOptions(args[1:])
	entries := w.fleet.Entries()
	w.startCallers(name, func() {
		var g sync.WaitGroup
		for i := range o.integer("n", 10) {
			g.Go(func() {
				w.complete(entries[i%len(entries)], wire.CompletionRequest{
					Model: rig.Model, Prompt: fmt.Sprintf("%s call %d %s", name, i, o["text"]), MaxTokens: o.integer("tokens", 40),
					Stream: o["stream"] != "",
				})
			})
			time.Sleep(o.duration("gap", 50))
		}
		g.Wait()
	})
	return nil
}

// complete sends a completion request and repeats it after a refusal as busy, as callers are asked to do. Each attempt
// has its own prompt, so that the checks can find executions of a refused attempt in the records of the engines.
func (w *script) complete(entry string, q wire.CompletionRequest) {
	prompt := q.Prompt
	for i := range maxAttempts {
		q.Prompt = fmt.Sprintf("%s try %d", prompt, i)
		c := rig.Complete(w.ctx, entry, rig.LiveToken, q)
		w.mu.Lock()
		w.history.Completions = append(w.history.Completions, c)
		w.mu.Unlock()
		if c.Code != "busy" || c.Ran != history.NotRun {
			return
		}
		time.Sleep(retryDelay)
	}
}

// startWrites starts calls of the service with n keys. It sends several copies of each key concurrently through
// different entries and, with the option twice, one more after they have ended.
func startWrites(w *script, _ *testscript.TestScript, args []string) error {
	name, o := args[0], parseOptions(args[1:])
	entries := w.fleet.Entries()
	send := func(key string, i int) {
		r := rig.Write(w.ctx, entries[i%len(entries)], rig.LedgerToken, rig.Service, key, "/entries/"+key)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.history.Writes = append(w.history.Writes, r)
	}
	w.startCallers(name, func() {
		var all sync.WaitGroup
		for i := range o.integer("n", 10) {
			key := fmt.Sprintf("%s-%d", name, i)
			all.Go(func() {
				var g sync.WaitGroup
				for j := range o.integer("copies", 1) {
					g.Go(func() { send(key, i+j) })
				}
				g.Wait()
				if o["twice"] != "" {
					send(key, i+1)
				}
			})
			time.Sleep(o.duration("gap", 50))
		}
		all.Wait()
	})
	return nil
}

// join waits for callers and trainers, and adds the summaries of the trainers to the history.
func join(w *script, ts *testscript.TestScript, args []string) error {
	for _, name := range args {
		w.mu.Lock()
		done := w.jobs[name]
		w.mu.Unlock()
		if done != nil {
			select {
			case <-done:
			case <-w.ctx.Done():
				return fmt.Errorf("callers %s have not ended", name)
			}
			continue
		}
		if err := w.addSummary(ts, name); err != nil {
			return err
		}
	}
	return nil
}

func (w *script) addSummary(ts *testscript.TestScript, name string) error {
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
		return fmt.Errorf("decode trainer summary %.200q: %w", text, err)
	}
	ts.Logf("%s: %d samples in %d ms, idle %d ms, versions %v, oldest %d, %d errors, %d rejected, %d reopened",
		name, s.Samples, s.Total, s.Idle, s.Versions, s.Oldest, s.Errors, s.Rejected, s.Reopened)
	w.history.Steps = append(w.history.Steps, s)
	return nil
}

func findOwner(w *script, ts *testscript.TestScript, args []string) error {
	run, number, _ := strings.Cut(args[0], ".")
	return rig.Poll(w.ctx, "the owner of "+args[0], func(ctx context.Context) error {
		var s wire.StepStatus
		header := map[string]string{"Authorization": "Bearer " + rig.TrainerToken}
		if err := rig.Get(ctx, w.fleet.Entries()[0]+"/v1/steps/"+run+"/"+number, &s, header); err != nil {
			return err
		}
		if s.Owner == "" {
			return errors.New("the step has no owner")
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

func sendSignal(s os.Signal) command {
	return func(w *script, _ *testscript.TestScript, args []string) error {
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

func waitForExit(w *script, _ *testscript.TestScript, args []string) error {
	p, err := w.rig.Process(args[0])
	if err != nil {
		return err
	}
	status, err := p.Wait(w.ctx)
	if err != nil {
		return err
	}
	if want := args[1]; strconv.Itoa(status) != want {
		return fmt.Errorf("%s exited with status %d, want %s", args[0], status, want)
	}
	return nil
}

func restart(w *script, _ *testscript.TestScript, args []string) error { return w.rig.Restart(args[0]) }

func injectJSON(w *script, _ *testscript.TestScript, args []string) error {
	return w.injectFault(args[0], json.RawMessage(args[1]))
}

func (w *script) injectFault(name string, fault any) error {
	a, err := w.fleet.Address(name)
	if err != nil {
		return err
	}
	return rig.Control(w.ctx, a, fault)
}

func silenceLinks(w *script, _ *testscript.TestScript, args []string) error {
	mode := "existing"
	return w.injectFault("link-"+args[0], report.RelayControl{Silent: &mode})
}

func cutLink(w *script, _ *testscript.TestScript, args []string) error {
	return w.injectFault("link-"+args[0], report.RelayControl{Cut: true})
}

func setOutage(w *script, _ *testscript.TestScript, args []string) error {
	mode := args[0]
	if mode == "end" {
		mode = ""
	}
	return w.injectFault("store", report.StoreControl{Outage: &mode})
}

func drain(w *script, ts *testscript.TestScript, args []string) error {
	a, err := rig.Do(w.ctx, http.MethodPost, w.fleet.URL(args[0])+"/v1/upstreams/"+args[1]+"/drain", nil,
		map[string]string{"Authorization": "Bearer " + rig.OperatorToken})
	if err != nil {
		return err
	}
	if a.Status/100 != 2 {
		return fmt.Errorf("status %d: %s", a.Status, a.Body)
	}
	return recordDrain(w, ts, args[1:])
}

func recordDrain(w *script, _ *testscript.TestScript, args []string) error {
	now := time.Now().UnixMilli()
	for _, d := range args {
		for _, s := range w.servers[d] {
			w.history.Drains = append(w.history.Drains, history.Drain{Server: s, At: now})
		}
	}
	return nil
}

func waitForReady(w *script, _ *testscript.TestScript, args []string) error {
	return w.fleet.Ready(w.ctx, args[0])
}

func sleep(_ *script, _ *testscript.TestScript, args []string) error {
	ms, err := strconv.Atoi(args[0])
	time.Sleep(time.Duration(ms) * time.Millisecond)
	return err
}

// configRace replaces the same revision of the configuration through several entries at once. Exactly one change may
// win, and all entries must use it.
func configRace(w *script, ts *testscript.TestScript, args []string) error {
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
			return fmt.Errorf("statuses %v, want one 200 and 409 for all others", statuses)
		}
	}
	if winner == "" {
		return fmt.Errorf("statuses %v: no change won", statuses)
	}
	for _, entry := range args {
		err := rig.Poll(w.ctx, winner+" to be in use at "+entry, func(ctx context.Context) error {
			c, err := w.fleet.Config(ctx, entry)
			if err == nil && c.Document.Change != winner {
				err = fmt.Errorf("revision %d by change %s is in use", c.Revision, c.Document.Change)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// checkStatuses checks the number of calls with a status. Without it a fleet that refuses every call would pass.
func checkStatuses(w *script, _ *testscript.TestScript, args []string) error {
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
		return fmt.Errorf("%d calls ended with status %d, want at least %d; others %v", n, status, want, others)
	}
	return nil
}

// checkVersions checks that the samples span a weight change. Without it a step that ends before the change would pass.
func checkVersions(w *script, _ *testscript.TestScript, args []string) error {
	for _, s := range w.history.Steps {
		if s.Run == args[0] && strconv.Itoa(len(s.Versions)) >= args[1] {
			return nil
		}
	}
	return fmt.Errorf("no step of %s with %s versions", args[0], args[1])
}

// checkLostAnswers checks that an injected fault took effect. Without it a run that avoids the fault would pass.
func checkLostAnswers(w *script, _ *testscript.TestScript, args []string) error {
	var c report.StoreCounts
	if err := rig.Get(w.ctx, w.fleet.URL("store")+"/counts", &c, nil); err != nil {
		return err
	}
	if want, err := strconv.ParseInt(args[0], 10, 64); err != nil || c.Lost < want {
		return fmt.Errorf("the store lost %d responses, want at least %s", c.Lost, args[0])
	}
	return nil
}

// checkHistory applies all checks of package history and searches the logs for reports of the race detector.
func checkHistory(w *script, ts *testscript.TestScript, _ []string) error {
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
	generated, delivered := w.history.Tokens()
	ts.Logf("answers %v; longest completion %d ms; %d of %d tokens delivered", answered, longest, delivered, generated)
	if w.rig.LogsContain("WARNING: DATA RACE") {
		return errDataRace
	}
	if p := w.history.Check(); len(p) > 0 {
		return fmt.Errorf("%d problems:\n%s", len(p), strings.Join(p, "\n"))
	}
	return nil
}
