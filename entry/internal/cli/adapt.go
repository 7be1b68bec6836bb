package cli

import (
	"bulrushspoke/entry/internal/dispatch"
	"bulrushspoke/entry/internal/trainer"
	"bulrushspoke/wire"
)

// peerHandler handles messages from other entries.
type peerHandler struct {
	*trainer.Trainer
	dispatcher *dispatch.Dispatcher
}

// Suspect implements peer.Handler.
func (h peerHandler) Suspect(s wire.Suspect) { h.dispatcher.Suspect(s) }

// Explain implements peer.Handler.
func (h peerHandler) Explain(request string) (wire.Trace, bool) { return h.dispatcher.Explain(request) }
