// Package cli parses the command line and runs one simulated system.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"bulrushspoke/standin/engine"
	"bulrushspoke/standin/instances"
	"bulrushspoke/standin/internal/web"
	"bulrushspoke/standin/relay"
	"bulrushspoke/standin/scorer"
	"bulrushspoke/standin/service"
	"bulrushspoke/standin/store"
	"bulrushspoke/standin/trainer"
	"bulrushspoke/standin/weights"
	"bulrushspoke/wire"
)

const (
	exitFailure = 1
	exitUsage   = 2
)

var errProblems = errors.New("trainer: the step summary lists problems")

// Run runs the subcommand that the arguments name and returns the exit status of the process.
func Run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	p := flags.NewNamedParser("bulrush-standin", flags.HelpFlag|flags.PassDoubleDash)
	p.CommandHandler = func(c flags.Commander, rest []string) error { return c.Execute(rest) }
	for _, c := range []struct {
		name string
		text string
		data any
	}{
		{"store", "object store", &storeCommand{ctx: ctx}},
		{"engine", "model engine", &engineCommand{ctx: ctx}},
		{"weights", "rate-limited weight store", &weightsCommand{ctx: ctx}},
		{"instances", "lagging list of instances", &instancesCommand{ctx: ctx}},
		{"scorer", "service that scores texts", &scorerCommand{ctx: ctx}},
		{"service", "plain service", &serviceCommand{ctx: ctx}},
		{"trainer", "trainer of one step", &trainerCommand{ctx: ctx}},
		{"relay", "TCP relay with faults", &relayCommand{ctx: ctx}},
	} {
		if _, err := p.AddCommand(c.name, c.text, c.text, c.data); err != nil {
			panic(err) // only an invalid struct tag causes this
		}
	}
	_, err := p.ParseArgs(args)
	var usage *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(err)
		return 0
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	default:
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
}

type listenOptions struct {
	Listen string `long:"listen" required:"true" description:"address to listen on, host:port"`
}

type storeCommand struct {
	ctx context.Context
	listenOptions
}

// Execute implements flags.Commander.
func (c *storeCommand) Execute([]string) error { return web.Serve(c.ctx, c.Listen, store.New()) }

type engineCommand struct {
	ctx context.Context
	listenOptions
	Model   string        `long:"model" default:"m" description:"model name"`
	Version int64         `long:"version" default:"1" description:"weight version at the start and after a crash"`
	Slots   int           `long:"slots" default:"8" description:"requests that run at once"`
	Rate    float64       `long:"rate" default:"200" description:"tokens per second of each stream"`
	Falling float64       `long:"falling" default:"0" description:"fraction of the rate lost when all slots are busy"`
	Prefill time.Duration `long:"prefill" default:"0s" description:"time per 64 bytes of prompt that are not cached"`
	Cache   int           `long:"cache" default:"4096" description:"size of the prefix cache in blocks of 64 bytes"`
	Swap    time.Duration `long:"swap" default:"500ms" description:"time to load a weight version"`
	Lag     time.Duration `long:"lag" default:"1s" description:"age of the load report"`
	Restart int64         `long:"restart" default:"500" description:"milliseconds that connections are refused after a crash"`
	Marker  string        `long:"marker" default:"<crash>" description:"a prompt with this text crashes the engine"`
	Fencing string        `long:"fencing" default:"honour" choice:"honour" choice:"ignore" description:"fencing tokens"`
	Weights string        `long:"weights" description:"base URL of the weight store"`
}

// Execute implements flags.Commander.
func (c *engineCommand) Execute([]string) error {
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	return engine.New(engine.Config{
		Model: c.Model, Version: c.Version, Slots: c.Slots, Rate: c.Rate, BusySlowdown: c.Falling,
		PrefillPerBlock: c.Prefill, CacheBlocks: c.Cache, LoadTime: c.Swap, LoadLag: c.Lag,
		RestartTime: time.Duration(c.Restart) * time.Millisecond, Marker: c.Marker, IgnoreFencing: c.Fencing == "ignore",
		WeightStoreURL: c.Weights,
	}).Serve(c.ctx, l)
}

type weightsCommand struct {
	ctx context.Context
	listenOptions
	Size int64 `long:"size" default:"419430400" description:"bytes of one weight version"`
	Rate int64 `long:"rate" default:"0" description:"bytes per second of all downloads together, 0 for no limit"`
}

// Execute implements flags.Commander.
func (c *weightsCommand) Execute([]string) error {
	return web.Serve(c.ctx, c.Listen, weights.New(c.Size, c.Rate))
}

