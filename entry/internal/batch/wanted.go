package batch

import "time"

// spareTime is the time that is left to items which the trainer does not wait for.
const spareTime = time.Minute

// lacking returns how many groups the trainer waits for yet, of which an item is open; the caller holds mu. It waits for
// groups that come again from an earlier job, whatever others are whole.
func (j *Job) lacking(open func(*item) bool) int {
	groups := make(map[string]bool)
	for _, it := range j.items {
		groups[it.Group] = groups[it.Group] || open(it)
	}
	whole, carried := 0, 0
	for g, isOpen := range groups {
		switch {
		case !isOpen:
			whole++
		case j.carried[g]:
			carried++
		}
	}
	return max(min(j.spec.Groups, len(groups))-whole, carried)
}

func undone(it *item) bool { return !it.done }

func unlisted(it *item) bool { return !it.listed }

// measure finds the groups that the trainer does not wait for any more, and how many events the longest item of the
// others is expected to make yet; the caller holds mu. As long as it waits for any group beside those that come again, all
// that are open may be the one.
//
// It answers a load in which a step waits for a group that comes again, while others take the fastest engines.
func (j *Job) measure() {
	carried := 0
	open := make(map[string]bool)
	for _, it := range j.items {
		if !it.done && !open[it.Group] {
			open[it.Group] = true
			if j.carried[it.Group] {
				carried++
			}
		}
	}
	j.carriedOnly = carried > 0 && j.lacking(undone) <= carried
	j.restMost = 0
	for _, it := range j.items {
		if !it.done && !it.whole && !j.spare(it) {
			j.restMost = max(j.restMost, j.rest(it))
		}
	}
}

// spare reports whether the trainer does not wait for an item any more; the caller holds mu.
func (j *Job) spare(it *item) bool { return j.carriedOnly && !j.carried[it.Group] }
