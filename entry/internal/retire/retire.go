// Package retire answers the operator's wish to take an instance with a disk away.
//
// # Usage
//
//	err := retire.Run(ctx, name, objects, logger)
//
// Nothing that must last is kept on such an instance, so it may go at once.
package retire

import (
	"context"
	"log/slog"
	"time"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/event"
	"bulrushspoke/internal/sleep"
	"bulrushspoke/internal/store"
	"bulrushspoke/platform"
)

const (
	// retryWrite is the pause after a write that failed.
	retryWrite = 300 * time.Millisecond
	// watchWait bounds a watch, whose answer may be lost; operators give an instance some seconds.
	watchWait = 4 * time.Second
)

// Store is the part of the platform's store that retirement uses.
type Store interface {
	catalog.Source
	UpdateStatus(ctx context.Context, kind, name string, status []byte, revision int64) (int64, error)
	Get(ctx context.Context, kind, name string) (store.Record, error)
}

// Run answers wishes that name this instance until ctx ends.
func Run(ctx context.Context, name string, s Store, logger *slog.Logger) error {
	handle := func(r store.Record) {
		if r.Name != name || platform.IsRetirementDone(r.Status) {
			return
		}
		event.Retired.Log(logger, "revision", r.Revision)
		for ctx.Err() == nil && !answer(ctx, s, name) {
			sleep.For(ctx, retryWrite)
		}
	}
	return catalog.Follow(ctx, s, catalog.Feed{
		Kind: platform.KindRetirements,
		Wait: func() time.Duration { return watchWait },
		Replace: func(list []store.Record, _ int64, _ time.Time) {
			for _, r := range list {
				handle(r)
			}
		},
		Apply: func(c store.Change, _ time.Time) {
			if !c.Deleted {
				handle(c.Record)
			}
		},
	}, logger)
}

// answer writes the status and reports whether it stands.
func answer(ctx context.Context, s Store, name string) bool {
	r, err := s.Get(ctx, platform.KindRetirements, name)
	if err != nil {
		return false
	}
	if platform.IsRetirementDone(r.Status) {
		return true
	}
	_, err = s.UpdateStatus(ctx, platform.KindRetirements, name, platform.RetirementDone(), r.Revision)
	return err == nil
}
