// Package instances polls the platform's list of instances.
//
// # Usage
//
//	p := instances.New(url, 2*time.Second, static, random, func(list []wire.Instance) { … }, logger)
//	err := p.Serve(ctx)
//
// The list lags behind and can be wrong, so its consumers give precedence to what links show. While the list cannot be
// fetched, the previous one stays in force.
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
	"bulrushspoke/internal/httpstatus"
	"bulrushspoke/internal/sleep"
	"bulrushspoke/wire"
)

// requestTimeout bounds one request for the list, and maxListBytes the size of its response.
const (
	requestTimeout = 2 * time.Second
	maxListBytes   = 4 << 20
)

// Poller fetches the list of instances periodically.
type Poller struct {
	url      string
	interval time.Duration
	static   []wire.Instance
	random   redial.Random
	onList   func([]wire.Instance)
	client   *fasthttp.Client
	logger   *slog.Logger
	failing  bool
}

// New returns a Poller that fetches the list from url and passes each one to onList. Instances of static are added
// unless the list has one of the same name. An empty url stands for an empty list.
func New(
	url string, interval time.Duration, static []wire.Instance, random redial.Random, onList func([]wire.Instance),
	logger *slog.Logger,
) *Poller {
	return &Poller{
		url:      url,
		interval: interval,
		static:   static,
		random:   random,
		onList:   onList,
		client:   &fasthttp.Client{DialTimeout: httpstatus.DialTimeout, MaxResponseBodySize: maxListBytes, MaxIdemponentCallAttempts: 1},
		logger:   logger,
	}
}

// Serve polls until ctx ends.
func (p *Poller) Serve(ctx context.Context) error {
	p.onList(p.merge(nil))
	for ctx.Err() == nil {
		if p.url != "" {
			p.poll()
		}
		// A jitter of ±25% keeps entries from polling at the same moment.
		sleep.For(ctx, time.Duration((0.75+0.5*p.random.Float64())*float64(p.interval)))
	}
	return ctx.Err()
}

func (p *Poller) poll() {
	list, err := p.fetch()
	if err != nil {
		if !p.failing {
			event.InstanceListUnavailable.Log(p.logger, "cause", err.Error())
		}
		p.failing = true
		return
	}
	if p.failing {
		event.InstanceListRecovered.Log(p.logger)
	}
	p.failing = false
	p.onList(p.merge(list))
}

func (p *Poller) fetch() ([]wire.Instance, error) {
	status, body, err := p.client.GetTimeout(nil, p.url, requestTimeout)
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
	for _, i := range p.static {
		if !named[i.Name] {
			list = append(list, i)
		}
	}
	return list
}
