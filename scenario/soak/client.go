package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"bulrushspoke/internal/call"
	"bulrushspoke/internal/upstream"
	"bulrushspoke/platform/platformtest"
)

const (
	clientPause    = 30 * time.Millisecond // between two requests of a client, at most
	clientDeadline = 2 * time.Second
	leaveAfter     = 150 * time.Millisecond // when an impatient client leaves
	backOff        = 200 * time.Millisecond // after a failure, and at most after a refusal
	leaveShare     = 0.05                   // of the requests are abandoned
)

// client sends plain requests to one entry and keeps its connection until the entry closes it.
type client struct {
	world  *world
	name   string
	entry  int
	pool   *upstream.Pool
	random *rand.Rand
	sent   int
}

func newClient(w *world, entry, n int) *client {
	return &client{
		world: w, name: fmt.Sprintf("c%d-%d", entry, n), entry: entry,
		pool:   upstream.New(upstream.Limits{Dial: time.Second, Idle: 1}),
		random: rand.New(rand.NewPCG(uint64(w.draw(1<<30)), 2)),
	}
}

// run sends requests until ctx ends.
func (c *client) run(ctx context.Context) {
	for pause(ctx, time.Duration(c.random.Int64N(int64(clientPause)))) {
		pause(ctx, c.send(ctx))
	}
}

// send sends one request and returns how long to wait for the next.
func (c *client) send(ctx context.Context) time.Duration {
	c.sent++
	q := &request{id: fmt.Sprintf("%s-%d", c.name, c.sent), entry: c.entry, route: "safe", sent: time.Now()}
	switch c.random.IntN(8) {
	case 0, 1, 2:
		q.route, q.unsafe = "once", true
	case 3:
		q.route = "late" // added and removed by changes of the configuration
	}
	uri := "/" + q.route + "/" + q.id
	ctx, cancel := context.WithTimeout(ctx, clientDeadline+time.Second)
	defer cancel()
	leaves := !q.unsafe && c.random.Float64() < leaveShare
	if leaves {
		uri += "/long"
		t := time.AfterFunc(leaveAfter, func() {
			c.world.ledger.leaves(q, time.Now())
			cancel()
		})
		defer t.Stop()
	}
	q.body = "body of " + q.id
	q.line = http.MethodPost + " " + uri
	c.world.ledger.asks(q)
	h := http.Header{}
	platformtest.Ask(h, call.Request{ID: q.id, Deadline: clientDeadline})
	a, err := exchange(ctx, c.pool, c.world.address(netClient, firstEntry+c.entry, portIngress), upstream.Request{
		Method: http.MethodPost, URI: uri, Host: host, Header: h, Body: []byte(q.body),
	})
	if err != nil {
		var failed *upstream.Error
		sent := !errors.As(err, &failed) || failed.Sent()
		if sent && ctx.Err() == nil {
			c.world.ledger.lost(q, time.Now())
		}
		return backOff
	}
	c.world.ledger.got(q, a.status, platformtest.Signature(a.header) != "", string(a.body))
	if a.status == http.StatusOK {
		return 0
	}
	return min(platformtest.Retry(a.header), backOff)
}

// poison sends a request that crashes each server which runs it, through one entry after the other.
func (c *client) poison(ctx context.Context, body string) {
	for pause(ctx, backOff) {
		c.entry = c.random.IntN(c.world.size.entries)
		c.sent++
		q := &request{id: fmt.Sprintf("%s-%d", c.name, c.sent), entry: c.entry, route: "safe", body: body, sent: time.Now()}
		q.line = http.MethodPost + " /safe/poison"
		c.world.ledger.asks(q)
		h := http.Header{}
		platformtest.Ask(h, call.Request{ID: q.id, Deadline: clientDeadline})
		// Whatever the answer: what counts is how many servers it reaches.
		_, _ = exchange(ctx, c.pool, c.world.address(netClient, firstEntry+c.entry, portIngress), upstream.Request{
			Method: http.MethodPost, URI: "/safe/poison", Host: host, Header: h, Body: []byte(body),
		})
	}
}

// answer is an HTTP answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// exchange sends one request, once, and reads the whole answer.
func exchange(ctx context.Context, p *upstream.Pool, address string, q upstream.Request) (answer, error) {
	resp, err := p.Send(ctx, upstream.Target{Address: address}, q)
	if err != nil {
		return answer{}, err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		resp.Abandon()
		return answer{}, err
	}
	resp.Close()
	return answer{status: resp.StatusCode, header: resp.Header, body: body}, nil
}
