// Package cli is the operators' command line.
//
// # Usage
//
//	bulrushctl --url http://10.1.0.10:8080 --token … apply profiles.json
//
// Each command prints a table, or JSON with --json. docs/ctl.md lists the exit statuses.
package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"

	"bulrushspoke/internal/node"
	"bulrushspoke/internal/settings"
	"bulrushspoke/wire"
)

// Exit statuses beside settings.ExitCode; docs/ctl.md documents them.
const (
	exitFailed      = 1
	exitUsage       = 2
	exitDifferent   = 3
	exitConflict    = 4
	exitUnknown     = 5
	exitUnreachable = 6
	exitDenied      = 7
	exitAbsent      = 8
)

// exitError is an error with its exit status.
type exitError struct {
	status int
	text   string
}

// Error implements error.
func (e *exitError) Error() string { return e.text }

// app is what all commands share.
type app struct {
	URL     string        `long:"url" env:"BULRUSH_URL" default:"http://127.0.0.1:8080" value-name:"URL" description:"address of an entry"`
	Token   string        `long:"token" env:"BULRUSH_TOKEN" default-mask:"-" value-name:"TOKEN" description:"bearer token of an operator"`
	Timeout time.Duration `long:"timeout" default:"15s" value-name:"DURATION" description:"time that the entry has for an answer"`
	JSON    bool          `long:"json" description:"print JSON in place of a table"`

	out io.Writer
}

// command is one subcommand with its texts.
type command struct {
	name string
	text string
	long string
	data flags.Commander
}

// Run runs the program with the given arguments and returns its exit status.
func Run(args []string) int { return run(args, os.Stdout, os.Stderr) }

func run(args []string, out, errs io.Writer) int {
	a := &app{out: out}
	p := flags.NewNamedParser("bulrushctl", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Shows and changes what a bulrushspoke deployment does."
	if _, err := p.AddGroup("Common options", "", a); err != nil {
		panic(err) // only a wrong struct tag gets here
	}
	for _, c := range commands(a) {
		if _, err := p.AddCommand(c.name, c.text, c.text+".\n\n"+c.long, c.data); err != nil {
			panic(err) // only a wrong struct tag gets here
		}
	}
	_, err := p.ParseArgs(args)
	return report(err, out, errs)
}

func commands(a *app) []command {
	return []command{
		{
			"check", "Check settings and profile files", "Needs no entry. A file that is no JSON is taken for the settings that the platform gives an instance.\n\n" +
				"Example: bulrushctl check examples/ramdin/entry.json examples/ramdin/profiles.json",
			&check{app: a},
		},
		{
			"list", "List the profiles in force", "Example: bulrushctl list",
			&list{app: a},
		},
		{
			"show", "Show the configuration in force, or one profile", "The output can be edited and applied again.\n\n" +
				"Example: bulrushctl show > profiles.json",
			&show{app: a},
		},
		{
			"diff", "Compare a profile file with the configuration in force", "Exits with 3 if they differ.\n\n" +
				"Example: bulrushctl diff profiles.json",
			&diff{app: a},
		},
		{
			"apply", "Put a profile file in force", "The change is made only if the revision that it replaces is still in " +
				"force; otherwise the winner is printed and the exit status is 4. After exit status 5, repeat the call with " +
				"the printed --change, which is made at most once.\n\n" +
				"Example: bulrushctl apply profiles.json --revision 41",
			&apply{app: a},
		},
		{
			"upstreams", "List the servers as one entry sees them", "Example: bulrushctl upstreams",
			&upstreams{app: a},
		},
		{
			"steps", "List the steps that one entry runs", "Example: bulrushctl steps --json",
			&steps{app: a},
		},
		{
			"explain", "Tell what became of a request", "ID is the answer's header Bulrush-Request. Only the entry that " +
				"served the request knows it. With --log the answer comes from the logs of instances: lines of the request, item or " +
				"job are marked by a star, between those of the time around it that changed what the instance believed.\n\n" +
				"Example: bulrushctl explain 01JZ8Q4T1V9K5R2N7M3X6W0YBC\n" +
				"Example: bulrushctl explain 8e3d8ec4a2be1cf9 --log front-1.log --log front-2.log",
			&explain{app: a},
		},
		{
			"drain", "Ask a daemon to finish its work and leave", "Example: bulrushctl drain willow-3 --reason 'new kernel'",
			&drain{app: a},
		},
	}
}

// report prints the error of a command and returns the exit status.
func report(err error, out, errs io.Writer) int {
	var usage *flags.Error
	var exit *exitError
	var invalid *settings.Error
	var malformed *node.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(out, err)
		return 0
	}
	_, _ = fmt.Fprintln(errs, err)
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &exit):
		return exit.status
	case errors.As(err, &invalid), errors.As(err, &malformed):
		return settings.ExitCode
	}
	return exitFailed
}

// print writes v as JSON if that is asked for, or the table.
func (a *app) print(v any, header string, rows func(w io.Writer)) error {
	if a.JSON {
		return a.encode(v)
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, header)
	rows(w)
	return w.Flush()
}

func (a *app) encode(v any) error {
	e := json.NewEncoder(a.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// failure returns the error for a refusal of the entry.
func failure(status int, p wire.Problem) error {
	text := fmt.Sprintf("%s: %s (request %s)", p.Code, p.Message, p.Request)
	switch {
	case p.Ran == "unknown":
		return &exitError{status: exitUnknown, text: text}
	case status == 401 || status == 403:
		return &exitError{status: exitDenied, text: text}
	case status == 404:
		return &exitError{status: exitAbsent, text: text}
	}
	return &exitError{status: exitFailed, text: text}
}
