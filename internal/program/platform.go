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
	// SecretEnv is the environment variable with the secret by which processes on the platform authenticate each other.
	SecretEnv = "BULRUSHSPOKE_SECRET"
	// StoreTimeout bounds a call to the platform's store, which responds in 4 ms, and in 250 ms when slow.
	StoreTimeout = time.Second
	// minSecretBytes is the minimum length of the secret in bytes, as in the settings files.
	minSecretBytes = 16
)

// Secret returns the secret of the deployment from the environment. Its error is a *node.Error.
func Secret() ([]byte, error) {
	s := os.Getenv(SecretEnv)
	if len(s) < minSecretBytes {
		return nil, node.NewError(SecretEnv, fmt.Sprintf("has %d bytes, at least %d are required", len(s), minSecretBytes))
	}
	return []byte(s), nil
}

// NewLogger returns the logger of a process on the platform and its writer, which never blocks. The caller closes the writer
// before the process exits.
func NewLogger(name string) (*linelog.Writer, *slog.Logger) {
	lines := linelog.New(os.Stdout)
	return lines, slog.New(slog.NewJSONHandler(lines, nil)).With("name", name)
}

// ignoreHangup keeps SIGHUP, which announces changed settings, from ending the process until RereadOnHangup handles it. The
// startup reads the settings anyway. Unlike with signal.Ignore, child processes are not affected.
func ignoreHangup() { signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) }

// RereadOnHangup calls read at each SIGHUP until ctx ends and logs the result, so that changed settings can be checked.
// The running process keeps the settings that it was started with.
func RereadOnHangup(ctx context.Context, read func() error, logger *slog.Logger) {
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
