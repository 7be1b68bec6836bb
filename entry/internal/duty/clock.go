package duty

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// clockTolerance is the difference between the monotonic clock and the one that counts suspensions which shows a
	// suspension.
	clockTolerance = 5 * time.Millisecond
	// maxClockMarks bounds the remembered suspensions; requests are counted within seconds.
	maxClockMarks = 16
)

// BootTime returns the time since the boot of the instance. Unlike the monotonic clock it includes suspensions, and unlike the
// time of day it never jumps.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart) // every supported kernel has the clock
	}
	return time.Duration(t.Nano())
}

var processStart = time.Now()

// clockMap converts monotonic times to boot times. The difference between the two grows with each suspension.
type clockMap struct {
	marks []clockMark // oldest first
}

// clockMark is a time on both clocks.
type clockMark struct {
	at   time.Time
	boot time.Duration
}

// update records the present time on both clocks.
func (m *clockMap) update(at time.Time, boot time.Duration) {
	if n := len(m.marks); n > 0 && (m.marks[n-1].convert(at)-boot).Abs() <= clockTolerance {
		return
	}
	m.marks = append(m.marks, clockMark{at: at, boot: boot})
	m.marks = m.marks[max(len(m.marks)-maxClockMarks, 0):]
}

// convert returns the boot time of a monotonic time. It requires an earlier update.
func (m *clockMap) convert(at time.Time) time.Duration {
	for i := len(m.marks) - 1; i > 0; i-- {
		if !at.Before(m.marks[i].at) {
			return m.marks[i].convert(at)
		}
	}
	return m.marks[0].convert(at)
}

func (k clockMark) convert(at time.Time) time.Duration { return k.boot + at.Sub(k.at) }
