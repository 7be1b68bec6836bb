package logs_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"bulrushspoke/ctl/internal/logs"
)

const first = `{"time":"2026-12-04T10:00:00Z","level":"INFO","msg":"configuration applied","name":"a","event":1020,"revision":7}
{"time":"2026-12-04T10:00:40Z","level":"INFO","msg":"server is gone","name":"a","event":133,"server":"s1"}
{"time":"2026-12-04T10:00:40Z","level":"INFO","msg":"server is gone","name":"a","event":133,"server":"s2"}
collector: {"time":"2026-12-04T10:00:41Z","level":"INFO","msg":"attempt of an item ended","name":"a","event":1046,"request":"i1","job":"j","server":"s1"}
{"time":"2026-12-04T10:00:41Z","level":"INFO","msg":"attempt of an item ended","name":"a","event":1046,"request":"i2","job":"j","server":"s2"}
no line of a program
{"time":"2026-12-04T10:00:42Z","level":"WARN","msg":"object store does not answer","name":"a","event":120}
`

const second = `{"time":"2026-12-04T10:00:39Z","level":"INFO","msg":"batch job accepted","name":"b","event":1040,"job":"j","items":2}
{"time":"2026-12-04T10:00:43Z","level":"WARN","msg":"object store does not answer","name":"c","event":120}
{"time":"2026-12-04T10:00:44Z","level":"INFO","msg":"request refused or failed","name":"b","event":1031,"request":"r","status":502,"servers":["s1","s2"]}
`

// Guards against leaving out lines that explain the failure, and against including lines about other requests.
func TestFind(t *testing.T) {
	dir := t.TempDir()
	var files []string
	for name, text := range map[string]string{"a.log": first, "b.log": second} {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		files = append(files, path)
	}
	for id, want := range map[string][]string{
		"i1":     {"10:00:39 b 1040 *", "10:00:40 a 133", "10:00:41 a 1046 *", "10:00:42 a 120"},
		"r":      {"10:00:44 b 1031 *"},
		"s9":     nil,
		"absent": nil,
	} {
		lines, err := logs.Find(files, id)
		if err != nil {
			t.Fatal(err)
		}
		var got []string
		for _, l := range lines {
			mark := ""
			if l.Match {
				mark = " *"
			}
			got = append(got, fmt.Sprintf("%s %s %d%s", l.Time.Format("15:04:05"), l.Name, l.Event, mark))
		}
		if d := cmp.Diff(want, got); d != "" {
			t.Errorf("%s (-want +got):\n%s", id, d)
		}
	}
	if _, err := logs.Find([]string{filepath.Join(dir, "none")}, "r"); err == nil {
		t.Error("no error for a missing file")
	}
}
