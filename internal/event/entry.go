package event

import "log/slog"

// Events of the entry.
var (
	RequestFailed           = define(1000, slog.LevelError, "request failed by an internal error")
	LinkWrongPeer           = define(1001, slog.LevelWarn, "link closed: another process answers at the address")
	ShutdownTimedOut        = define(1002, slog.LevelWarn, "graceful stop cut off requests at its time limit")
	InstanceListUnavailable = define(1010, slog.LevelWarn, "instance list cannot be read")
	InstanceListRecovered   = define(1011, slog.LevelInfo, "instance list can be read again")
	ConfigApplied           = define(1020, slog.LevelInfo, "configuration applied")
	ConfigInvalid           = define(1021, slog.LevelError, "configuration in the store is invalid and not applied")
	RequestServed           = define(1030, slog.LevelInfo, "request answered")
	RequestRefused          = define(1031, slog.LevelInfo, "request refused or failed")
	ConnectionsRefused      = define(1032, slog.LevelWarn, "client connections refused: file descriptor limit reached")
	JobAccepted             = define(1040, slog.LevelInfo, "batch job accepted")
	JobRefused              = define(1041, slog.LevelWarn, "batch job refused")
	JobOwnershipAcquired    = define(1042, slog.LevelInfo, "ownership of a batch job taken")
	JobOwnershipLost        = define(1043, slog.LevelInfo, "ownership of a batch job lost")
	JobEnded                = define(1044, slog.LevelInfo, "batch job ended")
	ResultsListed           = define(1045, slog.LevelInfo, "results listed")
	ItemAttempt             = define(1046, slog.LevelInfo, "attempt of an item ended")
	ItemGivenUp             = define(1047, slog.LevelWarn, "item given up")
	TextsRestored           = define(1048, slog.LevelInfo, "texts of a former owner restored")
	RewardAttempt           = define(1049, slog.LevelInfo, "attempt of a reward call ended")
	OldJobsRemoved          = define(1051, slog.LevelInfo, "old jobs removed from the store")
	MoveFailed              = define(1052, slog.LevelInfo, "item stays at its server: the server that it was to move to did not continue it")
	StepCompleted           = define(1053, slog.LevelInfo, "all results that the trainer waits for are listed")
	JobEndFound             = define(1054, slog.LevelInfo, "end of a batch job found in the store")
	InstanceRetiring        = define(1050, slog.LevelInfo, "instance is to be removed; it holds nothing that must be kept")
)
