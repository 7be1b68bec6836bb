package batch

import "time"

// unneededWithin is the time within which items that the trainer does not wait for may end.
const unneededWithin = time.Minute

// awaitedGroups returns how many open groups the trainer waits for, and how many of these are carried over from an
// earlier job; the caller holds mu. A group is open while open reports true for one of its items. The trainer waits for
// all carried groups, however many others are complete.
func (j *Job) awaitedGroups(open func(*item) bool) (groups, carried int) {
	isOpen := make(map[string]bool)
	for _, it := range j.items {
		isOpen[it.Group] = isOpen[it.Group] || open(it)
	}
	complete := 0
	for g, o := range isOpen {
		switch {
		case !o:
			complete++
		case j.carried[g]:
			carried++
		}
	}
	return max(min(j.spec.Groups, len(isOpen))-complete, carried), carried
}

// stepComplete reports whether the trainer waits for no open group; the caller holds mu.
func (j *Job) stepComplete(open func(*item) bool) bool {
	groups, _ := j.awaitedGroups(open)
	return groups == 0
}

func notDone(it *item) bool { return !it.done }

func unlisted(it *item) bool { return !it.listed }

// updateRemaining determines whether the trainer waits for carried groups only, and how long the longest item that it
// waits for will still take at the fastest engine; the caller holds mu. While the trainer waits for any other group,
// every open group may be the one that completes the step.
//
// Without it, items that the trainer does not need could take the fastest engines while a step waits for a carried
// group.
func (j *Job) updateRemaining() {
	groups, carried := j.awaitedGroups(notDone)
	j.carriedOnly = carried > 0 && groups == carried
	longest := 0
	for _, it := range j.items {
		if !it.done && !it.textDone && !j.unneeded(it) {
			longest = max(longest, j.remainingEvents(it))
		}
	}
	j.remaining = time.Duration(longest) * j.manager.Tracker.MinInterval()
}

// unneeded reports whether the trainer does not wait for an item any more; the caller holds mu.
func (j *Job) unneeded(it *item) bool { return j.carriedOnly && !j.carried[it.Group] }
