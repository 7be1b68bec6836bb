// Package forecast estimates how many events the items of a model make.
//
// # Usage
//
//	f := forecast.New()
//	total := f.Events("m", hint, most) // before and while the item runs
//	rest := forecast.Rest(total, made) // made events are here
//	f.Ended("m", hint, made)           // its text is whole
//
// Trainers estimate tokens; engines send events of several tokens. Estimates are right in the middle, though far off for
// single items, so that the whole items of a model together tell how many estimated tokens an event stands for.
package forecast

import (
	"cmp"

	"bulrushspoke/entry/internal/typical"
)

const (
	// window is how many of the newest whole items of a model count.
	window = 128
	// restLeast is how many events an item is expected to make yet, however long its text is.
	restLeast = 3
	// outlived is the part of its text that an item is expected to make yet at least: few items are many times longer than
	// the rest, and one that has outlived its estimate is most likely one of them.
	outlived = 1.0
)

// Forecast knows the whole items of each model. It is safe for several tasks.
type Forecast struct {
	tokens *typical.Values[float64] // of the estimate for each event
}

// New returns a Forecast that has seen no item.
func New() *Forecast { return &Forecast{tokens: typical.New[float64](window, 1)} }

// Ended tells that an item with an estimate of hint tokens has made its last event.
func (f *Forecast) Ended(name string, hint, events int) {
	if hint > 0 && events > 0 {
		f.tokens.Note(name, float64(hint)/float64(events))
	}
}

// Events returns how many events an item with an estimate of hint tokens makes, which are most tokens at the longest (0
// if unknown). Before the first whole item of a model an event counts as one token, so that items can be compared.
func (f *Forecast) Events(name string, hint, most int) int {
	if most > 0 {
		hint = min(hint, most)
	}
	return int(float64(hint) / cmp.Or(f.tokens.Of(name), 1))
}

// Rest returns how many events an item is expected to make yet, given its estimate and the events that it has made.
func Rest(total, made int) int { return max(total-made, int(outlived*float64(made)), restLeast) }
