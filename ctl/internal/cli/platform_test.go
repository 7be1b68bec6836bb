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
