package operator

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"bulrushspoke/entry/internal/config"
	"bulrushspoke/entry/internal/gate"
	"bulrushspoke/internal/refusal"
	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

// memory is a store with one object. The first write succeeds but returns an error, as if its response had been lost.
type memory struct {
	object store.Object
	lost   bool
}

func (m *memory) Get(context.Context, string, string) (store.Object, error) { return m.object, nil }

func (m *memory) Create(ctx context.Context, kind, name string, value []byte) (int64, error) {
	return m.Update(ctx, kind, name, value, 0)
}

func (m *memory) Update(_ context.Context, kind, name string, value []byte, version int64) (int64, error) {
	if m.object.Version != version {
		return 0, store.NewConflictError(kind, name, m.object)
	}
	m.object = store.Object{Value: value, Version: version + 1}
	if !m.lost {
		m.lost = true
		return 0, store.NewUnavailableError(true, "answer lost")
	}
	return m.object.Version, nil
}

func (m *memory) Watch(ctx context.Context, _, _ string, _ int64, _ time.Duration) (wire.Listing, error) {
	<-ctx.Done()
	return wire.Listing{}, ctx.Err()
}

type half struct{}

func (half) Float64() float64 { return 0.5 }

// Guards against configuration changes over HTTP that are applied without a precondition or twice after a lost response, and
// against a conflict without the configuration in force.
func TestConfigCalls(t *testing.T) {
	logger := slog.New(slog.DiscardHandler)
	h := config.New(&memory{}, half{}, logger)
	limits := gate.Limits{MaxBodyBytes: 1 << 16, MaxHeaderBytes: 4096, ReadTimeout: time.Second, WriteTimeout: time.Second, IdleTimeout: time.Second}
	g := gate.New(map[string]gate.Identity{"o": {Workspace: "ops", Role: gate.Operator}}, limits, h, logger)
	New(Options{Config: h, Ready: func() error {
		return refusal.New(refusal.Unready, refusal.NotRun, "leaving")
	}}).Routes(g)
	l := fasthttputil.NewInmemoryListener()
	go func() { _ = g.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	c := fasthttp.Client{Dial: func(string) (net.Conn, error) { return l.Dial() }}
	put := func(match, change, body string) (int, string, string) {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.Header.SetMethod("PUT")
		req.SetRequestURI("http://e/v1/config")
		req.Header.Set("Authorization", "Bearer o")
		req.Header.Set("If-Match", match)
		req.Header.Set(ChangeHeader, change)
		req.SetBodyString(body)
		if err := c.Do(req, resp); err != nil {
			t.Fatalf("put: %v", err)
		}
		return resp.StatusCode(), string(resp.Header.Peek("ETag")), string(resp.Body())
	}
	const one, two = `{"profiles": [{"name": "one", "class": "live"}]}`, `{"profiles": [{"name": "two", "class": "live"}]}`
	if status, _, body := put("", "c1", one); status != 400 {
		t.Fatalf("no condition: %d %s", status, body)
	}
	if status, _, body := put("0", "", one); status != 400 {
		t.Fatalf("no identifier: %d %s", status, body)
	}
	if status, _, body := put("0", "c1", `{"profiles": [{"name": "one", "class": "fast"}]}`); status != 400 ||
		!strings.Contains(body, "/profiles/0/class") {
		t.Fatalf("invalid profile: %d %s", status, body)
	}
	for range 2 {
		if status, tag, body := put(`"0"`, "c1", one); status != 200 || tag != `"1"` {
			t.Fatalf("change c1: %d %s %s", status, tag, body)
		}
	}
	status, tag, body := put("0", "c2", two)
	var lost wire.ConfigConflict
	if err := json.Unmarshal([]byte(body), &lost); err != nil || status != 409 || tag != `"1"` {
		t.Fatalf("lost race: %d %s %s", status, tag, body)
	}
	if lost.Winner.Document.Change != "c1" || lost.Winner.Revision != 1 || lost.Error.Ran != "no" {
		t.Fatalf("lost race: %+v", lost)
	}
	if status, text, err := c.Get(nil, "http://e/health/ready"); err != nil || status != 503 {
		t.Fatalf("readiness without a token: %d %s %v", status, text, err)
	}
}
