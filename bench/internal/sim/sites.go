package sim

import "time"

// Site is one server with its place.
type Site struct {
	Name   string
	Region string
	Domain string
	Engine *Engine
}

// Deployment is the set of model engines of one user, with the one-way latencies between its places.
type Deployment struct {
	Name    string
	Sites   []*Site
	Near    time.Duration // within a failure domain or between two domains of a region
	Far     time.Duration // between regions
	Clients time.Duration // from a client to an entry
}

const (
	// slots, speed and half describe the engines of both deployments: 16 streams, 60 tokens a second for a lone stream.
	// Decoding is bound by memory bandwidth, so that 16 streams cost each of them only a seventh of its speed.
	slots = 16
	speed = 60
	half  = 96
)

type place struct {
	region string
	domain string
	count  int
}

func deploy(l *Loop, name string, near, clients time.Duration, places []place) *Deployment {
	d := &Deployment{Name: name, Near: near, Far: 12 * time.Millisecond, Clients: clients}
	for _, p := range places {
		for i := range p.count {
			d.Sites = append(d.Sites, &Site{
				Name:   p.domain + "-" + string(rune('0'+i)),
				Region: p.region,
				Domain: p.domain,
				Engine: NewEngine(l, slots, speed, half),
			})
		}
	}
	return d
}

// Berges returns the 11 plan-model engines of Ramdin-Lagesse Berges Vivantes.
func Berges(l *Loop) *Deployment {
	return deploy(l, "berges", 500*time.Microsecond, 3*time.Millisecond,
		[]place{{"nord", "nord-a", 4}, {"nord", "nord-b", 4}, {"sud", "sud-a", 3}})
}

// Hearth returns the 12 drafting engines of Granite Hearth.
func Hearth(l *Loop) *Deployment {
	return deploy(l, "hearth", 1400*time.Microsecond, time.Millisecond,
		[]place{{"coastal", "coastal-a", 4}, {"coastal", "coastal-b", 4}, {"upland", "upland-a", 4}})
}

// Capacity returns the tokens a second of all engines together when full and not slowed.
func (d *Deployment) Capacity() float64 {
	var c float64
	for _, s := range d.Sites {
		c += s.Engine.Capacity()
	}
	return c
}

// Latency returns the one-way latency between a region and a site.
func (d *Deployment) Latency(region string, s *Site) time.Duration {
	if region == s.Region {
		return d.Near
	}
	return d.Far
}
