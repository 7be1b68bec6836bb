package event

import "log/slog"

// Events of all programs.
var (
	Started             = define(100, slog.LevelInfo, "process started")
	Stopping            = define(101, slog.LevelInfo, "graceful stop begins")
	Stopped             = define(102, slog.LevelInfo, "process stopped")
	Reloaded            = define(105, slog.LevelInfo, "settings read again")
	TaskPanicked        = define(103, slog.LevelError, "task ended by a panic")
	TaskRestarted       = define(104, slog.LevelWarn, "supervisor restarts a task")
	LinkOpened          = define(110, slog.LevelInfo, "link opened")
	LinkClosed          = define(111, slog.LevelInfo, "link closed")
	LinkRefused         = define(112, slog.LevelWarn, "link refused: peer failed to authenticate")
	LinkMalformed       = define(113, slog.LevelWarn, "link closed: malformed frame")
	LinkTimedOut        = define(114, slog.LevelWarn, "link closed: no acknowledgement in time")
	StoreDown           = define(120, slog.LevelWarn, "object store does not answer")
	StoreRecovered      = define(121, slog.LevelInfo, "object store answers again")
	StoreReadBack       = define(122, slog.LevelInfo, "lost store answer resolved by reading back")
	StoreRelayed        = define(123, slog.LevelInfo, "object store reached through another entry")
	VersionNamed        = define(130, slog.LevelInfo, "weight version named")
	ServerKnown         = define(131, slog.LevelInfo, "server became known")
	ServerChanged       = define(132, slog.LevelInfo, "server changed its state or incarnation")
	ServerGone          = define(133, slog.LevelInfo, "server is gone")
	ServerLeaves        = define(139, slog.LevelInfo, "server announced that it is leaving")
	WatchHistoryExpired = define(134, slog.LevelWarn, "store dropped the history of a watch; the list is read again")
	WatchFailed         = define(135, slog.LevelWarn, "watch of the store failed")
	WatchRecovered      = define(136, slog.LevelInfo, "watch of the store recovered")
	ObjectInvalid       = define(137, slog.LevelWarn, "object of the store cannot be used")
	WatchRenewed        = define(138, slog.LevelInfo, "watch restarted: another entry has newer changes, or no entry reports")
)
