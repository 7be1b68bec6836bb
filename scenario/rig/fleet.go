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

// Site is the location of an instance.
type Site struct {
	Region string
	Domain string
}

// Instance is an entry or a daemon.
type Instance struct {
	Name string
	Site Site
	// Engines and Services are the names of a daemon's servers.
	Engines  []string
	Services []string
}

// Layout describes a fleet and the behaviour of its stand-ins.
type Layout struct {
	Entries         []Instance
	Daemons         []Instance
	Slots           int           // per server
	TokenRate       float64       // tokens per second of a stream
	LoadTime        time.Duration // that a weight load takes
	ServiceDelay    time.Duration // of a service call
	StaggerWindow   time.Duration // over which daemons spread the loads of a new weight version
	ListLag         time.Duration // by which the instance list trails changes
	Staleness       int           // staleness bound of the training profile, in weight versions
	IgnoreFencing   []string      // names of engines that ignore fencing tokens
	Relays          bool          // puts a relay named link-<daemon> in front of each daemon
	WeightBandwidth int64         // bytes per second of the weight store; 0 starts none
}

// Fleet is a running deployment.
type Fleet struct {
	*Rig
	layout        Layout
	addresses     map[string]string // by process name; for a relay, the address of its control server
	linkAddresses map[string]string // advertised address of each entry and daemon
}

// NewFleet returns a fleet that has not been started.
func NewFleet(r *Rig, l Layout) *Fleet {
	return &Fleet{Rig: r, layout: l, addresses: map[string]string{}, linkAddresses: map[string]string{}}
}

// Address returns the HTTP address of a process, which for a relay is that of its control server.
func (f *Fleet) Address(name string) (string, error) {
	if a, ok := f.addresses[name]; ok {
		return a, nil
	}
	return "", fmt.Errorf("rig: no address for process %q", name)
}

// URL returns the base URL of a process.
func (f *Fleet) URL(name string) string { return "http://" + f.addresses[name] }

// Entries returns the base URLs of all entries.
func (f *Fleet) Entries() []string {
	urls := make([]string, len(f.layout.Entries))
	for i, e := range f.layout.Entries {
		urls[i] = f.URL(e.Name)
	}
	return urls
}

// Start starts the processes, writes the first configuration and returns once each entry is ready and linked to all
// servers.
func (f *Fleet) Start(ctx context.Context) error {
	if err := f.assignAddresses(); err != nil {
		return err
	}
	if err := f.startStandins(ctx); err != nil {
		return err
	}
	for _, d := range f.layout.Daemons {
		if err := f.startDaemon(d); err != nil {
			return err
		}
	}
	for _, e := range f.layout.Entries {
		if err := f.startEntry(e); err != nil {
			return err
		}
	}
	if err := f.applyInitialConfig(ctx); err != nil {
		return err
	}
	for _, e := range f.layout.Entries {
		if err := f.Ready(ctx, e.Name); err != nil {
			return err
		}
	}
	return nil
}

// assignAddresses assigns a free port to each process and link listener.
func (f *Fleet) assignAddresses() error {
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
		a, err := FreeAddress()
		if err != nil {
			return err
		}
		f.addresses[n] = a
	}
	for _, e := range f.layout.Entries {
		f.linkAddresses[e.Name] = f.addresses["link-"+e.Name]
	}
	for _, d := range f.layout.Daemons {
		f.linkAddresses[d.Name] = f.addresses[d.Name]
		if !f.layout.Relays {
			continue
		}
		a, err := FreeAddress()
		if err != nil {
			return err
		}
		f.linkAddresses[d.Name] = a
	}
	return nil
}