type instancesCommand struct {
	ctx context.Context
	listenOptions
	Lag  int64  `long:"lag" default:"0" description:"milliseconds until a change is visible"`
	File string `long:"file" description:"JSON file with the first list"`
}

// Execute implements flags.Commander.
func (c *instancesCommand) Execute([]string) error {
	var first wire.Instances
	if c.File != "" {
		text, err := os.ReadFile(c.File)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(text, &first); err != nil {
			return err
		}
	}
	return web.Serve(c.ctx, c.Listen, instances.New(time.Duration(c.Lag)*time.Millisecond, first.Instances))
}

type scorerCommand struct {
	ctx context.Context
	listenOptions
	Delay time.Duration `long:"delay" default:"0s" description:"duration of a request"`
}

// Execute implements flags.Commander.
func (c *scorerCommand) Execute([]string) error {
	return web.Serve(c.ctx, c.Listen, scorer.New(c.Delay))
}

type serviceCommand struct {
	ctx context.Context
	listenOptions
	Delay time.Duration `long:"delay" default:"0s" description:"duration of a request"`
}

// Execute implements flags.Commander.
func (c *serviceCommand) Execute([]string) error {
	return web.Serve(c.ctx, c.Listen, service.New(c.Delay))
}

type trainerCommand struct {
	ctx       context.Context
	Entries   []string      `long:"entry" required:"true" description:"base URL of an entry, repeated for several"`
	Token     string        `long:"token" description:"bearer token"`
	Name      string        `long:"run" default:"r" description:"training run"`
	Step      int           `long:"step" default:"1" description:"step number"`
	Model     string        `long:"model" default:"m" description:"model name"`
	Version   int64         `long:"version" default:"1" description:"weight version of the trainer"`
	Groups    int           `long:"groups" default:"8" description:"groups of the step"`
	Samples   int           `long:"samples" default:"8" description:"samples of a group"`
	Tokens    int           `long:"tokens" default:"64" description:"tokens of a sample"`
	Long      int           `long:"long" default:"0" description:"groups with long samples"`
	Stretch   int           `long:"stretch" default:"1" description:"length of the long samples as a multiple of --tokens"`
	Scorer    string        `long:"scorer" description:"service that scores each sample"`
	Staleness int64         `long:"staleness" default:"-1" description:"staleness bound to check, below 0 for none"`
	Max       int           `long:"max" default:"0" description:"samples of a pull, 0 for no limit"`
	Wait      time.Duration `long:"wait" default:"2s" description:"time that a pull waits"`
	Compute   time.Duration `long:"compute" default:"0s" description:"simulated training time per sample"`
	Publish   int           `long:"publish" default:"0" description:"samples before the next weight version is published, 0 for never"`
	Keep      bool          `long:"keep" description:"leave the step open"`
	Prompt    string        `long:"prompt" default:"write a plan for" description:"prefix of every prompt"`
	Timeout   time.Duration `long:"timeout" default:"1m" description:"time after which the trainer gives up"`
}

// Execute implements flags.Commander.
func (c *trainerCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(c.ctx, c.Timeout)
	defer cancel()
	s := trainer.Run(ctx, trainer.Config{
		Entries: c.Entries, BearerToken: c.Token, Run: c.Name, Step: c.Step, Model: c.Model, Version: c.Version,
		Groups: c.Groups, SamplesPerGroup: c.Samples, TokensPerSample: c.Tokens, LongGroups: c.Long, LongFactor: c.Stretch,
		Scorer: c.Scorer, StalenessBound: c.Staleness, MaxPullSamples: c.Max, PullWait: c.Wait, TimePerSample: c.Compute,
		PublishAfter: c.Publish, KeepOpen: c.Keep, Prompt: c.Prompt, Progress: os.Stderr,
	})
	if err := json.NewEncoder(os.Stdout).Encode(s); err != nil {
		return err
	}
	if len(s.Problems) > 0 {
		return errProblems
	}
	return nil
}

type relayCommand struct {
	ctx context.Context
	listenOptions
	To      string `long:"to" required:"true" description:"address that connections are forwarded to"`
	Control string `long:"control" description:"address of the HTTP server for /control and /counts"`
	Up      int64  `long:"up" default:"0" description:"delay of bytes to the target in milliseconds"`
	Down    int64  `long:"down" default:"0" description:"delay of bytes from the target in milliseconds"`
}

// Execute implements flags.Commander.
func (c *relayCommand) Execute([]string) error {
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	r := relay.New(c.To)
	r.SetDelay(c.Up, c.Down)
	if c.Control != "" {
		go func() {
			if err := web.Serve(c.ctx, c.Control, http.Handler(r)); err != nil {
				fmt.Fprintln(os.Stderr, err)
			}
		}()
	}
	return r.Run(c.ctx, l)
}
