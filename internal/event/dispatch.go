package event

import "log/slog"

// Events of the entry's request path.
var (
	ContentSuspect  = define(1200, slog.LevelWarn, "server crashed: request content is suspect")
	ContentRejected = define(1201, slog.LevelError, "request content refused: it crashes servers")
	ClaimMoved      = define(1210, slog.LevelInfo, "claim moved to another daemon")
)