// startStandins starts the stand-ins and waits until the store and the instance list respond.
func (f *Fleet) startStandins(ctx context.Context) error {
	if err := f.startStandin("store", "store"); err != nil {
		return err
	}
	if f.layout.WeightBandwidth > 0 {
		if err := f.startStandin("weights", "weights", "--rate", strconv.FormatInt(f.layout.WeightBandwidth, 10)); err != nil {
			return err
		}
	}
	path, err := f.writeSettings("list", wire.Instances{Instances: f.instanceList()})
	if err != nil {
		return err
	}
	lag := strconv.FormatInt(f.layout.ListLag.Milliseconds(), 10)
	if err := f.startStandin("list", "instances", "--file", path, "--lag", lag); err != nil {
		return err
	}
	for _, d := range f.layout.Daemons {
		for _, e := range d.Engines {
			if err := f.startEngine(e); err != nil {
				return err
			}
		}
		for _, s := range d.Services {
			if err := f.startStandin(s, "service", "--delay", f.layout.ServiceDelay.String()); err != nil {
				return err
			}
		}
		if f.layout.Relays {
			if err := f.startRelay(d.Name); err != nil {
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

func (f *Fleet) startStandin(name, kind string, args ...string) error {
	_, err := f.Rig.Start(name, "bulrush-standin", append([]string{kind, "--listen", f.addresses[name]}, args...)...)
	return err
}

func (f *Fleet) startEngine(name string) error {
	args := []string{
		"--model", Model, "--slots", strconv.Itoa(f.layout.Slots),
		"--rate", strconv.FormatFloat(f.layout.TokenRate, 'f', -1, 64), "--swap", f.layout.LoadTime.String(),
	}
	if slices.Contains(f.layout.IgnoreFencing, name) {
		args = append(args, "--fencing", "ignore")
	}
	if f.layout.WeightBandwidth > 0 {
		args = append(args, "--weights", f.URL("weights"))
	}
	return f.startStandin(name, "engine", args...)
}

func (f *Fleet) startRelay(daemon string) error {
	name := "link-" + daemon
	_, err := f.Rig.Start(name, "bulrush-standin", "relay",
		"--listen", f.linkAddresses[daemon], "--to", f.addresses[daemon], "--control", f.addresses[name])
	return err
}

// instanceList returns the instances that the platform lists.
func (f *Fleet) instanceList() []wire.Instance {
	var list []wire.Instance
	for _, e := range f.layout.Entries {
		list = append(list, wire.Instance{
			Name: e.Name, Role: "entry", Region: e.Site.Region, Domain: e.Site.Domain, State: "live",
			Address: f.linkAddresses[e.Name],
		})
	}
	for _, d := range f.layout.Daemons {
		list = append(list, wire.Instance{
			Name: d.Name, Role: "daemon", Region: d.Site.Region, Domain: d.Site.Domain, State: "live",
			Address: f.linkAddresses[d.Name],
		})
	}
	return list
}

func (f *Fleet) startDaemon(d Instance) error {
	var servers []serverSettings
	for _, e := range d.Engines {
		fencing := !slices.Contains(f.layout.IgnoreFencing, e)
		servers = append(servers, serverSettings{
			Name: e, Kind: "engine", Model: Model, URL: f.URL(e), Slots: f.layout.Slots, Fencing: &fencing,
		})
	}
	for _, s := range d.Services {
		servers = append(servers, serverSettings{Name: s, Kind: "service", Model: Service, URL: f.URL(s), Slots: f.layout.Slots})
	}
	path, err := f.writeSettings(d.Name, map[string]any{
		"name": d.Name, "domain": d.Site.Domain, "region": d.Site.Region, "secret": peerSecret,
		"listen": f.addresses[d.Name], "advertise": f.linkAddresses[d.Name],
		"stagger": f.layout.StaggerWindow.String(), "poll": "500ms",
		"store": map[string]any{"url": f.URL("store")}, "servers": servers,
	})
	if err != nil {
		return err
	}
	_, err = f.Rig.Start(d.Name, "bulrush-daemon", "--config", path)
	return err
}

func (f *Fleet) startEntry(e Instance) error {
	path, err := f.writeSettings(e.Name, map[string]any{
		"name": e.Name, "domain": e.Site.Domain, "region": e.Site.Region, "secret": peerSecret,
		"listen": f.addresses[e.Name], "link": map[string]any{"listen": f.linkAddresses[e.Name]},
		"store":     map[string]any{"url": f.URL("store")},
		"instances": map[string]any{"url": f.URL("list") + "/instances", "interval": "200ms"},
		"tokens":    tokens(),
		"timeouts":  map[string]any{"unready": "300ms"},
	})
	if err != nil {
		return err
	}
	_, err = f.Rig.Start(e.Name, "bulrush-entry", "--config", path)
	return err
}

// applyInitialConfig writes the first configuration through the first entry.
func (f *Fleet) applyInitialConfig(ctx context.Context) error {
	doc := wire.Document{Change: "first", Profiles: Profiles(f.layout.Staleness)}
	return Poll(ctx, "the first configuration", func(ctx context.Context) error {
		a, err := f.Apply(ctx, f.layout.Entries[0].Name, doc, 0)
		if err != nil {
			return err
		}
		if a.Status != http.StatusOK {
			return fmt.Errorf("rig: first configuration: status %d: %s", a.Status, a.Body)
		}
		return nil
	})
}

// Apply replaces a revision of the configuration through an entry.
func (f *Fleet) Apply(ctx context.Context, entry string, doc wire.Document, revision int64) (Reply, error) {
	header := bearer(OperatorToken)
	header["If-Match"] = strconv.Quote(strconv.FormatInt(revision, 10))
	header["Change-Id"] = doc.Change
	return Do(ctx, http.MethodPut, f.URL(entry)+"/v1/config", doc, header)
}

// Config returns the configuration that an entry uses.
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
			return fmt.Errorf("rig: %s is not ready: %s", entry, a.Body)
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
			return fmt.Errorf("rig: %s is linked to %d of %d servers", entry, n, want)
		}
		return nil
	})
}

// Upstreams returns the servers that an entry knows, with their state.
func (f *Fleet) Upstreams(ctx context.Context, entry string) ([]wire.Upstream, error) {
	var up wire.UpstreamList
	err := Get(ctx, f.URL(entry)+"/v1/upstreams", &up, bearer(OperatorToken))
	return up.Upstreams, err
}

// Collect reads the records of all engines and services into h.
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
