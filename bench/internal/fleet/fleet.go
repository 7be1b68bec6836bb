// Package fleet connects the decision code of entries and daemons to the simulated engines of package sim.
//
// # Usage
//
//	f := fleet.New(loop, deployment, policies)
//	f.Submit(now, &fleet.Job{Class: admit.Live, OutputTokens: 80, PredictedTokens: 60, Region: "nord", Done: done})
//
// One entry per region chooses servers with a balance.Policy, and one daemon per server schedules its jobs with an
// admit.Policy on a simulated engine. Messages between them cost only latency.
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
	// progressInterval is the time between two progress reports of a stream.
	progressInterval = 250 * time.Millisecond
	// loadReportInterval is the time between two load reports of an engine, and so the largest age of a report.
	loadReportInterval = 2 * time.Second
	// rerouteDelay is the delay before a refused job is sent to another server.
	rerouteDelay = 5 * time.Millisecond
	// prefillTokenTime is the prefill time per prompt token. Engines prefill a prompt in one batch, ahead of the next
	// tokens of their streams.
	prefillTokenTime = time.Millisecond
	// tokenBytes is the size of an output token on a link, including its share of the framing.
	tokenBytes = 8
	// promptTokenBytes is the size of a prompt token on a link.
	promptTokenBytes = 4
)

// Policies are the policies under test.
type Policies struct {
	Balance func(*balance.Fleet, *rand.Rand) balance.Policy
	Admit   func(slots int, seed uint64) admit.Policy
	// MaxAttempts is the number of servers that a job is sent to before the caller receives a refusal.
	MaxAttempts int
	// Affinity passes the group of a job to the balance policy.
	Affinity bool
	// IgnoreRegions hides the regions of the servers from the balance policy.
	IgnoreRegions bool
}

// Job is one request.
type Job struct {
	Class           admit.Class
	OutputTokens    int // tokens of the complete response
	PredictedTokens int
	PromptTokens    int
	Group           uint64 // key of prefix affinity, 0 for none
	Region          string // region of the entry that received it
	Deadline        time.Time
	Exclude         []balance.ID // servers that the job may not run on
	Done            func(now time.Time)
	Refused         func(now time.Time, retry time.Duration)

	SubmittedAt  time.Time
	FirstTokenAt time.Time // arrival of the first token at the caller
	Site         *sim.Site

	entry        *entry
	server       balance.ID
	daemon       *daemon
	item         *admit.Item
	stream       *sim.Stream
	generated    float64
	prefillTimer *sim.Timer // end of the prefill
	reported     int
	reportedAt   time.Time
	sentAt       time.Time
	running      bool
	attempts     int
	ended        bool
}

// Tokens returns the number of tokens generated so far.
func (j *Job) Tokens() int {
	if j.stream != nil {
		return j.stream.Tokens()
	}
	return int(j.generated)
}

// Server returns the server that the job was last sent to.
func (j *Job) Server() balance.ID { return j.server }

// sinceProgress returns the time since the last progress report. Like package dispatch of the entry, it returns 0 for
// the first tokens of training jobs.
func (j *Job) sinceProgress(now time.Time) time.Duration {
	if j.Class == admit.Train && j.reported == 0 {
		return 0
	}
	return now.Sub(j.reportedAt)
}

type entry struct {
	region string
	fleet  *balance.Fleet
	policy balance.Policy
	open   []*Job
}

type daemon struct {
	fleet     *Fleet
	site      *sim.Site
	policy    admit.Policy
	wakeTimer *sim.Timer
	cache     *cache
}

// Fleet is a deployment under test.
type Fleet struct {
	loop       *sim.Loop
	deployment *sim.Deployment
	policies   Policies
	entries    []*entry
	daemons    []*daemon
	// CrossRegionBytes counts the bytes on the link between the regions. CacheHits and CacheMisses count the starts of
	// jobs whose group was or was not in the prefix cache.
	CrossRegionBytes     int64
	CacheHits            int
	CacheMisses          int
	FinishedTokens       int64 // tokens of finished jobs
	FinishedPromptTokens int64 // prompt tokens of finished jobs
	Retries              int
}

