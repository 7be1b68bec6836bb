// Package service forwards calls to one plain service.
//
// # Usage
//
//	s := service.New(config, changed, logger)
//	end, stopped := s.Run(ctx, a, 1)
//
// A call is sent once and never repeated. Only a failure before any byte was sent proves that it did not run; after any
// other failure its outcome is unknown.
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
	// maxReplyBytes is the size limit of a response body, which must fit into a frame of a link.
	maxReplyBytes = 3 << 20
	dialTimeout   = time.Second
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

	failedDials atomic.Int32 // consecutive dials that failed

	mu sync.Mutex
	up bool
}

// New returns the client of a service. changed is called after each change of the service's state.
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

// setUp stores whether the service is up, and reports a change.
func (s *Service) setUp(up bool) {
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

// maxFailedDials is the number of consecutive failed dials after which the service counts as down.
const maxFailedDials = 3

// recordDial records the result of a dial. A refused connection proves that nothing listens, so it marks the service as
// down at once.
func (s *Service) recordDial(err error) {
	if err == nil {
		s.failedDials.Store(0)
		s.setUp(true)
		return
	}
	if s.failedDials.Add(1) >= maxFailedDials || exchange.Refused(err) {
		s.setUp(false)
	}
}

// Watch dials the service each period to check whether it listens, until ctx is done.
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
		s.recordDial(err)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
}

// Run makes the call of an attempt; stopped is true if ctx ended it before any byte was sent.
func (s *Service) Run(ctx context.Context, a *attempt.Attempt, _ int) (end attempt.End, stopped bool) {
	x, err := exchange.Open(ctx, s.request(a))
	var dial *exchange.DialError
	if errors.As(err, &dial) {
		if ctx.Err() != nil {
			return attempt.End{}, true
		}
		s.recordDial(err)
		return attempt.End{Refusal: refusal.New(refusal.NoUpstream, refusal.NotRun, "service does not answer: %v", err)}, false
	}
	if err != nil {
		return outcomeUnknown(err), false
	}
	defer x.Close()
	body, err := x.ReadAll(maxReplyBytes)
	if err != nil {
		return outcomeUnknown(err), false
	}
	r := &wire.Reply{Status: x.Response().StatusCode(), Body: body, Headers: make(wire.ReplyHeaders)}
	for k, v := range x.Response().Header.All() {
		if isForwarded(string(k)) {
			r.Headers[string(k)] = string(v)
		}
	}
	return attempt.End{Finish: "stop", Reply: r}, false
}

// outcomeUnknown returns the end of a call that was sent and whose response was not received.
func outcomeUnknown(err error) attempt.End {
	return attempt.End{Refusal: refusal.New(refusal.OutcomeUnknown, refusal.Unknown, "answer of the service is lost: %v", err)}
}

func (s *Service) request(a *attempt.Attempt) *fasthttp.Request {
	c := a.Work().Call
	req := &fasthttp.Request{}
	req.SetRequestURI(s.config.URL + "/" + trimSlashes(c.Path))
	req.Header.SetMethod(c.Method)
	for k, v := range c.Headers {
		if isForwarded(k) {
			req.Header.Set(k, v)
		}
	}
	req.SetBody(c.Body)
	return req
}

func trimSlashes(path string) string {
	for len(path) > 0 && path[0] == '/' {
		path = path[1:]
	}
	return path
}

// hopHeaders are the headers that apply to a single connection or request. They are not forwarded.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true, "Host": true,
}

func isForwarded(header string) bool {
	b := []byte(header)
	return !hopHeaders[string(fasthttp.AppendNormalizedHeaderKeyBytes(nil, b))]
}
