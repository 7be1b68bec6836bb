// Package profile parses and validates the configuration document, which holds all profiles.
//
// # Usage
//
//	doc, err := profile.Parse(text)
//	limit := profile.Deadline(doc.Profiles[0])
//
// Parse fills in the defaults of omitted fields. A document that is invalid yields a *settings.Error with the path, the
// value and what is allowed.
package profile

import (
	_ "embed" // for go:embed
	"encoding/json"
	"fmt"
	"time"

	"bulrushspoke/internal/settings"
	"bulrushspoke/wire"
)

// Schema is the JSON schema of the configuration document.
//
//go:embed schema.json
var Schema []byte

// Defaults of omitted fields.
const (
	DefaultDeadline    = "30s"
	DefaultTokens      = 4096
	DefaultConcurrency = 64
	// maxDeadline ensures that daemons and claims still remember a request when its deadline passes.
	maxDeadline = 12 * time.Hour
)

// Parse parses and validates a document and fills in defaults.
func Parse(text []byte) (wire.Document, error) {
	var d wire.Document
	if err := settings.Parse(text, Schema, &d); err != nil {
		return wire.Document{}, err
	}
	seen := make(map[string]bool, len(d.Profiles))
	for i := range d.Profiles {
		p := &d.Profiles[i]
		setDefaults(p)
		path := fmt.Sprintf("/profiles/%d", i)
		if seen[p.Name] {
			return wire.Document{}, settings.NewError(path+"/name", p.Name, "the name of a profile must be unique")
		}
		seen[p.Name] = true
		if err := validate(path, *p); err != nil {
			return wire.Document{}, err
		}
	}
	return d, nil
}

// Validate validates a document that was built in memory and returns a copy with the defaults filled in.
func Validate(d wire.Document) (wire.Document, error) {
	d.Profiles = append([]wire.Profile{}, d.Profiles...)
	for i := range d.Profiles {
		setDefaults(&d.Profiles[i])
	}
	text, err := json.Marshal(d)
	if err != nil {
		return wire.Document{}, err
	}
	return Parse(text)
}

func setDefaults(p *wire.Profile) {
	if p.Deadline == "" {
		p.Deadline = DefaultDeadline
	}
	if p.Tokens == 0 {
		p.Tokens = DefaultTokens
	}
	if p.Concurrency == 0 {
		p.Concurrency = DefaultConcurrency
	}
}

func validate(path string, p wire.Profile) error {
	d, err := time.ParseDuration(p.Deadline)
	if err != nil || d <= 0 || d > maxDeadline {
		return settings.NewError(path+"/deadline", p.Deadline, "a duration above 0 and up to "+maxDeadline.String())
	}
	if p.Once && p.Hedge {
		return settings.NewError(path+"/hedge", "true", "a profile with once must not hedge")
	}
	return nil
}

// Deadline returns the time limit of a request under p, which must come from Parse or Check.
func Deadline(p wire.Profile) time.Duration {
	d, err := time.ParseDuration(p.Deadline)
	if err != nil {
		return 0
	}
	return d
}
