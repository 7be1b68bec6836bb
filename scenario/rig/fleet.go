package rig

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"bulrushspoke/scenario/history"
	"bulrushspoke/standin/report"
	"bulrushspoke/wire"
)

// Site is the place of an instance.
type Site struct {
	Region string
	Domain string
}

// Instance is an entry or a daemon.
type Instance struct {
	Name string
	Site Site
	// Engines and Services name the servers of a daemon.
	Engines  []string
	Services []string
}

// Layout describes a fleet.
type Layout struct {
	Entries   []Instance
	Daemons   []Instance
	Slots     int           // of each engine
	Rate      float64       // tokens a second of each stream
	Swap      time.Duration // of a weight load
	Delay     time.Duration // of a service run
	Stagger   time.Duration // window of a weight change
	Lag       time.Duration // of the instance list
	Staleness int           // bound of the training profile
	Ignore    []string      // engines that ignore fencing tokens
	Relays    bool          // every daemon is reached through a relay named link-<daemon>
	Weights   int64         // bytes a second of the weight store, 0 for none
}

// Fleet is a running deployment.
type Fleet struct {
	*Rig
	layout  Layout
	address map[string]string // by process name; for relays that of the control server
	links   map[string]string // address under which an entry or a daemon is reached by others
}

// NewFleet returns a fleet that has not been started.
func NewFleet(r *Rig, l Layout) *Fleet {
	return &Fleet{Rig: r, layout: l, address: map[string]string{}, links: map[string]string{}}
}

// Address returns the address of a process: HTTP, or the control server of a relay.
func (f *Fleet) Address(name string) (string, error) {
	if a, ok := f.address[name]; ok {
		return a, nil
	}
	return "", fmt.Errorf("rig: no address of %q", name)
}

// URL returns the base URL of a process.
func (f *Fleet) URL(name string) string { return "http://" + f.address[name] }

// Entries returns the base URLs of all entries.
func (f *Fleet) Entries() []string {
	urls := make([]string, len(f.layout.Entries))
	for i, e := range f.layout.Entries {
		urls[i] = f.URL(e.Name)
	}
	return urls
}

// Start starts everything and returns once each entry is ready and linked to all servers.
func (f *Fleet) Start(ctx context.Context) error {
	if err := f.addresses(); err != nil {
		return err
	}
	if err := f.outside(ctx); err != nil {
		return err
	}
	for _, d := range f.layout.Daemons {
		if err := f.daemon(d); err != nil {
			return err
		}
	}
	for _, e := range f.layout.Entries {
		if err := f.entry(e); err != nil {
			return err
		}
	}
	if err := f.configure(ctx); err != nil {
		return err
	}
	for _, e := range f.layout.Entries {
		if err := f.Ready(ctx, e.Name); err != nil {
			return err
		}
	}
	return nil
}

// addresses gives a free port to everything.
func (f *Fleet) addresses() error {
	names := []string{"store", "list", "weights"}
	for _, e := range f.layout.Entries {
		names = append(names, e.Name, "link-"+e.Name)
	}
	for _, d := range f.layout.Daemons {
		names = append(names, d.Name)
		names = append(names, d.Engines...)
		names = append(names, d.Services...)
		if f.layout.Relays {
			names = append(names, "link-"+d.Name)
		}
	}
	for _, n := range names {
		a, err := Port()
		if err != nil {
			return err
		}
		f.address[n] = a
	}
	for _, e := range f.layout.Entries {
		f.links[e.Name] = f.address["link-"+e.Name]
	}
	for _, d := range f.layout.Daemons {
		f.links[d.Name] = f.address[d.Name]
		if !f.layout.Relays {
			continue
		}
		a, err := Port()
		if err != nil {
			return err
		}
		f.links[d.Name] = a
	}
	return nil
}

