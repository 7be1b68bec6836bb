package batch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bulrushspoke/entry/internal/turn"
	"bulrushspoke/internal/workspace"
)

// onlyPeers are the peers of an entry that runs alone.
type onlyPeers struct{ member }

func (onlyPeers) Share(time.Time) float64 { return 1 }

const jobItems = 24

// noMetrics drops what is recorded.
type noMetrics struct{}

func (noMetrics) Add(int64, ...string)           {}
func (noMetrics) Record(string, string, float64) {}

// workspaceOf returns the workspace of a job, which is named for it.
func workspaceOf(job string) workspace.Workspace {
	return workspace.Workspace{Name: strings.TrimRight(job, "0123456789")}
}

// Guards against a workspace that gets fewer slots because another one has more jobs, and against items that are started twice
// or never when jobs start each other's items, and slots that stay idle for a job that has no use for them.
func TestJobsOfWorkspacesTakeTurns(t *testing.T) {
	for _, fair := range []bool{false, true} {
		e := newEngine(t, 1)
		e.gap = 10 * time.Millisecond
		r, _, withWorkspaces := newWorkspaceRig(t, e)
		m, _ := r.manager("a", "a1")
		if fair {
			turns := turn.New(turn.Options{
				Name: "a", Catalog: m.Catalog, Tracker: m.Tracker, Peers: onlyPeers{member{mesh: r.mesh, name: "a"}},
				Waits: noMetrics{}, Refused: noMetrics{}, Logger: discardLogger,
			})
			m.Turns = turns
		}
		withWorkspaces(m, workspace.Entry{Workspace: workspaceOf("big")}, workspace.Entry{Workspace: workspaceOf("small")},
			workspace.Entry{Workspace: workspaceOf("unfit")})
		ids := func(job string) []string {
			var l []string
			for i := range jobItems {
				l = append(l, fmt.Sprintf("%s.%d-4", job, i))
			}
			return l
		}
		r.submitAs(m, workspaceOf("unfit"), "unfit", payloadFor(1, 2, "unfit-4")) // no engine has the weight version
		jobs := []string{"big0", "big1", "big2", "big3", "small"}
		for _, id := range jobs {
			if id == "small" {
				for len(e.started()) < 8 {
					time.Sleep(time.Millisecond)
				}
			}
			r.submitAs(m, workspaceOf(id), id, payloadFor(jobItems, 1, ids(id)...))
		}
		for _, id := range jobs {
			checkTexts(t, r.collectAs(m, workspaceOf(id), id, jobItems), ids(id)...)
		}
		last, starts := 0, e.started()
		for i, s := range starts {
			if strings.HasPrefix(s, "small") {
				last = i
			}
		}
		t.Logf("fair=%t: the last item of the small workspace is start %d of %d", fair, last, len(starts))
		// With half of the slots it would be the start after about 16 and twice the items.
		if fair && (last > 3*jobItems || len(starts) != len(jobs)*jobItems) {
			t.Errorf("the last item of the small workspace is start %d of %d", last, len(starts))
		}
	}
}
