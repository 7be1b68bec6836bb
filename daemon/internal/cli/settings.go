package cli

import (
	_ "embed"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"bulrushspoke/internal/settings"
)

// schema validates the settings file; its descriptions and defaults are the reference for docs/settings.md.
//
//go:embed settings.schema.json
var schema []byte

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
	Log        logConfig         `json:"log"`
}

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

type logConfig struct {
	Level  slog.Level `json:"level"`
	Format string     `json:"format"`
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
		Log: logConfig{Level: slog.LevelInfo, Format: "json"},
	}
}

// load reads the settings file and the secret.
func load(path string) (config, error) {
	c := defaults()
	if err := settings.Load(path, schema, &c); err != nil {
		return c, err
	}
	if c.Advertise == "" {
		c.Advertise = c.Listen
	}
	if c.SecretFile != "" {
		b, err := os.ReadFile(c.SecretFile)
		if err != nil {
			return c, eris.Wrap(err, "cli: secret")
		}
		c.Secret = strings.TrimSpace(string(b))
		if c.Secret == "" {
			return c, eris.Errorf("cli: secret file %s is empty", c.SecretFile)
		}
	}
	seen := make(map[string]bool)
	for i, s := range c.Servers {
		if seen[s.Name] {
			return c, fmt.Errorf("cli: /servers/%d/name is %q: names of servers must differ", i, s.Name)
		}
		seen[s.Name] = true
	}
	if c.Poll.Std() <= 0 {
		return c, fmt.Errorf("cli: /poll is %q: must be above 0s", c.Poll.Std())
	}
	return c, nil
}

func (c logConfig) logger() *slog.Logger {
	o := &slog.HandlerOptions{Level: c.Level}
	if c.Format == "text" {
		return slog.New(slog.NewTextHandler(os.Stderr, o))
	}
	return slog.New(slog.NewJSONHandler(os.Stderr, o))
}
