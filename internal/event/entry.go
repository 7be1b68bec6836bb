package event

import "log/slog"

// Events of the entry.
var (
	RequestFailed = define(1000, slog.LevelError, "request failed by an internal error")
	LinkMisnamed  = define(1001, slog.LevelWarn, "link closed: another process answers at the address")
)
