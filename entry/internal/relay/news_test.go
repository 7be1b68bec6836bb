package relay

import (
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/link"
	"bulrushspoke/internal/store"
)

// fakeEntry implements Broadcaster for one of several entries and delivers its messages to the receivers.
type fakeEntry struct {
	handlers     map[string]func(context.Context, link.Frame) (string, any, error)
	connected    []string
	receivers    []*fakeEntry
	dropMessages bool // messages from this entry are lost
}

func (e *fakeEntry) Handle(kind string, f func(context.Context, link.Frame) (string, any, error)) {
	e.handlers = map[string]func(context.Context, link.Frame) (string, any, error){kind: f}
}

func (e *fakeEntry) Connected() []string { return e.connected }

func (e *fakeEntry) Request(context.Context, string, string, any, any) error { return nil }

func (e *fakeEntry) Broadcast(kind string, body any) {
	raw, err := cbor.Marshal(body)
	if err != nil || e.dropMessages {
		return
	}
	for _, other := range e.receivers {
		if _, _, err := other.handlers[kind](context.Background(), link.Frame{Kind: kind, Body: raw}); err != nil {
			panic(err) // the handler decodes what was just encoded
		}
	}
}

// watchRenewed reports whether the feed has asked for its watch to be renewed.
func watchRenewed(f catalog.Feed) bool {
	select {
	case <-f.Renew:
		return true
	default:
		return false
	}
}

// maxDelay is the time within which a change must reach all entries.
const maxDelay = 2500 * time.Millisecond

func newFeed(self string, m *fakeEntry, now time.Time) catalog.Feed {
	return ShareFeed(catalog.Feed{
		Kind:    "config",
		Replace: func([]store.Record, int64, time.Time) {},
		Apply:   func(store.Change, time.Time) {},
	}, self, maxDelay, m, now)
}

// applyChange hands a change to a feed as a watch does.
func applyChange(f catalog.Feed, revision int64, now time.Time) {
	f.Apply(store.Change{Record: store.Record{Name: "main", Revision: revision}}, now)
	f.OnSuccess(revision, now)
}

// Guards against an entry that misses a change until its own watch times out: the leader sent the change while their link
// was broken, and the store's response to the entry's watch is lost.
func TestMissedNews(t *testing.T) {
	for name, next := range map[string]func(a catalog.Feed, now time.Time){
		"nothing follows":  func(a catalog.Feed, now time.Time) { a.OnSuccess(8, now) },
		"a change follows": func(a catalog.Feed, now time.Time) { applyChange(a, 9, now) },
		"a list follows": func(a catalog.Feed, now time.Time) {
			a.Replace([]store.Record{{Name: "main", Revision: 7}}, 9, now)
			a.OnSuccess(9, now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			second := &fakeEntry{connected: []string{"a"}}
			first := &fakeEntry{connected: []string{"b"}, receivers: []*fakeEntry{second}}
			a, b := newFeed("a", first, now), newFeed("b", second, now)
			applyChange(a, 4, now)
			a.OnSuccess(5, now)
			if watchRenewed(b) {
				t.Error("the watch is renewed although the entry has received the change")
			}
			first.dropMessages = true
			applyChange(a, 7, now)
			first.dropMessages = false
			next(a, now)
			if !watchRenewed(b) {
				t.Fatal("the watch is not renewed although the entry has missed a change")
			}
			if b.Wait() > maxDelay {
				t.Errorf("the new watch may wait for %s", b.Wait())
			}
			a.OnSuccess(10, now)
			if watchRenewed(b) {
				t.Error("the watch is renewed again before it has a response")
			}
			b.OnSuccess(11, now)
			if b.Wait() != followerWatchWait {
				t.Errorf("after the response a watch waits for %s", b.Wait())
			}
			a.OnSuccess(11, now)
			applyChange(a, 12, now)
			if watchRenewed(b) {
				t.Error("the watch is renewed although the entry is up to date")
			}
		})
	}
}

