// Package instances polls the platform's list of instances.
//
// # Usage
//
//	p := instances.New(url, 2*time.Second, fixed, random, func(list []wire.Instance) { … }, logger)
//	err := p.Serve(ctx)
//
// The list lags and can be wrong; whoever takes it gives evidence from links the preference. While the list cannot be
// read, the last one stays in force.
package instances

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"bulrushspoke/entry/internal/redial"
	"bulrushspoke/internal/event"
	"bulrushspoke/internal/sleep"
	"bulrushspoke/wire"
)

// timeout is how long the list may take to answer, and maxList its largest size in bytes.
const (
	timeout = 2 * time.Second
	maxList = 4 << 20
)

// Poller reads the list again and again.
type Poller struct {
	url      string
	interval time.Duration
	fixed    []wire.Instance
	random   redial.Random
	take     func([]wire.Instance)
	http     *fasthttp.Client
	logger   *slog.Logger
	failing  bool
}

// New returns a poller of the list at url that hands each list to take. Instances of fixed are added unless the list
// names them. An empty url stands for an empty list.
func New(
	url string, interval time.Duration, fixed []wire.Instance, random redial.Random, take func([]wire.Instance),
	logger *slog.Logger,
) *Poller {
	return &Poller{
		url:      url,
		interval: interval,
		fixed:    fixed,
		random:   random,
		take:     take,
		http:     &fasthttp.Client{MaxResponseBodySize: maxList, MaxIdemponentCallAttempts: 1},
		logger:   logger,
	}
}

// Serve polls until ctx ends.
func (p *Poller) Serve(ctx context.Context) error {
	p.take(p.merge(nil))
	for ctx.Err() == nil {
		if p.url != "" {
			p.poll()
		}
		// The pause varies by a quarter so that entries do not poll in step.
		sleep.For(ctx, time.Duration((0.75+0.5*p.random.Float64())*float64(p.interval)))
	}
	return ctx.Err()
}

func (p *Poller) poll() {
	list, err := p.read()
	if err != nil {
		if !p.failing {
			event.ListDown.Log(p.logger, "cause", err.Error())
		}
		p.failing = true
		return
	}
	if p.failing {
		event.ListBack.Log(p.logger)
	}
	p.failing = false
	p.take(p.merge(list))
}

func (p *Poller) read() ([]wire.Instance, error) {
	status, body, err := p.http.GetTimeout(nil, p.url, timeout)
	if err != nil {
		return nil, eris.Wrap(err, "instances: read")
	}
	if status != fasthttp.StatusOK {
		return nil, eris.Errorf("instances: status %d", status)
	}
	var l wire.Instances
	if err := json.Unmarshal(body, &l); err != nil {
		return nil, eris.Wrap(err, "instances: decode")
	}
	return l.Instances, nil
}

func (p *Poller) merge(list []wire.Instance) []wire.Instance {
	named := make(map[string]bool, len(list))
	for _, i := range list {
		named[i.Name] = true
	}
	for _, i := range p.fixed {
		if !named[i.Name] {
			list = append(list, i)
		}
	}
	return list
}
