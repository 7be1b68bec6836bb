package logs_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"bulrushspoke/ctl/internal/logs"
)

// jobLines expands lines of the form "SECOND INSTANCE EVENT DETAILS" to log lines of job j; others stay as they are.
func jobLines(lines ...string) string {
	var out strings.Builder
	for _, l := range lines {
		f := strings.SplitN(l, " ", 4)
		if strings.HasPrefix(l, "{") || len(f) < 4 {
			out.WriteString(l + "\n")
			continue
		}
		job := `"job":"j",`
		if len(f[2]) == 3 {
			job = ""
		}
		out.WriteString(`{"time":"2026-12-05T18:44:` + f[0] + `Z","level":"INFO","msg":"m","name":"` + f[1] + `","event":` + f[2] + `,` + job + f[3] + "}\n")
	}
	return out.String()
}

const (
	startA  = `00 a 100 "inc":"a1"`
	startB  = `00 b 100 "inc":"b1"`
	accept  = `10 a 1040 "items":3,"owner":"a","epoch":1`
	ownRec0 = `11 a 1045 "record":0,"first":0,"results":2,"total":2`
	ownRec1 = `12 a 1045 "record":1,"first":2,"results":1,"total":3`
	dropped = `{"level":"WARN","msg":"log lines dropped","count":4}`
)

func record(n int, at, writer string, epoch, first, results int, named ...string) string {
	return strings.Join([]string{
		string(rune('0' + n)), at, writer, string(rune('0' + epoch)), string(rune('0' + first)),
		string(rune('0' + results)), strings.Join(named, "+"),
	}, " ")
}

