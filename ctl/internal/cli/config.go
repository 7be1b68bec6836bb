package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/google/go-cmp/cmp"
	"github.com/oklog/ulid/v2"
	"github.com/valyala/fasthttp"

	"bulrushspoke/internal/profile"
	"bulrushspoke/internal/schema"
	"bulrushspoke/internal/settings"
	"bulrushspoke/platform"
	"bulrushspoke/wire"
)

// maxApplyAttempts is how often a change with an unknown outcome is sent, always with the same identifier.
const maxApplyAttempts = 3

type check struct {
	app  *app
	Kind string `long:"kind" choice:"entry" choice:"daemon" choice:"profiles" choice:"instance" description:"kind of the files; detected from their content by default"`
	Args struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// checkResult is the result of checking one file.
type checkResult struct {
	File  string `json:"file"`
	Kind  string `json:"kind"`
	Valid bool   `json:"valid"`
	Error string `json:"fault,omitempty"`
}

// Execute implements flags.Commander.
func (c *check) Execute([]string) error {
	var l []checkResult
	var first error
	for _, f := range c.Args.Files {
		text, err := os.ReadFile(f)
		if err != nil {
			return err
		}
		kind := c.Kind
		if kind == "" {
			kind = detectKind(text)
		}
		v := checkResult{File: f, Kind: kind, Valid: true}
		if err := validate(kind, text); err != nil {
			v.Valid, v.Error = false, err.Error()
			if first == nil {
				first = err
			}
		}
		l = append(l, v)
	}
	err := c.app.print(l, "FILE\tKIND\tRESULT", func(w io.Writer) {
		for _, v := range l {
			result := "valid"
			if !v.Valid {
				result = v.Error
			}
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", v.File, v.Kind, result)
		}
	})
	if first != nil {
		return first
	}
	return err
}

// detectKind determines the kind of a file from its fields. Text that is not JSON is taken as the settings of an
// instance.
func detectKind(text []byte) string {
	var fields map[string]json.RawMessage
	if json.Unmarshal(text, &fields) != nil && !bytes.HasPrefix(bytes.TrimSpace(text), []byte("{")) {
		return "instance"
	}
	if _, ok := fields["profiles"]; ok {
		return "profiles"
	}
	if _, ok := fields["servers"]; ok {
		return "daemon"
	}
	return "entry"
}

func validate(kind string, text []byte) error {
	var v map[string]any
	switch kind {
	case "profiles":
		_, err := profile.Parse(text)
		return err
	case "daemon":
		return settings.Parse(text, schema.Daemon, &v)
	case "instance":
		_, err := platform.DecodeSettings(text)
		return err
	}
	return settings.Parse(text, schema.Entry, &v)
}

type list struct {
	app *app
}

// Execute implements flags.Commander.
func (c *list) Execute([]string) error {
	var a wire.ConfigAnswer
	if err := c.app.get("/v1/config", &a); err != nil {
		return err
	}
	return c.app.printConfig(a)
}

// printConfig prints the profiles of a configuration.
func (a *app) printConfig(c wire.ConfigAnswer) error {
	if !a.JSON {
		_, _ = fmt.Fprintf(a.out, "revision %d by %s, change %s\n", c.Revision, c.Document.Author, c.Document.Change)
	}
	return a.print(c, "PROFILE\tCLASS\tONCE\tHEDGE\tSTALENESS\tDEADLINE\tTOKENS\tCONCURRENCY", func(w io.Writer) {
		for _, p := range c.Document.Profiles {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%t\t%t\t%d\t%s\t%d\t%d\n", p.Name, p.Class, p.Once, p.Hedge, p.Staleness,
				p.Deadline, p.Tokens, p.Concurrency)
		}
	})
}