// New returns a fleet that serves from the engines of a deployment, with one entry per region.
func New(l *sim.Loop, d *sim.Deployment, p Policies) *Fleet {
	f := &Fleet{loop: l, deployment: d, policies: p}
	seen := map[string]bool{}
	for i, s := range d.Sites {
		f.daemons = append(f.daemons, &daemon{
			fleet: f, site: s, policy: p.Admit(s.Engine.Slots(), uint64(i)+1), cache: newCache(),
		})
		if !seen[s.Region] {
			seen[s.Region] = true
			f.entries = append(f.entries, f.newEntry(s.Region, uint64(i)))
		}
	}
	l.Every(progressInterval, f.reportProgress)
	l.Every(loadReportInterval, f.reportLoad)
	return f
}

func (f *Fleet) newEntry(region string, seed uint64) *entry {
	settings := balance.Defaults()
	fleet := balance.NewFleet(region, settings)
	servers := make([]balance.Server, 0, len(f.deployment.Sites))
	for _, s := range f.deployment.Sites {
		serverRegion := s.Region
		if f.policies.IgnoreRegions {
			serverRegion = region
		}
		servers = append(servers, balance.Server{Name: s.Name, Region: serverRegion, Slots: s.Engine.Slots(), Usable: true})
	}
	fleet.Sync(f.loop.Now(), servers)
	random := rand.New(rand.NewPCG(f.loop.Random().Uint64(), seed))
	return &entry{region: region, fleet: fleet, policy: f.policies.Balance(fleet, random)}
}

// Work returns the slot time that the finished jobs take on full engines at full speed.
func (f *Fleet) Work() time.Duration {
	e := f.deployment.Sites[0].Engine
	token := time.Duration(float64(time.Second) * float64(e.Slots()) / e.Capacity())
	return time.Duration(f.FinishedTokens)*token + time.Duration(f.FinishedPromptTokens)*prefillTokenTime
}

// Regions returns the regions that have an entry.
func (f *Fleet) Regions() []string {
	names := make([]string, 0, len(f.entries))
	for _, n := range f.entries {
		names = append(names, n.region)
	}
	return names
}

// Submit sends a job through the entry of its region. It returns false, without calling Refused, if the entry finds no
// server.
func (f *Fleet) Submit(now time.Time, j *Job) bool {
	j.SubmittedAt = now
	for _, n := range f.entries {
		if n.region == j.Region {
			j.entry = n
		}
	}
	return f.send(now, j)
}

func (f *Fleet) send(now time.Time, j *Job) bool {
	req := balance.Request{Tokens: j.PredictedTokens, PrefixTokens: j.PromptTokens, Train: j.Class == admit.Train, Exclude: j.Exclude}
	if f.policies.Affinity {
		req.Group = j.Group
	}
	id, verdict := j.entry.policy.Pick(now, req)
	if verdict != balance.Found {
		return false
	}
	j.server = id
	j.sentAt = now
	j.reportedAt = now
	j.entry.fleet.Start(now, id, j.PredictedTokens, j.Class == admit.Train)
	j.entry.open = append(j.entry.open, j)
	name := j.entry.fleet.Server(id).Name
	for _, d := range f.daemons {
		if d.site.Name == name {
			j.daemon = d
		}
	}
	j.Site = j.daemon.site
	if j.Site.Region != j.Region {
		f.CrossRegionBytes += int64(j.PromptTokens * promptTokenBytes)
	}
	f.loop.After(f.deployment.Latency(j.Region, j.Site), func(now time.Time) { j.daemon.submit(now, j) })
	return true
}

// Cancel ends a job and discards its tokens.
func (f *Fleet) Cancel(now time.Time, j *Job) {
	if j.ended {
		return
	}
	d := j.daemon
	f.release(now, j)
	if j.running {
		d.stop(j)
		d.policy.Done(now, j.item)
	} else if j.item != nil {
		d.policy.Remove(j.item)
	}
	d.dispatch(now)
}

func (f *Fleet) release(now time.Time, j *Job) {
	j.ended = true
	j.entry.fleet.End(now, j.server, max(j.PredictedTokens-j.reported, 0), j.Class == admit.Train)
	for i, o := range j.entry.open {
		if o == j {
			j.entry.open = append(j.entry.open[:i], j.entry.open[i+1:]...)
			return
		}
	}
}

