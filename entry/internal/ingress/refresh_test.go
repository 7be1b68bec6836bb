package ingress

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/workspace"
)

// configFor returns a configuration in which each key belongs to the workspace of its name.
func configFor(t *testing.T, revision int64, keys ...string) catalog.Config {
	t.Helper()
	var l []workspace.Entry
	for _, k := range keys {
		l = append(l, workspace.Entry{Workspace: workspace.Workspace{Name: k}, Keys: []string{k}})
	}
	d, err := workspace.NewDirectory(l)
	if err != nil {
		t.Fatal(err)
	}
	return catalog.Config{Revision: revision, Workspaces: d}
}

// closed implements access for a request that needs a key.
type closed struct{}

func (closed) open(*catalog.Config) bool   { return false }
func (closed) scoped(*catalog.Config) bool { return false }

// authRig is an authenticator whose process holds a configuration with the key "old".
type authRig struct {
	authenticator
	t     *testing.T
	reads atomic.Int32
}

func newAuthRig(t *testing.T, read func(r *authRig, ctx context.Context) error) *authRig {
	t.Helper()
	logger := slog.New(slog.DiscardHandler)
	r := &authRig{t: t, authenticator: newAuthenticator(catalog.New(logger), nil)}
	r.catalog.ApplyConfig(configFor(t, 1, "old"))
	r.refresh = newRefresher(func(ctx context.Context) error {
		r.reads.Add(1)
		return read(r, ctx)
	}, logger)
	return r
}

// ask reports whether a key gives access, and how long the answer took.
func (r *authRig) ask(key string) (bool, time.Duration) {
	began := time.Now()
	w, _, ok := r.authenticate(r.t.Context(), r.catalog.Config(), key, closed{})
	if ok && w.Name != key {
		r.t.Errorf("key %s belongs to %q", key, w.Name)
	}
	return ok, time.Since(began)
}

const storeDelay = 4 * time.Millisecond

// Guards against random keys that turn into store calls, and against a key that stays refused after such a flood.
func TestRandomKeysCauseFewReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newAuthRig(t, func(*authRig, context.Context) error {
			time.Sleep(storeDelay)
			return nil
		})
		const duration = time.Minute
		for began := time.Now(); time.Since(began) < duration; time.Sleep(10 * time.Millisecond) {
			for range 5 {
				go func() {
					if ok, took := r.ask("random"); ok || took > 2*storeDelay {
						t.Errorf("access is %t after %s", ok, took)
					}
				}()
			}
		}
		synctest.Wait()
		if n, most := int(r.reads.Load()), refreshBurst+int(duration/refreshInterval); n > most || n < 2 {
			t.Errorf("%d reads in %s, want at most %d", n, duration, most)
		}
		r.catalog.ApplyConfig(configFor(t, 2, "random"))
		if ok, _ := r.ask("random"); !ok {
			t.Error("a key is still refused after it has been added")
		}
	})
}

// Guards against a refusal of a key that the store has, to requests that wait together or came while an earlier read was in
// progress, and against a read for each of them.
func TestNewKeyIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newAuthRig(t, func(r *authRig, _ context.Context) error {
			n := int64(r.reads.Load())
			time.Sleep(storeDelay)
			if n > 1 { // the first read was answered before the key was added
				r.catalog.ApplyConfig(configFor(t, n, "old", "new"))
			}
			return nil
		})
		go r.ask("other")
		synctest.Wait()
		for range 20 {
			go func() {
				if ok, took := r.ask("new"); !ok || took != 2*storeDelay {
					t.Errorf("access is %t after %s", ok, took)
				}
			}()
		}
		time.Sleep(time.Second)
		if n := r.reads.Load(); n != 2 {
			t.Errorf("%d reads, want 2", n)
		}
	})
}

// Guards against a request that began under a configuration without workspaces, and misses those that have arrived since
// because an earlier read showed none.
func TestWorkspacesArriveMeanwhile(t *testing.T) {
	r := newAuthRig(t, func(*authRig, context.Context) error { return nil })
	r.catalog.ApplyConfig(catalog.Config{Revision: 2})
	if c := r.awaitWorkspaces(t.Context()); c.Workspaces != nil || r.reads.Load() != 1 {
		t.Fatalf("got revision %d after %d reads", c.Revision, r.reads.Load())
	}
	r.catalog.ApplyConfig(configFor(t, 3, "new"))
	if c := r.awaitWorkspaces(t.Context()); c.Workspaces == nil || r.reads.Load() != 1 {
		t.Errorf("got revision %d after %d reads, want 3 after 1", c.Revision, r.reads.Load())
	}
}

// Guards against a refusal that takes longer than 300 ms while the store does not answer, against an answer that is late
// although the change has arrived meanwhile, and against a refusal that lasts.
func TestSilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newAuthRig(t, func(_ *authRig, ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		})
		const most = 300 * time.Millisecond
		if ok, took := r.ask("new"); ok || took > most {
			t.Errorf("access is %t after %s", ok, took)
		}
		time.AfterFunc(20*time.Millisecond, func() { r.catalog.ApplyConfig(configFor(t, 2, "new")) })
		if ok, took := r.ask("new"); !ok || took != 20*time.Millisecond {
			t.Errorf("access is %t after %s, want it once the change arrives", ok, took)
		}
		if ok, took := r.ask("old"); ok || took > most {
			t.Errorf("access with a removed key is %t after %s", ok, took)
		}
		for range 2 {
			if ok, took := r.ask(""); ok || took != 0 {
				t.Errorf("access without a key is %t after %s", ok, took)
			}
		}
		time.Sleep(time.Second) // until the last read has ended
	})
}
