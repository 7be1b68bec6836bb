// Package fleet joins the decision code of entries and daemons with the fakes of package sim.
//
// # Usage
//
//	f := fleet.New(loop, deployment, policies)
//	f.Submit(now, &fleet.Job{Class: admit.Live, Length: 80, Predicted: 60, Region: "nord", Done: done})
//
// One front for each region chooses a server with a balance.Policy, one daemon for each server orders its work with an
// admit.Policy, and the engine behind it is a fake. Messages between them only take their latency.
package fleet

import (
	"errors"
	"math/rand/v2"
	"time"

	"bulrushspoke/bench/internal/sim"
	"bulrushspoke/internal/admit"
	"bulrushspoke/internal/balance"
)

const (
	// progressEvery is the pause between two reports of the progress of a stream.
	progressEvery = 250 * time.Millisecond
	// reportEvery is the lag of the engines' load reports.
	reportEvery = 2 * time.Second
	// reroute is the pause before a refused job is sent to another server.
	reroute = 5 * time.Millisecond
	// prefillTime is the time to compute a prompt token. Engines do it in one go ahead of the streams' next tokens.
	prefillTime = time.Millisecond
	// tokenBytes is the size of a token on a link, with its part of the framing.
	tokenBytes = 8
	// promptTokenBytes is the size of a prompt token on a link.
	promptTokenBytes = 4
)

// Policies are the decisions under test.
type Policies struct {
	Balance func(*balance.Fleet, *rand.Rand) balance.Policy
	Admit   func(slots int, seed uint64) admit.Policy
	// Tries is how many servers a refused job is sent to before the caller is refused.
	Tries int
	// Affinity tells whether the policies see the group of a job.
	Affinity bool
	// Blind hides the regions from the choice of a server.
	Blind bool
}

// Job is one request.
type Job struct {
	Class     admit.Class
	Length    int // tokens of the whole answer
	Predicted int
	Prompt    int    // prompt tokens
	Group     uint64 // prefix affinity key, 0 for none
	Region    string // region of the entry that received it
	Deadline  time.Time
	Except    []balance.ID // servers not to choose
	Done      func(now time.Time)
	Refused   func(now time.Time, retry time.Duration)

	Born  time.Time
	First time.Time // time of the first token at the caller
	Site  *sim.Site

	front   *front
	server  balance.ID
	daemon  *daemon
	item    *admit.Item
	stream  *sim.Stream
	made    float64
	timer   *sim.Timer // end of the prompt's computation
	seen    int
	seenAt  time.Time
	sent    time.Time
	running bool
	tries   int
	ended   bool
}

// Tokens returns the tokens made so far.
func (j *Job) Tokens() int {
	if j.stream != nil {
		return j.stream.Tokens()
	}
	return int(j.made)
}

// Server returns the server that has the job.
func (j *Job) Server() balance.ID { return j.server }

// gap returns the time since the last progress, 0 for the first tokens of training work, as dispatch does.
func (j *Job) gap(now time.Time) time.Duration {
	if j.Class == admit.Train && j.seen == 0 {
		return 0
	}
	return now.Sub(j.seenAt)
}

type front struct {
	region string
	fleet  *balance.Fleet
	policy balance.Policy
	open   []*Job
}

type daemon struct {
	fleet  *Fleet
	site   *sim.Site
	policy admit.Policy
	wake   *sim.Timer
	cache  *cache
}

// Fleet is a deployment under test.
type Fleet struct {
	loop       *sim.Loop
	deployment *sim.Deployment
	policies   Policies
	fronts     []*front
	daemons    []*daemon
	// Crossed counts the bytes on the link between the regions, Hits and Misses the groups found in prefix caches.
	Crossed int64
	Hits    int
	Misses  int
	Useful  int64 // tokens of finished jobs
	Prompts int64 // prompt tokens of finished jobs
	Retried int
}

