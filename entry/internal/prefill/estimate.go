package prefill

import (
	"slices"
	"time"
)

const (
	// maxSamples is the number of recent samples of an estimate, and sampleTime how long they count.
	maxSamples = 15
	sampleTime = 10 * time.Minute
	// maxSenderSamples limits the samples of one sender. Clients state the figures that the samples depend on, and wrong ones
	// must not change the estimate for the others.
	maxSenderSamples = 3
	// minSamples is the number of samples that an estimate needs: more than twice those of one sender, so that a single one is
	// never half of them.
	minSamples = 2*maxSenderSamples + 1
)

// estimate is the median of recent samples.
type estimate struct {
	value   float64 // 0 while there are too few samples
	samples []sample
}

// sample is one measurement.
type sample struct {
	value  float64
	sender string // empty if unknown
	at     time.Time
}

// add adds a sample in place of the oldest one of its sender, if there are enough of that sender, or of all. Samples of
// unknown senders are limited only by their total number: without workspaces, all senders are unknown.
func (e *estimate) add(value float64, sender string, now time.Time) {
	e.samples = slices.DeleteFunc(e.samples, func(s sample) bool { return now.Sub(s.at) > sampleTime })
	first, count := 0, 0
	for i := len(e.samples) - 1; sender != "" && i >= 0; i-- {
		if e.samples[i].sender == sender {
			first, count = i, count+1
		}
	}
	if count >= maxSenderSamples || len(e.samples) >= maxSamples {
		if count < maxSenderSamples {
			first = 0
		}
		e.samples = slices.Delete(e.samples, first, first+1)
	}
	e.samples = append(e.samples, sample{value: max(value, 1e-9), sender: sender, at: now})
	e.value = 0
	if len(e.samples) < minSamples {
		return
	}
	var sorted [maxSamples]float64
	for i, s := range e.samples {
		sorted[i] = s.value
	}
	slices.Sort(sorted[:len(e.samples)])
	e.value = sorted[len(e.samples)/2]
}

// duration returns an estimate in seconds as a duration.
func (e *estimate) duration() time.Duration { return time.Duration(e.value * float64(time.Second)) }
