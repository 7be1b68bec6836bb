// Package hostile_test runs an entry under clients that nobody controls. It checks only what does not depend on the speed
// of the machine: the process lives, its peak memory and descriptors stay within the limits of its instance, and ordinary
// requests are answered afterwards.
package hostile_test

import (
	"encoding/base64"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"bulrushspoke/internal/job"
	"bulrushspoke/internal/link"
	"bulrushspoke/platform/platformtest"
	"bulrushspoke/scenario/rig"
	"bulrushspoke/wire"
)

// The crowd and the limits of the instance. Crowd and bounds are fixed: a change of the product must not change them.
const (
	memory        = 128 << 20 // of the instance, in bytes
	maxBody       = 8 << 20   // of the configuration, in bytes
	legalBody     = 4 << 20   // of the bodies that most forms send
	clients       = 160       // below the 180 connections that the entry takes from clients
	submitters    = 24        // clients that send documents
	silentClients = 500       // on each port
	pipelined     = 200       // requests on one connection
	longHead      = 1_000_000 // bytes, below the limit of net/http
	shortHead     = 16_000    // bytes, below the limit of the configuration
	sendTimeout   = 8 * time.Second
	settleTime    = time.Second // for the instance to take what has arrived
)

// crowd holds the connections of a form until the instance has been measured.
type crowd struct {
	t        *testing.T
	instance *instance
	mu       sync.Mutex
	conns    []net.Conn
	tasks    sync.WaitGroup
}

// send opens n connections to a port, has f write to each and keeps them open. Refusals are allowed, so errors are ignored.
func (c *crowd) send(n, port int, f func(w io.Writer, i int)) {
	for i := range n {
		c.tasks.Go(func() {
			conn, err := net.Dial("tcp4", c.instance.address(port))
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			_ = conn.SetDeadline(time.Now().Add(sendTimeout))
			f(conn, i)
		})
	}
}

// leave closes all connections.
func (c *crowd) leave() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

func head(path, fields string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + path + "\r\n" + fields
}

