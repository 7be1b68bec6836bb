package catalog

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"bulrushspoke/internal/store"
)

var discardLogger = slog.New(slog.DiscardHandler)

var start = time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)

func serverIDs(c *Catalog, service string) []string {
	var l []string
	for _, s := range c.Servers(service) {
		l = append(l, s.ID)
	}
	return l
}

// Guards against a request that is matched to a route with a shorter prefix or another host.
func TestMatch(t *testing.T) {
	c := Config{Routes: []Route{
		{Name: "root", Host: "a", Prefix: "/"},
		{Name: "deep", Host: "a", Prefix: "/x/y/"},
		{Name: "mid", Host: "a", Prefix: "/x/"},
		{Name: "other", Host: "b", Prefix: "/x/y/z/"},
	}}
	for _, tc := range []struct{ host, path, want string }{
		{"a", "/", "root"},
		{"a", "/x", "root"},
		{"a", "/x/1", "mid"},
		{"a", "/x/y/z/1", "deep"},
		{"b", "/x/y/z/1", "other"},
		{"b", "/x/", ""},
		{"c", "/x/y/", ""},
	} {
		r, ok := c.Match(tc.host, tc.path)
		got := ""
		if ok {
			got = r.Name
		}
		if got != tc.want {
			t.Errorf("%s%s matches route %q, want %q", tc.host, tc.path, got, tc.want)
		}
	}
}

// Guards against a configuration, weight version or server that is replaced by one of a lower revision because changes
// arrive out of order.
func TestLowerRevisionIsIgnored(t *testing.T) {
	c := New(discardLogger)
	if !c.ApplyConfig(Config{Revision: 5}) || c.ApplyConfig(Config{Revision: 4}) || c.ApplyConfig(Config{Revision: 5}) {
		t.Error("a newer configuration was ignored, or one that is not newer was applied")
	}
	if !c.ApplyVersion(Version{Model: "m", Number: 3, Revision: 8}) || c.ApplyVersion(Version{Model: "m", Number: 2, Revision: 7}) {
		t.Error("a newer version was ignored, or one that is not newer was applied")
	}
	c.ApplyServer(Server{ID: "s", Service: "v", Revision: 9, Draining: true})
	c.ApplyServer(Server{ID: "s", Service: "v", Revision: 6})
	if got := serverIDs(c, "v"); got != nil {
		t.Errorf("a draining server is in use again after an older entry was applied: %v", got)
	}
	c.ApplyServer(Server{ID: "t", Service: "v", Revision: 12})
	c.RemoveServer("t", 11, start)
	if d := cmp.Diff([]string{"t"}, serverIDs(c, "v")); d != "" {
		t.Errorf("an older removal removed a server (-want +got):\n%s", d)
	}
}

// Guards against a removed server that is added again by an older change: a watch that is resumed after an outage repeats
// changes that were already received from other processes, and a list may have been read before the removal.
func TestOlderUpdateDoesNotRestoreRemovedServer(t *testing.T) {
	entry := Server{ID: "s", Service: "v", Revision: 30}
	older := Server{ID: "s", Service: "v", Revision: 212}
	newer := Server{ID: "s", Service: "v", Revision: 300}
	for name, tc := range map[string]struct {
		unknown bool // the server is not known before
		change  func(*Catalog)
	}{
		"repeated by a watch": {change: func(c *Catalog) {
			c.RemoveServer("s", 246, start)
			c.ApplyServer(older)
		}},
		"repeated by a watch after an outage": {change: func(c *Catalog) {
			c.RemoveServer("s", 246, start)
			c.StoreRestored(start.Add(4 * time.Second))
			c.ApplyServer(older)
			c.RemoveServer("s", 246, start.Add(4*time.Second))
		}},
		"removal heard first": {unknown: true, change: func(c *Catalog) {
			c.RemoveServer("s", 246, start)
			c.ApplyServer(older)
		}},
		"older list": {change: func(c *Catalog) {
			c.RemoveServer("s", 246, start)
			c.ReplaceServers([]Server{older}, 220, start)
		}},
		"missing in a list": {change: func(c *Catalog) {
			c.ReplaceServers(nil, 246, start)
			c.ApplyServer(older)
		}},
		"older removal again": {change: func(c *Catalog) {
			c.RemoveServer("s", 246, start)
			c.RemoveServer("s", 40, start)
			c.ApplyServer(older)
		}},
	} {
		c := New(discardLogger)
		if !tc.unknown {
			c.ApplyServer(entry)
		}
		tc.change(c)
		if got := serverIDs(c, "v"); got != nil {
			t.Errorf("%s: the server is in use again", name)
		}
		c.ApplyServer(newer)
		if got := serverIDs(c, "v"); got == nil {
			t.Errorf("%s: a newer entry does not add the server again", name)
		}
	}
}

