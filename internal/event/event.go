// Package event defines the numbered log events of all programs.
//
// # Usage
//
//	event.LinkOpened.Log(logger, "peer", name)
//
// Each event has a level, a text and a number whose meaning never changes. The operators' reference is docs/events.md,
// which a test compares with this package. Numbers 100 to 999 are shared, 1000 to 1999 belong to the entry and 2000 to
// 2999 to the daemon.
package event

import (
	"context"
	"log/slog"
	"slices"
)

// Event is a kind of log line.
type Event struct {
	number int
	level  slog.Level
	text   string
}

var catalogue []Event

func define(number int, level slog.Level, text string) Event {
	e := Event{number: number, level: level, text: text}
	catalogue = append(catalogue, e)
	return e
}

// Catalogue returns all events, sorted by number.
func Catalogue() []Event {
	c := slices.Clone(catalogue)
	slices.SortFunc(c, func(a, b Event) int { return a.number - b.number })
	return c
}

// Number returns the number of the event.
func (e Event) Number() int { return e.number }

// Level returns the level that the event is logged at.
func (e Event) Level() slog.Level { return e.level }

// Text returns the message of the event.
func (e Event) Text() string { return e.text }

// Log writes the event to l with its number and the given attributes.
func (e Event) Log(l *slog.Logger, args ...any) {
	l.Log(context.Background(), e.level, e.text, append([]any{"event", e.number}, args...)...)
}