// shortFields returns distinct header fields of few bytes, size bytes in all.
func shortFields(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// write writes parts until one fails.
func write(w io.Writer, parts ...string) bool {
	for _, p := range parts {
		if _, err := io.WriteString(w, p); err != nil {
			return false
		}
	}
	return true
}

// everywhere sends the same to paths with and without a route and to the other ports.
func everywhere(c *crowd, f func(w io.Writer, path string)) { everywhereBy(c, 1, f) }

// everywhereBy is everywhere with a part of the crowd.
func everywhereBy(c *crowd, part int, f func(w io.Writer, path string)) {
	quarter := clients / 4 / part
	c.send(2*quarter, portIngress, func(w io.Writer, i int) { f(w, fmt.Sprintf("/safe/%d", i)) })
	c.send(quarter, portIngress, func(w io.Writer, i int) { f(w, fmt.Sprintf("/items-of/%d", i)) })
	c.send(quarter, portIngress, func(w io.Writer, _ int) { f(w, "/none") })
	for port, path := range map[int]string{portReady: "/ready", portLinks: "/link", portMetrics: "/metrics"} {
		c.send(quarter, port, func(w io.Writer, _ int) { f(w, path) })
	}
}

func submit(c *crowd, document string) {
	c.send(submitters, portIngress, func(w io.Writer, i int) {
		write(w, head(fmt.Sprintf("/items-of/%d", i), fmt.Sprintf("Content-Length: %d\r\n\r\n", len(document))), document)
	})
}

// fill returns a document of the size of the largest legal body that repeats a part.
func fill(begin, part, end string) string {
	return begin + strings.Repeat(part, (maxBody-len(begin)-len(end))/len(part)) + end
}

var forms = []struct {
	name   string
	attack func(c *crowd)
}{
	{"bodies stop short of their end", func(c *crowd) {
		body := strings.Repeat("b", legalBody-10)
		everywhere(c, func(w io.Writer, path string) {
			write(w, head(path, fmt.Sprintf("Content-Length: %d\r\n\r\n", legalBody)), body)
		})
	}},
	{"bodies in small pieces", func(c *crowd) {
		piece := strings.Repeat("b", 1000)
		everywhere(c, func(w io.Writer, path string) {
			ok := write(w, head(path, fmt.Sprintf("Content-Length: %d\r\n\r\n", legalBody)))
			for i := 0; ok && i < 1000; i++ {
				ok = write(w, piece)
			}
		})
	}},
	{"chunks without end", func(c *crowd) {
		chunk := "10000\r\n" + strings.Repeat("b", 64<<10) + "\r\n"
		everywhere(c, func(w io.Writer, path string) {
			ok := write(w, head(path, "Transfer-Encoding: chunked\r\n\r\n"))
			for i := 0; ok && i < legalBody>>16; i++ {
				ok = write(w, chunk)
			}
		})
	}},
	{"chunks of one byte with extensions", func(c *crowd) {
		chunks := strings.Repeat("1;"+strings.Repeat("e", 10)+"\r\nb\r\n", 10_000)
		everywhere(c, func(w io.Writer, path string) { write(w, head(path, "Transfer-Encoding: chunked\r\n\r\n"), chunks) })
	}},
	{"bodies over the limit", func(c *crowd) {
		chunk := "100000\r\n" + strings.Repeat("b", 1<<20) + "\r\n"
		everywhere(c, func(w io.Writer, path string) {
			if len(path)%2 == 0 {
				write(w, head(path, fmt.Sprintf("Content-Length: %d\r\n\r\n", 1<<40)), chunk)
				return
			}
			ok := write(w, head(path, "Transfer-Encoding: chunked\r\n\r\n"))
			for i := 0; ok && i < 2*maxBody>>20; i++ {
				ok = write(w, chunk)
			}
		})
	}},
	{"bodies announced and not sent", func(c *crowd) {
		everywhere(c, func(w io.Writer, path string) {
			write(w, head(path, fmt.Sprintf("Content-Length: %d\r\nExpect: 100-continue\r\n\r\n", legalBody)))
		})
	}},
	{"trailers of short fields", func(c *crowd) {
		trailer := shortFields(longHead)
		everywhere(c, func(w io.Writer, path string) {
			write(w, head(path, "Transfer-Encoding: chunked\r\n\r\n"), "1\r\nb\r\n0\r\n", trailer)
		})
	}},
	{"long heads without end", func(c *crowd) {
		fields := "X-Fill: " + strings.Repeat("f", longHead)
		everywhere(c, func(w io.Writer, path string) { write(w, head(path, fields)) })
	}},
	{"long heads of short fields", func(c *crowd) {
		fields := shortFields(longHead)
		everywhere(c, func(w io.Writer, path string) { write(w, head(path, fields+"Content-Length: 10\r\n\r\n")) })
	}},
	{"legal heads of short fields", func(c *crowd) {
		fields := shortFields(shortHead)
		everywhere(c, func(w io.Writer, path string) { write(w, head(path, fields+"Content-Length: 10\r\n\r\n")) })
	}},
	{"long heads after blank lines", func(c *crowd) {
		fields, query := shortFields(longHead), "?"+strings.Repeat("a&", longHead/2)
		for i, blank := range []string{"\n", "\n\n", "\r\n\r\n"} {
			everywhereBy(c, 3, func(w io.Writer, path string) {
				if !write(w, head(path, "Content-Length: 0\r\n\r\n")) {
					return
				}
				time.Sleep(settleTime / 4) // the head is to arrive after the answer
				if i%2 == 0 {
					write(w, blank, head(path, fields+"Content-Length: 10\r\n\r\n"))
					return
				}
				write(w, blank, head(path+query, "Content-Length: 10\r\n\r\n"))
			})
		}
	}},
	{"one field repeated", func(c *crowd) {
		fields := strings.Repeat("a:\r\n", longHead/4)
		everywhere(c, func(w io.Writer, path string) { write(w, head(path, fields+"Content-Length: 10\r\n\r\n")) })
	}},
	{"long queries of short fields", func(c *crowd) {
		query := "?" + strings.Repeat("a&", longHead/2)
		everywhere(c, func(w io.Writer, path string) { write(w, head(path+query, "Content-Length: 10\r\n\r\n")) })
	}},
	{"jobs of empty items", func(c *crowd) { submit(c, fill(`{"items":[{}`, ",{}", "]}")) }},
	{"jobs of numbers for items", func(c *crowd) { submit(c, fill(`{"items":[0`, ",0", "]}")) }},
	{"jobs of many headers", func(c *crowd) {
		var fields strings.Builder
		for i := 0; fields.Len() < maxBody-100; i++ {
			fmt.Fprintf(&fields, `,"%x":""`, i)
		}
		submit(c, `{"items":[{"id":"i","path":"/p","headers":{"a":""`+fields.String()+"}}]}")
	}},
	{"jobs nested deeply", func(c *crowd) { submit(c, fill(`{"items":`, "[", "")) }},
	{"jobs of malformed characters", func(c *crowd) { submit(c, fill(`{"items":[{"path":"`, "\xff", `"}]}`)) }},
	{"jobs of malformed bodies", func(c *crowd) { submit(c, fill(`{"items":[{"id":"i","path":"/","body":"`, "\xff", `"}]}`)) }},
	{"odd framing", func(c *crowd) {
		odd := []string{
			"Content-Length: 10\r\nTransfer-Encoding: chunked\r\n\r\nFFFFFFFFFFFFFFFF\r\n", "Transfer-Encoding: gzip\r\n\r\n",
			"Transfer-Encoding: chunked, chunked\r\n\r\n", "Content-Length: -1\r\n\r\n", "Content-Length: 9223372036854775807\r\n\r\n",
			"Content-Length: 1\r\nContent-Length: 2\r\n\r\n", "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n\r\n",
			"Connection: " + strings.Repeat("a,", shortHead/2) + "\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n-1\r\n",
			"Content-Length: 0\r\n\r\nPRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n7FFFFFFFFFFFFFFF\r\n",
		}
		for _, fields := range odd {
			everywhereBy(c, len(odd), func(w io.Writer, path string) { write(w, head(path, fields), strings.Repeat("b", legalBody/4)) })
		}
	}},
	{"jobs of legal size", func(c *crowd) {
		for i := range submitters {
			document := legalJob(c.t, maxBody, fmt.Sprint(i))
			c.send(1, portIngress, func(w io.Writer, _ int) {
				write(w, head(fmt.Sprintf("/items-of/%d", i), fmt.Sprintf("Content-Length: %d\r\n\r\n", len(document))), document)
			})
		}
	}},
	{"pipelined requests without reading", func(c *crowd) {
		requests := strings.Repeat(head("/safe/big", "Content-Length: 0\r\n\r\n"), pipelined)
		c.send(clients, portIngress, func(w io.Writer, _ int) { write(w, requests) })
		for port, path := range map[int]string{portReady: "/ready", portLinks: "/link", portMetrics: "/metrics"} {
			requests := strings.Repeat("GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n", pipelined)
			c.send(clients/4, port, func(w io.Writer, _ int) { write(w, requests) })
		}
	}},
	{"bytes one at a time", func(c *crowd) {
		everywhere(c, func(w io.Writer, path string) {
			for _, b := range head(path, "")[:60] {
				if !write(w, string(b)) {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}},
	{"silent connections", func(c *crowd) {
		for _, port := range []int{portIngress, portReady, portLinks, portMetrics} {
			c.send(silentClients, port, func(io.Writer, int) {})
		}
	}},
	{"links without a proof", func(c *crowd) {
		upgrade := "GET /link HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\n" +
			"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
		c.send(silentClients, portLinks, func(w io.Writer, _ int) { write(w, upgrade) })
	}},
}

// Guards against clients that make an entry exceed the memory or the descriptors of its instance, end it, or leave it unable
// to serve others.
func TestHostileClients(t *testing.T) {
	bin := build(t)
	for _, f := range forms {
		t.Run(strings.ReplaceAll(f.name, " ", "-"), func(t *testing.T) {
			in := newInstance(t, bin, memory, maxBody)
			c := &crowd{t: t, instance: in}
			f.attack(c)
			c.finish(t)
		})
	}
}

// finish measures the instance while the crowd stays and after it has left.
func (c *crowd) finish(t *testing.T) {
	t.Helper()
	in, sent := c.instance, make(chan struct{})
	go func() {
		defer close(sent)
		c.tasks.Wait()
	}()
	for waiting := true; waiting; {
		select {
		case <-sent:
			waiting = false
		case <-time.After(settleTime / 20):
		}
		in.countDescriptors(t)
	}
	time.Sleep(settleTime)
	in.countDescriptors(t)
	c.leave()
	in.check(t)
	if in.process.Running() {
		in.waitServed(t, calmTimeout)
		in.check(t)
	}
}

// Guards against reads of stored jobs that together exceed the memory of the instance: an entry that does not hold a job reads
// its whole document from the store for each read of an item.
func TestReadsOfStoredJob(t *testing.T) {
	in := newInstance(t, build(t), memory, maxBody)
	if status, err := in.do(http.MethodPost, "/items-of/stored", "stored", strings.NewReader(legalJob(t, maxBody, "i"))); err != nil || status != http.StatusAccepted {
		t.Fatalf("status %d, error %v", status, err)
	}
	if status, err := in.do(http.MethodDelete, platformtest.JobURI("stored"), "end", http.NoBody); err != nil || status != http.StatusOK {
		t.Fatalf("status %d at the end of the job, error %v", status, err)
	}
	in.restart(t)
	c := &crowd{t: t, instance: in}
	c.send(submitters, portIngress, func(w io.Writer, i int) {
		write(w, "GET "+platformtest.BodyURI("stored", fmt.Sprintf("i-%d", i))+" HTTP/1.1\r\nHost: "+host+"\r\n\r\n")
	})
	c.finish(t)
}

// Guards against links and readiness probes that are pushed out by connections that have not authenticated.
func TestLinksBesideSilentConnections(t *testing.T) {
	in := newInstance(t, build(t), memory, maxBody)
	c := &crowd{t: t, instance: in}
	silent := func() {
		for _, port := range []int{portReady, portLinks, portMetrics, portIngress} {
			c.send(silentClients, port, func(io.Writer, int) {})
		}
		c.tasks.Wait()
	}
	hello := func() wire.Hello {
		return wire.Hello{Name: "other", Role: "entry", Inc: "other-1", Domain: "a", Region: "r"}
	}
	identity := link.NewIdentity("other", []byte(secret), hello)
	open := func() *link.Conn {
		conn, err := link.Dial(t.Context(), in.address(portLinks), identity,
			link.HandlerFunc(func(*link.Conn, link.Frame) error { return nil }), slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatalf("a link cannot be opened: %v", err)
		}
		return conn
	}
	before := open()
	silent()
	after := open()
	silent()
	in.waitServed(t, calmTimeout) // while the crowd stays
	for _, conn := range []*link.Conn{before, after} {
		select {
		case <-conn.Done():
			t.Error("a link has been closed in favour of silent connections")
		default:
		}
		conn.Close()
	}
	c.finish(t)
}

// Guards against limits that ordinary callers meet: in calm, an entry answers a request within the limits of the
// configuration and accepts the largest job, also where its memory is smallest.
func TestOrdinaryRequestsInCalm(t *testing.T) {
	const smallestMemory, largestBody = 144 << 20, 33_554_432
	in := newInstance(t, build(t), smallestMemory, largestBody)
	for _, tc := range []struct {
		path   string
		body   string
		status int
	}{
		{"/safe/small", "ordinary", http.StatusOK},
		{"/safe/large", strings.Repeat("b", largestBody), http.StatusOK},
		{"/items-of/small", legalJob(t, 200<<10, "s"), http.StatusAccepted},
		{"/items-of/large", legalJob(t, largestBody, "l"), http.StatusAccepted},
	} {
		status, err := in.post(tc.path, strings.NewReader(tc.body))
		if err != nil || status != tc.status {
			t.Errorf("%s of %d bytes: status %d, error %v; want %d", tc.path, len(tc.body), status, err, tc.status)
		}
	}
	in.waitServed(t, calmTimeout)
	in.countDescriptors(t)
	in.check(t)
}

// Guards against one large body that is never completed and shuts out ordinary requests and jobs for as long as it is open.
func TestOrdinaryRequestsBesideStalledBody(t *testing.T) {
	const smallestMemory, largestBody = 144 << 20, 33_554_432
	in := newInstance(t, build(t), smallestMemory, largestBody)
	c := &crowd{t: t, instance: in}
	c.send(1, portIngress, func(w io.Writer, _ int) {
		write(w, head("/safe/stalled", fmt.Sprintf("Content-Length: %d\r\n\r\n", largestBody)), strings.Repeat("b", largestBody-10))
	})
	c.tasks.Wait()
	time.Sleep(settleTime)
	for _, tc := range []struct {
		path, body string
		status     int
	}{
		{"/safe/small", "ordinary", http.StatusOK},
		{"/safe/larger", strings.Repeat("b", 200<<10), http.StatusOK},
		{"/items-of/small", legalJob(t, 200<<10, "s"), http.StatusAccepted},
	} {
		if status, err := in.post(tc.path, strings.NewReader(tc.body)); err != nil || status != tc.status {
			t.Errorf("%s beside a stalled body: status %d, error %v; want %d", tc.path, status, err, tc.status)
		}
	}
	c.finish(t)
}

// legalJob returns the document of a job of 200 items that has about size bytes.
func legalJob(t *testing.T, size int, id string) string {
	t.Helper()
	const items, overhead = 200, 160
	j := job.Job{Step: 1, Model: "m", Groups: 25}
	body := make([]byte, base64.StdEncoding.DecodedLen(size/items-overhead))
	for i := range items {
		j.Items = append(j.Items, job.Item{
			ID: fmt.Sprintf("%s-%d", id, i), Path: "/items-of/m/20", Body: body, Tokens: 100, Group: fmt.Sprint(i / 8),
		})
	}
	document, err := platformtest.EncodeJob(j)
	if err != nil {
		t.Fatal(err)
	}
	if len(document) > size || len(document) < size*9/10 {
		t.Fatalf("the document has %d bytes, want about %d", len(document), size)
	}
	return string(document)
}

// build compiles the entry.
func build(t *testing.T) string {
	t.Helper()
	if testing.Short() {
		t.Skip("takes a minute")
	}
	bin := t.TempDir()
	if err := rig.Build(filepath.Join("..", ".."), bin, map[string]string{"bulrush-entry": "entry"}); err != nil {
		t.Fatal(err)
	}
	return bin
}