// Guards against a missing server that is kept for good because a change from before its removal ends its grace period.
func TestOlderUpdateDoesNotEndGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(discardLogger)
		c.ApplyServer(Server{ID: "s", Service: "v", Revision: 30})
		c.StoreRestored(time.Now())
		c.RemoveServer("s", 246, time.Now())
		if serverIDs(c, "v") == nil {
			t.Fatal("the server is removed without a grace period")
		}
		c.ApplyServer(Server{ID: "s", Service: "v", Revision: 212})
		time.Sleep(missingGrace + time.Second)
		if serverIDs(c, "v") != nil {
			t.Fatal("the server is still in use after its grace period")
		}
	})
}

// Guards against servers that are removed because the store lost their entries during an outage, and against missing
// servers that are kept for good.
func TestMissingServersAreKeptAfterOutage(t *testing.T) {
	c := New(discardLogger)
	now := time.Now() // expireMissing runs on a timer
	c.ApplyServer(Server{ID: "a", Service: "v", Revision: 1})
	c.ApplyServer(Server{ID: "b", Service: "v", Revision: 2})
	c.ApplyServer(Server{ID: "d", Service: "v", Revision: 3, Draining: true})
	c.StoreRestored(now.Add(50*time.Millisecond - missingGrace))
	c.ReplaceServers(nil, 10, now)
	if d := cmp.Diff([]string{"a", "b"}, serverIDs(c, "v")); d != "" {
		t.Errorf("right after the outage (-want +got):\n%s", d)
	}
	if _, ok := c.Server("d"); ok {
		t.Error("a draining server whose entry is missing is kept")
	}
	c.ApplyServer(Server{ID: "a", Service: "v", Revision: 11})
	deadline := time.Now().Add(5 * time.Second)
	for len(serverIDs(c, "v")) > 1 && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	if d := cmp.Diff([]string{"a"}, serverIDs(c, "v")); d != "" {
		t.Errorf("after the grace period (-want +got):\n%s", d)
	}
	c.RemoveServer("a", 20, now.Add(time.Minute))
	if got := serverIDs(c, "v"); got != nil {
		t.Errorf("a server that was removed long after the outage is still in use: %v", got)
	}
}

// scriptedSource is a Source whose watches return prepared answers.
type scriptedSource struct {
	mu      sync.Mutex
	answers []func(after int64) ([]store.Change, int64, error)
	lists   int
	done    context.CancelFunc
}

func (s *scriptedSource) List(context.Context, string) ([]store.Record, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	return []store.Record{{Name: "x", Revision: int64(10 * s.lists)}}, int64(10 * s.lists), nil
}

func (s *scriptedSource) Watch(_ context.Context, _ string, after int64, _ time.Duration) ([]store.Change, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.answers) == 0 {
		s.done()
		return nil, after, nil
	}
	step := s.answers[0]
	s.answers = s.answers[1:]
	return step(after)
}

