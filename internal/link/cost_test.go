package link

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"bulrushspoke/wire"
)

// The benchmark messages model a chunk of 4 tokens, an answer of 256 tokens and a daemon with 4 servers.
const (
	attempt = "01M8ZM01BDRN2QQQRYPKXYTMAD"
	prompt  = "Write a planting plan for the left bank below the weir, forty cuttings in two rows."
)

func words(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = "willow "
	}
	return list
}

// messages returns bodies of the frequent kinds of messages, each with a function that returns the value that receivers
// decode it into.
func messages() []struct {
	kind   string
	body   any
	target func() any
} {
	spans := []wire.Span{{First: 0, Last: 255, Version: 7}}
	targets := []wire.Target{{Model: "plan", Version: 8, Fence: 4711}}
	var servers []wire.Server
	var places []wire.Place
	var held []wire.HeldSample
	var samples []wire.Sample
	for i, name := range []string{"engine-1", "engine-2", "engine-3", "engine-4"} {
		servers = append(servers, wire.Server{Kind: "engine", Model: "plan", Name: name, Slots: 16, Up: true, Version: 7})
		places = append(places, wire.Place{Server: name, Rank: i, Servers: 214})
		held = append(held, wire.HeldSample{
			Attempt: attempt, Server: name, Slot: wire.Slot{}, Tokens: words(256), Spans: spans,
		})
		samples = append(samples, wire.Sample{Group: "g1", Index: i, ID: attempt, Tokens: 256, Text: prompt, Spans: spans})
	}
	work := wire.Work{
		Attempt: attempt, Class: "train", Group: "g1", Left: 1_800_000, Max: 256, Model: "plan", Predicted: 200, Print: 1 << 60,
		Profile: "train", Prompt: prompt, Request: attempt, Rev: 12, Server: "engine-1", Workspace: "lab",
	}
	return []struct {
		kind   string
		body   any
		target func() any
	}{
		{Hello, wire.Hello{
			Name: "daemon-1", Inc: attempt, Role: "daemon", Domain: "nord-1", Region: "nord", Rev: 12, Servers: servers,
			Targets: targets,
		}, func() any { return &wire.Hello{} }},
		{Work, work, func() any { return &wire.Work{} }},
		{Ack, wire.Ack{State: "running", Depth: 3}, func() any { return &wire.Ack{} }},
		{Refuse, wire.Refuse{Attempt: attempt, Code: "busy", Ran: "no", Retry: 800}, func() any { return &wire.Refuse{} }},
		{Chunk, wire.Chunk{
			Attempt: attempt, Offset: 128, Tokens: words(4), Spans: []wire.Span{{First: 128, Last: 131, Version: 7}},
		}, func() any { return &wire.Chunk{} }},
		{Done, wire.Done{Attempt: attempt, Total: 256, Finish: "length", Spans: spans}, func() any { return &wire.Done{} }},
		{Drop, wire.Drop{Attempts: []string{attempt, attempt}}, func() any { return &wire.Drop{} }},
		{Cancel, wire.Cancel{Attempt: attempt, Reason: "hedge"}, func() any { return &wire.Cancel{} }},
		{Ask, wire.Ask{Key: "farm.cutting-1", Inc: attempt, Era: 3}, func() any { return &wire.Ask{} }},
		{Fate, wire.Fate{Attempt: attempt, State: "running"}, func() any { return &wire.Fate{} }},
		{Collect, wire.Collect{Run: "spring", Step: 12, Epoch: 5}, func() any { return &wire.Collect{} }},
		{Held, wire.HeldSamples{Samples: held}, func() any { return &wire.HeldSamples{} }},
		{Target, targets[0], func() any { return &wire.Target{} }},
		{State, wire.State{Server: &servers[0]}, func() any { return &wire.State{} }},
		{Drain, wire.Drain{Reason: "operator"}, func() any { return &wire.Drain{} }},
		{Notice, wire.Notice{Rev: 12, Targets: targets, Places: places}, func() any { return &wire.Notice{} }},
		{Fetch, wire.Fetch{Rev: 12}, func() any { return &wire.Fetch{} }},
		{Config, wire.Config{Rev: 12, Value: make([]byte, 4096)}, func() any { return &wire.Config{} }},
		{
			Pull,
			wire.ForwardedPull{Run: "spring", Step: 12, Pull: wire.PullRequest{Cursor: prompt, Version: 7, Wait: 2000}},
			func() any { return &wire.ForwardedPull{} },
		},
		{
			Batch,
			wire.ForwardedPullAnswer{Answer: &wire.PullAnswer{Cursor: prompt, Checked: 7, Samples: samples}},
			func() any { return &wire.ForwardedPullAnswer{} },
		},
		{Verdict, wire.Verdict{ID: attempt, Value: 0.5}, func() any { return &wire.Verdict{} }},
		{Suspect, wire.Suspect{Print: 1 << 60, Crashes: 1, Left: 600_000}, func() any { return &wire.Suspect{} }},
		{Ping, struct{}{}, func() any { return &struct{}{} }},
		{Pong, struct{}{}, func() any { return &struct{}{} }},
	}
}

// BenchmarkEncode measures the encoding of a message from its Go value to a frame.
func BenchmarkEncode(b *testing.B) {
	for _, m := range messages() {
		b.Run(m.kind, func(b *testing.B) {
			b.ReportAllocs()
			var size int
			for b.Loop() {
				f, err := encode(m.kind, 1, 0, m.body)
				if err != nil {
					b.Fatal(err)
				}
				size = len(f)
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

// BenchmarkDecode measures the decoding of a message from a frame to its Go value.
func BenchmarkDecode(b *testing.B) {
	for _, m := range messages() {
		b.Run(m.kind, func(b *testing.B) {
			raw, err := encode(m.kind, 1, 0, m.body)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				var f Frame
				if err := cbor.Unmarshal(raw, &f); err != nil {
					b.Fatal(err)
				}
				if err := f.Decode(m.target()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
