package rig

import (
	"encoding/json"
	"os"
	"path/filepath"

	"bulrushspoke/wire"
)

// Tokens and names that all fleets use.
const (
	LiveToken     = "token-of-a-caller"
	LedgerToken   = "token-of-the-ledger"
	TrainerToken  = "token-of-a-trainer"
	OperatorToken = "token-of-an-operator"

	Model   = "plan"
	Service = "ledger"

	peerSecret = "secret-of-the-fleet"
)

// Profiles returns the profiles of a fleet; staleness is the bound of the training profile, in weight versions.
func Profiles(staleness int) []wire.Profile {
	return []wire.Profile{
		{Name: "live", Class: "live", Deadline: "30s", Tokens: 4096, Concurrency: 256, Hedge: true},
		{Name: "ledger", Class: "live", Once: true, Deadline: "10s", Tokens: 1, Concurrency: 256},
		{Name: "train", Class: "train", Staleness: staleness, Deadline: "10m", Tokens: 65536, Concurrency: 4096},
	}
}

// tokenSettings are an entry's settings for a bearer token.
type tokenSettings struct {
	Token     string `json:"token"`
	Workspace string `json:"workspace"`
	Profile   string `json:"profile"`
	Role      string `json:"role"`
}

func tokens() []tokenSettings {
	return []tokenSettings{
		{Token: LiveToken, Workspace: "farm", Profile: "live", Role: "caller"},
		{Token: LedgerToken, Workspace: "farm", Profile: "ledger", Role: "caller"},
		{Token: TrainerToken, Workspace: "lab", Profile: "train", Role: "trainer"},
		{Token: OperatorToken, Workspace: "ops", Profile: "live", Role: "operator"},
	}
}

// serverSettings are a daemon's settings for a server.
type serverSettings struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	URL     string `json:"url"`
	Slots   int    `json:"slots"`
	Fencing *bool  `json:"fencing,omitempty"`
}

// writeSettings writes settings to <name>.json and returns its path.
func (r *Rig) writeSettings(name string, settings any) (string, error) {
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(r.dir, name+".json")
	return path, os.WriteFile(path, text, 0o600)
}
