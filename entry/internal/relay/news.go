package relay

import (
	"context"
	"time"

	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/link"
	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

const (
	// settleReader is the pause between two watches of the entry that passes changes on to the others.
	settleReader = 150 * time.Millisecond
	// settleOthers is that of the others. They watch the store too, since the reader may be cut off without knowing it;
	// a leaving server must get no new requests after a bound of two seconds and more.
	settleOthers = time.Second
	// waitReader bounds a watch of the entry that passes changes on: if the store loses the answer to it, the others wait
	// for the change as long. News must be everywhere within two seconds and more.
	waitReader = 1500 * time.Millisecond
	// waitOthers is that of the others, which learn of changes from the reader too.
	waitOthers = 25 * time.Second
)

// Broadcaster reaches all other entries.
type Broadcaster interface {
	Handlers
	Linked() []string
	Tell(kind string, body any)
}

// Spread makes one entry pass the changes of a feed on to the others, so that these can watch the store less often.
func Spread(f catalog.Feed, self string, b Broadcaster) catalog.Feed {
	reads := func() bool {
		for _, name := range b.Linked() {
			if name < self {
				return false
			}
		}
		return true
	}
	apply, replace := f.Apply, f.Replace
	f.Replace = func(list []store.Record, revision int64, now time.Time) {
		replace(list, revision, now)
		if !reads() {
			return
		}
		// The changes that this list stands for were not told.
		n := wire.News{Kind: f.Kind, Records: make([]wire.StoreRecord, 0, len(list))}
		for _, r := range list {
			n.Records = append(n.Records, ToWire(store.Change{Record: r}))
		}
		b.Tell(link.News+" "+f.Kind, n)
	}
	f.Apply = func(c store.Change, now time.Time) {
		apply(c, now)
		if reads() {
			b.Tell(link.News+" "+f.Kind, wire.News{Kind: f.Kind, Records: []wire.StoreRecord{ToWire(c)}})
		}
	}
	f.Settle = func() time.Duration {
		if reads() {
			return settleReader
		}
		return settleOthers
	}
	f.Wait = func() time.Duration {
		if reads() {
			return waitReader
		}
		return waitOthers
	}
	b.Handle(link.News+" "+f.Kind, func(_ context.Context, m link.Frame) (string, any, error) {
		var n wire.News
		if err := m.Decode(&n); err != nil {
			return "", nil, err
		}
		if n.Kind == f.Kind {
			for _, w := range n.Records {
				apply(FromWire(w), time.Now())
			}
		}
		return "", nil, nil
	})
	return f
}