// Guards against a feed that stops or misses changes after the store has discarded its history or did not answer.
func TestFollow(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var watched []int64
	s := &scriptedSource{done: cancel}
	s.answers = []func(int64) ([]store.Change, int64, error){
		func(after int64) ([]store.Change, int64, error) {
			watched = append(watched, after)
			return []store.Change{{Record: store.Record{Name: "y", Revision: 12}}}, 13, nil
		},
		func(after int64) ([]store.Change, int64, error) {
			watched = append(watched, after)
			return nil, 0, store.NewUnavailableError(false, "down")
		},
		func(after int64) ([]store.Change, int64, error) {
			watched = append(watched, after)
			return nil, 0, store.NewExpiredError("k", after)
		},
		func(after int64) ([]store.Change, int64, error) {
			watched = append(watched, after)
			return nil, after, nil
		},
	}
	var applied, replaced []int64
	err := Follow(ctx, s, Feed{
		Kind:    "k",
		Replace: func(_ []store.Record, revision int64, _ time.Time) { replaced = append(replaced, revision) },
		Apply:   func(c store.Change, _ time.Time) { applied = append(applied, c.Revision) },
	}, discardLogger)
	if !errors.Is(err, context.Canceled) {
		t.Fatalf("got error %v, want context.Canceled", err)
	}
	if d := cmp.Diff([]int64{10, 13, 13, 20}, watched); d != "" {
		t.Errorf("revisions watched from (-want +got):\n%s", d)
	}
	if d := cmp.Diff([]int64{10, 20}, replaced); d != "" {
		t.Errorf("lists (-want +got):\n%s", d)
	}
	if d := cmp.Diff([]int64{12}, applied); d != "" {
		t.Errorf("changes (-want +got):\n%s", d)
	}
}

// hanging is a Source whose first watch gets no answer.
type hanging struct {
	watches int
	begun   chan struct{}
	done    context.CancelFunc
}

func (h *hanging) List(context.Context, string) ([]store.Record, int64, error) { return nil, 10, nil }

func (h *hanging) Watch(ctx context.Context, _ string, after int64, _ time.Duration) ([]store.Change, int64, error) {
	if h.watches++; h.watches == 1 {
		close(h.begun)
		<-ctx.Done()
		return nil, 0, store.NewUnavailableError(false, ctx.Err().Error())
	}
	h.done()
	return []store.Change{{Record: store.Record{Name: "x", Revision: after + 1}}}, after + 1, nil
}

// Guards against a watch without an answer that cannot be renewed, and against a renewal that counts as an outage of the
// store.
func TestFollowRenews(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	s := &hanging{begun: make(chan struct{}), done: cancel}
	renew := make(chan struct{}, 1)
	go func() {
		<-s.begun
		renew <- struct{}{}
	}()
	var applied []int64
	restored := false
	_ = Follow(ctx, s, Feed{
		Kind: "k", Renew: renew,
		Replace:    func([]store.Record, int64, time.Time) {},
		Apply:      func(c store.Change, _ time.Time) { applied = append(applied, c.Revision) },
		OnRestored: func(time.Time) { restored = true },
	}, discardLogger)
	if d := cmp.Diff([]int64{11}, applied); d != "" {
		t.Errorf("changes (-want +got):\n%s", d)
	}
	if restored {
		t.Error("the renewal counts as an outage")
	}
}

