// Package report defines the JSON bodies that tests use to control the simulated systems and to read what they
// recorded.
//
// # Usage
//
// Tests POST a *Control body to the path /control of a simulated system; fields that are absent leave their setting as
// it is. Durations are whole milliseconds. The other types are the responses of /counts and /history, and the summary
// of a trainer.
package report

import (
	"bulrushspoke/wire"
)

// StoreControl injects faults into the object store.
type StoreControl struct {
	Outage   *string `json:"outage,omitempty"`    // "refuse" answers 503, "hang" sends no response, "" ends it
	For      int64   `json:"for,omitempty"`       // milliseconds until the outage ends, 0 for no limit
	Slow     *int64  `json:"slow,omitempty"`      // delay of each call in milliseconds
	Lose     *int    `json:"lose,omitempty"`      // number of writes that are applied but whose responses are lost
	LoseKind *string `json:"lose_kind,omitempty"` // object kind of those writes, empty for any
}

// StoreCounts counts the calls to the object store.
type StoreCounts struct {
	Calls   map[string]int64 `json:"calls"`   // by type: get, put, delete, list, watch
	Kinds   map[string]int64 `json:"kinds"`   // by type and object kind, such as "put claim"
	Refused int64            `json:"refused"` // calls that failed in an outage, hanging ones included
	Lost    int64            `json:"lost"`    // writes whose responses were lost
	Version int64            `json:"version"` // version of the last write
}

// StoreWrite is one write that was applied.
type StoreWrite struct {
	Version int64  `json:"version"`
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Gone    bool   `json:"gone,omitempty"` // the write deleted the object
	At      int64  `json:"at"`             // Unix time in milliseconds
	Bytes   int    `json:"bytes"`
}

// EngineControl injects faults into an engine.
type EngineControl struct {
	Slow  *float64 `json:"slow,omitempty"`  // divides the token rate; 1 ends a slowdown
	For   int64    `json:"for,omitempty"`   // milliseconds until the slowdown ends, 0 for no limit
	Fail  *int     `json:"fail,omitempty"`  // number of weight loads that fail, counted from the next one to end
	Crash bool     `json:"crash,omitempty"` // crashes the engine shortly after the response
}

// EngineRun is one completion request as the engine recorded it.
type EngineRun struct {
	ID      string      `json:"id"`
	Prompt  string      `json:"prompt"` // hash of the prompt
	Start   int64       `json:"start"`  // Unix time in milliseconds when the request was received
	Begin   int64       `json:"begin"`  // Unix time in milliseconds when it got a slot, 0 if it never did
	End     int64       `json:"end"`    // Unix time in milliseconds when it ended, 0 while it is queued or runs
	Held    int         `json:"held"`   // tokens that the request already contained
	Made    int         `json:"made"`   // tokens that this run generated
	Spans   []wire.Span `json:"spans"`  // weight versions of the tokens that this run generated
	Outcome string      `json:"outcome"`
	Cached  int         `json:"cached"` // prompt blocks found in the prefix cache
}

// EngineLoad is one request to load weights.
type EngineLoad struct {
	Version int64  `json:"version"`
	Fence   int64  `json:"fence"`   // fencing token
	At      int64  `json:"at"`      // Unix time in milliseconds when the request was received
	Outcome string `json:"outcome"` // loaded, present, failed, replaced, fenced, crashed, or loading
}

// EngineHistory is everything that an engine has recorded; it survives crashes.
type EngineHistory struct {
	Runs    []EngineRun  `json:"runs"`
	Loads   []EngineLoad `json:"loads"`
	Crashes int          `json:"crashes"`
	Hits    int64        `json:"hits"`   // prompt blocks found in the prefix cache
	Misses  int64        `json:"misses"` // prompt blocks that had to be computed
	Tokens  int64        `json:"tokens"`
}

