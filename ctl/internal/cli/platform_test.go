package cli

import (
	"testing"

	"bulrushspoke/internal/node"
	"bulrushspoke/internal/settings"
	"bulrushspoke/platform/platformtest"
)

// Guards against settings of the platform that are taken for our own, or not checked.
func TestCheckInstance(t *testing.T) {
	s := node.Settings{
		Name: "a", Domain: "d", Region: "r", IP: "10.0.0.1", Ports: node.Ports{First: 1, Last: 2}, Memory: 1 << 28,
		Store: node.Store{Address: "10.0.0.2:1", Value: 1 << 20},
	}
	expect(t, 0, "instance valid", "check", write(t, string(platformtest.EncodeSettings(s))))
	s.IP = ""
	expect(t, settings.ExitCode, "ip: is missing", "check", write(t, string(platformtest.EncodeSettings(s))))
}

// Guards against an explanation that asks an entry although logs are given, and one that is empty without a word.
func TestExplainFromLogs(t *testing.T) {
	log := write(t, `{"time":"2026-12-04T10:00:44Z","msg":"request refused or failed","name":"b","event":1031,"request":"r","status":502}`)
	expect(t, 0, "* 10:00:44.000 b 1031 request refused or failed request=r status=502", "explain", "r", "--log", log)
	expect(t, exitAbsent, "no line of the logs names x", "explain", "x", "--log", log)
}
