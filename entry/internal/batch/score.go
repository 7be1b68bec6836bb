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

// maxScoreBody bounds the body of the response to a reward call in bytes. The body is discarded; it is read to make
// sure that the response is complete.
const maxScoreBody = 1 << 20

// sendRewardCalls starts as many reward calls as servers have room for and returns how many are waiting.
func (j *Job) sendRewardCalls(ctx context.Context, c *catalog.Config, now time.Time) int {
	waiting := 0
	for _, it := range j.unscored() {
		route, ok := c.Match(it.Reward.Host, it.Reward.Path)
		if !ok || !it.call.Due(now) || it.call.Exhausted(route.MaxAttempts) {
			waiting++
			continue
		}
		pools := j.pools(j.callServices(it, route))
		s, ok := j.manager.Tracker.StartAmong(now, pools, it.call.Need(now, it.failedScorer(pools)))
		if !ok {
			waiting++
			continue
		}
		it.scorer = s.ID
		j.startAttempt(it, func() { j.runRewardCall(ctx, it, s, route) })
	}
	return waiting
}

// failedScorer returns the server that the last reward call of an item failed at, unless it is the only one.
func (it *item) failedScorer(pools place.Pools) map[string]bool {
	if it.call.Attempts() == 0 || len(pools.Servers()) < 2 {
		return nil
	}
	return map[string]bool{it.scorer: true}
}

// unscored returns the items whose text is complete and whose reward call is not in flight, those of the groups with
// the fewest open items first.
func (j *Job) unscored() []*item {
	j.mu.Lock()
	defer j.mu.Unlock()
	var waiting []reward.PendingCall
	open := make(map[string]int)
	for _, it := range j.items {
		if it.done {
			continue
		}
		open[it.Group]++
		if it.textDone && !it.running {
			waiting = append(waiting, reward.PendingCall{Item: it.ID, Group: it.Group, Index: it.index})
		}
	}
	reward.Sort(waiting, open)
	l := make([]*item, 0, len(waiting))
	for _, w := range waiting {
		l = append(l, j.items[w.Item])
	}
	return l
}

// rewardResult describes how an attempt of a reward call ended.
type rewardResult struct {
	server    catalog.Server
	startedAt time.Time
	score     string
	attempt   attemptResult
	outcome   reward.Outcome
}

// runRewardCall sends the reward call of an item to a server, and hedges it with another server if the first is late.
// The first score counts.
func (j *Job) runRewardCall(ctx context.Context, it *item, s catalog.Server, route *catalog.Route) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	allowed := it.call.AttemptTimeout(route.Objective, route.Timeout)
	replies := make(chan rewardResult, 2)
	open, scored := 0, false
	send := func(s catalog.Server) {
		open++
		go supervise.Guard(j.manager.Logger, "reward call", func() { j.callServer(callCtx, it.Reward, s, route, allowed, replies) })
	}
	send(s)
	late := time.NewTimer(j.manager.rewardTimes.HedgeDelay(route.Name, allowed))
	defer late.Stop()
	for open > 0 {
		select {
		case r := <-replies:
			open--
			switch {
			case ctx.Err() != nil:
				r.attempt.outcome, r.attempt.cause = place.Abandoned, causeEnded
			case scored && r.score == "":
				r.attempt.outcome, r.attempt.cause = place.Abandoned, causeUnwanted
			}
			j.rewardCallEnded(it, r, route, allowed)
			if r.score != "" {
				scored = true
				cancel()
			}
		case now := <-late.C:
			if scored {
				continue
			}
			if other, ok := j.secondServer(it, s, route, now); ok {
				send(other)
			}
		}
	}
}

// secondServer picks another server with room for a hedged reward call, if possible of the same service, and counts the
// attempt there as started. It returns false if there is none or if too many calls are hedged.
func (j *Job) secondServer(it *item, first catalog.Server, route *catalog.Route, now time.Time) (catalog.Server, bool) {
	need := it.call.Need(now, map[string]bool{first.ID: true})
	need.RequireSlot, need.Optional, need.Reserve = true, true, max(need.Reserve, 0)
	s, ok := j.manager.Tracker.PickAmong(now, j.pools(catalog.StartWith(first.Service, route.Order(j.manager.Random.IntN))), need)
	if !ok || !j.manager.rewardTimes.TakeHedge(route.Name) {
		return s, false
	}
	j.manager.Tracker.Began(s.ID, now)
	return s, true
}

