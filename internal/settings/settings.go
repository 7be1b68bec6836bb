// Package settings reads the JSON settings file of a program and validates it against the program's JSON schema.
//
// # Usage
//
//	s := defaults()
//	err := settings.Load(path, schema, &s)
//
// The target holds the defaults when Load is called; settings that the file omits keep them. An unknown field, a wrong
// unit or a value out of range yields an *Error with the path, the value and what is allowed. Durations are strings with
// a unit, such as "250ms".
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

// ExitCode is the exit status of a program with invalid settings (EX_CONFIG in sysexits.h).
const ExitCode = 78

// Error describes an invalid setting.
type Error struct {
	path    string
	value   string
	allowed string
}

// NewError returns an error for a rule that a JSON schema cannot express.
func NewError(path, value, allowed string) *Error {
	return &Error{path: path, value: value, allowed: allowed}
}

// Path returns the location of the setting in the file, such as /listen/address.
func (e *Error) Path() string { return e.path }

// Value returns the invalid value for display: its JSON text, or a word such as "hidden" or "absent" that stands for it.
func (e *Error) Value() string { return e.value }

// Allowed describes the values that are accepted.
func (e *Error) Allowed() string { return e.allowed }

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("settings: %s is %s: %s", e.path, e.value, e.allowed)
}

// Duration is a duration that is written in JSON as a string with a unit.
type Duration time.Duration

// UnmarshalJSON parses a string such as "250ms".
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

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Load reads the file at path, validates it against the JSON schema and unmarshals it into target.
func Load(path string, schema []byte, target any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "settings: read")
	}
	return Parse(text, schema, target)
}

// Parse validates text against the JSON schema and unmarshals it into target.
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
		return eris.Wrap(err, "settings: validate")
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

// explain returns an *Error for the first innermost cause of a validation error.
func explain(v *jsonschema.ValidationError, value any) error {
	for len(v.Causes) > 0 {
		v = v.Causes[0]
	}
	location := v.InstanceLocation
	allowed := v.ErrorKind.LocalizedString(message.NewPrinter(language.English))
	switch k := v.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		location, allowed = appendPath(location, k.Properties[0]), "no such setting"
	case *kind.Required:
		location, allowed = appendPath(location, k.Missing[0]), "required"
	}
	text := formatValue(lookup(value, location))
	if last := location[max(len(location)-1, 0):]; len(last) > 0 && slices.Contains(secretFields, last[0]) {
		text = "hidden"
	}
	return &Error{path: "/" + strings.Join(location, "/"), value: text, allowed: allowed}
}

// secretFields lists the settings whose values are left out of errors, so that they do not reach a log.
var secretFields = []string{"secret", "token"}

// minSecretBytes is the minimum length of a secret that is read from a file; the schemas require the same of others.
const minSecretBytes = 16

// Secret returns secret or, if it is empty, the content of file without leading and trailing white space.
func Secret(secret, file string) (string, error) {
	if secret != "" {
		return secret, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return "", &Error{path: "/secretfile", value: file, allowed: err.Error()}
	}
	secret = strings.TrimSpace(string(text))
	if len(secret) < minSecretBytes {
		return "", &Error{path: "/secretfile", value: file, allowed: fmt.Sprintf("a file with at least %d bytes", minSecretBytes)}
	}
	return secret, nil
}

func appendPath(path []string, name string) []string { return append(slices.Clone(path), name) }

// formatValue returns value as text for an error message. The content of objects and lists is left out, as it may hold
// secrets.
func formatValue(value any) string {
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

// lookup returns the part of value at the given path, nil if there is none.
func lookup(value any, path []string) any {
	for _, p := range path {
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

// Names returns the dotted path of each setting in a schema, such as link.listen. Settings inside lists are left out.
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
	var paths []string
	for _, n := range slices.Sorted(maps.Keys(p.Properties)) {
		child := p.Properties[n]
		if len(child.Properties) == 0 {
			paths = append(paths, prefix+n)
			continue
		}
		paths = append(paths, child.names(prefix+n+".")...)
	}
	return paths
}
