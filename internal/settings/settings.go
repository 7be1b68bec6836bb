// Package settings reads the JSON settings file of a program and checks it against the program's schema.
//
// # Usage
//
//	s := defaults()
//	err := settings.Load(path, schema, &s)
//
// The target holds the defaults before the call. An unknown field, a wrong unit or a value out of range gives an
// *Error that names the path, the value and what is allowed. Durations are strings with their unit, such as "250ms".
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// ExitCode is the exit status of a program whose settings are invalid (EX_CONFIG of sysexits.h).
const ExitCode = 78

// Error tells which setting is invalid.
type Error struct {
	path    string
	value   string
	allowed string
}

// NewError returns an error for a rule that a schema cannot state.
func NewError(path, value, allowed string) *Error {
	return &Error{path: path, value: value, allowed: allowed}
}

// Path returns the place of the setting in the file, such as /listen/address.
func (e *Error) Path() string { return e.path }

// Value returns the invalid value as JSON.
func (e *Error) Value() string { return e.value }

// Allowed tells what the setting may be.
func (e *Error) Allowed() string { return e.allowed }

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("settings: %s is %s: %s", e.path, e.value, e.allowed)
}

// Duration is a length of time written as a string with its unit.
type Duration time.Duration

// UnmarshalJSON reads a string such as "250ms".
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return eris.Wrap(err, "settings: duration")
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return eris.Wrap(err, "settings: duration")
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON writes a string such as "250ms".
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Std returns the duration as the standard type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Load reads the file at path, checks it against the JSON schema and stores it in target.
func Load(path string, schema []byte, target any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "settings: read")
	}
	return Parse(text, schema, target)
}

// Parse checks text against the JSON schema and stores it in target.
func Parse(text, schema []byte, target any) error {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return &Error{path: "/", value: "not JSON", allowed: err.Error()}
	}
	compiled, err := compile(schema)
	if err != nil {
		return err
	}
	if err := compiled.Validate(value); err != nil {
		var v *jsonschema.ValidationError
		if errors.As(err, &v) {
			return explain(v, value)
		}
		return eris.Wrap(err, "settings: check")
	}
	if err := json.Unmarshal(text, target); err != nil {
		return &Error{path: "/", value: "invalid", allowed: err.Error()}
	}
	return nil
}

func compile(schema []byte) (*jsonschema.Schema, error) {
	const name = "settings.json"
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		return nil, eris.Wrap(err, "settings: schema")
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(name, doc); err != nil {
		return nil, eris.Wrap(err, "settings: schema")
	}
	s, err := c.Compile(name)
	if err != nil {
		return nil, eris.Wrap(err, "settings: schema")
	}
	return s, nil
}

// explain names the deepest cause of a validation error.
func explain(v *jsonschema.ValidationError, value any) error {
	for len(v.Causes) > 0 {
		v = v.Causes[0]
	}
	place := v.InstanceLocation
	allowed := v.ErrorKind.LocalizedString(message.NewPrinter(language.English))
	switch k := v.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		place, allowed = at(place, k.Properties[0]), "no such setting"
	case *kind.Required:
		place, allowed = at(place, k.Missing[0]), "required"
	}
	shown := show(lookup(value, place))
	if last := place[max(len(place)-1, 0):]; len(last) > 0 && slices.Contains(hidden, last[0]) {
		shown = "hidden"
	}
	return &Error{path: "/" + strings.Join(place, "/"), value: shown, allowed: allowed}
}

// hidden are the settings whose values must not reach a log.
var hidden = []string{"secret", "token"}

// minSecret is the shortest secret in bytes.
const minSecret = 16

// Secret returns the secret itself, or the content of its file without white space at its ends if secret is empty.
func Secret(secret, file string) (string, error) {
	if secret != "" {
		return secret, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return "", &Error{path: "/secretfile", value: file, allowed: err.Error()}
	}
	secret = strings.TrimSpace(string(text))
	if len(secret) < minSecret {
		return "", &Error{path: "/secretfile", value: file, allowed: fmt.Sprintf("a file with at least %d bytes", minSecret)}
	}
	return secret, nil
}

func at(place []string, name string) []string { return append(slices.Clone(place), name) }

// show returns a value for an error message. Objects and lists are not shown: they may hold secrets.
func show(value any) string {
	switch value.(type) {
	case nil:
		return "absent"
	case map[string]any:
		return "an object"
	case []any:
		return "a list"
	}
	text, err := json.Marshal(value)
	if err != nil {
		return "invalid"
	}
	return string(text)
}

// lookup returns the part of value at the given place.
func lookup(value any, place []string) any {
	for _, p := range place {
		switch v := value.(type) {
		case map[string]any:
			value = v[p]
		case []any:
			i := 0
			if _, err := fmt.Sscanf(p, "%d", &i); err != nil || i >= len(v) {
				return nil
			}
			value = v[i]
		default:
			return nil
		}
	}
	return value
}

// Names returns the settings of a schema by their path with dots, such as link.listen, without those inside of lists.
func Names(schema []byte) ([]string, error) {
	var s property
	if err := json.Unmarshal(schema, &s); err != nil {
		return nil, eris.Wrap(err, "settings: schema")
	}
	return s.names(""), nil
}

type property struct {
	Properties map[string]property `json:"properties"`
}

func (p property) names(prefix string) []string {
	var l []string
	for _, n := range slices.Sorted(maps.Keys(p.Properties)) {
		child := p.Properties[n]
		if len(child.Properties) == 0 {
			l = append(l, prefix+n)
			continue
		}
		l = append(l, child.names(prefix+n+".")...)
	}
	return l
}
