// Package member lets entries find each other through the platform's store.
//
// # Usage
//
//	m := member.New(name, self, objects, peers, logger)
//	err := m.Run(ctx)
//
// Each entry keeps one object with its address. An entry that is gone for good leaves its object behind; the others
// dial it in vain at growing intervals.
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
	// retryWrite is the pause after a write that failed.
	retryWrite = 300 * time.Millisecond
	// settle collects changes into one watch: a whole fleet starts within a second.
	settle = time.Second
)

// Store is the part of the platform's store that membership uses.
type Store interface {
	catalog.Source
	Create(ctx context.Context, kind, name string, spec []byte) (int64, error)
	Update(ctx context.Context, kind, name string, spec []byte, revision int64) (int64, error)
}

// Peers takes the list of entries.
type Peers interface {
	List(list []wire.Instance, now time.Time)
}

// Members keeps the list of entries.
type Members struct {
	name   string
	self   wire.Member
	store  Store
	peers  Peers
	logger *slog.Logger

	mu   sync.Mutex
	list map[string]wire.Member
}

// New returns the membership of the entry name.
func New(name string, self wire.Member, s Store, p Peers, logger *slog.Logger) *Members {
	return &Members{name: name, self: self, store: s, peers: p, logger: logger, list: make(map[string]wire.Member)}
}

// Run announces this entry and follows the others until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	for !m.announce(ctx) {
		sleep.For(ctx, retryWrite)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return catalog.Follow(ctx, m.store, catalog.Feed{
		Kind: kind, Replace: m.replace, Apply: m.apply, Settle: func() time.Duration { return settle },
	}, m.logger)
}

// announce writes this entry's object. A write whose answer was lost is made again, which changes nothing.
func (m *Members) announce(ctx context.Context) bool {
	value, err := json.Marshal(m.self)
	if err != nil {
		event.RequestFailed.Log(m.logger, "cause", err.Error())
		return true
	}
	_, err = m.store.Create(ctx, kind, m.name, value)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		_, err = m.store.Update(ctx, kind, m.name, value, conflict.Winner().Version)
	}
	return err == nil
}

func (m *Members) replace(list []store.Record, _ int64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.list)
	for _, r := range list {
		m.put(r)
	}
	m.publish(now)
}

func (m *Members) apply(c store.Change, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.Deleted {
		delete(m.list, c.Name)
	} else {
		m.put(c.Record)
	}
	m.publish(now)
}

func (m *Members) put(r store.Record) {
	var v wire.Member
	if err := json.Unmarshal(r.Spec, &v); err != nil || v.Address == "" {
		event.ObjectInvalid.Log(m.logger, "kind", kind, "name", r.Name)
		return
	}
	m.list[r.Name] = v
}

// publish hands the list over; the caller holds mu.
func (m *Members) publish(now time.Time) {
	var l []wire.Instance
	for name, v := range m.list {
		l = append(l, wire.Instance{
			Name: name, Address: v.Address, Domain: v.Domain, Region: v.Region, Role: "entry", State: "live",
		})
	}
	m.peers.List(l, now)
}
