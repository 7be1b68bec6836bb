// Package ownership keeps the claim of this daemon incarnation on its servers: the store object server/<name> names the
// incarnation that may command the server.
//
// # Usage
//
//	c := ownership.New(store, daemon, inc, logger)
//	err := c.Take(ctx, server)       // once, at the start
//	mine, err := c.Check(ctx, server) // before each command
//
// A process that was paused while a newer one took the server over finds the other incarnation when it checks.
package ownership

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"

	"github.com/rotisserie/eris"

	"bulrushspoke/internal/event"
	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

// kind is the kind of the claims in the store.
const kind = "server"

// Store is the part of the object store that claims need.
type Store interface {
	Get(ctx context.Context, kind, name string) (store.Object, error)
	Create(ctx context.Context, kind, name string, value []byte) (int64, error)
	Update(ctx context.Context, kind, name string, value []byte, version int64) (int64, error)
}

// Ownership claims servers for one incarnation.
type Ownership struct {
	store  Store
	own    wire.Ownership
	logger *slog.Logger
}

// New returns the claims of an incarnation of a daemon.
func New(s Store, daemon, inc string, logger *slog.Logger) *Ownership {
	return &Ownership{store: s, own: wire.Ownership{Daemon: daemon, Inc: inc}, logger: logger}
}

// Take takes a server over from whoever was in charge of it. It returns the store's error if the claim is not known to
// be written, and is to be called again then. Incarnations are ULIDs, which grow with time: a process that was paused
// in its start does not take a server back from a newer one.
func (c *Ownership) Take(ctx context.Context, server string) error {
	value, err := json.Marshal(c.own)
	if err != nil {
		return eris.Wrap(err, "ownership: encode")
	}
	have, version, err := c.read(ctx, server)
	if err != nil {
		return err
	}
	// The answer of an earlier write may have been lost.
	if have == c.own {
		return nil
	}
	if have.Inc > c.own.Inc {
		event.OwnedElsewhere.Log(c.logger, "server", server, "inc", have.Inc)
		return nil
	}
	if version == 0 {
		_, err = c.store.Create(ctx, kind, server, value)
	} else {
		_, err = c.store.Update(ctx, kind, server, value, version)
	}
	if err != nil {
		return err
	}
	event.OwnershipTaken.Log(c.logger, "server", server, "former", have.Inc)
	return nil
}

// Check reads the claim again and reports whether this incarnation is in charge.
func (c *Ownership) Check(ctx context.Context, server string) (bool, error) {
	have, _, err := c.read(ctx, server)
	return have == c.own, err
}

// read returns the claim; its version is 0 if there is none.
func (c *Ownership) read(ctx context.Context, server string) (wire.Ownership, int64, error) {
	var have wire.Ownership
	o, err := c.store.Get(ctx, kind, server)
	var absent *store.AbsentError
	if errors.As(err, &absent) {
		return have, 0, nil
	}
	if err != nil {
		return have, 0, err
	}
	if err := json.Unmarshal(o.Value, &have); err != nil {
		return have, 0, eris.Wrap(err, "ownership: decode")
	}
	return have, o.Version, nil
}
