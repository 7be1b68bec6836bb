package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bulrushspoke/entry/internal/claim"
	"bulrushspoke/entry/internal/dispatch"
	"bulrushspoke/entry/internal/gate"
	"bulrushspoke/internal/meter"
	"bulrushspoke/internal/refusal"
	"bulrushspoke/wire"
)

type runFunc func(ctx context.Context, j dispatch.Job) (dispatch.Result, error)

func (f runFunc) Run(ctx context.Context, j dispatch.Job) (dispatch.Result, error) { return f(ctx, j) }

type claimFunc func(c claim.Call) (wire.Reply, error)

func (f claimFunc) Run(_ context.Context, c claim.Call) (wire.Reply, error) { return f(c) }

type fakeProfiles map[string]wire.Profile

func (p fakeProfiles) Revision() int64 { return 3 }

func (p fakeProfiles) Profile(name string) (wire.Profile, bool) {
	v, ok := p[name]
	return v, ok
}

// serve starts a gate with the handlers and returns its address.
func serve(t *testing.T, d runFunc, c claimFunc) string {
	t.Helper()
	m, _, err := meter.New("test")
	if err != nil {
		t.Fatalf("meter: %v", err)
	}
	p := fakeProfiles{
		"live": {Name: "live", Class: "live", Concurrency: 100, Deadline: "30s", Tokens: 100, Hedge: true},
		"once": {Name: "once", Class: "live", Concurrency: 100, Deadline: "30s", Once: true},
	}
	tokens := map[string]gate.Identity{
		"l": {Workspace: "kitchen", Profile: "live", Role: gate.Caller},
		"o": {Workspace: "kitchen", Profile: "once", Role: gate.Caller},
	}
	limits := gate.Limits{MaxBodyBytes: 1 << 20, MaxHeaderBytes: 4096, ReadTimeout: 10 * time.Second, WriteTimeout: 10 * time.Second, IdleTimeout: time.Minute}
	logger := slog.New(slog.DiscardHandler)
	g := gate.New(tokens, limits, p, logger)
	New(d, c, p, Limits{MaxPrompt: 1000}, NewMetrics(m), logger).Register(g)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	go func() { _ = g.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

func send(t *testing.T, address, method, path, token, body string, header ...string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatalf("request: %v", err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatalf("%s %s: %v", method, path, err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("%s %s: read: %v", method, path, err)
	}
	return resp, string(b)
}

var spans = []wire.Span{{Version: 7, First: 0, Last: 1}, {Version: 8, First: 2, Last: 2}}

func threeTokens(_ context.Context, j dispatch.Job) (dispatch.Result, error) {
	res := dispatch.Result{Tokens: []string{"a", "b", "c"}, Spans: spans, Finish: "stop"}
	if j.Sink != nil {
		for i, s := range res.Tokens {
			j.Sink(i, []string{s}, nil)
		}
	}
	return res, nil
}

// Guards against completions without weight versions, and against job fields that do not come from the profile.
func TestCompletion(t *testing.T) {
	var job dispatch.Job
	address := serve(t, func(ctx context.Context, j dispatch.Job) (dispatch.Result, error) {
		job = j
		return threeTokens(ctx, j)
	}, nil)
	resp, body := send(t, address, "POST", "/v1/completions", "l", `{"model":"m","prompt":"p"}`)
	var c wire.CompletionResponse
	if err := json.Unmarshal([]byte(body), &c); err != nil || resp.StatusCode != 200 {
		t.Fatalf("status %d, body %s", resp.StatusCode, body)
	}
	if c.Choices[0].Text != "abc" || c.Choices[0].FinishReason != "stop" || c.Usage.CompletionTokens != 3 || len(c.Versions) != 2 {
		t.Fatalf("body %s", body)
	}
	if v := resp.Header.Get(VersionsHeader); v != "7:0-1,8:2-2" {
		t.Fatalf("versions %q", v)
	}
	if c.ID == "" || c.ID != resp.Header.Get(gate.RequestHeader) || c.ID != job.Work.Request {
		t.Fatalf("request id %q, header %q, work %q", c.ID, resp.Header.Get(gate.RequestHeader), job.Work.Request)
	}
	w := job.Work
	if w.Max != 100 || w.Workspace != "kitchen" || w.Class != "live" || w.Rev != 3 || !job.Hedge || job.Deadline.IsZero() {
		t.Fatalf("job %+v", job)
	}
}

// Guards against streams without a final [DONE] or weight versions, and against lost or repeated tokens.
func TestStream(t *testing.T) {
	address := serve(t, threeTokens, nil)
	resp, body := send(t, address, "POST", "/v1/completions", "l", `{"model":"m","prompt":"p","stream":true}`)
	if ct := resp.Header.Get("Content-Type"); ct != "text/event-stream" {
		t.Fatalf("content type %q", ct)
	}
	text, last := "", wire.CompletionResponse{}
	parts := strings.Split(strings.TrimSpace(body), "\n\n")
	for _, p := range parts[:len(parts)-1] {
		last = wire.CompletionResponse{}
		if err := json.Unmarshal([]byte(strings.TrimPrefix(p, "data: ")), &last); err != nil {
			t.Fatalf("event %q: %v", p, err)
		}
		text += last.Choices[0].Text
	}
	if text != "abc" || parts[len(parts)-1] != "data: [DONE]" {
		t.Fatalf("text %q, body %s", text, body)
	}
	if len(last.Versions) != 2 || last.Choices[0].FinishReason != "stop" || last.Usage == nil {
		t.Fatalf("last event %+v", last)
	}
}

// Guards against a failed stream that looks complete, and against a refusal before the first token with status 200.
func TestStreamRefused(t *testing.T) {
	tokens := 0
	address := serve(t, func(_ context.Context, j dispatch.Job) (dispatch.Result, error) {
		if tokens > 0 {
			j.Sink(0, []string{"a"}, nil)
		}
		return dispatch.Result{}, refusal.New(refusal.Busy, refusal.NotRun, "full").WithRetryAfter(time.Second)
	}, nil)
	const body = `{"model":"m","prompt":"p","stream":true}`
	resp, text := send(t, address, "POST", "/v1/completions", "l", body)
	if resp.StatusCode != 503 || resp.Header.Get("Retry-After") != "1" || !strings.Contains(text, `"busy"`) {
		t.Fatalf("status %d, body %s", resp.StatusCode, text)
	}
	tokens = 1
	_, text = send(t, address, "POST", "/v1/completions", "l", body)
	if !strings.Contains(text, `data: {"error":{"code":"busy"`) || strings.Contains(text, "[DONE]") {
		t.Fatalf("body %s", text)
	}
}

// Guards against invalid requests and requests over the limits that reach the dispatcher.
func TestRequestLimits(t *testing.T) {
	address := serve(t, func(context.Context, dispatch.Job) (dispatch.Result, error) {
		t.Errorf("request reached the dispatcher")
		return dispatch.Result{}, nil
	}, nil)
	for body, status := range map[string]int{
		`{`:                        400,
		`{"prompt":"p"}`:           400,
		`{"model":"m"}`:            400,
		`{"model":"m","prompt":5}`: 400,
		`{"model":"m","prompt":"p","max_tokens":-1}`:                      400,
		`{"model":"m","prompt":"p","max_tokens":101}`:                     413,
		`{"model":"m","prompt":"` + strings.Repeat("p", 1001) + `"}`:      413,
		`{"model":"m","prompt":"p","max_tokens":99999999999999999999}`:    400,
		`{"model":"m","prompt":"p","max_tokens":101,"stream":true}`:       413,
		`{"model":"m","prompt":["token ids are not text"],"stream":true}`: 400,
	} {
		if resp, text := send(t, address, "POST", "/v1/completions", "l", body); resp.StatusCode != status || !strings.Contains(text, `"ran":"no"`) {
			t.Fatalf("%.60s: status %d, body %s", body, resp.StatusCode, text)
		}
	}
	if resp, _ := send(t, address, "POST", "/v1/completions", "o", `{"model":"m","prompt":"p"}`); resp.StatusCode != 403 {
		t.Fatalf("profile for non-idempotent calls: status %d", resp.StatusCode)
	}
}

func post(t *testing.T, address, body string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatalf("dial: %v", err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer l\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	if err != nil {
		t.Fatalf("write: %v", err)
	}
	return c
}

// Guards against work that continues after its client has closed the connection.
func TestClientGone(t *testing.T) {
	for _, stream := range []string{"false", "true"} {
		started, ended := make(chan struct{}), make(chan error, 1)
		address := serve(t, func(ctx context.Context, j dispatch.Job) (dispatch.Result, error) {
			if j.Sink != nil {
				j.Sink(0, []string{"a"}, nil)
			}
			close(started)
			<-ctx.Done()
			ended <- context.Cause(ctx)
			return dispatch.Result{}, refusal.New(refusal.Cancelled, refusal.Partial, "client closed the connection")
		}, nil)
		c := post(t, address, `{"model":"m","prompt":"p","stream":`+stream+`}`)
		<-started
		_ = c.Close()
		select {
		case err := <-ended:
			if err != errClientClosed { //nolint:errorlint // the cause is not wrapped
				t.Fatalf("stream %s: ended by %v", stream, err)
			}
		case <-time.After(30 * time.Second):
			t.Fatalf("stream %s: work was not cancelled", stream)
		}
	}
}

// Guards against a client that does not read its stream and thereby blocks the dispatcher or other clients.
func TestSlowReader(t *testing.T) {
	done := make(chan struct{}, 1)
	address := serve(t, func(ctx context.Context, j dispatch.Job) (dispatch.Result, error) {
		if j.Work.Prompt != "slow" {
			return threeTokens(ctx, j)
		}
		// 25 MiB, far more than the socket buffers hold.
		for i := range 100 {
			j.Sink(i, []string{strings.Repeat("x", 1<<18)}, nil)
		}
		done <- struct{}{}
		return dispatch.Result{}, nil
	}, nil)
	c := post(t, address, `{"model":"m","prompt":"slow","stream":true}`)
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatalf("dispatcher waits for the client")
	}
	if resp, _ := send(t, address, "POST", "/v1/completions", "l", `{"model":"m","prompt":"p","stream":true}`); resp.StatusCode != 200 {
		t.Fatalf("other client: status %d", resp.StatusCode)
	}
	n := 0
	for s := bufio.NewReader(c); ; {
		line, err := s.ReadString('\n')
		if err != nil {
			t.Fatalf("after %d bytes: %v", n, err)
		}
		n += strings.Count(line, "x")
		if strings.Contains(line, "[DONE]") {
			break
		}
	}
	if n < 100<<18 {
		t.Fatalf("slow client received %d bytes, want %d", n, 100<<18)
	}
}

// Guards against calls that are modified when forwarded, leak the caller's token, or refer to buffers of a reused request.
func TestService(t *testing.T) {
	var calls []*wire.Call
	address := serve(t, func(_ context.Context, j dispatch.Job) (dispatch.Result, error) {
		calls = append(calls, j.Work.Call)
		h := wire.ReplyHeaders{"Content-Type": "text/x", "Connection": "close", "X-A": "1"}
		return dispatch.Result{Reply: &wire.Reply{Status: 409, Headers: h, Body: []byte(j.Work.Model)}}, nil
	}, nil)
	for i := range 3 {
		body := fmt.Sprintf("body %d", i)
		resp, text := send(t, address, "PUT", fmt.Sprintf("/v1/services/ledger/a%%20b/c?x=%d", i), "l", body, "X-In", body)
		if resp.StatusCode != 409 || text != "ledger" || resp.Header.Get("X-A") != "1" || resp.Header.Get("Content-Type") != "text/x" {
			t.Fatalf("status %d, body %s, header %v", resp.StatusCode, text, resp.Header)
		}
	}
	for _, path := range []string{"a/%2e%2e/%2e%2e/x", "..%2fx"} {
		if resp, _ := send(t, address, "GET", "/v1/services/ledger/"+path, "l", ""); resp.StatusCode != 400 {
			t.Fatalf("path %s: status %d", path, resp.StatusCode)
		}
	}
	for i, k := range calls {
		body := fmt.Sprintf("body %d", i)
		if k.Method != "PUT" || k.Path != fmt.Sprintf("/a%%20b/c?x=%d", i) || string(k.Body) != body || k.Headers["X-In"] != body {
			t.Fatalf("call %d: %+v", i, k)
		}
		if _, ok := k.Headers["Authorization"]; ok {
			t.Fatalf("the caller's token was forwarded")
		}
	}
}

// Guards against non-idempotent calls that are accepted without a key or that bypass the claims.
func TestIdempotencyKey(t *testing.T) {
	address := serve(t, nil, func(c claim.Call) (wire.Reply, error) {
		return wire.Reply{Status: 201, Body: []byte(c.Key)}, nil
	})
	resp, text := send(t, address, "POST", "/v1/services/ledger/x", "o", "{}")
	if resp.StatusCode != 400 || !strings.Contains(text, `"key_required"`) {
		t.Fatalf("status %d, body %s", resp.StatusCode, text)
	}
	if resp, text := send(t, address, "POST", "/v1/services/ledger/x", "o", "{}", KeyHeader, "k1"); resp.StatusCode != 201 || text != "k1" {
		t.Fatalf("status %d, body %s", resp.StatusCode, text)
	}
}
