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

// ask sends the reward call of an item to one server once.
func (j *Job) ask(ctx context.Context, it *item, s catalog.Server, route *catalog.Route) {
	began := time.Now()
	allowed := it.call.Allow(route.Objective, route.Timeout)
	score, v, o := j.exchange(ctx, it.Reward, s, allowed)
	now := time.Now()
	if ctx.Err() != nil {
		v.outcome, v.cause = place.Abandoned, "the job ended"
	}
	var took time.Duration
	if v.outcome == place.Answered {
		took = now.Sub(began)
	}
	j.manager.Tracker.Ended(s.ID, "", v.outcome, took, now)
	j.mu.Lock()
	switch {
	case v.outcome == place.Abandoned:
	case score != "":
		j.list(it, score, now)
	case it.call.Ended(o, route.Attempts, now):
		j.void(it, now)
		event.ItemGivenUp.Log(j.manager.Logger, "job", j.spec.ID, "request", it.ID, "cause", "its reward calls fail",
			"call", it.Reward.ID)
	}
	tries := it.call.Tries()
	j.mu.Unlock()
	event.RewardAttempt.Log(j.manager.Logger, "job", j.spec.ID, "request", it.ID, "call", it.Reward.ID, "server", s.ID,
		"status", v.status, "cause", v.cause, "scored", score != "", "tries", tries, "allowed", allowed.Milliseconds(),
		"ms", now.Sub(began).Milliseconds())
}

// exchange sends a reward call and returns the score, empty if the answer holds none.
func (j *Job) exchange(
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
		v.outcome, v.cause = place.Refused, "the server refused"
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