// rewardCallEnded handles the end of an attempt of the reward call of an item.
func (j *Job) rewardCallEnded(it *item, r rewardResult, route *catalog.Route, allowed time.Duration) {
	now := time.Now()
	v := r.attempt
	var took time.Duration
	if v.outcome == place.Answered {
		took = now.Sub(r.startedAt)
	}
	j.manager.Tracker.Ended(r.server.ID, "", v.outcome, took, now)
	j.mu.Lock()
	switch {
	case v.outcome == place.Abandoned || it.done:
	case r.score != "":
		j.manager.rewardTimes.Observe(route.Name, took)
		j.queueResult(it, r.score, now)
	default:
		it.call.Ended(r.outcome, now)
		it.failedAt = now
	}
	tries := it.call.Attempts()
	j.mu.Unlock()
	notify(j.listWake)
	event.RewardAttempt.Log(j.manager.Logger, "job", j.spec.ID, "request", it.ID, "call", it.Reward.ID, "server", r.server.ID,
		"status", v.status, "cause", v.cause, "scored", r.score != "", "tries", tries, "allowed", allowed.Milliseconds(),
		"ms", now.Sub(r.startedAt).Milliseconds())
}

// callServer sends a reward call to a server and always sends a result to replies.
func (j *Job) callServer(
	ctx context.Context, c *job.Reward, s catalog.Server, route *catalog.Route, allowed time.Duration,
	replies chan<- rewardResult,
) {
	r := rewardResult{
		server: s, startedAt: time.Now(), outcome: reward.Lost,
		attempt: attemptResult{outcome: place.Failed, cause: "the attempt ended unexpectedly"},
	}
	defer func() { replies <- r }()
	r.score, r.attempt, r.outcome = j.sendRewardCall(ctx, c, s, route, allowed)
}

// sendRewardCall sends a reward call and returns the score, empty if the response contains none.
func (j *Job) sendRewardCall(
	ctx context.Context, r *job.Reward, s catalog.Server, route *catalog.Route, allowed time.Duration,
) (string, attemptResult, reward.Outcome) {
	ctx, cancel := context.WithTimeout(ctx, allowed)
	defer cancel()
	codec := platform.Headers{}
	h := make(http.Header)
	codec.Sender(h, j.sender(route, s))
	codec.Identify(h, r.ID)
	codec.Attempt(h, call.Attempt{Server: s.ID, Timeout: allowed})
	a, err := j.post(ctx, s, r.ID,
		upstream.Request{Method: http.MethodPost, URI: r.Path, Host: r.Host, Header: h, Body: r.Body})
	if err != nil {
		return "", attemptResult{outcome: place.Failed, cause: err.Error()}, lostOrRefused(err)
	}
	resp, meaning := a.resp, a.meaning
	v := attemptResult{status: resp.StatusCode}
	switch {
	case meaning == call.NotRun:
		resp.Discard()
		v.outcome, v.cause = place.Refused, causeRefused
		return "", v, reward.Refused
	case meaning == call.Foreign, resp.Header.Get("Content-Encoding") != "":
		resp.Abandon()
		v.outcome, v.cause = place.Failed, call.CauseForeign
		return "", v, reward.Lost
	case resp.StatusCode/100 != http.StatusOK/100:
		resp.Discard()
		v.outcome, v.cause = place.Answered, causeFailed
		if resp.StatusCode == http.StatusInternalServerError {
			return "", v, reward.Failed
		}
		return "", v, reward.Rejected
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxScoreBody+1))
	if err != nil || n > maxScoreBody {
		resp.Abandon()
		v.outcome, v.cause = place.Failed, "the response is truncated or too large"
		return "", v, reward.Lost
	}
	resp.Close()
	v.outcome = place.Answered
	return a.answer.Signature, v, 0
}

// lostOrRefused returns the outcome of an attempt that got no response.
func lostOrRefused(err error) reward.Outcome {
	var e *upstream.Error
	if errors.As(err, &e) && !e.Sent() {
		return reward.Refused
	}
	return reward.Lost
}
