package program

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"bulrushspoke/internal/event"
	"bulrushspoke/internal/linelog"
	"bulrushspoke/internal/node"
)

const (
	// SecretEnv names the environment variable with the secret that our processes on the platform prove to each other.
	SecretEnv = "BULRUSHSPOKE_SECRET"
	// StoreTimeout bounds a call to the platform's store, which answers in 4 ms and in a quarter of a second when slow.
	StoreTimeout = time.Second
	// secretLeast is the shortest secret in bytes, as in our own settings files.
	secretLeast = 16
)

// Secret returns the secret of the deployment. Its error is a *node.Error.
func Secret() ([]byte, error) {
	s := os.Getenv(SecretEnv)
	if len(s) < secretLeast {
		return nil, node.NewError(SecretEnv, fmt.Sprintf("has %d bytes and needs %d", len(s), secretLeast))
	}
	return []byte(s), nil
}

// Lines returns the log of a process on the platform, which never blocks, and the writer to be closed at the end.
func Lines(name string) (*linelog.Writer, *slog.Logger) {
	lines := linelog.New(os.Stdout)
	return lines, slog.New(slog.NewJSONHandler(lines, nil)).With("name", name)
}

// OnHangup reads the settings again at each SIGHUP until ctx ends, so that an error in them shows in the log. What a
// running process was started with stays as it is.
func OnHangup(ctx context.Context, read func() error, logger *slog.Logger) {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	for {
		select {
		case <-c:
			cause := ""
			if err := read(); err != nil {
				cause = err.Error()
			}
			event.Reloaded.Log(logger, "cause", cause)
		case <-ctx.Done():
			return
		}
	}
}