// reportProgress reports the tokens generated since the last report to the entries.
func (f *Fleet) reportProgress(now time.Time) bool {
	for _, n := range f.entries {
		for _, j := range n.open {
			if more := j.Tokens() - j.reported; more > 0 {
				n.fleet.Progress(now, j.server, more, j.sinceProgress(now), j.Class == admit.Train)
				j.reported += more
				j.reportedAt = now
			}
		}
	}
	return true
}

func (f *Fleet) reportLoad(time.Time) bool {
	for _, d := range f.daemons {
		d.site.Engine.SampleLoad()
		for _, n := range f.entries {
			n.fleet.SetReportedLoad(n.fleet.Find(d.site.Name), d.site.Engine.ReportedLoad())
		}
	}
	return true
}

func (d *daemon) submit(now time.Time, j *Job) {
	if j.ended {
		return
	}
	j.item = admit.NewItem(admit.Spec{
		Class: j.Class, PredictedTokens: j.PredictedTokens, Preemptible: j.Class == admit.Train, Deadline: j.Deadline,
	}, j)
	var busy *admit.BusyError
	if err := d.policy.Push(now, j.item); errors.As(err, &busy) {
		d.refuse(now, j, busy.Retry())
		return
	}
	d.dispatch(now)
}

// refuse sends a refused job to another server, or reports the refusal to its caller after MaxAttempts.
func (d *daemon) refuse(now time.Time, j *Job, retry time.Duration) {
	f := d.fleet
	f.release(now, j)
	j.attempts++
	f.loop.After(f.deployment.Latency(j.Region, d.site)+rerouteDelay, func(now time.Time) {
		if j.attempts < f.policies.MaxAttempts {
			f.Retries++
			j.ended = false
			j.Exclude = append(j.Exclude, j.server)
			if f.send(now, j) {
				return
			}
			j.ended = true
		}
		if j.Refused != nil {
			j.Refused(now, retry)
		}
	})
}

// dispatch executes the decisions of the admission policy and schedules its next wake-up.
func (d *daemon) dispatch(now time.Time) {
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
	d.wakeTimer.Stop()
	if at, ok := d.policy.Wake(now); ok {
		d.wakeTimer = d.fleet.loop.After(max(at.Sub(now), time.Millisecond), d.dispatch)
	}
}

// start prefills the prompt and the tokens of an earlier run, and then starts the stream. A prompt that is in the
// prefix cache is not computed again.
func (d *daemon) start(now time.Time, j *Job) {
	f := d.fleet
	prompt := float64(j.PromptTokens) + j.generated
	if j.Group != 0 && d.cache.touch(j.Group) {
		f.CacheHits++
		prompt -= float64(j.PromptTokens)
	} else if j.Group != 0 {
		f.CacheMisses++
	}
	j.running = true
	j.prefillTimer = f.loop.After(time.Duration(prompt*float64(prefillTokenTime)), func(now time.Time) {
		j.stream = &sim.Stream{Generated: j.generated, Length: j.OutputTokens, OnDone: func(now time.Time) { d.finish(now, j) }}
		e := d.site.Engine
		e.Start(j.stream)
		if j.FirstTokenAt.IsZero() {
			token := time.Duration(float64(time.Second) / e.Speed())
			j.FirstTokenAt = now.Add(token).Add(f.deployment.Latency(j.Region, d.site))
		}
	})
}

// stop ends the run of a job, which keeps its generated tokens.
func (d *daemon) stop(j *Job) {
	j.prefillTimer.Stop()
	if j.stream != nil {
		d.site.Engine.Stop(j.stream)
		j.generated = float64(j.Tokens())
		j.stream = nil
	}
	j.running = false
}

func (d *daemon) finish(now time.Time, j *Job) {
	f := d.fleet
	j.generated = float64(j.OutputTokens)
	j.stream = nil
	j.running = false
	d.policy.Done(now, j.item)
	if more := j.OutputTokens - j.reported; more > 0 {
		j.entry.fleet.Progress(now, j.server, more, j.sinceProgress(now), j.Class == admit.Train)
		j.reported = j.OutputTokens
	}
	f.release(now, j)
	f.FinishedTokens += int64(j.OutputTokens)
	f.FinishedPromptTokens += int64(j.PromptTokens)
	if j.Site.Region != j.Region {
		f.CrossRegionBytes += int64(j.OutputTokens * tokenBytes)
	}
	d.dispatch(now)
	if j.Done != nil {
		f.loop.After(f.deployment.Latency(j.Region, d.site), j.Done)
	}
}