// Guards against a change that is counted as known because a later one has arrived: the leader's message about it was lost,
// and the entry's own watch was answered before it.
func TestMissedNewsDuringWatch(t *testing.T) {
	now := time.Now()
	second := &fakeEntry{connected: []string{"a"}}
	first := &fakeEntry{connected: []string{"b"}, receivers: []*fakeEntry{second}}
	a, b := newFeed("a", first, now), newFeed("b", second, now)
	applyChange(a, 4, now)
	lose := func(revision int64) {
		first.dropMessages = true
		applyChange(a, revision, now)
		first.dropMessages = false
	}
	lose(5)
	applyChange(a, 6, now)
	if !watchRenewed(b) {
		t.Fatal("the watch is not renewed although the entry has missed a change")
	}
	lose(7)
	applyChange(a, 8, now)
	applyChange(b, 5, now)
	if !watchRenewed(b) {
		t.Fatal("the watch is not renewed although it was answered before the missed change")
	}
	if b.Wait() > maxDelay {
		t.Errorf("the new watch may wait for %s", b.Wait())
	}
	applyChange(b, 8, now)
	if watchRenewed(b) || b.Wait() != followerWatchWait {
		t.Error("the watch is renewed again although the entry is up to date")
	}
}

// Guards against a missed change that stays unknown because the call for it failed once.
func TestMissedNewsAfterFailure(t *testing.T) {
	now := time.Now()
	second := &fakeEntry{connected: []string{"a"}}
	first := &fakeEntry{connected: []string{"b"}, receivers: []*fakeEntry{second}}
	a, b := newFeed("a", first, now), newFeed("b", second, now)
	applyChange(a, 4, now)
	first.dropMessages = true
	applyChange(a, 5, now)
	first.dropMessages = false
	a.OnSuccess(6, now)
	if !watchRenewed(b) {
		t.Fatal("the watch is not renewed although the entry has missed a change")
	}
	b.OnFailure(now)
	if b.Interval() > maxDelay {
		t.Errorf("the next call begins after %s", b.Interval())
	}
	b.OnSuccess(6, now)
	if b.Interval() != followerPause {
		t.Errorf("the pause after the response is %s", b.Interval())
	}
}

// Guards against followers that remove servers right after a store outage because their objects are missing, without the
// grace period that the leader applies, and against applying that grace period when only the calls of one entry failed.
func TestEndOfOutageIsTold(t *testing.T) {
	for name, tc := range map[string]struct {
		run  func(a, b catalog.Feed, now time.Time)
		want bool // the second entry takes it as the end of an outage
	}{
		"sent by the leader": {want: true, run: func(a, _ catalog.Feed, now time.Time) {
			a.OnFailure(now)
			a.OnRestored(now)
			applyChange(a, 7, now)
		}},
		"sent once": {run: func(a, _ catalog.Feed, now time.Time) {
			a.OnSuccess(6, now)
			applyChange(a, 7, now)
		}},
		"noticed while the leader still fails": {want: true, run: func(a, b catalog.Feed, now time.Time) {
			a.OnFailure(now)
			b.OnFailure(now)
			b.OnRestored(now)
		}},
		"own calls failed": {run: func(a, b catalog.Feed, now time.Time) {
			b.OnFailure(now)
			applyChange(a, 7, now)
			b.OnRestored(now)
		}},
	} {
		now := time.Now()
		second := &fakeEntry{connected: []string{"a"}}
		restored := false
		feed := func(self string, m *fakeEntry, onRestored func(time.Time)) catalog.Feed {
			return ShareFeed(catalog.Feed{
				Kind: "servers", Apply: func(store.Change, time.Time) {}, OnRestored: onRestored,
			}, self, maxDelay, m, now)
		}
		a := feed("a", &fakeEntry{connected: []string{"b"}, receivers: []*fakeEntry{second}}, func(time.Time) {})
		b := feed("b", second, func(time.Time) { restored = true })
		applyChange(a, 4, now)
		if tc.run(a, b, now); restored != tc.want {
			t.Errorf("%s: taken for the end of an outage: %t, want %t", name, restored, tc.want)
		}
	}
}

// Guards against changes that arrive late at an entry whose leader has stopped sending: the leader timeout, the entry's
// own call and its response must together fit into the maximum delay. Another entry may be connected that does not lead.
func TestSilentReader(t *testing.T) {
	now := time.Now()
	m := &fakeEntry{connected: []string{"a"}}
	f := newFeed("b", m, now)
	if f.Wait() != followerWatchWait || f.Interval() != followerPause {
		t.Errorf("right after the start a watch waits for %s, and the pause is %s", f.Wait(), f.Interval())
	}
	select {
	case <-f.Renew:
	case <-time.After(maxDelay):
		t.Fatal("an entry without a leader keeps waiting in its watch")
	}
	if d := time.Since(now); d > maxDelay-deliveryReserve {
		t.Errorf("waited for %s of %s", d, maxDelay)
	}
	if f.Wait() > maxDelay || f.Interval() != leaderPause {
		t.Errorf("without a leader a watch waits for %s, and the pause is %s", f.Wait(), f.Interval())
	}
	a := newFeed("a", &fakeEntry{connected: []string{"b"}, receivers: []*fakeEntry{m}}, time.Now())
	a.OnFailure(time.Now())
	if f.Interval() != followerPause {
		t.Error("an entry watches often although the leader has sent that it keeps trying")
	}
}