type show struct {
	app  *app
	Args struct {
		Name string `positional-arg-name:"PROFILE" description:"only this profile"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *show) Execute([]string) error {
	var a wire.ConfigAnswer
	if err := c.app.get("/v1/config", &a); err != nil {
		return err
	}
	if c.Args.Name == "" {
		if c.app.JSON {
			return c.app.encode(a)
		}
		return c.app.encode(profileFile{Profiles: a.Document.Profiles})
	}
	for _, p := range a.Document.Profiles {
		if p.Name == c.Args.Name {
			return c.app.encode(p)
		}
	}
	return &exitError{status: exitNotFound, text: fmt.Sprintf("no profile %s at revision %d", c.Args.Name, a.Revision)}
}

// profileFile is the content of a profile file.
type profileFile struct {
	Profiles []wire.Profile `json:"profiles"`
}

type diff struct {
	app  *app
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// difference is a profile that differs between the current configuration and a file; nil means absent.
type difference struct {
	Profile string        `json:"profile"`
	Current *wire.Profile `json:"force"`
	File    *wire.Profile `json:"file"`
}

// Execute implements flags.Commander.
func (c *diff) Execute([]string) error {
	doc, err := readProfiles(c.Args.File)
	if err != nil {
		return err
	}
	var a wire.ConfigAnswer
	if err := c.app.get("/v1/config", &a); err != nil {
		return err
	}
	l := compare(a.Document.Profiles, doc.Profiles)
	if len(l) == 0 && !c.app.JSON {
		_, _ = fmt.Fprintf(c.app.out, "no difference to revision %d\n", a.Revision)
		return nil
	}
	err = c.app.print(l, "PROFILE\tIN FORCE\tIN THE FILE", func(w io.Writer) {
		for _, d := range l {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", d.Profile, describe(d.Current, d.File), describe(d.File, d.Current))
		}
	})
	if err != nil || len(l) == 0 {
		return err
	}
	return &exitError{status: exitDiffers, text: fmt.Sprintf("%d profiles differ from revision %d", len(l), a.Revision)}
}

// compare returns the profiles that differ, sorted by name.
func compare(current, file []wire.Profile) []difference {
	byName := make(map[string]difference)
	for _, p := range current {
		byName[p.Name] = difference{Profile: p.Name, Current: &p}
	}
	for _, p := range file {
		d := byName[p.Name]
		d.Profile, d.File = p.Name, &p
		byName[p.Name] = d
	}
	l := []difference{}
	for _, d := range byName {
		if !cmp.Equal(d.Current, d.File) {
			l = append(l, d)
		}
	}
	slices.SortFunc(l, func(a, b difference) int { return strings.Compare(a.Profile, b.Profile) })
	return l
}

// describe lists the fields in which p differs from other.
func describe(p, other *wire.Profile) string {
	if p == nil {
		return "absent"
	}
	if other == nil {
		return "present"
	}
	var l []string
	mine, theirs := fields(p), fields(other)
	for i := range mine {
		if mine[i] != theirs[i] {
			l = append(l, mine[i])
		}
	}
	return strings.Join(l, " ")
}

func fields(p *wire.Profile) []string {
	return []string{
		"class=" + p.Class,
		fmt.Sprintf("once=%t", p.Once),
		fmt.Sprintf("hedge=%t", p.Hedge),
		fmt.Sprintf("staleness=%d", p.Staleness),
		"deadline=" + p.Deadline,
		fmt.Sprintf("tokens=%d", p.Tokens),
		fmt.Sprintf("concurrency=%d", p.Concurrency),
	}
}

func readProfiles(path string) (wire.Document, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return wire.Document{}, err
	}
	return profile.Parse(text)
}

type apply struct {
	app      *app
	Revision int64  `long:"revision" default:"-1" default-mask:"the one in force" value-name:"N" description:"revision that the change replaces; 0 if there is none"`
	Change   string `long:"change" default-mask:"a new one" value-name:"ID" description:"identifier of the change"`
	Author   string `long:"author" env:"USER" value-name:"NAME" description:"author of the change"`
	Args     struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *apply) Execute([]string) error {
	doc, err := readProfiles(c.Args.File)
	if err != nil {
		return err
	}
	if c.Revision < 0 {
		var a wire.ConfigAnswer
		if err := c.app.get("/v1/config", &a); err != nil {
			return err
		}
		c.Revision = a.Revision
	}
	if c.Change == "" {
		c.Change = ulid.Make().String()
	}
	doc.Author = c.Author
	body, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	return c.send(body)
}

// send sends the change, and repeats it while its outcome is unknown. The entries apply a change at
// most once per identifier.
func (c *apply) send(body []byte) error {
	header := map[string]string{fasthttp.HeaderIfMatch: strconv.FormatInt(c.Revision, 10), "Change-Id": c.Change}
	outcomeUnknown := false
	var last *exitError
	for range maxApplyAttempts {
		var a wire.ConfigAnswer
		status, text, err := c.app.call(fasthttp.MethodPut, "/v1/config", header, body, &a)
		if err == nil {
			return c.app.printConfig(a)
		}
		if status == fasthttp.StatusConflict {
			return c.conflict(text, err)
		}
		if !errors.As(err, &last) {
			return err
		}
		outcomeUnknown = outcomeUnknown || last.status == exitUnknown
		if !outcomeUnknown {
			return err
		}
	}
	text := fmt.Sprintf("%s; repeat with --revision %d --change %s", last.text, c.Revision, c.Change)
	return &exitError{status: exitUnknown, text: text}
}

// conflict prints the configuration that was applied first, and returns an error with exitConflict.
func (c *apply) conflict(text []byte, cause error) error {
	var w wire.ConfigConflict
	if err := json.Unmarshal(text, &w); err != nil {
		return cause
	}
	if err := c.app.printConfig(w.Winner); err != nil {
		return err
	}
	return &exitError{status: exitConflict, text: cause.Error()}
}
