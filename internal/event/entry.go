package event

import "log/slog"

// Events of the entry.
var (
	RequestFailed = define(1000, slog.LevelError, "request failed by an internal error")
)
