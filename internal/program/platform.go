package program

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"bulrushspoke/internal/event"
	"bulrushspoke/internal/linelog"
)

const (
	// SecretEnv names the environment variable with the secret that our processes on the platform prove to each other.
	SecretEnv = "BULRUSHSPOKE_SECRET"
	// StoreTimeout bounds a call to the platform's store, which answers in 4 ms and in a quarter of a second when slow.
	StoreTimeout = time.Second
)

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