// Guards against a verdict that the lines do not bear out: a contradiction that is overlooked, one that is reported although
// lines are missing or entries agree, and missing lines that are not mentioned.
func TestJob(t *testing.T) {
	rec0, rec1 := record(0, "11", "a/a1", 1, 0, 2, "a"), record(1, "12", "a/a1", 1, 2, 1, "a")
	tests := map[string]struct {
		a, b           []string // lines of two files
		records        []string
		verdict        string
		contradictions []string
		gaps           []string
	}{
		"one owner": {
			a:       []string{startA, accept, ownRec0, ownRec1, `13 a 1044 "owner":"a","epoch":1`},
			records: []string{rec0, rec1},
			verdict: "log consistent: 2 records, 3 results of 3 items",
		},
		"late write of the former owner": {
			a: []string{startA, accept, ownRec0, `14 a 1043 "owner":"b","epoch":2`},
			b: []string{
				startB, `12 b 1042 "epoch":2`, `12 b 1056 "epoch":2,"ended":false,"records":1,"results":2`,
				`13 b 1055 "record":1,"first":2,"results":1,"writer":"a1","epoch":1,"from":"conflict"`,
				`13 b 1045 "record":1,"first":2,"results":1,"total":3`,
				`14 b 1045 "record":2,"first":3,"results":0,"total":3`,
			},
			records: []string{rec0, record(1, "13", "a/a1", 1, 2, 1, "b"), record(2, "14", "b/b1", 2, 3, 0, "b")},
			verdict: "log consistent: 3 records, 3 results of 3 items",
		},
		"record applied twice": {
			a: []string{
				startA, accept, `11 a 1055 "record":0,"first":0,"results":2,"writer":"a1","epoch":1,"from":"read"`,
				`12 a 1057 "cause":"repeated item","record":0,"request":"i","position":2`,
				`12 a 1045 "record":0,"first":0,"results":2,"total":4`, `13 a 1045 "record":2,"first":4,"results":1,"total":5`,
			},
			b: []string{
				startB, `14 b 1057 "cause":"missing record","record":1,"next":2`, `15 b 1057 "cause":"missing record","record":1,"next":2`,
			},
			records: []string{record(0, "11", "a/a1", 1, 0, 2, "a"), "1 unnamed", record(2, "13", "a/a1", 1, 4, 1, "a")},
			verdict: "log inconsistent: 3 records, 3 results of 3 items in the 2 that lines name, 4 contradictions",
			contradictions: []string{
				"record 0 ends at position 2, but a has 4 results at 18:44:12.000",
				"the records end at position 5, the job has 3 items",
				"reported by b at 18:44:14.000: missing record next=2 record=1",
				"reported by a at 18:44:12.000: repeated item position=2 record=0 request=i",
			},
			gaps: []string{
				"no line tells the content of record 1", "a: the lines end at 18:44:13.000, before those of the job, without a stop: it was killed, or later lines are missing",
			},
		},
		"record applied twice by an earlier version": {
			a:       []string{startA, accept, `11 a 1045 "record":0,"results":2,"total":4`},
			records: []string{record(0, "11", "a/a1", 1, 2, 2, "a")},
			verdict: "log inconsistent: 1 records, 2 results of 3 items, 2 contradictions",
			contradictions: []string{
				"record 0 begins at position 2, the records before it end at 0", "the records end at position 4, the job has 3 items",
			},
		},
		"two contents and two writers": {
			a: []string{startA, accept, ownRec0, ownRec1},
			b: []string{
				startB, `12 b 1055 "record":0,"first":0,"results":1,"writer":"a1","epoch":1,"from":"read"`,
				`12 b 1055 "record":1,"first":2,"results":1,"writer":"b1","epoch":1,"from":"read"`,
			},
			records: []string{record(0, "11", "a/a1", 1, 0, 1, "a", "b"), record(1, "12", "b/b1", 1, 2, 1, "a", "b")},
			verdict: "log inconsistent: 2 records, 2 results of 3 items, 4 contradictions",
			contradictions: []string{
				"record 0: b at 18:44:12.000 says 1 results from position 0, written by a/a1 at epoch 1; a at 18:44:11.000 says 2 results from position 0, written by a/a1 at epoch 1",
				"record 1: b at 18:44:12.000 says 1 results from position 2, written by b/b1 at epoch 1; a at 18:44:12.000 says 1 results from position 2, written by a/a1 at epoch 1",
				"record 1 begins at position 2, the records before it end at 1",
				"epoch 1 has two writers, a/a1 of record 0 and b/b1 of record 1",
			},
		},
		"two processes of one instance": {
			a: []string{
				startA, accept, ownRec0, `12 a 102 "x":1`, `12 a 100 "inc":"a2"`, `13 a 1045 "record":1,"first":2,"results":1,"total":3`,
				`14 a 1055 "record":2,"first":3,"results":0,"writer":"a2","epoch":1,"from":"read"`,
			},
			records:        []string{rec0, record(1, "13", "a/a2", 0, 2, 1, "a"), record(2, "14", "a/a2", 1, 3, 0, "a")},
			verdict:        "log inconsistent: 3 records, 3 results of 3 items, 1 contradictions",
			contradictions: []string{"epoch 1 has two writers, a/a1 of record 0 and a/a2 of record 2"},
		},
		"load with other results": {
			a:       []string{startA, accept, ownRec0},
			b:       []string{startB, `11 b 1056 "epoch":1,"ended":true,"records":1,"results":4`},
			records: []string{rec0},
			verdict: "log inconsistent: 1 records, 2 results of 3 items, 2 contradictions",
			contradictions: []string{
				"b loads 4 results at 18:44:11.000, the job has 3 items",
				"b loads 1 records with 4 results at 18:44:11.000, the lines name 2 results in them",
			},
		},
		"dropped and cut lines": {
			a: []string{
				dropped, startA, accept, dropped, `{"time":"2026-12-05T18:44:11Z","level":"INFO","ms`,
				`12 a 1045 "record":1,"first":2,"results":1,"total":4`, "unrelated text",
			},
			b: []string{
				startB, `12 b 1055 "record":1,"first":2,"results":1,"writer":"x9","epoch":1,"from":"read"`,
				`20 b 1030 "status":200`, `21 b 102 "x":1`, dropped,
			},
			records: []string{"0 unnamed", record(1, "12", "/x9", 1, 2, 1, "a", "b")},
			verdict: "no contradiction found, but lines may be missing: 2 records, 1 results of 3 items in the 1 that lines name",
			gaps: []string{
				"a.log: log lines dropped: 4, between 18:44:10.000 and 18:44:12.000",
				"a.log: incomplete lines: 1, between 18:44:10.000 and 18:44:12.000",
				"no line tells which instance the writer x9 is a process of",
				"no line tells the content of record 0",
				"a: the lines end at 18:44:12.000, before those of the job, without a stop: it was killed, or later lines are missing",
			},
		},
		"killed, without a start, and without lines": {
			a: []string{startA, accept, ownRec0, `12 a 100 "inc":"a2"`, `13 a 1043 "owner":"c","epoch":2`},
			b: []string{`13 b 1056 "epoch":2,"ended":false,"records":2,"results":3`},
			records: []string{
				rec0, "1 unnamed",
			},
			verdict: "no contradiction found, but lines may be missing: 2 records, 2 results of 3 items in the 1 that lines name",
			gaps: []string{
				"no line tells the content of record 1",
				"a starts at 18:44:12.000 without a stop: it was killed, and its last lines may be missing",
				"b: no line tells its start before the job; earlier lines may be missing",
				"c has owned the job, and there is no line of it",
			},
		},
		"no record": {
			a:       []string{startA, accept},
			verdict: "no line names a record",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Chdir(t.TempDir())
			for file, lines := range map[string][]string{"a.log": test.a, "b.log": test.b} {
				if err := os.WriteFile(file, []byte(jobLines(lines...)), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			log, err := logs.Job([]string{"b.log", "a.log"}, "j")
			if err != nil {
				t.Fatal(err)
			}
			var records []string
			for _, r := range log.Records {
				if len(r.Named) == 0 {
					records = append(records, string(rune('0'+r.Number))+" unnamed")
					continue
				}
				records = append(records, record(r.Number, r.Time.Format("05"), r.Writer+"/"+r.Process, r.Epoch, r.First, r.Results, r.Named...))
			}
			got := [][]string{records, log.Contradictions, log.Gaps, {log.Verdict}}
			for i, want := range [][]string{test.records, test.contradictions, test.gaps, {test.verdict}} {
				if d := cmp.Diff(want, got[i], cmpopts.SortSlices(strings.Compare), cmpopts.EquateEmpty()); d != "" {
					t.Errorf("(-want +got):\n%s", d)
				}
			}
		})
	}
}

// Guards against a summary of a request, which has no records.
func TestJobOfRequest(t *testing.T) {
	file := filepath.Join(t.TempDir(), "a.log")
	if err := os.WriteFile(file, []byte(jobLines(startA, `10 a 1031 "request":"r","status":502`)), 0o600); err != nil {
		t.Fatal(err)
	}
	if log, err := logs.Job([]string{file}, "r"); err != nil || log != nil {
		t.Errorf("%v, %v", log, err)
	}
	if _, err := logs.Job([]string{file + ".absent"}, "j"); err == nil {
		t.Error("no error for a missing file")
	}
}
