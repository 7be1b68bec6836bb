package batch

import "time"

// spareTime is the time that is left to items which the trainer does not wait for.
const spareTime = time.Minute

// lacking returns how many groups the trainer waits for yet, of which an item is open, and how many of them come again from
// an earlier job; the caller holds mu. It waits for these whatever others are whole.
func (j *Job) lacking(open func(*item) bool) (groups, carried int) {
	isOpen := make(map[string]bool)
	for _, it := range j.items {
		isOpen[it.Group] = isOpen[it.Group] || open(it)
	}
	whole := 0
	for g, o := range isOpen {
		switch {
		case !o:
			whole++
		case j.carried[g]:
			carried++
		}
	}
	return max(min(j.spec.Groups, len(isOpen))-whole, carried), carried
}

// whole reports whether the trainer waits for no group of which an item is open; the caller holds mu.
func (j *Job) whole(open func(*item) bool) bool {
	groups, _ := j.lacking(open)
	return groups == 0
}

func undone(it *item) bool { return !it.done }

func unlisted(it *item) bool { return !it.listed }

// measure finds out whether the trainer waits for groups that come again only, and how long the longest item that it waits
// for is expected to take yet at the fastest engine; the caller holds mu. As long as it waits for any other group, all that
// are open may be the one.
//
// It answers a load in which a step waits for a group that comes again, while others take the fastest engines.
func (j *Job) measure() {
	groups, carried := j.lacking(undone)
	j.carriedOnly = carried > 0 && groups == carried
	rest := 0
	for _, it := range j.items {
		if !it.done && !it.whole && !j.spare(it) {
			rest = max(rest, j.rest(it))
		}
	}
	j.remaining = time.Duration(rest) * j.manager.Tracker.Fastest()
}

// spare reports whether the trainer does not wait for an item any more; the caller holds mu.
func (j *Job) spare(it *item) bool { return j.carriedOnly && !j.carried[it.Group] }
