package event

import "log/slog"

// Events of the daemon.
var (
	EngineCrashed      = define(2000, slog.LevelError, "engine crashed with requests in flight")
	EngineCancelFailed = define(2001, slog.LevelWarn, "engine did not take a cancel")
	ServerDown         = define(2002, slog.LevelWarn, "server does not answer")
	ServerUp           = define(2003, slog.LevelInfo, "server answers")
	DrainBegins        = define(2010, slog.LevelInfo, "drain begins")
	DrainEnds          = define(2011, slog.LevelInfo, "drain ends")
	DrainCut           = define(2012, slog.LevelWarn, "drain limit reached with work in flight")
	MessageUnknown     = define(2021, slog.LevelWarn, "message of an unknown kind ignored")
	SettingsInvalid    = define(2020, slog.LevelError, "settings are invalid")
)
