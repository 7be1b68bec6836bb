package batch

import (
	"time"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/event"
)

// Causes for which the open items of a job are given up.
const (
	causeNoRoute = "the route was removed"
	causeExpired = "the job exceeded its time limit"
)

// causeToGiveUp returns why the open items of a job are to be given up, empty if they are not, and notes when the cause
// arose; the route is nil if none matches the job. Giving up is final, so that a caller must have the cause confirmed.
func (j *Job) causeToGiveUp(route *catalog.Route, now time.Time) string {
	cause := ""
	switch {
	case route == nil:
		cause = causeNoRoute
	case route.MaxQueueTime > 0 && now.Sub(j.submitted) > route.MaxQueueTime:
		cause = causeExpired
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if cause != j.unconfirmed.cause {
		j.unconfirmed = unconfirmed{cause: cause, since: now}
	}
	return cause
}

// unconfirmed is a cause to give up the open items of a job that the configuration of this entry shows.
type unconfirmed struct {
	cause string // empty for none
	since time.Time
}

// confirmed reports whether the configuration that was the newest one at the given time was read after the cause to give up
// arose, and has the newest one read otherwise.
func (j *Job) confirmed(at, now time.Time) bool {
	j.mu.Lock()
	since := j.unconfirmed.since
	j.mu.Unlock()
	if at.Before(since) {
		j.manager.config.request(now)
		return false
	}
	return true
}

// giveUp terminates items.
func (j *Job) giveUp(pending []*item, cause string, now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, it := range pending {
		if j.terminate(it, now) {
			event.ItemGivenUp.Log(j.manager.Logger, "job", j.spec.ID, "request", it.ID, "cause", cause,
				"config", j.manager.configRevision(), "accepted", j.accepted)
		}
	}
}

// giveUpFailed terminates the pending items whose runs or reward calls have failed as often as the configuration allows, and
// returns the others. Items for which a newer configuration may allow more do not run until it has been read; the second
// result is their number.
func (j *Job) giveUpFailed(
	pending []*item, c *catalog.Config, route *catalog.Route, confirmedAt, now time.Time,
) ([]*item, int) {
	var open []*item
	waiting, ended := 0, false
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, it := range pending {
		cause := it.exhausted(c, route)
		switch {
		case cause == "":
			open = append(open, it)
		case confirmedAt.Before(it.failedAt):
			waiting++
		case j.terminate(it, now):
			ended = true
			event.ItemGivenUp.Log(j.manager.Logger, "job", j.spec.ID, "request", it.ID, "cause", cause, "failures", it.failures,
				"config", c.Revision, "accepted", j.accepted)
		}
	}
	if waiting > 0 {
		j.manager.config.request(now)
	}
	if ended {
		notify(j.listWake)
	}
	return open, waiting
}

// exhausted returns why an item must not be tried again, empty if it may be; the caller holds Job.mu.
func (it *item) exhausted(c *catalog.Config, route *catalog.Route) string {
	if !it.textDone {
		if it.failures > 0 && it.failures >= route.MaxAttempts {
			return "its runs fail"
		}
		return ""
	}
	if r, ok := c.Match(it.Reward.Host, it.Reward.Path); ok && it.call.Exhausted(r.MaxAttempts) {
		return "its reward calls fail"
	}
	return ""
}