// New returns a fleet in front of the engines of a deployment, with an entry in each region.
func New(l *sim.Loop, d *sim.Deployment, p Policies) *Fleet {
	f := &Fleet{loop: l, deployment: d, policies: p}
	seen := map[string]bool{}
	for i, s := range d.Sites {
		f.daemons = append(f.daemons, &daemon{
			fleet: f, site: s, policy: p.Admit(s.Engine.Slots(), uint64(i)+1), cache: newCache(),
		})
		if !seen[s.Region] {
			seen[s.Region] = true
			f.fronts = append(f.fronts, f.newFront(s.Region, uint64(i)))
		}
	}
	l.Every(progressEvery, f.progress)
	l.Every(reportEvery, f.report)
	return f
}

func (f *Fleet) newFront(region string, seed uint64) *front {
	settings := balance.Defaults()
	fleet := balance.NewFleet(region, settings)
	servers := make([]balance.Server, 0, len(f.deployment.Sites))
	for _, s := range f.deployment.Sites {
		place := s.Region
		if f.policies.Blind {
			place = region
		}
		servers = append(servers, balance.Server{Name: s.Name, Region: place, Slots: s.Engine.Slots(), Usable: true})
	}
	fleet.Sync(f.loop.Now(), servers)
	random := rand.New(rand.NewPCG(f.loop.Random().Uint64(), seed))
	return &front{region: region, fleet: fleet, policy: f.policies.Balance(fleet, random)}
}

// Work returns the slot time that the finished jobs need on engines that are full and not slowed.
func (f *Fleet) Work() time.Duration {
	e := f.deployment.Sites[0].Engine
	token := time.Duration(float64(time.Second) * float64(e.Slots()) / e.Capacity())
	return time.Duration(f.Useful)*token + time.Duration(f.Prompts)*prefillTime
}

// Regions returns the regions that have an entry.
func (f *Fleet) Regions() []string {
	names := make([]string, 0, len(f.fronts))
	for _, n := range f.fronts {
		names = append(names, n.region)
	}
	return names
}

// Submit hands a job to the entry of its region. It reports false, without a refusal, if the entry cannot place it.
func (f *Fleet) Submit(now time.Time, j *Job) bool {
	j.Born = now
	for _, n := range f.fronts {
		if n.region == j.Region {
			j.front = n
		}
	}
	return f.place(now, j)
}

func (f *Fleet) place(now time.Time, j *Job) bool {
	ask := balance.Ask{Tokens: j.Predicted, Prefix: j.Prompt, Train: j.Class == admit.Train, Except: j.Except}
	if f.policies.Affinity {
		ask.Group = j.Group
	}
	id, verdict := j.front.policy.Pick(now, ask)
	if verdict != balance.Found {
		return false
	}
	j.server = id
	j.sent = now
	j.seenAt = now
	j.front.fleet.Start(now, id, j.Predicted, j.Class == admit.Train)
	j.front.open = append(j.front.open, j)
	name := j.front.fleet.Server(id).Name
	for _, d := range f.daemons {
		if d.site.Name == name {
			j.daemon = d
		}
	}
	j.Site = j.daemon.site
	if j.Site.Region != j.Region {
		f.Crossed += int64(j.Prompt * promptTokenBytes)
	}
	f.loop.After(f.deployment.Latency(j.Region, j.Site), func(now time.Time) { j.daemon.submit(now, j) })
	return true
}

// Cancel ends a job; its tokens are lost to the caller.
func (f *Fleet) Cancel(now time.Time, j *Job) {
	if j.ended {
		return
	}
	d := j.daemon
	f.leave(now, j)
	if j.running {
		d.stop(j)
		d.policy.Done(now, j.item)
	} else if j.item != nil {
		d.policy.Remove(j.item)
	}
	d.pump(now)
}

func (f *Fleet) leave(now time.Time, j *Job) {
	j.ended = true
	j.front.fleet.End(now, j.server, max(j.Predicted-j.seen, 0), j.Class == admit.Train)
	for i, o := range j.front.open {
		if o == j {
			j.front.open = append(j.front.open[:i], j.front.open[i+1:]...)
			return
		}
	}
}

// progress tells the entries what their streams have made since the last report.
func (f *Fleet) progress(now time.Time) bool {
	for _, n := range f.fronts {
		for _, j := range n.open {
			if more := j.Tokens() - j.seen; more > 0 {
				n.fleet.Progress(now, j.server, more, j.gap(now), j.Class == admit.Train)
				j.seen += more
				j.seenAt = now
			}
		}
	}
	return true
}

