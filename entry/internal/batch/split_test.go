package batch

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"bulrushspoke/entry/internal/turn"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/internal/workspace"
)

// drawing draws random numbers from a seeded source.
type drawing struct {
	mu sync.Mutex
	r  *rand.Rand
}

// IntN implements Random.
func (d *drawing) IntN(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.r.IntN(n)
}

// Guards against a split route whose items all go to its first service, whatever the weights, and against items that wait for
// one of its services while another has free servers.
func TestItemsFollowSplitRoute(t *testing.T) {
	const items = 120
	for _, c := range []struct {
		name         string
		weight       int // of the new service, of 100
		hangs, empty bool
		least, most  int // items that the new service runs
	}{
		{name: "a tenth", weight: 10, least: 2, most: 30},
		{name: "half", weight: 50, least: 20, most: 90},
		{name: "nine tenths to a service that hangs", weight: 90, hangs: true, most: items},
		{name: "nine tenths to a service without servers", weight: 90, empty: true},
		{name: "nothing", weight: 0},
	} {
		for _, fair := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, turns %t", c.name, fair), func(t *testing.T) {
				t.Parallel()
				added, other := newEngine(t, 1), newEngine(t, 1)
				added.gap, other.gap = 2*time.Millisecond, 2*time.Millisecond
				if c.hangs {
					added.gap = time.Hour
				}
				r, _, withWorkspaces := newWorkspaceRig(t, other)
				r.route.Shares = []catalog.Share{{Service: "new", Weight: c.weight}, {Service: "v", Weight: 100 - c.weight}}
				m, _ := r.manager("a", "a1")
				m.Random = &drawing{r: rand.New(rand.NewPCG(1, 2))}
				if fair {
					m.Turns = turn.New(turn.Options{
						Name: "a", Catalog: m.Catalog, Tracker: m.Tracker, Peers: onlyPeers{member{mesh: r.mesh, name: "a"}},
						Waits: noMetrics{}, Refused: noMetrics{}, Logger: discardLogger,
					})
				}
				if !c.empty {
					r.engines = []*engine{added}
					s := r.server(0, 60)
					s.ID, s.Service = "new0", "new"
					m.Catalog.ApplyServer(s)
				}
				withWorkspaces(m, workspace.Entry{Workspace: workspaceOf("big")})
				var ids []string
				for i := range items {
					ids = append(ids, fmt.Sprintf("g%d-3", i))
				}
				r.submitAs(m, workspaceOf("big"), "big", payloadFor(items, 1, ids...))
				checkTexts(t, r.collectAs(m, workspaceOf("big"), "big", items), ids...)
				ran := make(map[string]bool)
				for _, start := range added.started() {
					ran[start] = true
				}
				if n := len(ran); n < c.least || n > c.most {
					t.Errorf("the new service ran %d of %d items, want %d to %d", n, items, c.least, c.most)
				}
				if n := len(added.started()) + len(other.started()); !c.hangs && n != items {
					t.Errorf("%d runs of %d items", n, items)
				}
			})
		}
	}
}

// Guards against a job that can move its items, or finds room for a stalled one, only at the first service of a split route.
func TestServicesOfSplitRoute(t *testing.T) {
	r := newRig(t, newEngine(t, 1))
	r.route.Shares = []catalog.Share{{Service: "new", Weight: 1}, {Service: "v", Weight: 9}, {Service: "none", Weight: 0}}
	m, _ := r.manager("a", "a1")
	r.submit(m, "j", payload(1, "g-1"))
	if got := fmt.Sprint(m.local("j").services()); got != "[new v]" {
		t.Errorf("items may run at %s", got)
	}
}
