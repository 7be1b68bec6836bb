package event

import "log/slog"

// Events of the entry's trainer API.
var (
	StepOwnershipAcquired = define(1300, slog.LevelWarn, "step taken over from an entry that does not answer")
	StepOwnershipLost     = define(1301, slog.LevelWarn, "ownership of a step lost")
	StepUnlogged          = define(1302, slog.LevelWarn, "step runs without its log while the object store is down")
	StepLogRejoined       = define(1303, slog.LevelInfo, "step reconciled with its log after an outage")
	StepEndLost           = define(1304, slog.LevelWarn, "end of a step that another entry owns not written")
)
