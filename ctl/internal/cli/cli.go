// Package cli implements bulrushctl, the command-line client for operators.
//
// # Usage
//
//	bulrushctl --url http://10.1.0.10:8080 --token … apply profiles.json
//
// Each command prints a table, or JSON if --json is set. docs/ctl.md lists the commands, options and exit statuses.
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
	exitDiffers     = 3
	exitConflict    = 4
	exitUnknown     = 5
	exitUnreachable = 6
	exitDenied      = 7
	exitNotFound    = 8
)

// exitError is an error with its exit status.
type exitError struct {
	status int
	text   string
}

// Error implements error.
func (e *exitError) Error() string { return e.text }

// app holds the options and the output shared by all commands.
type app struct {
	URL     string        `long:"url" env:"BULRUSH_URL" default:"http://127.0.0.1:8080" value-name:"URL" description:"address of an entry"`
	Token   string        `long:"token" env:"BULRUSH_TOKEN" default-mask:"-" value-name:"TOKEN" description:"bearer token of an operator"`
	Timeout time.Duration `long:"timeout" default:"15s" value-name:"DURATION" description:"timeout for a response of the entry"`
	JSON    bool          `long:"json" description:"print JSON instead of a table"`

	out io.Writer
}

// command is a subcommand with its help texts.
type command struct {
	name    string
	summary string
	details string
	handler flags.Commander
}

// Run runs the program with the given arguments and returns its exit status.
func Run(args []string) int { return run(args, os.Stdout, os.Stderr) }

func run(args []string, out, errs io.Writer) int {
	a := &app{out: out}
	p := flags.NewNamedParser("bulrushctl", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = "Inspects and changes a bulrushspoke deployment."
	if _, err := p.AddGroup("Common options", "", a); err != nil {
		panic(err) // only possible if a struct tag is malformed
	}
	for _, c := range commands(a) {
		if _, err := p.AddCommand(c.name, c.summary, c.summary+".\n\n"+c.details, c.handler); err != nil {
			panic(err) // only possible if a struct tag is malformed
		}
	}
	_, err := p.ParseArgs(args)
	return report(err, out, errs)
}

func commands(a *app) []command {
	return []command{
		{
			"check", "Check settings and profile files", "Does not contact an entry. A file that is not JSON is checked as the settings that the platform provides to an instance.\n\n" +
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
			"apply", "Apply a profile file", "The file is applied only if the revision that it replaces is still in " +
				"force; otherwise the configuration in force is printed and the exit status is 4. After exit status 5, repeat the " +
				"command with the printed --revision and --change; a change is applied at most once.\n\n" +
				"Example: bulrushctl apply profiles.json --revision 41",
			&apply{app: a},
		},
		{
			"upstreams", "List the servers known to an entry", "Example: bulrushctl upstreams",
			&upstreams{app: a},
		},
		{
			"steps", "List the steps that an entry runs", "Example: bulrushctl steps --json",
			&steps{app: a},
		},
		{
			"explain", "Show what happened to a request", "ID is the value of the response header Bulrush-Request. Only the entry that " +
				"served the request knows it. With --log, log files of instances are searched instead: lines about the request, item " +
				"or job are marked with a star, among lines from around that time about the state of the instance. For a batch job " +
				"the records of its results follow, with a verdict on whether the lines contradict each other.\n\n" +
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

// report prints the error of a command, or the requested help, and returns the exit status.
func report(err error, out, errs io.Writer) int {
	var usage *flags.Error
	var exit *exitError
	var invalid *settings.Error
	var invalidInstance *node.Error
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
	case errors.As(err, &invalid), errors.As(err, &invalidInstance):
		return settings.ExitCode
	}
	return exitFailed
}

// print writes v as JSON if --json is set, otherwise as a table with the given header and rows.
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

// refusalError converts an error response of the entry to an error with its exit status.
func refusalError(status int, p wire.Problem) error {
	text := fmt.Sprintf("%s: %s (request %s)", p.Code, p.Message, p.Request)
	switch {
	case p.Ran == "unknown":
		return &exitError{status: exitUnknown, text: text}
	case status == 401 || status == 403:
		return &exitError{status: exitDenied, text: text}
	case status == 404:
		return &exitError{status: exitNotFound, text: text}
	}
	return &exitError{status: exitFailed, text: text}
}
