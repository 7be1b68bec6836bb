// Package retire confirms requests of the operator to retire an instance with a disk.
//
// # Usage
//
//	err := retire.Run(ctx, name, objects, logger)
//
// Such an instance stores no durable data, so every request is confirmed at once.
package retire

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/event"
	"bulrushspoke/internal/sleep"
	"bulrushspoke/internal/store"
	"bulrushspoke/platform"
)

const (
	// retryWrite is the pause after a failed write.
	retryWrite = 300 * time.Millisecond
	// watchTimeout bounds a watch, whose response may be lost. It is short because operators allow an instance only a few
	// seconds to confirm.
	watchTimeout = 4 * time.Second
)

// Store is the subset of the platform's store that Run uses.
type Store interface {
	catalog.Source
	UpdateStatus(ctx context.Context, kind, name string, status []byte, revision int64) (int64, error)
	Get(ctx context.Context, kind, name string) (store.Record, error)
}

// Run confirms retirement requests for the named instance until ctx ends.
func Run(ctx context.Context, name string, s Store, logger *slog.Logger) error {
	handle := func(r store.Record) {
		if r.Name != name || platform.IsRetirementDone(r.Status) {
			return
		}
		event.InstanceRetiring.Log(logger, "revision", r.Revision)
		for ctx.Err() == nil && !confirm(ctx, s, name) {
			sleep.For(ctx, retryWrite)
		}
	}
	return catalog.Follow(ctx, s, catalog.Feed{
		Kind: platform.KindRetirements,
		Wait: func() time.Duration { return watchTimeout },
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

// confirm marks the retirement request as done and reports whether the store holds that status, or the request no more.
func confirm(ctx context.Context, s Store, name string) bool {
	r, err := s.Get(ctx, platform.KindRetirements, name)
	var absent *store.NotFoundError
	if errors.As(err, &absent) {
		return true
	}
	if err != nil {
		return false
	}
	if platform.IsRetirementDone(r.Status) {
		return true
	}
	_, err = s.UpdateStatus(ctx, platform.KindRetirements, name, platform.RetirementDone(), r.Revision)
	return err == nil
}
