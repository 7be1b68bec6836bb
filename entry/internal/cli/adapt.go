package cli

import (
	"context"

	"bulrushspoke/internal/refusal"
	"bulrushspoke/wire"
)

// peerHandler serves the messages of other entries.
type peerHandler struct {
	*entry
}

// Pull implements peer.Handler.
func (h peerHandler) Pull(context.Context, wire.Forward) wire.Batch {
	return wire.Batch{Code: string(refusal.Unready), Message: "this entry runs no steps"}
}

// Verdict implements peer.Handler.
func (h peerHandler) Verdict(wire.Verdict) {}

// Suspect implements peer.Handler.
func (h peerHandler) Suspect(s wire.Suspect) { h.dispatcher.Suspect(s) }
