package cli

import (
	"fmt"
	"log/slog"
	"time"

	"bulrushspoke/internal/program"
	"bulrushspoke/internal/schema"
	"bulrushspoke/internal/settings"
	"bulrushspoke/wire"
)

// config is the content of the settings file; docs/settings.md describes each setting.
type config struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	Region string `json:"region"`
	Listen string `json:"listen"`
	Link   struct {
		Listen    string `json:"listen"`
		Advertise string `json:"advertise"`
	} `json:"link"`
	Secret     string `json:"secret"`
	SecretFile string `json:"secretfile"`
	Store      struct {
		URL     string            `json:"url"`
		Timeout settings.Duration `json:"timeout"`
	} `json:"store"`
	Instances struct {
		URL      string            `json:"url"`
		Interval settings.Duration `json:"interval"`
	} `json:"instances"`
	Peers []struct {
		Name    string `json:"name"`
		Role    string `json:"role"`
		Address string `json:"address"`
	} `json:"peers"`
	Tokens []struct {
		Token     string `json:"token"`
		Workspace string `json:"workspace"`
		Profile   string `json:"profile"`
		Role      string `json:"role"`
	} `json:"tokens"`
	Limits struct {
		Body    int `json:"body"`
		Header  int `json:"header"`
		Groups  int `json:"groups"`
		Samples int `json:"samples"`
		Tokens  int `json:"tokens"`
	} `json:"limits"`
	Timeouts struct {
		Ack     settings.Duration `json:"ack"`
		Resume  settings.Duration `json:"resume"`
		Redial  settings.Duration `json:"redial"`
		Read    settings.Duration `json:"read"`
		Write   settings.Duration `json:"write"`
		Idle    settings.Duration `json:"idle"`
		Unready settings.Duration `json:"unready"`
		Drain   settings.Duration `json:"drain"`
	} `json:"timeouts"`
	Seed uint64      `json:"seed"`
	Log  program.Log `json:"log"`
}

// defaults returns the values of settings that the file omits.
func defaults() config {
	var c config
	c.Store.Timeout = settings.Duration(2 * time.Second)
	c.Instances.Interval = settings.Duration(2 * time.Second)
	// One body must hold a step of 4,096 samples with prompts of 4 KB each.
	c.Limits.Body = 32 << 20
	c.Limits.Header = 16 << 10
	c.Limits.Groups = 4096
	c.Limits.Samples = 16384
	c.Limits.Tokens = 65536
	c.Timeouts.Ack = settings.Duration(time.Second)
	c.Timeouts.Resume = settings.Duration(4 * time.Second)
	c.Timeouts.Redial = settings.Duration(2 * time.Second)
	c.Timeouts.Read = settings.Duration(15 * time.Second)
	c.Timeouts.Write = settings.Duration(30 * time.Second)
	c.Timeouts.Idle = settings.Duration(75 * time.Second)
	c.Timeouts.Unready = settings.Duration(5 * time.Second)
	c.Timeouts.Drain = settings.Duration(10 * time.Minute)
	c.Log = program.Log{Level: slog.LevelInfo, Format: "json"}
	return c
}

// load reads and checks the settings file. Its error is a *settings.Error unless the file cannot be read.
func load(path string) (config, error) {
	c := defaults()
	if err := settings.Load(path, schema.Entry, &c); err != nil {
		return config{}, err
	}
	if c.Link.Advertise == "" {
		c.Link.Advertise = c.Link.Listen
	}
	var err error
	if c.Secret, err = settings.Secret(c.Secret, c.SecretFile); err != nil {
		return config{}, err
	}
	return c, c.check()
}

// check validates the rules that the schema cannot express.
func (c *config) check() error {
	tokens := make(map[string]bool, len(c.Tokens))
	for i, t := range c.Tokens {
		if tokens[t.Token] {
			return settings.NewError(fmt.Sprintf("/tokens/%d/token", i), "repeated", "each token must be unique")
		}
		tokens[t.Token] = true
	}
	for path, d := range map[string]settings.Duration{
		"/store/timeout":      c.Store.Timeout,
		"/instances/interval": c.Instances.Interval,
		"/timeouts/ack":       c.Timeouts.Ack,
		"/timeouts/resume":    c.Timeouts.Resume,
		"/timeouts/redial":    c.Timeouts.Redial,
		"/timeouts/read":      c.Timeouts.Read,
		"/timeouts/write":     c.Timeouts.Write,
		"/timeouts/idle":      c.Timeouts.Idle,
	} {
		if d <= 0 {
			return settings.NewError(path, d.Std().String(), "a duration above 0")
		}
	}
	if c.Timeouts.Resume < c.Timeouts.Ack {
		return settings.NewError("/timeouts/resume", c.Timeouts.Resume.Std().String(), "at least /timeouts/ack")
	}
	return nil
}

// staticInstances returns the peers listed in the settings as instances.
func (c *config) staticInstances() []wire.Instance {
	l := make([]wire.Instance, 0, len(c.Peers))
	for _, p := range c.Peers {
		l = append(l, wire.Instance{Name: p.Name, Role: p.Role, Address: p.Address, State: "live"})
	}
	return l
}
