// Package profile checks the configuration document, which holds all profiles.
//
// # Usage
//
//	doc, err := profile.Parse(text)
//	limit := profile.Deadline(doc.Profiles[0])
//
// Parse fills in the defaults of omitted fields. Its errors are *settings.Error: they name the place, the value and
// what is allowed.
package profile

import (
	_ "embed" // the schema
	"encoding/json"
	"fmt"
	"time"

	"bulrushspoke/internal/settings"
	"bulrushspoke/wire"
)

// Schema is the JSON schema of the document.
//
//go:embed schema.json
var Schema []byte

// Defaults of omitted fields.
const (
	DefaultDeadline    = "30s"
	DefaultTokens      = 4096
	DefaultConcurrency = 64
	// longestDeadline keeps a request within the time that daemons and claims remember it.
	longestDeadline = 12 * time.Hour
)

// Parse reads a document.
func Parse(text []byte) (wire.Document, error) {
	var d wire.Document
	if err := settings.Parse(text, Schema, &d); err != nil {
		return wire.Document{}, err
	}
	seen := make(map[string]bool, len(d.Profiles))
	for i := range d.Profiles {
		p := &d.Profiles[i]
		fill(p)
		place := fmt.Sprintf("/profiles/%d", i)
		if seen[p.Name] {
			return wire.Document{}, settings.NewError(place+"/name", p.Name, "the name of a profile must be unique")
		}
		seen[p.Name] = true
		if err := check(place, *p); err != nil {
			return wire.Document{}, err
		}
	}
	return d, nil
}

// Check checks a document that was built in this process and returns it with its defaults.
func Check(d wire.Document) (wire.Document, error) {
	d.Profiles = append([]wire.Profile{}, d.Profiles...)
	for i := range d.Profiles {
		fill(&d.Profiles[i])
	}
	text, err := json.Marshal(d)
	if err != nil {
		return wire.Document{}, err
	}
	return Parse(text)
}

func fill(p *wire.Profile) {
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

func check(place string, p wire.Profile) error {
	d, err := time.ParseDuration(p.Deadline)
	if err != nil || d <= 0 || d > longestDeadline {
		return settings.NewError(place+"/deadline", p.Deadline, "a duration above 0 and up to "+longestDeadline.String())
	}
	if p.Once && p.Hedge {
		return settings.NewError(place+"/hedge", "true", "a profile with once must not hedge")
	}
	return nil
}

// Deadline returns the time limit of a request under p, which Parse has checked.
func Deadline(p wire.Profile) time.Duration {
	d, err := time.ParseDuration(p.Deadline)
	if err != nil {
		return 0
	}
	return d
}
