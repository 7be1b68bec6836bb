// Package member implements the discovery of entries through the platform's store.
//
// # Usage
//
//	m := member.New(name, self, objects, peers, logger)
//	err := m.Run(ctx)
//
// Each entry stores one object with its address. The object of an entry that has been removed for good remains, and the
// others go on dialling it at increasing intervals.
package member

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"time"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/event"
	"bulrushspoke/internal/sleep"
	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

const (
	kind = "members"
	// writeRetryDelay is the delay before a failed write is retried.
	writeRetryDelay = 300 * time.Millisecond
	// watchInterval is the interval between two watches, so that the changes of a whole fleet that starts within a second
	// arrive together.
	watchInterval = time.Second
)

// Store is the part of the platform's store that this package uses.
type Store interface {
	catalog.Source
	Create(ctx context.Context, kind, name string, spec []byte) (int64, error)
	Update(ctx context.Context, kind, name string, spec []byte, revision int64) (int64, error)
}

// Peers receives the list of entries.
type Peers interface {
	SetInstances(list []wire.Instance, now time.Time)
}

// Members registers this entry and maintains the list of entries.
type Members struct {
	name   string
	self   wire.Member
	store  Store
	peers  Peers
	logger *slog.Logger

	mu   sync.Mutex
	list map[string]wire.Member
}

// New returns the Members of the entry with the given name.
func New(name string, self wire.Member, s Store, p Peers, logger *slog.Logger) *Members {
	return &Members{name: name, self: self, store: s, peers: p, logger: logger, list: make(map[string]wire.Member)}
}

// Run registers this entry and watches the others until ctx is done.
func (m *Members) Run(ctx context.Context) error {
	for !m.register(ctx) {
		sleep.For(ctx, writeRetryDelay)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return catalog.Follow(ctx, m.store, catalog.Feed{
		Kind: kind, Replace: m.replace, Apply: m.apply, Interval: func() time.Duration { return watchInterval },
	}, m.logger)
}

// register writes the object of this entry and reports whether it succeeded. Writing the object again after a lost response
// is harmless.
func (m *Members) register(ctx context.Context) bool {
	value, err := json.Marshal(m.self)
	if err != nil {
		event.RequestFailed.Log(m.logger, "cause", err.Error())
		return true
	}
	_, err = m.store.Create(ctx, kind, m.name, value)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		_, err = m.store.Update(ctx, kind, m.name, value, conflict.Current().Version)
	}
	return err == nil
}

func (m *Members) replace(list []store.Record, _ int64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.list)
	for _, r := range list {
		m.add(r)
	}
	m.publish(now)
}

func (m *Members) apply(c store.Change, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.Deleted {
		delete(m.list, c.Name)
	} else {
		m.add(c.Record)
	}
	m.publish(now)
}

func (m *Members) add(r store.Record) {
	var v wire.Member
	if err := json.Unmarshal(r.Spec, &v); err != nil || v.Address == "" {
		event.ObjectInvalid.Log(m.logger, "kind", kind, "name", r.Name)
		return
	}
	m.list[r.Name] = v
}

// publish passes the list to peers. The caller must hold mu.
func (m *Members) publish(now time.Time) {
	var l []wire.Instance
	for name, v := range m.list {
		l = append(l, wire.Instance{
			Name: name, Address: v.Address, Domain: v.Domain, Region: v.Region, Role: "entry", State: "live",
		})
	}
	m.peers.SetInstances(l, now)
}
