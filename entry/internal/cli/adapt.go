package cli

import (
	"context"

	"bulrushspoke/entry/internal/claim"
	"bulrushspoke/entry/internal/daemon"
	"bulrushspoke/entry/internal/dispatch"
	"bulrushspoke/internal/refusal"
	"bulrushspoke/wire"
)

// dispatchPool gives the dispatcher its view of the pool.
type dispatchPool struct {
	*daemon.Pool
}

// Candidates implements dispatch.Pool.
func (p dispatchPool) Candidates(kind, model string) []dispatch.Candidate {
	l := p.Pool.Candidates(kind, model)
	out := make([]dispatch.Candidate, len(l))
	for i, c := range l {
		out[i] = dispatch.Candidate(c)
	}
	return out
}

// Start implements dispatch.Pool.
func (p dispatchPool) Start(ctx context.Context, name string, w wire.Work) (dispatch.Stream, error) {
	s, err := p.Pool.Start(ctx, name, w)
	if err != nil {
		return nil, err
	}
	return stream{s}, nil
}

// stream gives the dispatcher its view of a stream.
type stream struct {
	*daemon.Stream
}

// Next implements dispatch.Stream.
func (s stream) Next(ctx context.Context) (dispatch.Event, error) {
	e, err := s.Stream.Next(ctx)
	return dispatch.Event(e), err
}

// noClaims refuses calls that must not be repeated until package claim can run them.
type noClaims struct{}

// Run implements caller.Claims.
func (noClaims) Run(context.Context, claim.Call) (wire.Reply, error) {
	return wire.Reply{}, refusal.New(refusal.Unready, refusal.NotRun, "this release runs no unrepeatable calls")
}

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