// Guards against new requests to a server that has given notice that it is about to leave. A later entry that still lists
// it as ready must not put it back into use, another incarnation with its ID is a new server, and the last server of a
// service stays in use for a moment.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	c := New(discardLogger)
	old := Server{ID: "s", Revision: 1, Service: "v", StartedAt: 1}
	other := Server{ID: "o", Revision: 2, Service: "v", StartedAt: 1}
	c.ApplyServer(old)
	c.ApplyServer(other)
	c.MarkLeaving(old, start)
	inUse := func(want ...string) {
		t.Helper()
		if d := cmp.Diff(want, serverIDs(c, "v")); d != "" {
			t.Errorf("servers in use (-want +got):\n%s", d)
		}
	}
	inUse("o")
	again := old
	again.Revision = 3
	c.ApplyServer(again)
	c.ReplaceServers([]Server{again, other}, 3, start)
	inUse("o")
	if _, ok := c.Server("s"); !ok {
		t.Error("the leaving server is unknown")
	}
	c.MarkLeaving(other, start)
	inUse("o")
	deadline := time.Now().Add(5 * lastServerGrace)
	for len(c.Servers("v")) > 0 {
		if time.Now().After(deadline) {
			t.Fatal("the last server is still in use")
		}
		time.Sleep(10 * time.Millisecond)
	}
	again.Revision, again.StartedAt = 4, 2
	c.ApplyServer(again)
	inUse("s")
	c.MarkLeaving(old, start) // late answer of the former incarnation
	inUse("s")
}

// Guards against requests to a crashed server whose address is already used by its successor.
func TestSuccessorAtAddress(t *testing.T) {
	c := New(discardLogger)
	old := Server{ID: "old", Revision: 5, Service: "v", Address: "10.0.0.1:80", StartedAt: 1000}
	other := Server{ID: "other", Revision: 6, Service: "v", Address: "10.0.0.2:80", StartedAt: 1000}
	next := Server{ID: "next", Revision: 9, Service: "v", Address: old.Address, StartedAt: 2000}
	stranger := Server{ID: "stranger", Revision: 10, Service: "unknown", Address: other.Address, StartedAt: 3000}
	for _, s := range []Server{old, other, next, stranger} {
		c.ApplyServer(s)
	}
	if d := cmp.Diff([]string{"next", "other"}, serverIDs(c, "v")); d != "" {
		t.Errorf("servers (-want +got):\n%s", d)
	}
	old.Revision = 12 // late change of its entry
	c.ApplyServer(old)
	if d := cmp.Diff([]string{"next", "other"}, serverIDs(c, "v")); d != "" {
		t.Errorf("after a late change of the crashed server's entry (-want +got):\n%s", d)
	}
	c.RemoveServer("next", 20, start)
	if d := cmp.Diff([]string{"old", "other"}, serverIDs(c, "v")); d != "" {
		t.Errorf("after the removal of the successor (-want +got):\n%s", d)
	}
}

// Guards against memory that grows with each removed open route, and against a route that still counts as open after it was
// closed.
func TestFormerOpenBatchRoutes(t *testing.T) {
	c := New(slog.New(slog.DiscardHandler))
	var revision int64
	apply := func(routes ...Route) {
		revision++
		c.ApplyConfig(Config{Revision: revision, Routes: routes})
	}
	host := func(i int) string { return fmt.Sprint("h", i) }
	for i := range maxFormerHosts + 2 {
		apply(Route{Host: host(i), Kind: Batch, Open: true})
	}
	if c.HadOpenBatchRoute(host(maxFormerHosts + 1)) {
		t.Error("the present route counts as a former one")
	}
	apply()
	if len(c.opened) != maxFormerHosts || c.HadOpenBatchRoute(host(0)) || !c.HadOpenBatchRoute(host(maxFormerHosts+1)) {
		t.Errorf("%d hosts are remembered: %v", len(c.opened), c.opened)
	}
	apply(Route{Host: "h5", Kind: Batch})
	apply(Route{Host: "h6", Kind: Safe, Open: true}, Route{Host: "closed", Kind: Batch}, Route{Host: "plain", Kind: Safe, Open: true})
	apply()
	for h, want := range map[string]bool{"h5": false, "h6": true, "closed": false, "plain": false} {
		if got := c.HadOpenBatchRoute(h); got != want {
			t.Errorf("%s had an open route: %t, want %t", h, got, want)
		}
	}
}
