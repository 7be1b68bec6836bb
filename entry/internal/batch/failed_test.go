package batch

import (
	"net/http"
	"strings"
	"testing"

	"bulrushspoke/internal/job"
)

// Guards against an item that can never be done and runs again under each owner of its job, and against failures that are
// counted anew by each owner.
func TestFailuresOutliveOwner(t *testing.T) {
	for name, status := range map[string]int{
		"rejected": http.StatusUnprocessableEntity, "failing": http.StatusInternalServerError,
	} {
		for _, crash := range []bool{false, true} {
			if crash && status == http.StatusInternalServerError {
				continue // counted up to the last checkpoint only
			}
			t.Run(name+map[bool]string{false: " handed over", true: " crashed"}[crash], func(t *testing.T) {
				t.Parallel()
				bad, good := "g-1", "g-1000000" // of one group, which is never complete
				e := newEngine(t, 1)
				e.answer = func(id string, _ int) int {
					if id == bad {
						return status
					}
					return 0
				}
				runs := func() int {
					e.mu.Lock()
					defer e.mu.Unlock()
					return e.runs[bad]
				}
				r := newRig(t, e)
				r.route.MaxAttempts = 3
				names := []string{"a", "b", "c"}
				managers := make(map[string]*Manager)
				stops := make(map[string]func())
				for _, n := range names {
					m, stop := r.manager(n, n+"1")
					managers[n], stops[n] = m, stop
				}
				r.submit(managers["a"], "j", payload(1, bad, good))
				await(t, "the item fails", func() bool { return runs() > 0 })
				for n, owner := range names[:2] {
					j := managers[owner].local("j")
					if j == nil {
						t.Fatalf("entry %s does not own the job", owner)
					}
					if n > 0 || status == http.StatusUnprocessableEntity {
						await(t, "the item is given up", func() bool { return itemDone(j, bad) })
					}
					if crash {
						await(t, "the item is listed", func() bool {
							j.mu.Lock()
							defer j.mu.Unlock()
							return len(j.results) > 0
						})
						stops[owner]()
						r.cut(owner, true)
					} else {
						for _, other := range names[n+2:] {
							r.cut(other, true)
						}
						managers[owner].Handover(t.Context())
						for _, other := range names[n+2:] {
							r.cut(other, false)
						}
						r.cut(owner, true)
					}
					if reply := managers[names[n+1]].Results(t.Context(), nobody, "j", 0, 0); reply.Status != http.StatusOK {
						t.Fatalf("the next owner replies with %d %s", reply.Status, reply.Cause)
					}
				}
				results := r.collect(managers["c"], "j", 1)
				if results[0].Item != bad || results[0].State != job.Terminated || strings.TrimSpace(results[0].Text) != "" {
					t.Errorf("the first result is %+v", results[0])
				}
				most := 1
				if status == http.StatusInternalServerError {
					most = r.route.MaxAttempts + len(names) - 1 // a run may be in flight at each handover
				}
				if n := runs(); n > most {
					t.Errorf("the item ran %d times, want at most %d", n, most)
				}
			})
		}
	}
}
