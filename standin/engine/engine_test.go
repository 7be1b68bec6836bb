package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bulrushspoke/standin/engine"
	"bulrushspoke/standin/report"
	"bulrushspoke/standin/token"
	"bulrushspoke/wire"
)

type client struct {
	t    *testing.T
	e    *engine.Engine
	base string
}

func start(t *testing.T, c engine.Config) *client {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	e, done := engine.New(c), make(chan error, 1)
	go func() { done <- e.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	return &client{t: t, e: e, base: "http://" + l.Addr().String()}
}

func config() engine.Config {
	return engine.Config{Model: "m", Version: 1, Slots: 2, Rate: 1000, CacheBlocks: 64, Marker: "<crash>"}
}

// stream is the response of a completion request.
type stream struct {
	text   string
	spans  []wire.Span
	reason string
	next   int
	lines  *bufio.Scanner
}

func (c *client) open(q wire.EngineRequest) *stream {
	c.t.Helper()
	body, _ := json.Marshal(q)
	a, err := http.Post(c.base+"/v1/completions", "application/json", bytes.NewReader(body))
	if err != nil || a.StatusCode != http.StatusOK {
		c.t.Fatalf("completion: %v %+v", err, a)
	}
	c.t.Cleanup(func() { _ = a.Body.Close() })
	return &stream{lines: bufio.NewScanner(a.Body), next: len(q.Tokens), text: strings.Join(q.Tokens, "")}
}

// read reads one event and reports whether more events may follow.
func (s *stream) read(t *testing.T) bool {
	t.Helper()
	for s.lines.Scan() {
		data, ok := strings.CutPrefix(s.lines.Text(), "data: ")
		if !ok {
			continue
		}
		var ev wire.EngineEvent
		if err := json.Unmarshal([]byte(data), &ev); err != nil {
			t.Fatalf("event %q: %v", data, err)
		}
		if ev.Done {
			s.reason = ev.Reason
			return false
		}
		if ev.First != s.next {
			t.Fatalf("event starts at %d, want %d", ev.First, s.next)
		}
		s.next += len(ev.Tokens)
		s.text += strings.Join(ev.Tokens, "")
		s.spans = append(s.spans, wire.Span{First: ev.First, Last: s.next - 1, Version: ev.Version})
		return true
	}
	return false
}

func (s *stream) readAll(t *testing.T) {
	t.Helper()
	for s.read(t) {
	}
}

func (c *client) load(version, fence int64) int {
	c.t.Helper()
	body, _ := json.Marshal(wire.EngineLoadRequest{Version: version, Fence: fence})
	a, err := http.Post(c.base+"/load", "application/json", bytes.NewReader(body))
	if err != nil {
		c.t.Fatalf("load: %v", err)
	}
	_ = a.Body.Close()
	return a.StatusCode
}

// version returns the weight version in use once no load is in progress. It retries while the engine restarts.
func (c *client) version() int64 {
	c.t.Helper()
	for {
		a, err := http.Get(c.base + "/version")
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		var v wire.EngineVersion
		err = json.NewDecoder(a.Body).Decode(&v)
		_ = a.Body.Close()
		if err != nil {
			c.t.Fatalf("version: %v", err)
		}
		if v.Loading == 0 {
			return v.Version
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against tokens that are reported with a weight version other than the one that generated them, when the
// weights change within a stream.
func TestVersionsInMidStream(t *testing.T) {
	c := start(t, config())
	s := c.open(wire.EngineRequest{ID: "a", Prompt: "p", Max: 400})
	s.read(t)
	if got := c.load(2, 1); got != http.StatusOK {
		t.Fatalf("load answered %d", got)
	}
	s.readAll(t)
	if err := token.Check("p", s.text, s.spans); err != nil {
		t.Fatalf("check: %v", err)
	}
	if s.next != 400 || s.reason != engine.Length {
		t.Fatalf("%d tokens, reason %q", s.next, s.reason)
	}
	if first, last := s.spans[0].Version, s.spans[len(s.spans)-1].Version; first != 1 || last != 2 {
		t.Fatalf("versions from %d to %d, want 1 to 2", first, last)
	}
}

// Guards against a resumed stream that repeats or skips tokens, and against held tokens of another prompt that are
// accepted.
func TestResume(t *testing.T) {
	c := start(t, config())
	held := []string{token.Make("p", 0, 1), token.Make("p", 1, 1)}
	s := c.open(wire.EngineRequest{ID: "a", Prompt: "p", Tokens: held, Max: 10})
	s.readAll(t)
	spans := append([]wire.Span{{First: 0, Last: 1, Version: 1}}, s.spans...)
	if err := token.Check("p", s.text, spans); err != nil {
		t.Fatalf("check: %v", err)
	}
	if h := c.e.History(); h.Runs[0].Held != 2 || h.Runs[0].Made != 8 {
		t.Fatalf("history %+v", h.Runs[0])
	}
	body, _ := json.Marshal(wire.EngineRequest{ID: "b", Prompt: "q", Tokens: held, Max: 10})
	a, err := http.Post(c.base+"/v1/completions", "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatalf("post: %v", err)
	}
	_ = a.Body.Close()
	if a.StatusCode != http.StatusBadRequest {
		t.Fatalf("tokens of another prompt: status %d", a.StatusCode)
	}
}

// Guards against a crash that leaves concurrent streams open, keeps state such as the fencing token, or loses the
// history.
func TestCrashMarker(t *testing.T) {
	c := start(t, config())
	c.load(2, 7)
	if v := c.version(); v != 2 {
		t.Fatalf("version %d before the crash", v)
	}
	concurrent := c.open(wire.EngineRequest{ID: "a", Prompt: "p", Max: 1_000_000})
	concurrent.read(t)
	c.open(wire.EngineRequest{ID: "b", Prompt: "x <crash> y", Max: 100}).readAll(t)
	concurrent.readAll(t)
	if concurrent.reason != "" {
		t.Fatalf("concurrent stream ended with %q after the crash", concurrent.reason)
	}
	if v := c.version(); v != 1 {
		t.Fatalf("version %d after the crash, want 1", v)
	}
	h := c.e.History()
	if h.Crashes != 1 || h.Runs[0].Outcome != engine.Crashed || h.Runs[1].Outcome != engine.Crashed {
		t.Fatalf("history %+v", h)
	}
	if got := c.load(2, 3); got != http.StatusOK {
		t.Fatalf("load after the crash answered %d; the fencing token was kept", got)
	}
}

// Guards against a load with an old fencing token that changes the weights although the engine honours fencing tokens.
func TestFencing(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		cfg := config()
		cfg.IgnoreFencing = ignore
		c := start(t, cfg)
		c.load(5, 10)
		want, version := http.StatusConflict, int64(5)
		if ignore {
			want, version = http.StatusOK, 4
		}
		if got := c.load(4, 9); got != want {
			t.Fatalf("ignore %t: old token answered %d, want %d", ignore, got, want)
		}
		if v := c.version(); v != version {
			t.Fatalf("ignore %t: version %d, want %d", ignore, v, version)
		}
	}
}

// Guards against a failed load that changes the weights, or that prevents the next load.
func TestLoadFailsPartway(t *testing.T) {
	c := start(t, config())
	n := 1
	c.e.Control(report.EngineControl{Fail: &n}, time.Now())
	c.load(2, 1)
	if v := c.version(); v != 1 {
		t.Fatalf("version %d after a failed load", v)
	}
	c.load(2, 1)
	if v := c.version(); v != 2 {
		t.Fatalf("version %d after the repeat", v)
	}
}

// Guards against a low-priority request that gets a slot before a high-priority one, and against a cancelled request
// that keeps its slot.
func TestPriorityAndCancel(t *testing.T) {
	cfg := config()
	cfg.Slots = 1
	c := start(t, cfg)
	first := c.open(wire.EngineRequest{ID: "a", Prompt: "p", Max: 1_000_000})
	first.read(t)
	low := c.open(wire.EngineRequest{ID: "low", Prompt: "p", Max: 5})
	high := c.open(wire.EngineRequest{ID: "high", Prompt: "p", Max: 5, Priority: 3})
	q, _ := http.NewRequest(http.MethodDelete, c.base+"/v1/completions/a", nil)
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		t.Fatalf("cancel: %v", err)
	}
	_ = a.Body.Close()
	first.readAll(t)
	low.readAll(t)
	high.readAll(t)
	h := c.e.History()
	if first.reason != engine.Cancelled || h.Runs[2].End > h.Runs[1].Begin {
		t.Fatalf("reason %q, high ended at %d, low began at %d", first.reason, h.Runs[2].End, h.Runs[1].Begin)
	}
}
