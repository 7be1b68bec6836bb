package cli

import (
	"context"

	"bulrushspoke/wire"
)

// peerHandler serves the messages of other entries.
type peerHandler struct {
	*entry
}

// Pull implements peer.Handler.
func (h peerHandler) Pull(ctx context.Context, f wire.Forward) wire.Batch {
	return h.trainer.Pull(ctx, f)
}

// Verdict implements peer.Handler.
func (h peerHandler) Verdict(v wire.Verdict) { h.trainer.Verdict(v) }

// Suspect implements peer.Handler.
func (h peerHandler) Suspect(s wire.Suspect) { h.dispatcher.Suspect(s) }
