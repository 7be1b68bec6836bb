package member

import (
	"log/slog"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushspoke/internal/upstream"
	"bulrushspoke/platform"
	"bulrushspoke/standin/objects"
	"bulrushspoke/wire"
)

type peers struct {
	mu   sync.Mutex
	list []string
}

func (p *peers) SetInstances(l []wire.Instance, _ time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = nil
	for _, i := range l {
		p.list = append(p.list, i.Name+" "+i.Address)
	}
	slices.Sort(p.list)
}

func (p *peers) names() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.list)
}

// Guards against entries that do not discover each other after a start while the store is unavailable, a lost response to a
// write, or a restart at another address, or when the store also holds an invalid object.
func TestMembers(t *testing.T) {
	s := objects.New()
	server := httptest.NewServer(s)
	t.Cleanup(server.CloseClientConnections)
	quiet := slog.New(slog.DiscardHandler)
	pool := upstream.New(upstream.Limits{Dial: time.Second, Idle: 8})
	c := platform.NewStore(strings.TrimPrefix(server.URL, "http://"), 200*time.Millisecond, pool, quiet)
	s.Put(kind, "broken", []byte(`7`))
	s.Put(kind, "b", []byte(`{"address":"old:1","inc":"b0"}`))
	s.SetFault(objects.Fault{Unavailable: true})
	a, b := &peers{}, &peers{}
	go func() { _ = New("a", wire.Member{Address: "a:1", Inc: "a1"}, c, a, quiet).Run(t.Context()) }()
	time.Sleep(100 * time.Millisecond)
	s.SetFault(objects.Fault{LostResponses: 1})
	go func() { _ = New("b", wire.Member{Address: "b:2", Inc: "b1"}, c, b, quiet).Run(t.Context()) }()
	want := []string{"a a:1", "b b:2"}
	deadline := time.Now().Add(10 * time.Second)
	for !slices.Equal(a.names(), want) || !slices.Equal(b.names(), want) {
		if time.Now().After(deadline) {
			t.Fatalf("a (-want +got):\n%s\nb:\n%s", cmp.Diff(want, a.names()), cmp.Diff(want, b.names()))
		}
		time.Sleep(5 * time.Millisecond)
	}
}
