// Package service passes calls through to one plain service.
//
// # Usage
//
//	s := service.New(config, changed, logger)
//	end, stopped := s.Run(ctx, a, 1)
//
// A call is sent once and never repeated. Only a failure before any byte was sent is proof that it did not run.
package service

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"bulrushspoke/daemon/internal/attempt"
	"bulrushspoke/daemon/internal/exchange"
	"bulrushspoke/internal/event"
	"bulrushspoke/internal/refusal"
	"bulrushspoke/wire"
)

const (
	// maxReply bounds the body of an answer in bytes; it has to fit into a frame of a link.
	maxReply    = 3 << 20
	dialTimeout = time.Second
)

// Config describes one service process.
type Config struct {
	Name  string
	Model string // name of the service
	URL   string
	Slots int
}

// Service is the client of one plain service.
type Service struct {
	config  Config
	changed func(s wire.Server, crashed bool)
	logger  *slog.Logger

	misses atomic.Int32 // dials in a row that failed

	mu sync.Mutex
	up bool
}

// New returns the client of a service; changed is called after each change of its state.
func New(c Config, changed func(s wire.Server, crashed bool), logger *slog.Logger) *Service {
	return &Service{config: c, changed: changed, logger: logger.With("server", c.Name)}
}

// Server returns the state of the service.
func (s *Service) Server() wire.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.server()
}

func (s *Service) server() wire.Server {
	return wire.Server{
		Name: s.config.Name, Kind: "service", Model: s.config.Model, Slots: s.config.Slots, Up: s.up,
	}
}

func (s *Service) set(up bool) {
	s.mu.Lock()
	was := s.up
	s.up = up
	now := s.server()
	s.mu.Unlock()
	if was == up {
		return
	}
	if up {
		event.ServerUp.Log(s.logger)
	} else {
		event.ServerDown.Log(s.logger)
	}
	s.changed(now, false)
}

// maxMisses is the number of dials in a row that time out after which the service counts as down.
const maxMisses = 3

// seen notes the outcome of a dial. A refused connection is proof that nothing listens.
func (s *Service) seen(err error) {
	if err == nil {
		s.misses.Store(0)
		s.set(true)
		return
	}
	if s.misses.Add(1) >= maxMisses || exchange.Refused(err) {
		s.set(false)
	}
}

// Watch dials the service each period to learn whether it listens, until ctx ends.
func (s *Service) Watch(ctx context.Context, period time.Duration) error {
	var req fasthttp.Request
	req.SetRequestURI(s.config.URL)
	address := string(req.URI().Host())
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		d := net.Dialer{Timeout: dialTimeout}
		conn, err := d.DialContext(ctx, "tcp", address)
		if err == nil {
			_ = conn.Close()
		}
		s.seen(err)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// Run makes the call of an attempt; stopped tells that ctx ended it before any byte was sent.
func (s *Service) Run(ctx context.Context, a *attempt.Attempt, _ int) (end attempt.End, stopped bool) {
	x, err := exchange.Open(ctx, s.request(a))
	var dial *exchange.DialError
	if errors.As(err, &dial) {
		if ctx.Err() != nil {
			return attempt.End{}, true
		}
		s.seen(err)
		return attempt.End{Refusal: refusal.New(refusal.NoUpstream, refusal.NotRun, "service does not answer: %v", err)}, false
	}
	if err != nil {
		return lost(err), false
	}
	defer x.Close()
	body, err := x.ReadAll(maxReply)
	if err != nil {
		return lost(err), false
	}
	r := &wire.Reply{Status: x.Response().StatusCode(), Body: body, Headers: make(wire.ReplyHeaders)}
	for k, v := range x.Response().Header.All() {
		if passed(string(k)) {
			r.Headers[string(k)] = string(v)
		}
	}
	return attempt.End{Finish: "stop", Reply: r}, false
}

func lost(err error) attempt.End {
	return attempt.End{Refusal: refusal.New(refusal.OutcomeUnknown, refusal.Unknown, "answer of the service is lost: %v", err)}
}

func (s *Service) request(a *attempt.Attempt) *fasthttp.Request {
	c := a.Work().Call
	req := &fasthttp.Request{}
	req.SetRequestURI(s.config.URL + "/" + trim(c.Path))
	req.Header.SetMethod(c.Method)
	for k, v := range c.Headers {
		if passed(k) {
			req.Header.Set(k, v)
		}
	}
	req.SetBody(c.Body)
	return req
}

func trim(path string) string {
	for len(path) > 0 && path[0] == '/' {
		path = path[1:]
	}
	return path
}

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true,
}

func passed(header string) bool {
	b := []byte(header)
	return !hopHeaders[string(fasthttp.AppendNormalizedHeaderKeyBytes(nil, b))]
}
