package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"bulrushspoke/ctl/internal/logs"
	"bulrushspoke/wire"
)

type upstreams struct {
	app *app
}

// Execute implements flags.Commander.
func (c *upstreams) Execute([]string) error {
	var l wire.UpstreamList
	if err := c.app.get("/v1/upstreams", &l); err != nil {
		return err
	}
	return c.app.print(l, "DAEMON\tSERVER\tKIND\tMODEL\tREGION\tDOMAIN\tVERSION\tIN FLIGHT\tSLOTS\tSTATE", func(w io.Writer) {
		for _, u := range l.Upstreams {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", u.Daemon, u.Server.Name, u.Server.Kind,
				u.Server.Model, u.Region, u.Domain, u.Server.Version, u.Inflight, u.Server.Slots, serverState(u))
		}
	})
}

// serverState lists every reason why a server takes no work, or returns "up".
func serverState(u wire.Upstream) string {
	var l []string
	for _, s := range []struct {
		applies bool
		text    string
	}{
		{!u.Linked, "no link"},
		{!u.Server.Up, "down"},
		{u.Leaving, "leaving"},
		{u.Ejected, "ejected"},
	} {
		if s.applies {
			l = append(l, s.text)
		}
	}
	if len(l) == 0 {
		return "up"
	}
	return strings.Join(l, ", ")
}

type steps struct {
	app *app
}

// Execute implements flags.Commander.
func (c *steps) Execute([]string) error {
	var l wire.StepList
	if err := c.app.get("/v1/steps", &l); err != nil {
		return err
	}
	return c.app.print(l, "RUN\tSTEP\tMODEL\tVERSION\tSTATE\tDONE\tWANTED\tRUNNING\tSTALE\tOWNER\tEPOCH", func(w io.Writer) {
		for _, s := range l.Steps {
			_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%s\t%d\t%d\t%d\t%d\t%s\t%d\n", s.Run, s.Step, s.Model, s.Version, s.State,
				s.Done, s.Slots, s.Running, s.Stale, s.Owner, s.Epoch)
		}
	})
}

type explain struct {
	app  *app
	Logs []string `long:"log" short:"l" value-name:"FILE" description:"log file of an instance, searched instead of asking an entry; may be repeated"`
	Args struct {
		ID string `positional-arg-name:"ID" description:"request identifier"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *explain) Execute([]string) error {
	if len(c.Logs) > 0 {
		return c.fromLogs()
	}
	var t wire.Trace
	if err := c.app.get("/v1/explain/"+pathSegment(c.Args.ID), &t); err != nil {
		return err
	}
	if !c.app.JSON {
		_, _ = fmt.Fprintf(c.app.out, "request %s of %s under %s: %s %s\n", t.Request, t.Workspace, t.Profile, t.State, t.Code)
	}
	return c.app.print(t, "ATTEMPT\tDAEMON\tSERVER\tSTART (UNIX MS)\tTOOK (MS)\tVERSIONS\tOUTCOME", func(w io.Writer) {
		for _, a := range t.Tries {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\t%s\n", a.Attempt, a.Daemon, a.Server, a.Start, a.Whole,
				spans(a.Spans), a.Outcome)
		}
	})
}

// fromLogs prints the log lines about a request, item or job, and what they tell about the records of a job.
func (c *explain) fromLogs() error {
	lines, err := logs.Find(c.Logs, c.Args.ID)
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return &exitError{status: exitNotFound, text: "no log line mentions " + c.Args.ID}
	}
	log, err := logs.Job(c.Logs, c.Args.ID)
	if err != nil {
		return err
	}
	if c.app.JSON {
		return c.app.encode(struct {
			Lines []logs.Line  `json:"lines"`
			Log   *logs.JobLog `json:"log,omitempty"`
		}{lines, log})
	}
	err = c.app.print(lines, "\tTIME\tINSTANCE\tEVENT\tWHAT\tDETAILS", func(w io.Writer) {
		for _, l := range lines {
			marker := " "
			if l.Match {
				marker = "*"
			}
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\n", marker, clock(l.Time), l.Name, l.Event, l.Text, l)
		}
	})
	if err != nil || log == nil {
		return err
	}
	return c.app.printJobLog(log)
}

// printJobLog prints the records of a batch job and the changes of its owner between them.
func (a *app) printJobLog(log *logs.JobLog) error {
	_, _ = fmt.Fprintln(a.out)
	err := a.print(log, "RECORD\tTIME\tWRITER\tPROCESS\tEPOCH\tFIRST\tRESULTS\tNAMED BY", func(w io.Writer) {
		changes := log.Changes
		for _, r := range log.Records {
			if len(r.Named) == 0 {
				_, _ = fmt.Fprintf(w, "%d\t-\t-\t-\t-\t-\t-\tno line\n", r.Number)
				continue
			}
			for len(changes) > 0 && changes[0].Time.Before(r.Time) {
				printChange(w, changes[0])
				changes = changes[1:]
			}
			epoch := "-"
			if r.Epoch != 0 {
				epoch = strconv.Itoa(r.Epoch)
			}
			_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n", r.Number, clock(r.Time), r.Writer, r.Process, epoch, r.First, r.Results,
				strings.Join(r.Named, ", "))
		}
		for _, l := range changes {
			printChange(w, l)
		}
	})
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(a.out, "\n%s\n", log.Verdict)
	for _, text := range log.Contradictions {
		_, _ = fmt.Fprintf(a.out, "  contradiction: %s\n", text)
	}
	for _, text := range log.Gaps {
		_, _ = fmt.Fprintf(a.out, "  missing lines: %s\n", text)
	}
	return nil
}

func printChange(w io.Writer, l logs.Line) {
	_, _ = fmt.Fprintf(w, "-\t%s\t%s\t\t%s\t\t\t%s: %s\n", clock(l.Time), l.Name, l.Details["epoch"], l.Text, l)
}

// clock formats a time of day.
func clock(t time.Time) string { return t.UTC().Format("15:04:05.000") }

// spans formats token segments with their weight versions as in the header Bulrush-Versions.
func spans(l []wire.Span) string {
	parts := make([]string, len(l))
	for i, s := range l {
		parts[i] = fmt.Sprintf("%d:%d-%d", s.Version, s.First, s.Last)
	}
	return strings.Join(parts, ",")
}

type drain struct {
	app    *app
	Reason string `long:"reason" value-name:"TEXT" description:"reason to write to the logs"`
	Args   struct {
		Name string `positional-arg-name:"NAME" description:"name of the daemon"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (c *drain) Execute([]string) error {
	body, err := json.Marshal(wire.DrainRequest{Reason: c.Reason})
	if err != nil {
		return err
	}
	if _, _, err := c.app.call(fasthttp.MethodPost, "/v1/upstreams/"+pathSegment(c.Args.Name)+"/drain", nil, body, nil); err != nil {
		return err
	}
	if c.app.JSON {
		return c.app.encode(struct {
			Daemon string `json:"daemon"`
		}{c.Args.Name})
	}
	_, _ = fmt.Fprintf(c.app.out, "drain of daemon %s requested\n", c.Args.Name)
	return nil
}
