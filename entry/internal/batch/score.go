package batch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"bulrushspoke/entry/internal/place"
	"bulrushspoke/entry/internal/reward"
	"bulrushspoke/internal/call"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/event"
	"bulrushspoke/internal/job"
	"bulrushspoke/internal/supervise"
	"bulrushspoke/internal/upstream"
	"bulrushspoke/platform"
)

// maxScored bounds the body of an answer to a reward call in bytes; it is read to its end only to know it whole.
const maxScored = 1 << 20

// score sends as many reward calls as servers have room for and returns how many wait.
func (j *Job) score(ctx context.Context, c *catalog.Config, now time.Time) int {
	waiting := 0
	for _, it := range j.unscored() {
		route, ok := c.Match(it.Reward.Host, it.Reward.Path)
		if !ok || !it.call.Due(now) {
			waiting++
			continue
		}
		servers := j.manager.Catalog.Servers(route.Draw(j.manager.Random.IntN))
		s, ok := j.manager.Tracker.Pick(now, servers, it.call.Need(now, it.without(servers)))
		if !ok {
			waiting++
			continue
		}
		it.scorer = s.ID
		j.begin(it, s, now, func() { j.ask(ctx, it, s, route) })
	}
	return waiting
}

// without names the server that the last attempt of an item's reward call failed at, unless it is the only one.
func (it *item) without(servers []catalog.Server) map[string]bool {
	if it.call.Tries() == 0 || len(servers) < 2 {
		return nil
	}
	return map[string]bool{it.scorer: true}
}

// unscored returns the items whose text is whole and whose reward call is not in flight, those of the groups nearest to
// whole first.
func (j *Job) unscored() []*item {
	j.mu.Lock()
	defer j.mu.Unlock()
	var waiting []reward.Waiting
	open := make(map[string]int)
	for _, it := range j.items {
		if it.done {
			continue
		}
		open[it.Group]++
		if it.whole && !it.running {
			waiting = append(waiting, reward.Waiting{Item: it.ID, Group: it.Group, Index: it.index})
		}
	}
	reward.Sort(waiting, open)
	l := make([]*item, 0, len(waiting))
	for _, w := range waiting {
		l = append(l, j.items[w.Item])
	}
	return l
}

// scoring is how an attempt of a reward call at a server ended.
type scoring struct {
	server  catalog.Server
	began   time.Time
	score   string
	verdict verdict
	outcome reward.Outcome
}

// ask sends the reward call of an item to a server, and to another one as well if the first is late. The first score
// counts.
func (j *Job) ask(ctx context.Context, it *item, s catalog.Server, route *catalog.Route) {
	life, cancel := context.WithCancel(ctx)
	defer cancel()
	allowed := it.call.Allow(route.Objective, route.Timeout)
	replies := make(chan scoring, 2)
	open, scored := 0, false
	send := func(s catalog.Server) {
		open++
		go supervise.Guard(j.manager.Logger, "reward call", func() { j.exchange(life, it.Reward, s, allowed, replies) })
	}
	send(s)
	late := time.NewTimer(j.manager.times.Late(route.Name, allowed))
	defer late.Stop()
	for open > 0 {
		select {
		case r := <-replies:
			open--
			switch {
			case ctx.Err() != nil:
				r.verdict.outcome, r.verdict.cause = place.Abandoned, causeEnded
			case scored && r.score == "":
				r.verdict.outcome, r.verdict.cause = place.Abandoned, causeUnwanted
			}
			j.answered(it, r, route, allowed)
			if r.score != "" {
				scored = true
				cancel()
			}
		case now := <-late.C:
			if scored {
				continue
			}
			if other, ok := j.second(it, s, route, now); ok {
				send(other)
			}
		}
	}
}

// second counts an attempt of an item's reward call at another server as begun, if one has room.
func (j *Job) second(it *item, first catalog.Server, route *catalog.Route, now time.Time) (catalog.Server, bool) {
	need := it.call.Need(now, map[string]bool{first.ID: true})
	need.Room = true
	s, ok := j.manager.Tracker.Pick(now, j.manager.Catalog.Servers(first.Service), need)
	if !ok || !j.manager.times.Second(route.Name) {
		return s, false
	}
	j.manager.Tracker.Began(s.ID, now)
	return s, true
}

