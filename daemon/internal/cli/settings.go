package cli

import (
	"fmt"
	"log/slog"
	"time"

	"bulrushspoke/internal/program"
	"bulrushspoke/internal/schema"
	"bulrushspoke/internal/settings"
)

// config holds the settings of the daemon; docs/settings.md describes each one.
type config struct {
	Name       string            `json:"name"`
	Domain     string            `json:"domain"`
	Region     string            `json:"region"`
	Listen     string            `json:"listen"`
	Advertise  string            `json:"advertise"`
	Secret     string            `json:"secret"`
	SecretFile string            `json:"secretfile"`
	Store      storeConfig       `json:"store"`
	Servers    []serverConfig    `json:"servers"`
	Queue      queueConfig       `json:"queue"`
	Drain      settings.Duration `json:"drain"`
	Handover   settings.Duration `json:"handover"`
	Stagger    settings.Duration `json:"stagger"`
	Poll       settings.Duration `json:"poll"`
	Retain     retainConfig      `json:"retain"`
	Log        program.Log       `json:"log"`

	askGrace time.Duration // not a setting; see defaultAskGrace
}

// defaultAskGrace is how long an ask frame for an unknown key waits for the work message with that key. The claim is
// written just before the work is sent, and links between regions take 12 ms. An entry abandons an ask after 1 s.
const defaultAskGrace = 100 * time.Millisecond

type storeConfig struct {
	URL     string            `json:"url"`
	Timeout settings.Duration `json:"timeout"`
}

type serverConfig struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	URL     string `json:"url"`
	Slots   int    `json:"slots"`
	Fencing *bool  `json:"fencing"`
}

// fencingEnabled reports whether the engine rejects outdated fencing tokens; the default is true.
func (s serverConfig) fencingEnabled() bool { return s.Fencing == nil || *s.Fencing }

type queueConfig struct {
	Live  int `json:"live"`
	Train int `json:"train"`
}

type retainConfig struct {
	Bytes   int64             `json:"bytes"`
	Keys    int               `json:"keys"`
	Samples settings.Duration `json:"samples"`
	Others  settings.Duration `json:"others"`
}

func defaults() config {
	return config{
		Store:    storeConfig{Timeout: settings.Duration(time.Second)},
		Queue:    queueConfig{Live: 256, Train: 1024},
		Drain:    settings.Duration(10 * time.Minute),
		Handover: settings.Duration(30 * time.Second),
		Stagger:  settings.Duration(10 * time.Second),
		Poll:     settings.Duration(5 * time.Second),
		Retain: retainConfig{
			Bytes:   64 << 20,
			Keys:    200_000,
			Samples: settings.Duration(30 * time.Minute),
			Others:  settings.Duration(2 * time.Minute),
		},
		Log:      program.Log{Level: slog.LevelInfo, Format: "json"},
		askGrace: defaultAskGrace,
	}
}

// load reads the settings file and the secret. Errors other than a failure to read the file are of type *settings.Error.
func load(path string) (config, error) {
	c := defaults()
	if err := settings.Load(path, schema.Daemon, &c); err != nil {
		return c, err
	}
	if c.Advertise == "" {
		c.Advertise = c.Listen
	}
	var err error
	if c.Secret, err = settings.Secret(c.Secret, c.SecretFile); err != nil {
		return c, err
	}
	return c, c.check()
}

// check validates the rules that the JSON schema cannot express.
func (c *config) check() error {
	seen := make(map[string]bool)
	for i, s := range c.Servers {
		if seen[s.Name] {
			return settings.NewError(fmt.Sprintf("/servers/%d/name", i), s.Name, "each name must be unique")
		}
		seen[s.Name] = true
	}
	for path, d := range map[string]settings.Duration{
		"/poll":           c.Poll,
		"/store/timeout":  c.Store.Timeout,
		"/retain/samples": c.Retain.Samples,
		"/retain/others":  c.Retain.Others,
	} {
		if d <= 0 {
			return settings.NewError(path, d.Std().String(), "a duration above 0")
		}
	}
	return nil
}
