package meter

import (
	"fmt"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

func scrape(t *testing.T, handler fasthttp.RequestHandler) string {
	t.Helper()
	var ctx fasthttp.RequestCtx
	ctx.Request.SetRequestURI("/metrics")
	handler(&ctx)
	if ctx.Response.StatusCode() != fasthttp.StatusOK {
		t.Fatalf("/metrics: unexpected status %d: %s", ctx.Response.StatusCode(), ctx.Response.Body())
	}
	return string(ctx.Response.Body())
}

// Guards against an unbounded number of workspaces that exhausts the memory of the program and of Prometheus.
func TestLabelValuesAreBounded(t *testing.T) {
	m, handler, err := New("test")
	if err != nil {
		t.Fatalf("new: %v", err)
	}
	h := m.Histogram("wait", "s", "Wait.")
	for i := range 2 * MaxValues {
		h.Record(fmt.Sprintf("t%d", i), "live", 0.01)
	}
	got := strings.Count(scrape(t, handler), "bulrush_test_wait_seconds_count{")
	if got != MaxValues+1 {
		t.Fatalf("%d series, want %d and one for Other", got, MaxValues)
	}
}

// Guards against counts that are recorded under the wrong label value.
func TestCounterCountsByLabel(t *testing.T) {
	m, handler, err := New("test")
	if err != nil {
		t.Fatalf("new: %v", err)
	}
	c := m.Counter("refused", "Refusals.", "code")
	c.Add(2, "busy")
	c.Add(1, "leaving")
	m.Gauge("depth", "Depth.", func() float64 { return 7 })
	out := scrape(t, handler)
	for _, want := range []string{
		`bulrush_test_refused_total{code="busy"} 2`, `bulrush_test_refused_total{code="leaving"} 1`, `bulrush_test_depth 7`,
	} {
		if !strings.Contains(out, want) {
			t.Fatalf("no line %q in:\n%s", want, out)
		}
	}
}
