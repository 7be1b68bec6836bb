package batch

import (
	"testing"
	"time"

	"bulrushspoke/internal/catalog"
)

// Guards against a text that is taken for complete because engines died, and against one that is never complete.
func TestEndOfText(t *testing.T) {
	start := time.Now()
	first, restarted, second := catalog.Server{ID: "a", StartedAt: 1}, catalog.Server{ID: "a", StartedAt: 2}, catalog.Server{ID: "b"}
	type end struct {
		server catalog.Server
		after  int
		at     time.Duration // when the request was sent and its response ended
		gone   bool          // the server does not answer the next request
	}
	for _, c := range []struct {
		name string
		ends []end
		want bool // after the last end
	}{
		{"one end", []end{{server: first, after: 3}}, false},
		{"the same server", []end{{server: first, after: 3}, {server: first, after: 3}}, true},
		{"the same server goes on", []end{{server: first, after: 3}, {server: first, after: 4}}, false},
		{"another incarnation", []end{{server: first, after: 3}, {server: restarted, after: 3}}, false},
		{"the same server, late", []end{{server: first, after: 3}, {server: first, after: 3, at: 2 * confirmTime}}, false},
		{"two servers", []end{{server: first, after: 3}, {server: second, after: 3}}, false},
		{"late three times", []end{
			{server: first, after: 3}, {server: first, after: 3, at: 2 * confirmTime}, {server: first, after: 3, at: 4 * confirmTime},
		}, true},
		{"gone each time", []end{
			{server: first, after: 3, gone: true},
			{server: second, after: 3, gone: true},
			{server: first, after: 3, gone: true},
			{server: second, after: 3},
		}, false},
		{"an empty text", []end{{server: first}, {server: first}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var j Job
			var it item
			got := false
			for _, e := range c.ends {
				got = j.endText(&it, e.server, start.Add(e.at), e.after, start.Add(e.at))
				if e.gone {
					j.endingUnconfirmed(&it, e.server, true)
				}
			}
			if got != c.want {
				t.Errorf("complete: %t, want %t", got, c.want)
			}
		})
	}
}