// ServiceControl injects faults into a plain service.
type ServiceControl struct {
	Delay   *int64  `json:"delay,omitempty"`    // duration of each run in milliseconds
	Lose    *int    `json:"lose,omitempty"`     // number of runs after which the connection is closed without a response
	LoseKey *string `json:"lose_key,omitempty"` // idempotency key of those runs, empty for any
}

// ServiceAnswer is the response body of a plain service.
type ServiceAnswer struct {
	Path string `json:"path"`
	Key  string `json:"key"`  // idempotency key of the request
	Runs int    `json:"runs"` // runs with this key so far
}

// ServiceCounts counts the runs of a plain service.
type ServiceCounts struct {
	Keys  map[string]int `json:"keys"`  // by idempotency key; requests without a key are not included
	Paths map[string]int `json:"paths"` // by path
	Total int            `json:"total"`
	Lost  int            `json:"lost"` // runs whose responses were lost
	Runs  []ServiceRun   `json:"runs"`
}

// ServiceRun is one request that a plain service executed.
type ServiceRun struct {
	Key  string `json:"key"`
	Path string `json:"path"`
	At   int64  `json:"at"` // Unix time in milliseconds when the run began
}

// ScorerCounts counts the scoring requests by the identifier of the text.
type ScorerCounts struct {
	Score map[string]int `json:"score"`
}

// InstancesControl changes the list of instances. Set and Remove become visible after the lag, Wrong and Right at once.
type InstancesControl struct {
	Set    []wire.Instance `json:"set,omitempty"`    // added, or replaced by name
	Remove []string        `json:"remove,omitempty"` // names
	Wrong  []wire.Instance `json:"wrong,omitempty"`  // incorrect entries that override those of the list by name
	Right  bool            `json:"right,omitempty"`  // removes all incorrect entries
	Lag    *int64          `json:"lag,omitempty"`    // milliseconds
}

// RelayControl changes what a relay does to its connections.
type RelayControl struct {
	Silent *string `json:"silent,omitempty"` // kind of silence, see the package relay; "" ends it for new connections
	Cut    bool    `json:"cut,omitempty"`    // closes all connections
	Up     *int64  `json:"up,omitempty"`     // delay of bytes to the target in milliseconds
	Down   *int64  `json:"down,omitempty"`   // delay of bytes from the target in milliseconds
}

// RelayCounts counts connections and bytes.
type RelayCounts struct {
	Open   int   `json:"open"`
	Total  int   `json:"total"`
	Up     int64 `json:"up"`     // bytes to the target
	Down   int64 `json:"down"`   // bytes from the target
	Silent int64 `json:"silent"` // bytes dropped on silent connections, in either direction
}

// Step is the summary of a step that a trainer prints.
type Step struct {
	Run        string           `json:"run"`
	Step       int              `json:"step"`
	Slots      int              `json:"slots"`
	Samples    int              `json:"samples"`
	Tokens     int64            `json:"tokens"`
	Idle       int64            `json:"idle"`     // milliseconds spent in pulls, waiting for samples
	Total      int64            `json:"total"`    // milliseconds from the start to the end of the work on all samples
	Versions   map[string]int64 `json:"versions"` // tokens by weight version
	Oldest     int64            `json:"oldest"`   // largest age of a sample when it was accepted, in weight versions
	Pulls      int              `json:"pulls"`
	Errors     int              `json:"errors"`   // calls that failed
	Rejected   int              `json:"rejected"` // responses checked against an older weight version than the trainer's
	Reopened   int              `json:"reopened"` // times that the step was opened again after an error
	Duplicates int              `json:"duplicates"`
	Problems   []string         `json:"problems"` // violations that the trainer found, at most 50
	Accepted   []Accepted       `json:"accepted"`
}

// Accepted is one sample that a trainer accepted.
type Accepted struct {
	Group string      `json:"group"`
	Index int         `json:"index"`
	ID    string      `json:"id"`
	Age   int64       `json:"age"` // in weight versions
	Spans []wire.Span `json:"spans"`
	At    int64       `json:"at"` // milliseconds after the start of the trainer
}
