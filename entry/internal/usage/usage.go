// Package usage shares the rate limits of servers, and what has been used of them, among the entries.
//
// # Usage
//
//	s := usage.New(catalog, peers)
//	s.Register()
//	err := s.Run(ctx)
//	s.SendSnapshot(time.Now()) // whenever an entry has become reachable
//
// A limit applies to the requests of all entries together. Each entry reports its own requests to servers with a limit, in
// requests since its last report, and applies the reports of the others. Nothing is sent while no server has a limit.
package usage

import (
	"context"
	"time"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/link"
	"bulrushspoke/internal/ratelimit"
	"bulrushspoke/wire"
)

const (
	// reportDelay is the delay from a change to its report, which combines the changes of a burst of requests.
	reportDelay = 5 * time.Millisecond
	// minReportInterval is the minimum time between two reports. It bounds the messages at servers with high limits.
	minReportInterval = 25 * time.Millisecond
)

// Peers exchanges messages with the other entries.
type Peers interface {
	Broadcast(kind string, body any)
	Handle(kind string, f func(context.Context, link.Frame) (string, any, error))
}

// Sharer reports the use of limits by one entry and applies the reports of the others.
type Sharer struct {
	catalog *catalog.Catalog
	peers   Peers
}

// New returns the Sharer of an entry.
func New(c *catalog.Catalog, p Peers) *Sharer { return &Sharer{catalog: c, peers: p} }

// Register registers the handler for messages of other entries. It must be called before the peers are served.
func (s *Sharer) Register() {
	s.peers.Handle(link.Limits, func(_ context.Context, f link.Frame) (string, any, error) {
		var m wire.Limits
		if err := f.Decode(&m); err != nil {
			return "", nil, err
		}
		s.apply(m, time.Now())
		return "", nil, nil
	})
}

// apply applies the reports about servers whose present incarnation this entry knows.
func (s *Sharer) apply(m wire.Limits, now time.Time) {
	for _, w := range m.Servers {
		if known, ok := s.catalog.Server(w.Server); !ok || known.StartedAt != int64(w.Born) {
			continue
		}
		s.catalog.Limits().Apply(ratelimit.Report{
			Server: w.Server, Rate: w.Rate, Fresh: w.Fresh, Ended: w.Ended, Sent: w.Sent, Promised: w.Promised, Level: w.Level,
		}, now)
	}
}

// Run sends reports until ctx is done and returns the error of ctx.
func (s *Sharer) Run(ctx context.Context) error {
	delay := time.NewTimer(reportDelay)
	defer delay.Stop()
	var last time.Time
	for {
		select {
		case <-s.catalog.Limits().Unreported():
		case <-ctx.Done():
			return ctx.Err()
		}
		delay.Reset(max(minReportInterval-time.Since(last), reportDelay))
		select {
		case now := <-delay.C:
			last = now
			s.send(s.catalog.Limits().TakeReports())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// SendSnapshot sends all limits that this entry knows to the other entries.
func (s *Sharer) SendSnapshot(now time.Time) { s.send(s.catalog.Limits().Snapshot(now)) }

func (s *Sharer) send(reports []ratelimit.Report) {
	var m wire.Limits
	for _, r := range reports {
		known, ok := s.catalog.Server(r.Server)
		if !ok {
			continue
		}
		m.Servers = append(m.Servers, wire.ServerLimit{
			Server: r.Server, Born: int(known.StartedAt), Rate: r.Rate, Fresh: r.Fresh, Ended: r.Ended, Sent: r.Sent,
			Promised: r.Promised, Level: r.Level,
		})
	}
	if len(m.Servers) > 0 {
		s.peers.Broadcast(link.Limits, m)
	}
}