// outside starts the stand-ins and waits until they answer.
func (f *Fleet) outside(ctx context.Context) error {
	if err := f.standin("store", "store"); err != nil {
		return err
	}
	if f.layout.Weights > 0 {
		if err := f.standin("weights", "weights", "--rate", strconv.FormatInt(f.layout.Weights, 10)); err != nil {
			return err
		}
	}
	path, err := f.write("list", wire.Instances{Instances: f.instances()})
	if err != nil {
		return err
	}
	lag := strconv.FormatInt(f.layout.Lag.Milliseconds(), 10)
	if err := f.standin("list", "instances", "--file", path, "--lag", lag); err != nil {
		return err
	}
	for _, d := range f.layout.Daemons {
		for _, e := range d.Engines {
			if err := f.engine(e); err != nil {
				return err
			}
		}
		for _, s := range d.Services {
			if err := f.standin(s, "service", "--delay", f.layout.Delay.String()); err != nil {
				return err
			}
		}
		if f.layout.Relays {
			if err := f.relay(d.Name); err != nil {
				return err
			}
		}
	}
	for _, name := range []string{"store", "list"} {
		err := Poll(ctx, name, func(ctx context.Context) error {
			var counts map[string]any
			return Get(ctx, f.URL(name)+"/counts", &counts, nil)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) standin(name, kind string, args ...string) error {
	_, err := f.Rig.Start(name, "bulrush-standin", append([]string{kind, "--listen", f.address[name]}, args...)...)
	return err
}

func (f *Fleet) engine(name string) error {
	args := []string{
		"--model", Model, "--slots", strconv.Itoa(f.layout.Slots),
		"--rate", strconv.FormatFloat(f.layout.Rate, 'f', -1, 64), "--swap", f.layout.Swap.String(),
	}
	if slices.Contains(f.layout.Ignore, name) {
		args = append(args, "--fencing", "ignore")
	}
	if f.layout.Weights > 0 {
		args = append(args, "--weights", f.URL("weights"))
	}
	return f.standin(name, "engine", args...)
}

func (f *Fleet) relay(daemon string) error {
	name := "link-" + daemon
	_, err := f.Rig.Start(name, "bulrush-standin", "relay",
		"--listen", f.links[daemon], "--to", f.address[daemon], "--control", f.address[name])
	return err
}

// instances returns the list of the platform.
func (f *Fleet) instances() []wire.Instance {
	var list []wire.Instance
	for _, e := range f.layout.Entries {
		list = append(list, wire.Instance{
			Name: e.Name, Role: "entry", Region: e.Site.Region, Domain: e.Site.Domain, State: "live", Address: f.links[e.Name],
		})
	}
	for _, d := range f.layout.Daemons {
		list = append(list, wire.Instance{
			Name: d.Name, Role: "daemon", Region: d.Site.Region, Domain: d.Site.Domain, State: "live", Address: f.links[d.Name],
		})
	}
	return list
}

func (f *Fleet) daemon(d Instance) error {
	var servers []server
	for _, e := range d.Engines {
		fencing := !slices.Contains(f.layout.Ignore, e)
		servers = append(servers, server{
			Name: e, Kind: "engine", Model: Model, URL: f.URL(e), Slots: f.layout.Slots, Fencing: &fencing,
		})
	}
	for _, s := range d.Services {
		servers = append(servers, server{Name: s, Kind: "service", Model: Service, URL: f.URL(s), Slots: f.layout.Slots})
	}
	path, err := f.write(d.Name, map[string]any{
		"name": d.Name, "domain": d.Site.Domain, "region": d.Site.Region, "secret": secret,
		"listen": f.address[d.Name], "advertise": f.links[d.Name], "stagger": f.layout.Stagger.String(), "poll": "500ms",
		"store": map[string]any{"url": f.URL("store")}, "servers": servers,
	})
	if err != nil {
		return err
	}
	_, err = f.Rig.Start(d.Name, "bulrush-daemon", "--config", path)
	return err
}

func (f *Fleet) entry(e Instance) error {
	path, err := f.write(e.Name, map[string]any{
		"name": e.Name, "domain": e.Site.Domain, "region": e.Site.Region, "secret": secret,
		"listen": f.address[e.Name], "link": map[string]any{"listen": f.links[e.Name]},
		"store":     map[string]any{"url": f.URL("store")},
		"instances": map[string]any{"url": f.URL("list") + "/instances", "interval": "200ms"},
		"tokens":    identities(),
		"timeouts":  map[string]any{"unready": "300ms"},
	})
	if err != nil {
		return err
	}
	_, err = f.Rig.Start(e.Name, "bulrush-entry", "--config", path)
	return err
}

// configure writes the first configuration.
func (f *Fleet) configure(ctx context.Context) error {
	doc := wire.Document{Change: "first", Profiles: Profiles(f.layout.Staleness)}
	return Poll(ctx, "the first configuration", func(ctx context.Context) error {
		a, err := f.Apply(ctx, f.layout.Entries[0].Name, doc, 0)
		if err != nil {
			return err
		}
		if a.Status != http.StatusOK {
			return fmt.Errorf("rig: status %d: %s", a.Status, a.Body)
		}
		return nil
	})
}

// Apply writes a configuration through an entry in place of a revision.
func (f *Fleet) Apply(ctx context.Context, entry string, doc wire.Document, revision int64) (Reply, error) {
	header := bearer(OperatorToken)
	header["If-Match"] = strconv.Quote(strconv.FormatInt(revision, 10))
	header["Change-Id"] = doc.Change
	return Do(ctx, http.MethodPut, f.URL(entry)+"/v1/config", doc, header)
}

// Config returns the configuration that an entry holds.
func (f *Fleet) Config(ctx context.Context, entry string) (wire.ConfigAnswer, error) {
	var a wire.ConfigAnswer
	err := Get(ctx, f.URL(entry)+"/v1/config", &a, bearer(OperatorToken))
	return a, err
}

// Ready waits until an entry is ready and linked to all servers.
func (f *Fleet) Ready(ctx context.Context, entry string) error {
	want := 0
	for _, d := range f.layout.Daemons {
		want += len(d.Engines) + len(d.Services)
	}
	return Poll(ctx, entry+" to be ready", func(ctx context.Context) error {
		a, err := Do(ctx, http.MethodGet, f.URL(entry)+"/health/ready", nil, nil)
		if err != nil {
			return err
		}
		if a.Status != http.StatusOK {
			return fmt.Errorf("rig: %s is unready: %s", entry, a.Body)
		}
		up, err := f.Upstreams(ctx, entry)
		if err != nil {
			return err
		}
		n := 0
		for _, u := range up {
			if u.Linked && u.Server.Up {
				n++
			}
		}
		if n < want {
			return fmt.Errorf("rig: %s has %d of %d servers", entry, n, want)
		}
		return nil
	})
}

// Upstreams returns the servers as an entry sees them.
func (f *Fleet) Upstreams(ctx context.Context, entry string) ([]wire.Upstream, error) {
	var up wire.UpstreamList
	err := Get(ctx, f.URL(entry)+"/v1/upstreams", &up, bearer(OperatorToken))
	return up.Upstreams, err
}

// Collect reads what all engines and services have seen into the history.
func (f *Fleet) Collect(ctx context.Context, h *history.History) error {
	h.Engines = map[string]report.EngineHistory{}
	h.Services = map[string]report.ServiceCounts{}
	var all error
	for _, d := range f.layout.Daemons {
		for _, e := range d.Engines {
			var seen report.EngineHistory
			all = errors.Join(all, Poll(ctx, e, func(ctx context.Context) error {
				return Get(ctx, f.URL(e)+"/history", &seen, nil)
			}))
			h.Engines[e] = seen
		}
		for _, s := range d.Services {
			var seen report.ServiceCounts
			all = errors.Join(all, Get(ctx, f.URL(s)+"/counts", &seen, nil))
			h.Services[s] = seen
		}
	}
	return all
}
