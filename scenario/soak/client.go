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
	maxClientPause = 30 * time.Millisecond // maximum time between two requests of a client
	clientDeadline = 2 * time.Second
	abandonAfter   = 150 * time.Millisecond // how long a client waits for a request that it abandons
	backoff        = 200 * time.Millisecond // after a failure; upper bound of Retry-After after a rejection
	abandonRatio   = 0.05                   // fraction of the safe requests that are abandoned
)

// client sends plain requests to one entry over a persistent connection, until the entry closes it.
type client struct {
	env    *env
	name   string
	entry  int
	space  string
	pool   *upstream.Pool
	random *rand.Rand
	sent   int
}

func newClient(e *env, entry, n int) *client {
	return &client{
		env: e, name: fmt.Sprintf("c%d-%d", entry, n), entry: entry, space: spaceName(n),
		pool:   upstream.New(upstream.Limits{Dial: time.Second, Idle: 1}),
		random: rand.New(rand.NewPCG(uint64(e.intN(1<<30)), 2)),
	}
}

// run sends requests until ctx ends.
func (c *client) run(ctx context.Context) {
	for pause(ctx, time.Duration(c.random.Int64N(int64(maxClientPause)))) {
		pause(ctx, c.send(ctx))
	}
}

// send sends one request and returns how long to wait before the next.
func (c *client) send(ctx context.Context) time.Duration {
	c.sent++
	q := &request{id: fmt.Sprintf("%s-%d", c.name, c.sent), entry: c.entry, space: c.space, key: permanentKey(c.space), route: "safe", sentAt: time.Now()}
	switch c.random.IntN(8) {
	case 0, 1, 2:
		q.route, q.unsafe = "once", true
	case 3:
		q.route = "late" // added and removed by configuration changes
	}
	if c.random.Float64() < spareRatio {
		q.key, q.spare = spareKey(c.space, c.random.IntN(sparesPerSpace)), true
	}
	uri := "/" + q.route + "/" + q.id
	ctx, cancel := context.WithTimeout(ctx, clientDeadline+time.Second)
	defer cancel()
	abandons := !q.unsafe && c.random.Float64() < abandonRatio
	if abandons {
		uri += "/long"
		t := time.AfterFunc(abandonAfter, func() {
			c.env.checker.recordAbandon(q, time.Now())
			cancel()
		})
		defer t.Stop()
	}
	q.body = "body of " + q.id
	q.requestLine = http.MethodPost + " " + uri
	c.env.checker.recordRequest(q)
	h := http.Header{}
	platformtest.SetRequestHeaders(h, call.Request{ID: q.id, Deadline: clientDeadline})
	if c.random.Float64() < forgeRatio {
		for name, value := range platformtest.SenderHeaders(platformtest.Sender{Workspace: spaceName(c.random.IntN(workspaceCount))}) {
			h.Set(name, value)
		}
		h.Set("X-Copy", q.key)
	}
	authorize(h, q.key)
	a, err := exchange(ctx, c.pool, c.env.address(netClientRelay, firstEntry+c.entry, portIngress), upstream.Request{
		Method: http.MethodPost, URI: uri, Host: host, Header: h, Body: []byte(q.body),
	})
	if err != nil {
		var failed *upstream.Error
		sent := !errors.As(err, &failed) || failed.Sent()
		if sent && ctx.Err() == nil {
			c.env.checker.checkLostConnection(q, time.Now())
		}
		return backoff
	}
	c.env.checker.checkResponse(q, a.status, platformtest.ServerSignature(a.header) != "", string(a.body))
	if a.status == http.StatusOK {
		return 0
	}
	return min(platformtest.Retry(a.header), backoff)
}

// sendCrashing repeats a request that crashes every server that runs it, through a random entry each time, until ctx ends.
func (c *client) sendCrashing(ctx context.Context, body string) {
	for pause(ctx, backoff) {
		c.entry = c.random.IntN(c.env.size.entries)
		c.sent++
		q := &request{id: fmt.Sprintf("%s-%d", c.name, c.sent), entry: c.entry, space: c.space, key: permanentKey(c.space), route: "safe", body: body, sentAt: time.Now()}
		q.requestLine = http.MethodPost + " /safe/poison"
		c.env.checker.recordRequest(q)
		h := http.Header{}
		platformtest.SetRequestHeaders(h, call.Request{ID: q.id, Deadline: clientDeadline})
		authorize(h, q.key)
		// The response is irrelevant: the checker counts the servers that the request reaches.
		_, _ = exchange(ctx, c.pool, c.env.address(netClientRelay, firstEntry+c.entry, portIngress), upstream.Request{
			Method: http.MethodPost, URI: "/safe/poison", Host: host, Header: h, Body: []byte(body),
		})
	}
}

type response struct {
	status int
	header http.Header
	body   []byte
}

// exchange sends one request without retries and reads the whole response.
func exchange(ctx context.Context, p *upstream.Pool, address string, q upstream.Request) (response, error) {
	resp, err := p.Send(ctx, upstream.Target{Address: address}, q)
	if err != nil {
		return response{}, err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		resp.Abandon()
		return response{}, err
	}
	resp.Close()
	return response{status: resp.StatusCode, header: resp.Header, body: body}, nil
}
