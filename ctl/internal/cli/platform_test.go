package cli

import (
	"testing"

	"bulrushspoke/internal/node"
	"bulrushspoke/internal/settings"
	"bulrushspoke/platform/platformtest"
)

// Guards against platform settings that are treated as an entry or daemon settings file, or are not validated.
func TestCheckInstance(t *testing.T) {
	s := node.Settings{
		Name: "a", Domain: "d", Region: "r", IP: "10.0.0.1", Ports: node.Ports{First: 1, Last: 2}, MemoryBytes: 1 << 28,
		Store: node.Store{Address: "10.0.0.2:1", MaxValueBytes: 1 << 20},
	}
	expectRun(t, 0, "instance valid", "check", writeFile(t, string(platformtest.EncodeSettings(s))))
	s.IP = ""
	expectRun(t, settings.ExitCode, "ip: is missing", "check", writeFile(t, string(platformtest.EncodeSettings(s))))
}

// Guards against asking an entry although log files are given, and against empty output without an error.
func TestExplainFromLogs(t *testing.T) {
	log := writeFile(t, `{"time":"2026-12-04T10:00:44Z","msg":"request refused or failed","name":"b","event":1031,"request":"r","status":502}`)
	expectRun(t, 0, "* 10:00:44.000 b 1031 request refused or failed request=r status=502", "explain", "r", "--log", log)
	expectRun(t, exitNotFound, "no log line mentions x", "explain", "x", "--log", log)
}

// Guards against a job whose records are not summarized, and against output that is not one JSON document.
func TestExplainJob(t *testing.T) {
	log := writeFile(t, `{"time":"2026-12-04T10:00:40Z","msg":"process started","name":"b","event":100,"inc":"b1"}
{"time":"2026-12-04T10:00:44Z","msg":"ownership of a batch job taken","name":"b","event":1042,"job":"j","epoch":2}
{"time":"2026-12-04T10:00:45Z","msg":"results listed","name":"b","event":1045,"job":"j","record":0,"first":0,"results":8,"total":8}
{"time":"2026-12-04T10:00:46Z","msg":"log of a batch job is inconsistent","name":"b","event":1057,"job":"j","cause":"missing record","record":1,"next":2}
`)
	expectRun(t, 0, "RECORD TIME WRITER PROCESS EPOCH FIRST RESULTS NAMED BY "+
		"- 10:00:44.000 b 2 ownership of a batch job taken: epoch=2 job=j "+
		"0 10:00:45.000 b b1 2 0 8 b 1 - - - - - - no line "+
		"log inconsistent: 2 records, 8 results in the 1 that lines name, 1 contradictions "+
		"contradiction: reported by b at 10:00:46.000: missing record next=2 record=1 "+
		"missing lines: no line tells the content of record 1", "explain", "j", "--log", log)
	expectRun(t, 0, `"log": { "verdict": "log inconsistent: 2 records, 8 results in the 1 that lines name, 1 contradictions", "items": 0, "records": [ {`,
		"--json", "explain", "j", "--log", log)
}
