package naming

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/upstream"
	"bulrushspoke/platform"
	"bulrushspoke/standin/objects"
	"bulrushspoke/wire"
)

var quiet = slog.New(slog.DiscardHandler)

func server(id, address string) catalog.Server {
	return catalog.Server{ID: id, Service: "v", Address: address}
}

// Guards against a fleet in which no daemon watches the store, or all of them do.
func TestRole(t *testing.T) {
	var l []catalog.Server
	for i := range 20 {
		l = append(l, server(fmt.Sprintf("i%02d", i), fmt.Sprintf("10.0.0.%d:80", i)))
	}
	l = append(l, catalog.Server{ID: "a", Service: "other", Address: "10.0.1.1:80"})
	n := 0
	for i := range 20 {
		_, reader, others := role(l, "v", fmt.Sprintf("10.0.0.%d:80", i), 77)
		if reader {
			n++
		}
		if len(others) != 19 || strings.Contains(strings.Join(others, " "), fmt.Sprintf("10.0.0.%d:", i)) ||
			!strings.HasSuffix(others[0], ":77") {
			t.Fatalf("daemon %d broadcasts to %v", i, others)
		}
	}
	if n != watchers {
		t.Errorf("%d daemons watch, want %d", n, watchers)
	}
	if listed, reader, _ := role(l, "v", "10.0.9.9:80", 77); listed || reader {
		t.Error("a daemon whose engine is not listed watches the store; at the start of a fleet that would be all of them")
	}
}

// Guards against versions in datagrams that are not authenticated.
func TestProof(t *testing.T) {
	want := []wire.PublishedVersion{{Model: "m", Version: 3, Rev: 9}}
	b, err := seal([]byte("secret"), want)
	if err != nil {
		t.Fatal(err)
	}
	got, ok := open([]byte("secret"), b)
	if d := cmp.Diff(want, got); !ok || d != "" {
		t.Errorf("opened %t (-want +got):\n%s", ok, d)
	}
	if _, ok := open([]byte("other"), b); ok {
		t.Error("a datagram with another secret was accepted")
	}
	b[len(b)-1] ^= 1
	if _, ok := open([]byte("secret"), b); ok {
		t.Error("a modified datagram was accepted")
	}
	if _, ok := open([]byte("secret"), b[:10]); ok {
		t.Error("a truncated datagram was accepted")
	}
}

// Guards against a daemon that learns of a version late or never: a daemon that does not watch the store gets versions by
// datagram, or from its periodic list if the datagram is lost.
func TestEveryDaemonLearns(t *testing.T) {
	s := objects.New()
	web := httptest.NewServer(s)
	t.Cleanup(web.CloseClientConnections)
	pool := upstream.New(upstream.Limits{Dial: time.Second, Idle: 16})
	objectStore := platform.NewStore(strings.TrimPrefix(web.URL, "http://"), time.Second, pool, quiet)
	probe, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_, port, err := net.SplitHostPort(probe.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = probe.Close()
	var number int
	if _, err := fmt.Sscan(port, &number); err != nil {
		t.Fatal(err)
	}
	var list []catalog.Server
	const daemons = 5
	for i := range daemons {
		list = append(list, server(fmt.Sprintf("i%d", i), fmt.Sprintf("127.0.0.%d:80", i+1)))
	}
	var known []*catalog.Catalog
	for i := range daemons {
		c := catalog.New(quiet)
		known = append(known, c)
		n := New(Options{
			Address: list[i].Address, Service: "v", Port: number, Secret: []byte("secret"),
			Listen: fmt.Sprintf("127.0.0.%d:%d", i+1, number), Source: objectStore, Catalog: c, Logger: quiet,
			Feed:    platform.NewCatalogUpdater(c, quiet).SetCallbacks(catalog.Feed{Kind: platform.KindVersions}),
			Servers: func(context.Context) ([]catalog.Server, error) { return list, nil },
		})
		go func() { _ = n.Run(t.Context()) }()
	}
	for v := 2; v <= 3; v++ {
		time.Sleep(300 * time.Millisecond)
		s.Put("versions", "m", []byte(fmt.Sprintf(`{"model":"m","version":%d}`, v)))
		deadline := time.Now().Add(10 * time.Second)
		for i, c := range known {
			for got, _ := c.Version("m"); got.Number != v; got, _ = c.Version("m") {
				if time.Now().After(deadline) {
					t.Fatalf("daemon %d did not learn of version %d within 10 s", i, v)
				}
				time.Sleep(5 * time.Millisecond)
			}
		}
	}
	if n := s.Calls("GET", "versions"); n > 6*daemons {
		t.Errorf("%d reads of the store, want at most 6 per daemon", n)
	}
}