// answered takes the end of an attempt of an item's reward call.
func (j *Job) answered(it *item, r scoring, route *catalog.Route, allowed time.Duration) {
	now := time.Now()
	v := r.verdict
	var took time.Duration
	if v.outcome == place.Answered {
		took = now.Sub(r.began)
	}
	j.manager.Tracker.Ended(r.server.ID, "", v.outcome, took, now)
	j.mu.Lock()
	switch {
	case v.outcome == place.Abandoned || it.done:
	case r.score != "":
		j.manager.times.Note(route.Name, took)
		j.list(it, r.score, now)
	case it.call.Ended(r.outcome, route.Attempts, now):
		j.void(it, now)
		event.ItemGivenUp.Log(j.manager.Logger, "job", j.spec.ID, "request", it.ID, "cause", "its reward calls fail",
			"call", it.Reward.ID)
	}
	tries := it.call.Tries()
	j.mu.Unlock()
	notify(j.listing)
	event.RewardAttempt.Log(j.manager.Logger, "job", j.spec.ID, "request", it.ID, "call", it.Reward.ID, "server", r.server.ID,
		"status", v.status, "cause", v.cause, "scored", r.score != "", "tries", tries, "allowed", allowed.Milliseconds(),
		"ms", now.Sub(r.began).Milliseconds())
}

// exchange sends a reward call to a server and hands over how that ended, in any case.
func (j *Job) exchange(
	ctx context.Context, c *job.Reward, s catalog.Server, allowed time.Duration, replies chan<- scoring,
) {
	r := scoring{
		server: s, began: time.Now(), outcome: reward.Lost,
		verdict: verdict{outcome: place.Broken, cause: "the attempt has ended unexpectedly"},
	}
	defer func() { replies <- r }()
	r.score, r.verdict, r.outcome = j.call(ctx, c, s, allowed)
}

// call sends a reward call and returns the score, empty if the answer holds none.
func (j *Job) call(
	ctx context.Context, r *job.Reward, s catalog.Server, allowed time.Duration,
) (string, verdict, reward.Outcome) {
	ctx, cancel := context.WithTimeout(ctx, allowed)
	defer cancel()
	codec := platform.Headers{}
	h := make(http.Header)
	codec.Identify(h, r.ID)
	codec.Attempt(h, call.Attempt{Server: s.ID, Left: allowed})
	a, err := j.post(ctx, s, r.ID,
		upstream.Request{Method: http.MethodPost, URI: r.Path, Host: r.Host, Header: h, Body: r.Body})
	if err != nil {
		return "", verdict{outcome: place.Broken, cause: err.Error()}, lostOrRefused(err)
	}
	resp, meaning := a.resp, a.meaning
	v := verdict{status: resp.StatusCode}
	switch {
	case meaning == call.NotRun:
		resp.Discard()
		v.outcome, v.cause = place.Refused, causeRefused
		return "", v, reward.Refused
	case meaning == call.Foreign, resp.Header.Get("Content-Encoding") != "":
		resp.Abandon()
		v.outcome, v.cause = place.Broken, call.CauseForeign
		return "", v, reward.Lost
	case resp.StatusCode/100 != http.StatusOK/100:
		resp.Discard()
		v.outcome, v.cause = place.Answered, causeFailed
		if resp.StatusCode == http.StatusInternalServerError {
			return "", v, reward.Failed
		}
		return "", v, reward.Denied
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxScored+1))
	if err != nil || n > maxScored {
		resp.Abandon()
		v.outcome, v.cause = place.Broken, "the answer is not whole"
		return "", v, reward.Lost
	}
	resp.Close()
	v.outcome = place.Answered
	return a.answer.Signature, v, 0
}

// lostOrRefused returns the outcome of an attempt that got no answer.
func lostOrRefused(err error) reward.Outcome {
	var e *upstream.Error
	if errors.As(err, &e) && !e.Sent() {
		return reward.Refused
	}
	return reward.Lost
}
