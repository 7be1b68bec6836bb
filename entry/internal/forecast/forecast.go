// Package forecast estimates how many stream events an engine sends for an item.
//
// # Usage
//
//	f := forecast.New()
//	total := f.EstimateEvents("m", hint, maxTokens) // before and while the item runs
//	remaining := forecast.Remaining(total, sent)    // after some events
//	f.RecordCompleted("m", hint, sent)              // the text is complete
//
// Trainers estimate the length of an item in tokens (the hint), but engines send several tokens in each event. Hints
// are accurate in the median but far off for single items. The number of hinted tokens per event is therefore the
// median over the latest completed items of a model.
package forecast

import (
	"cmp"

	"bulrushspoke/entry/internal/medians"
)

const (
	// window is the number of newest completed items of a model that count.
	window = 128
	// minRest is the least number of events that a running item is expected to add.
	minRest = 3
	// minRestRatio is the least expected remainder of a running item, as a share of the events so far. A few items
	// are many times longer than the rest, and an item that exceeds its estimate is most likely one of them.
	minRestRatio = 1.0
)

// Forecast holds the token counts per event of each model. It is safe for concurrent use.
type Forecast struct {
	tokensPerEvent *medians.Values[float64] // from hints, by model
}

// New returns a Forecast without any observations.
func New() *Forecast { return &Forecast{tokensPerEvent: medians.New[float64](window, 1)} }

// RecordCompleted records that an item with a hint, in tokens, was completed after a number of events. Values below 1 are
// ignored.
func (f *Forecast) RecordCompleted(model string, hint, events int) {
	if hint > 0 && events > 0 {
		f.tokensPerEvent.Add(model, float64(hint)/float64(events))
	}
}

// EstimateEvents returns the expected number of events of an item with a hint and a limit in tokens; a limit of 0 is unknown.
// Until an item of the model is completed, an event counts as one token, so that items can be compared.
func (f *Forecast) EstimateEvents(model string, hint, maxTokens int) int {
	if maxTokens > 0 {
		hint = min(hint, maxTokens)
	}
	return int(float64(hint) / cmp.Or(f.tokensPerEvent.Median(model), 1))
}

// Remaining returns how many more events an item is expected to add, given its estimated total and the events so far.
func Remaining(total, sent int) int { return max(total-sent, int(minRestRatio*float64(sent)), minRest) }
