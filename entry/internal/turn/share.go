package turn

import (
	"context"
	"time"

	"bulrushspoke/internal/fairness"
	"bulrushspoke/internal/link"
	"bulrushspoke/wire"
)

const (
	// reportDelay is the delay of the first report, which combines the requests of a burst.
	reportDelay = 5 * time.Millisecond
	// reportInterval is the time between two reports while slots are short. Overloads last for seconds, and 81 workspaces
	// make a report of 3.3 KB, so that an entry sends 3.9 Mbit/s to 22 others.
	reportInterval = 150 * time.Millisecond
)

// Register registers the handler for reports of other entries. It must be called before the peers are served.
func (t *Turns) Register() {
	t.Peers.Handle(link.Shares, func(_ context.Context, f link.Frame) (string, any, error) {
		var m wire.Shares
		if err := f.Decode(&m); err != nil {
			return "", nil, err
		}
		t.apply(m, time.Now())
		return "", nil, nil
	})
}

// apply applies a report to the services that this entry uses.
func (t *Turns) apply(m wire.Shares, now time.Time) {
	for _, w := range m.Services {
		s := t.known(w.Service)
		if s == nil {
			continue
		}
		r := fairness.Report{Refused: w.Refused, Served: w.Served}
		for _, d := range w.Requests {
			r.Demands = append(r.Demands, fairness.Demand{
				Flow: fairness.Flow{Workspace: d.Workspace, Level: d.Level}, Amount: d.Rate,
			})
		}
		s.mu.Lock()
		s.queue.Apply(m.Entry, r, now)
		t.dispatch(s, now)
		s.mu.Unlock()
		var uses []fairness.Use
		for _, u := range w.Items {
			uses = append(uses, fairness.Use{
				Flow: fairness.Flow{Workspace: u.Workspace, Level: u.Level}, Running: u.Running, Waiting: u.Waiting,
			})
		}
		s.items.mu.Lock()
		s.items.slots.Apply(m.Entry, uses, now)
		s.items.mu.Unlock()
	}
	t.signalScarce()
}

// Run sends reports until ctx is done and returns the error of ctx. It is idle while no service is short of slots.
func (t *Turns) Run(ctx context.Context) error {
	for {
		select {
		case <-t.scarce:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := t.reportWhileScarce(ctx); err != nil {
			return err
		}
	}
}

// reportWhileScarce sends reports until there is nothing to report.
func (t *Turns) reportWhileScarce(ctx context.Context) error {
	timer := time.NewTimer(reportDelay)
	defer timer.Stop()
	for {
		select {
		case now := <-timer.C:
			m := t.report(now)
			if len(m.Services) == 0 {
				return nil
			}
			t.Peers.Broadcast(link.Shares, m)
			timer.Reset(reportInterval)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// report returns the report of this entry about the services that are short of slots.
func (t *Turns) report(now time.Time) wire.Shares {
	m := wire.Shares{Entry: t.Name}
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, s := range t.services {
		w := wire.ServiceShares{Service: s.name, Requests: []wire.RequestShare{}, Items: []wire.ItemShare{}}
		s.mu.Lock()
		r, requests := s.queue.Report(now)
		s.mu.Unlock()
		if requests {
			w.Refused, w.Served = r.Refused, r.Served
			for _, d := range r.Demands {
				w.Requests = append(w.Requests, wire.RequestShare{Workspace: d.Flow.Workspace, Level: d.Flow.Level, Rate: d.Amount})
			}
		}
		s.items.mu.Lock()
		s.items.count(now)
		uses, items := s.items.slots.Report(now)
		s.items.mu.Unlock()
		if items {
			for _, u := range uses {
				w.Items = append(w.Items, wire.ItemShare{
					Workspace: u.Flow.Workspace, Level: u.Flow.Level, Running: u.Running, Waiting: u.Waiting,
				})
			}
		}
		if requests || items {
			m.Services = append(m.Services, w)
		}
	}
	return m
}