func (f *Fleet) report(time.Time) bool {
	for _, d := range f.daemons {
		d.site.Engine.Sample()
		for _, n := range f.fronts {
			n.fleet.Report(n.fleet.Find(d.site.Name), d.site.Engine.Report())
		}
	}
	return true
}

func (d *daemon) submit(now time.Time, j *Job) {
	if j.ended {
		return
	}
	j.item = admit.NewItem(admit.Spec{
		Class: j.Class, Predicted: j.Predicted, Preemptible: j.Class == admit.Train, Deadline: j.Deadline,
	}, j)
	var busy *admit.BusyError
	if err := d.policy.Push(now, j.item); errors.As(err, &busy) {
		d.refuse(now, j, busy.Retry())
		return
	}
	d.pump(now)
}

// refuse sends a refused job elsewhere, or back to its caller.
func (d *daemon) refuse(now time.Time, j *Job, retry time.Duration) {
	f := d.fleet
	f.leave(now, j)
	j.tries++
	f.loop.After(f.deployment.Latency(j.Region, d.site)+reroute, func(now time.Time) {
		if j.tries < f.policies.Tries {
			f.Retried++
			j.ended = false
			j.Except = append(j.Except, j.server)
			if f.place(now, j) {
				return
			}
			j.ended = true
		}
		if j.Refused != nil {
			j.Refused(now, retry)
		}
	})
}

// pump carries out what the policy decides.
func (d *daemon) pump(now time.Time) {
	for {
		decision, ok := d.policy.Next(now)
		if !ok {
			break
		}
		j := decision.Item.Value().(*Job)
		switch decision.Kind {
		case admit.Start:
			d.start(now, j)
		case admit.Preempt:
			d.stop(j)
			d.policy.Requeue(now, j.item)
		case admit.Expire:
			d.refuse(now, j, time.Second)
		}
	}
	d.wake.Stop()
	if at, ok := d.policy.Wake(now); ok {
		d.wake = d.fleet.loop.After(max(at.Sub(now), time.Millisecond), d.pump)
	}
}

// start computes the prompt, and the tokens of an earlier run with it, and then runs the stream. The prompt of a group
// is computed once while the engine caches it.
func (d *daemon) start(now time.Time, j *Job) {
	f := d.fleet
	prompt := float64(j.Prompt) + j.made
	if j.Group != 0 && d.cache.use(j.Group) {
		f.Hits++
		prompt -= float64(j.Prompt)
	} else if j.Group != 0 {
		f.Misses++
	}
	j.running = true
	j.timer = f.loop.After(time.Duration(prompt*float64(prefillTime)), func(now time.Time) {
		j.stream = &sim.Stream{Made: j.made, Length: j.Length, OnDone: func(now time.Time) { d.finish(now, j) }}
		e := d.site.Engine
		e.Start(j.stream)
		if j.First.IsZero() {
			token := time.Duration(float64(time.Second) / e.Speed())
			j.First = now.Add(token).Add(f.deployment.Latency(j.Region, d.site))
		}
	})
}

// stop ends the run of a job; its tokens stand.
func (d *daemon) stop(j *Job) {
	j.timer.Stop()
	if j.stream != nil {
		d.site.Engine.Stop(j.stream)
		j.made = float64(j.Tokens())
		j.stream = nil
	}
	j.running = false
}

func (d *daemon) finish(now time.Time, j *Job) {
	f := d.fleet
	j.made = float64(j.Length)
	j.stream = nil
	j.running = false
	d.policy.Done(now, j.item)
	if more := j.Length - j.seen; more > 0 {
		j.front.fleet.Progress(now, j.server, more, j.gap(now), j.Class == admit.Train)
		j.seen = j.Length
	}
	f.leave(now, j)
	f.Useful += int64(j.Length)
	f.Prompts += int64(j.Prompt)
	if j.Site.Region != j.Region {
		f.Crossed += int64(j.Length * tokenBytes)
	}
	d.pump(now)
	if j.Done != nil {
		f.loop.After(f.deployment.Latency(j.Region, d.site), j.Done)
	}
}
