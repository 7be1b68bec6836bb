package batch

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"bulrushspoke/internal/event"
	"bulrushspoke/internal/linelog"
	"bulrushspoke/wire"
)

// Guards against a repeated item that no line tells of, since the entry has loaded the job after its end.
func TestRepeatedItemOfEndedJobIsReported(t *testing.T) {
	for name, ended := range map[string]bool{"open": false, "ended": true} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, newEngine(t, 1))
			m, _ := r.manager("a", "a1")
			var lines bytes.Buffer
			w := linelog.New(&lines)
			m.Logger = slog.New(slog.NewJSONHandler(w, nil))
			r.putJob(m, ended, "g-1", "h-2")
			r.putRecord(0, wire.JobRecord{Writer: "gone1", Epoch: 1}, "g-1")
			r.putRecord(1, wire.JobRecord{Writer: "gone2", Epoch: 2, First: 1}, "g-1", "h-2")
			m.Results(t.Context(), nobody, "j", 0, 0)
			w.Close()
			if got := r.faults.kinds[faultRepeated]; got != 1 {
				t.Errorf("%d repeated items are reported, want 1", got)
			}
			var reports []string
			for line := range strings.Lines(lines.String()) {
				if strings.Contains(line, event.LogInconsistent.Text()) {
					reports = append(reports, line)
				}
			}
			want := `"job":"j","cause":"repeated item","record":1,"request":"g-1","position":1,"earlier":0,"writer":"gone2","epoch":2}`
			if len(reports) != 1 || !strings.Contains(reports[0], want) {
				t.Errorf("reports %q, want one with %s", reports, want)
			}
		})
	}
}
