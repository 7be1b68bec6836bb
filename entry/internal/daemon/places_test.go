package daemon

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushspoke/internal/link"
	"bulrushspoke/wire"
)

func (d *fakeDaemon) notice(f link.Frame) error {
	var n wire.Notice
	if err := f.Decode(&n); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.places = append(d.places, n.Places...)
	return nil
}

// Guards against a notice of a new target that lacks the place of the daemon's engine.
func TestPlacesAreSent(t *testing.T) {
	d := &fakeDaemon{inc: "1"}
	p := start(t, d, options())
	p.Announce(wire.Notice{Rev: 1})
	p.Announce(wire.Notice{Targets: []wire.Target{{Model: "plan", Version: 2, Fence: 3}}})
	await(t, func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return cmp.Equal(d.places, []wire.Place{{Server: "w/0", Rank: 0, Servers: 1}})
	})
}

// Guards against two engines of a model and failure domain with the same rank, and against services, other models and
// leaving daemons that are counted.
func TestPlaces(t *testing.T) {
	p := &Pool{peers: map[string]*peer{}}
	add := func(name, domain string, leaving bool, servers ...wire.Server) {
		r := newPeer(p, name)
		r.hello.Domain, r.leaving = domain, leaving
		for _, s := range servers {
			r.servers[s.Name] = s
		}
		p.peers[name] = r
	}
	server := func(name, kind, model string) wire.Server { return wire.Server{Name: name, Kind: kind, Model: model} }
	add("a", "1", false, server("a/1", "engine", "m"), server("a/0", "engine", "m"), server("a/2", "service", "m"))
	add("b", "1", true, server("b/0", "engine", "m"))
	add("c", "1", false, server("c/0", "engine", "m"), server("c/1", "engine", "n"))
	add("d", "2", false, server("d/0", "engine", "m"))
	want := map[string][]wire.Place{
		"a": {{Server: "a/0", Rank: 0, Servers: 3}, {Server: "a/1", Rank: 1, Servers: 3}},
		"c": {{Server: "c/0", Rank: 2, Servers: 3}, {Server: "c/1", Rank: 0, Servers: 1}},
		"d": {{Server: "d/0", Rank: 0, Servers: 1}},
	}
	if diff := cmp.Diff(want, p.places(time.Now())); diff != "" {
		t.Fatalf("places: %s", diff)
	}
}
