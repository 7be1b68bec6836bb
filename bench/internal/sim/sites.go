package sim

import "time"

// Site is one server and its location.
type Site struct {
	Name   string
	Region string
	Domain string
	Engine *Engine
}

// Deployment is the set of model engines of one user and the one-way latencies between its locations.
type Deployment struct {
	Name               string
	Sites              []*Site
	RegionLatency      time.Duration // within a region, in one failure domain or between two
	CrossRegionLatency time.Duration // between regions
	ClientLatency      time.Duration // from a client to an entry
}

const (
	// engineSlots, loneSpeed (tokens per second of a lone stream) and halfLoad describe the engines of both deployments.
	// Decoding is bound by memory bandwidth, so each of 16 concurrent streams loses only a seventh of its speed.
	engineSlots = 16
	loneSpeed   = 60
	halfLoad    = 96
)

type placement struct {
	region string
	domain string
	count  int
}

func newDeployment(l *Loop, name string, near, toClient time.Duration, list []placement) *Deployment {
	d := &Deployment{Name: name, RegionLatency: near, CrossRegionLatency: 12 * time.Millisecond, ClientLatency: toClient}
	for _, p := range list {
		for i := range p.count {
			d.Sites = append(d.Sites, &Site{
				Name:   p.domain + "-" + string(rune('0'+i)),
				Region: p.region,
				Domain: p.domain,
				Engine: NewEngine(l, engineSlots, loneSpeed, halfLoad),
			})
		}
	}
	return d
}

// Berges returns the 11 plan-model engines of Ramdin-Lagesse Berges Vivantes.
func Berges(l *Loop) *Deployment {
	return newDeployment(l, "berges", 500*time.Microsecond, 3*time.Millisecond,
		[]placement{{"nord", "nord-a", 4}, {"nord", "nord-b", 4}, {"sud", "sud-a", 3}})
}

// Hearth returns the 12 drafting engines of Granite Hearth.
func Hearth(l *Loop) *Deployment {
	return newDeployment(l, "hearth", 1400*time.Microsecond, time.Millisecond,
		[]placement{{"coastal", "coastal-a", 4}, {"coastal", "coastal-b", 4}, {"upland", "upland-a", 4}})
}

// Capacity returns the tokens per second of all engines together when full and at full speed.
func (d *Deployment) Capacity() float64 {
	var c float64
	for _, s := range d.Sites {
		c += s.Engine.Capacity()
	}
	return c
}

// Latency returns the one-way latency between an entry in a region and a site.
func (d *Deployment) Latency(region string, s *Site) time.Duration {
	if region == s.Region {
		return d.RegionLatency
	}
	return d.CrossRegionLatency
}