// Guards against a leader of a kind without objects that counts as one whose calls fail.
func TestEmptyKindIsRead(t *testing.T) {
	now := time.Now()
	follower := &fakeEntry{connected: []string{"a"}}
	f := newFeed("b", follower, now)
	leader := newFeed("a", &fakeEntry{connected: []string{"b"}, receivers: []*fakeEntry{follower}}, now)
	for time.Since(now) < maxDelay {
		leader.OnSuccess(7, time.Now())
		time.Sleep(maxDelay / 10)
		if watchRenewed(f) {
			t.Fatalf("the entry reads the store %s after its leader", time.Since(now))
		}
	}
}

// Guards against an outage of the store in which every entry calls it because the leader gets no response: they try one
// after the other, seldom while their own calls fail, and stop once the leader gets responses again.
func TestDeputiesTryInTurn(t *testing.T) {
	now := time.Now()
	names := []string{"a", "b", "c", "d"}
	entries := make(map[string]*fakeEntry, len(names))
	for i, name := range names {
		entries[name] = &fakeEntry{connected: append(append([]string{}, names[:i]...), names[i+1:]...)}
	}
	entries["a"].receivers = []*fakeEntry{entries["b"], entries["c"], entries["d"]}
	feeds := make(map[string]catalog.Feed, len(names))
	for _, name := range names {
		feeds[name] = newFeed(name, entries[name], now)
	}
	applyChange(feeds["a"], 4, now)
	tried := make(map[string]time.Duration)
	for tried["c"] == 0 && time.Since(now) < 2*maxDelay {
		time.Sleep(maxDelay / 20)
		feeds["a"].OnFailure(time.Now())
		for _, name := range names[1:] {
			if watchRenewed(feeds[name]) && tried[name] == 0 {
				tried[name] = time.Since(now)
				feeds[name].OnFailure(time.Now())
				if p := feeds[name].Interval(); p != deputyRetryPause {
					t.Errorf("%s calls again %s after a failure", name, p)
				}
			}
		}
	}
	if tried["b"] == 0 || tried["c"] == 0 || tried["b"] >= tried["c"] || tried["d"] != 0 {
		t.Errorf("tried after %v, want b before c, and d later", tried)
	}
	applyChange(feeds["a"], 6, time.Now())
	if p := feeds["b"].Interval(); p != followerPause {
		t.Errorf("after the leader got a response the pause is %s", p)
	}
}

// Guards against a leader that sends too rarely for its followers' timeout, whatever the maximum delay of the deployment.
func TestReaderIsHeard(t *testing.T) {
	for _, maxDelay := range []time.Duration{0, time.Second, 1800 * time.Millisecond, 4 * time.Second} {
		f := ShareFeed(catalog.Feed{Kind: "config"}, "a", maxDelay, &fakeEntry{}, time.Now())
		if maxDelay == 0 {
			maxDelay = defaultMaxDelay
		}
		if timeout := time.Duration(leaderTimeoutShare * float64(maxDelay)); f.Wait()+f.Interval() >= timeout {
			t.Errorf("maximum delay %s: the leader sends every %s, and the timeout is %s", maxDelay, f.Wait()+f.Interval(), timeout)
		}
	}
}

// Guards against changes that arrive late at an entry which has a path to the store itself: its leader has none for
// seconds and goes on sending that it keeps trying.
func TestFailingLeaderDoesNotHideChanges(t *testing.T) {
	now := time.Now()
	follower := &fakeEntry{connected: []string{"a"}}
	f := newFeed("b", follower, now)
	leader := newFeed("a", &fakeEntry{connected: []string{"b"}, receivers: []*fakeEntry{follower}}, now)
	leader.OnSuccess(5, now)
	deadline := time.After(maxDelay)
	for {
		select {
		case <-f.Renew:
			return
		case <-time.After(maxDelay / 10):
			leader.OnFailure(time.Now())
		case <-deadline:
			t.Fatal("the entry relies on a leader that has read nothing for longer than a change may take")
		}
	}
}
