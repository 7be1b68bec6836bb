package trainer

import (
	"encoding/json"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"bulrushspoke/entry/internal/gate"
	"bulrushspoke/wire"
)

// Guards against API calls that reach no handler, and against errors that are answered with the wrong status.
func TestCallsOverHTTP(t *testing.T) {
	cl := newCluster(1, 1)
	e := cl.entries[0]
	defer e.trainer.Close()
	limits := gate.Limits{MaxBodyBytes: 1 << 20, MaxHeaderBytes: 1 << 14, ReadTimeout: time.Minute, WriteTimeout: time.Minute, IdleTimeout: time.Minute}
	tokens := map[string]gate.Identity{"secret": {Workspace: "berges", Profile: "train", Role: gate.Trainer}}
	g := gate.New(tokens, limits, e, slog.New(slog.DiscardHandler))
	e.trainer.Register(g)
	l := fasthttputil.NewInmemoryListener()
	defer func() { _ = l.Close() }()
	go func() { _ = g.Serve(l) }()
	client := &fasthttp.Client{Dial: func(string) (net.Conn, error) { return l.Dial() }}
	call := func(method, path string, body, answer any) int {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(req)
		defer fasthttp.ReleaseResponse(resp)
		req.SetRequestURI("http://entry" + path)
		req.Header.SetMethod(method)
		req.Header.Set("Authorization", "Bearer secret")
		b, err := json.Marshal(body)
		if err != nil {
			t.Fatalf("encode: %v", err)
		}
		req.SetBody(b)
		if err := client.DoTimeout(req, resp, time.Minute); err != nil {
			t.Fatalf("%s %s: %v", method, path, err)
		}
		if answer != nil && resp.StatusCode() == fasthttp.StatusOK {
			if err := json.Unmarshal(resp.Body(), answer); err != nil {
				t.Fatalf("%s %s: %v", method, path, err)
			}
		}
		return resp.StatusCode()
	}
	var status wire.StepStatus
	var pull wire.PullAnswer
	var verdict wire.VerdictAnswer
	v := wire.VerdictRequest{ID: "v", Run: "r", Step: 1, Group: "g0", Index: 0, Value: 1}
	for _, c := range []struct {
		method, path string
		body, answer any
		want         int
	}{
		{"POST", "/v1/steps", "text", nil, 400},
		{"POST", "/v1/steps", testRequest(0, 0), nil, 400},
		{"POST", "/v1/steps/r/1/pull", wire.PullRequest{}, nil, 404},
		{"POST", "/v1/steps", testRequest(2, 2), &status, 200},
		{"POST", "/v1/steps", testRequest(3, 2), nil, 409},
		{"POST", "/v1/steps/r/1/pull", wire.PullRequest{Cursor: "x"}, nil, 400},
		{"POST", "/v1/steps/r/one/pull", wire.PullRequest{}, nil, 400},
		{"POST", "/v1/steps/r/1/pull", wire.PullRequest{Wait: 20000}, &pull, 200},
		{"POST", "/v1/verdicts", v, &verdict, 200},
		{"POST", "/v1/weights", wire.WeightsRequest{Model: testModel}, nil, 400},
		{"POST", "/v1/weights", wire.WeightsRequest{Model: testModel, Version: 2}, nil, 200},
		{"GET", "/v1/steps/r/1", nil, &status, 200},
		{"DELETE", "/v1/steps/r/1", nil, &status, 200},
		{"POST", "/v1/steps/r/1/pull", wire.PullRequest{}, nil, 409},
	} {
		if got := call(c.method, c.path, c.body, c.answer); got != c.want {
			t.Fatalf("%s %s: status %d, want %d", c.method, c.path, got, c.want)
		}
	}
	if len(pull.Samples) == 0 || !verdict.Counted || status.State != "cancelled" {
		t.Fatalf("got %d samples, verdict %v and status %v", len(pull.Samples), verdict, status)
	}
}
