package rig

import (
	"encoding/json"
	"os"
	"path/filepath"

	"bulrushspoke/wire"
)

// Tokens, profiles and names that every fleet has.
const (
	LiveToken     = "token-of-a-caller"
	LedgerToken   = "token-of-the-ledger"
	TrainerToken  = "token-of-a-trainer"
	OperatorToken = "token-of-an-operator"

	Model   = "plan"
	Service = "ledger"

	secret = "secret-of-the-fleet"
)

// Profiles returns the configuration of a fleet.
func Profiles(staleness int) []wire.Profile {
	return []wire.Profile{
		{Name: "live", Class: "live", Deadline: "30s", Tokens: 4096, Concurrency: 256, Hedge: true},
		{Name: "ledger", Class: "live", Once: true, Deadline: "10s", Tokens: 1, Concurrency: 256},
		{Name: "train", Class: "train", Staleness: staleness, Deadline: "10m", Tokens: 65536, Concurrency: 4096},
	}
}

// identity is an entry's settings for a bearer token.
type identity struct {
	Token     string `json:"token"`
	Workspace string `json:"workspace"`
	Profile   string `json:"profile"`
	Role      string `json:"role"`
}

func identities() []identity {
	return []identity{
		{Token: LiveToken, Workspace: "farm", Profile: "live", Role: "caller"},
		{Token: LedgerToken, Workspace: "farm", Profile: "ledger", Role: "caller"},
		{Token: TrainerToken, Workspace: "lab", Profile: "train", Role: "trainer"},
		{Token: OperatorToken, Workspace: "ops", Profile: "live", Role: "operator"},
	}
}

// server is a daemon's settings for a server.
type server struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	URL     string `json:"url"`
	Slots   int    `json:"slots"`
	Fencing *bool  `json:"fencing,omitempty"`
}

// write stores settings as <name>.json and returns the path.
func (r *Rig) write(name string, settings any) (string, error) {
	text, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(r.dir, name+".json")
	return path, os.WriteFile(path, text, 0o600)
}
