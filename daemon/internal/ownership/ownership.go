// Package ownership records which daemon incarnation owns a server: the store object server/<name> names the only
// incarnation that may send commands to the server.
//
// # Usage
//
//	c := ownership.New(store, daemon, inc, logger)
//	err := c.Take(ctx, server)       // at the start, until it succeeds
//	mine, err := c.Check(ctx, server) // before each command
//
// A process that was paused while a newer one took ownership of the server finds the other incarnation when it checks.
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

// kind is the kind of the ownership objects in the store.
const kind = "server"

// Store is the subset of the object store that this package uses.
type Store interface {
	Get(ctx context.Context, kind, name string) (store.Object, error)
	Create(ctx context.Context, kind, name string, value []byte) (int64, error)
	Update(ctx context.Context, kind, name string, value []byte, version int64) (int64, error)
}

// Ownership takes and checks the ownership of servers for one incarnation.
type Ownership struct {
	store  Store
	self   wire.Ownership
	logger *slog.Logger
}

// New returns an Ownership for an incarnation of a daemon.
func New(s Store, daemon, inc string, logger *slog.Logger) *Ownership {
	return &Ownership{store: s, self: wire.Ownership{Daemon: daemon, Inc: inc}, logger: logger}
}

// Take makes this incarnation the owner of a server. If the write is not known to have succeeded, it returns the store's
// error and must be called again. Incarnations are ULIDs, which increase with time: a process that was paused during its
// start does not take a server back from a newer one; Take then returns nil and leaves the newer owner in place.
func (c *Ownership) Take(ctx context.Context, server string) error {
	value, err := json.Marshal(c.self)
	if err != nil {
		return eris.Wrap(err, "ownership: encode")
	}
	have, version, err := c.read(ctx, server)
	if err != nil {
		return err
	}
	// An earlier write may have succeeded although its response was lost.
	if have == c.self {
		return nil
	}
	if have.Inc > c.self.Inc {
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
	event.OwnershipAcquired.Log(c.logger, "server", server, "former", have.Inc)
	return nil
}

// Check reads the owner from the store and reports whether it is this incarnation.
func (c *Ownership) Check(ctx context.Context, server string) (bool, error) {
	have, _, err := c.read(ctx, server)
	return have == c.self, err
}

// read returns the recorded owner and the version of its object, which is 0 if there is none.
func (c *Ownership) read(ctx context.Context, server string) (wire.Ownership, int64, error) {
	var have wire.Ownership
	o, err := c.store.Get(ctx, kind, server)
	var absent *store.NotFoundError
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
