package entry

import (
	"log/slog"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bulrushspoke/daemon/internal/queue"
	"bulrushspoke/wire"
)

// recorder records the order of its calls.
type recorder struct{ got []string }

func (r *recorder) Offer(t wire.Target)   { r.got = append(r.got, t.Model) }
func (r *recorder) SetPlace(p wire.Place) { r.got = append(r.got, p.Server) }
func (r *recorder) All() []wire.Target    { return nil }

// Guards against a target that starts its delay before the position of the engine is stored, and against positions of
// servers of other daemons.
func TestPlacesBeforeTargets(t *testing.T) {
	r := &recorder{}
	l := New(Config{}, nil, map[string]*queue.Queue{"e1": {}}, r, nil, slog.New(slog.DiscardHandler))
	l.notice(wire.Notice{
		Targets: []wire.Target{{Model: "m", Version: 2, Fence: 9}},
		Places:  []wire.Place{{Server: "e1", Servers: 2}, {Server: "other", Servers: 2}},
	})
	if diff := cmp.Diff([]string{"e1", "m"}, r.got); diff != "" {
		t.Fatalf("calls differ (-want +got):\n%s", diff)
	}
}
