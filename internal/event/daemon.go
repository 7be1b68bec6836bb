package event

import "log/slog"

// Events of the daemon.
var (
	EngineCrashed      = define(2000, slog.LevelError, "engine crashed with requests in flight")
	EngineCancelFailed = define(2001, slog.LevelWarn, "engine did not accept a cancellation")
	ServerDown         = define(2002, slog.LevelWarn, "server does not answer")
	ServerUp           = define(2003, slog.LevelInfo, "server answers")
	DrainBegins        = define(2010, slog.LevelInfo, "drain begins")
	DrainEnds          = define(2011, slog.LevelInfo, "drain ends")
	DrainTimedOut      = define(2012, slog.LevelWarn, "drain limit reached with work in flight")
	WeightsOrdered     = define(2030, slog.LevelInfo, "weight version ordered")
	WeightsLoaded      = define(2031, slog.LevelInfo, "server runs the weight version of its target")
	WeightsDiffer      = define(2032, slog.LevelWarn, "server does not run the weight version of its target")
	OwnershipAcquired  = define(2033, slog.LevelInfo, "this process owns a server")
	OwnedElsewhere     = define(2034, slog.LevelWarn, "another process owns a server")
	MessageUnknown     = define(2021, slog.LevelWarn, "message of an unknown kind ignored")

	OrderGiven           = define(2050, slog.LevelInfo, "order given to the engine")
	OrderUnanswered      = define(2051, slog.LevelWarn, "order to the engine got no answer")
	OrderDone            = define(2053, slog.LevelInfo, "engine completed a load order")
	EngineModelsAssigned = define(2054, slog.LevelInfo, "models assigned to the engine changed")
	VersionWatchRole     = define(2055, slog.LevelInfo, "daemon starts or stops watching the published versions")
	DatagramFailed       = define(2056, slog.LevelWarn, "datagram to or from another daemon failed")
	EngineSilent         = define(2052, slog.LevelWarn, "engine state cannot be read")
)
