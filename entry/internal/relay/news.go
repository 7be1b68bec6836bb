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
	apply := f.Apply
	f.Apply = func(c store.Change, now time.Time) {
		apply(c, now)
		if reads() {
			b.Tell(link.News, wire.News{Kind: f.Kind, Records: []wire.StoreRecord{ToWire(c)}})
		}
	}
	f.Settle = func() time.Duration {
		if reads() {
			return settleReader
		}
		return settleOthers
	}
	b.Handle(link.News, func(_ context.Context, m link.Frame) (string, any, error) {
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
