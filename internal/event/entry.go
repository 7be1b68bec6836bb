package event

import "log/slog"

// Events of the entry.
var (
	RequestFailed = define(1000, slog.LevelError, "request failed by an internal error")
	LinkMisnamed  = define(1001, slog.LevelWarn, "link closed: another process answers at the address")
	StopCut       = define(1002, slog.LevelWarn, "graceful stop cut off requests at its time limit")
	ListDown      = define(1010, slog.LevelWarn, "instance list cannot be read")
	ListBack      = define(1011, slog.LevelInfo, "instance list can be read again")
	ConfigApplied = define(1020, slog.LevelInfo, "configuration applied")
	ConfigInvalid = define(1021, slog.LevelError, "configuration in the store is invalid and not applied")
)
