// Command capacity measures the resource use from which docs/CAPACITY.md is derived.
//
// # Usage
//
//	go run ./bench/capacity
//
// It prints the encoded size of each control message, the memory per open link for several numbers of links, and the
// processor time per acknowledged message for several numbers of messages. All traffic stays on loopback.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"bulrushspoke/internal/link"
	"bulrushspoke/wire"
)

const (
	// frameOverhead is the size of the WebSocket header including the mask, in bytes, for messages of 126 bytes to 64 KiB.
	frameOverhead = 8
	// packetOverhead is the size of the TCP and IPv4 headers of one segment, in bytes.
	packetOverhead = 52
	ulid           = "01JE8Z6T4Q9W2X3Y4Z5A6B7C8D"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	if err := printSizes(); err != nil {
		return err
	}
	if err := printLinkMemory(); err != nil {
		return err
	}
	return printMessageTime()
}

type message struct {
	kind string
	body any
}

func sampleMessages() []message {
	target := wire.Target{Model: "plan-model", Version: 4711, Fence: 123456}
	return []message{
		{link.Ping, struct{}{}},
		{link.Pong, struct{}{}},
		{link.Ack, wire.Ack{State: "queued", Depth: 3, Rev: 123456}},
		{link.Refuse, wire.Refuse{Attempt: ulid, Code: "busy", Ran: "no", Retry: 250, Rev: 123456, Message: "queue is full"}},
		{link.Drop, wire.Drop{Attempts: []string{ulid}}},
		{link.Drop, wire.Drop{Attempts: []string{ulid, ulid, ulid, ulid, ulid}}},
		{link.Notice, wire.Notice{Rev: 123456}},
		{link.Target, target},
		{link.State, wire.State{Server: &wire.Server{
			Name: "plan-nord-1-0", Kind: "engine", Model: "plan-model", Slots: 64, Version: 4711, Up: true,
		}}},
		{link.Hello, wire.Hello{
			Name: "plan-nord-1", Role: "daemon", Inc: ulid, Era: 7, Domain: "nord-a", Region: "nord", Rev: 123456,
			Servers: make([]wire.Server, 4), Targets: []wire.Target{target},
		}},
		{link.Ask, wire.Ask{Key: "berges/" + ulid, Inc: ulid, Era: 7}},
		{link.Done, wire.Done{Attempt: ulid, Total: 300, Spans: []wire.Span{{Version: 4711, Last: 299}}, Finish: "length"}},
	}
}

func printSizes() error {
	fmt.Println("encoded bytes of a message: frame, with WebSocket, TCP and IP headers")
	for _, m := range sampleMessages() {
		raw, err := cbor.Marshal(m.body)
		if err != nil {
			return eris.Wrap(err, "capacity: encode")
		}
		b, err := cbor.Marshal(link.Frame{Kind: m.kind, ID: 1, Body: raw})
		if err != nil {
			return eris.Wrap(err, "capacity: encode")
		}
		fmt.Printf("  %-8s %5d %5d\n", m.kind, len(b), len(b)+frameOverhead+packetOverhead)
	}
	return nil
}

func identity(name string) *link.Identity {
	return link.NewIdentity(name, []byte("secret"), func() wire.Hello { return wire.Hello{Name: name, Inc: ulid} })
}

// listen starts a server that acknowledges each message, and returns it and its address.
func listen() (*fasthttp.Server, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", eris.Wrap(err, "capacity: listen")
	}
	h := link.HandlerFunc(func(c *link.Conn, f link.Frame) error {
		return c.Reply(f, link.Ack, wire.Ack{State: "queued", Rev: 123456})
	})
	logger := slog.New(slog.DiscardHandler)
	s := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		_ = link.Accept(ctx, identity("listener"), h, func(*link.Conn) {}, logger)
	}}
	go func() { _ = s.Serve(l) }()
	return s, l.Addr().String(), nil
}

func dialLinks(address string, n int) ([]*link.Conn, error) {
	h := link.HandlerFunc(func(*link.Conn, link.Frame) error { return nil })
	conns := make([]*link.Conn, 0, n)
	for range n {
		c, err := link.Dial(context.Background(), address, identity("dialler"), h, slog.New(slog.DiscardHandler))
		if err != nil {
			return nil, err
		}
		conns = append(conns, c)
	}
	return conns, nil
}

// memoryInUse returns the bytes in use by heap and stacks after a garbage collection.
func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// printLinkMemory prints the memory that both ends of links use, for several numbers of links.
func printLinkMemory() error {
	fmt.Println("memory of n links, both ends in one process")
	var counts, bytes []float64
	for _, n := range []int{50, 100, 200, 400} {
		_, address, err := listen()
		if err != nil {
			return err
		}
		before := memoryInUse()
		conns, err := dialLinks(address, n)
		if err != nil {
			return err
		}
		used := memoryInUse() - before
		fmt.Printf("  %4d links: %6d KiB, %5.1f KiB for each end\n", n, used>>10, float64(used)/float64(n)/2/1024)
		counts, bytes = append(counts, float64(n)), append(bytes, float64(used)/2)
		for _, c := range conns {
			c.Close()
		}
		time.Sleep(100 * time.Millisecond)
	}
	slope, base := fitLine(counts, bytes)
	fmt.Printf("  fit: %.1f KiB for each end of a link, %.0f KiB constant\n", slope/1024, base/1024)
	return nil
}

// printMessageTime prints the processor time of acknowledged messages, both ends together, for several numbers of
// messages.
func printMessageTime() error {
	_, address, err := listen()
	if err != nil {
		return err
	}
	conns, err := dialLinks(address, 1)
	if err != nil {
		return err
	}
	defer conns[0].Close()
	fmt.Println("processor time of n acknowledged messages, both ends in one process")
	var counts, times []float64
	for _, n := range []int{2_000, 4_000, 8_000, 16_000} {
		before, err := cpuTime()
		if err != nil {
			return err
		}
		for range n {
			if _, err := conns[0].Call(context.Background(), link.Work, wire.Work{Attempt: ulid}); err != nil {
				return err
			}
		}
		after, err := cpuTime()
		if err != nil {
			return err
		}
		used := after - before
		fmt.Printf("  %6d messages: %v, %v each\n", n, used.Round(time.Millisecond), (used / time.Duration(n)).Round(time.Microsecond))
		counts, times = append(counts, float64(n)), append(times, float64(used))
	}
	slope, _ := fitLine(counts, times)
	fmt.Printf("  fit: %v for each message and its acknowledgement, both ends together\n", time.Duration(slope).Round(time.Microsecond))
	return nil
}

// cpuTime returns the user and system time of this process so far.
func cpuTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, eris.Wrap(err, "capacity: processor time")
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

// fitLine returns the slope and the intercept of the least-squares line through the points.
func fitLine(x, y []float64) (float64, float64) {
	var sx, sy, sxx, sxy float64
	n := float64(len(x))
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return slope, (sy - slope*sx) / n
}
