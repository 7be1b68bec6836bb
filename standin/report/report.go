// Package report holds the JSON bodies by which tests control the stand-ins and read what they have seen.
//
// # Usage
//
// POST a *Control body to the path /control of a stand-in; only the fields that are present change something.
// Durations are whole milliseconds. The answers of /counts and /history are the other types.
package report

import (
	"bulrushspoke/wire"
)

// StoreControl injects faults into the object store.
type StoreControl struct {
	Outage   *string `json:"outage,omitempty"`    // "refuse" answers 503 at once, "hang" answers nothing, "" ends it
	For      int64   `json:"for,omitempty"`       // milliseconds after which the outage ends by itself, 0 for never
	Slow     *int64  `json:"slow,omitempty"`      // milliseconds that each call takes
	Lose     *int    `json:"lose,omitempty"`      // number of writes whose answers are lost after they took effect
	LoseKind *string `json:"lose_kind,omitempty"` // kind of those writes, empty for any
}

// StoreCounts counts the calls to the object store.
type StoreCounts struct {
	Calls   map[string]int64 `json:"calls"` // by type: get, put, delete, list, watch
	Kinds   map[string]int64 `json:"kinds"` // by type and kind, such as "put claim"
	Refused int64            `json:"refused"`
	Lost    int64            `json:"lost"`
	Version int64            `json:"version"`
}

// StoreWrite is one write that took effect.
type StoreWrite struct {
	Version int64  `json:"version"`
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Gone    bool   `json:"gone,omitempty"`
	At      int64  `json:"at"` // Unix time in milliseconds
	Bytes   int    `json:"bytes"`
}

// EngineControl injects faults into an engine.
type EngineControl struct {
	Slow  *float64 `json:"slow,omitempty"`  // divides the token rate; 1 ends a slow spell
	For   int64    `json:"for,omitempty"`   // milliseconds after which the slow spell ends, 0 for never
	Fail  *int     `json:"fail,omitempty"`  // number of loads that fail partway
	Crash bool     `json:"crash,omitempty"` // crashes shortly after the answer
}

// EngineRun is one run of a completion as the engine saw it.
type EngineRun struct {
	ID      string      `json:"id"`
	Prompt  string      `json:"prompt"` // hash of the prompt
	Start   int64       `json:"start"`  // Unix time in milliseconds when it was received
	Begin   int64       `json:"begin"`  // when it got a slot, 0 if never
	End     int64       `json:"end"`    // 0 while it runs
	Held    int         `json:"held"`   // tokens that it resumed after
	Made    int         `json:"made"`   // tokens that this run produced
	Spans   []wire.Span `json:"spans"`  // versions of the tokens that this run produced
	Outcome string      `json:"outcome"`
	Cached  int         `json:"cached"` // prompt blocks found in the prefix cache
}

// EngineLoad is one order to load weights.
type EngineLoad struct {
	Version int64  `json:"version"`
	Fence   int64  `json:"fence"`
	At      int64  `json:"at"`
	Outcome string `json:"outcome"` // loaded, present, failed, replaced, fenced, crashed, or loading
}

// EngineHistory is everything that an engine has seen; it outlives crashes.
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
	Delay   *int64  `json:"delay,omitempty"`    // milliseconds that each run takes
	Lose    *int    `json:"lose,omitempty"`     // number of runs whose connection is closed after the run
	LoseKey *string `json:"lose_key,omitempty"` // key of those runs, empty for any
}

// ServiceAnswer is the body of each answer of a plain service.
type ServiceAnswer struct {
	Path string `json:"path"`
	Key  string `json:"key"`
	Runs int    `json:"runs"`
}

// ServiceCounts counts the runs of a plain service.
type ServiceCounts struct {
	Keys  map[string]int `json:"keys"`  // by idempotency key, calls without a key left out
	Paths map[string]int `json:"paths"` // by path
	Total int            `json:"total"`
	Lost  int            `json:"lost"`
	Runs  []ServiceRun   `json:"runs"`
}

// ServiceRun is one run of a plain service.
type ServiceRun struct {
	Key  string `json:"key"`
	Path string `json:"path"`
	At   int64  `json:"at"` // Unix time in milliseconds when it began
}

// ScorerCounts counts the scores by the identifier of the text.
type ScorerCounts struct {
	Score map[string]int `json:"score"`
}

// InstancesControl changes the list of instances. The list that is answered follows after the lag.
type InstancesControl struct {
	Set    []wire.Instance `json:"set,omitempty"`    // added, or replaced by name
	Remove []string        `json:"remove,omitempty"` // names
	Wrong  []wire.Instance `json:"wrong,omitempty"`  // entries that are shown at once, whatever the list holds
	Right  bool            `json:"right,omitempty"`  // ends the wrong entries
	Lag    *int64          `json:"lag,omitempty"`    // milliseconds
}

// RelayControl changes what a relay does to its connections.
type RelayControl struct {
	Silent *string `json:"silent,omitempty"` // "all" or "existing" connections drop every byte, "up" or "down" all of one way; "" ends it for new ones
	Cut    bool    `json:"cut,omitempty"`    // closes all connections
	Up     *int64  `json:"up,omitempty"`     // milliseconds that bytes to the target are late
	Down   *int64  `json:"down,omitempty"`   // milliseconds that bytes from the target are late
}

// RelayCounts counts connections and bytes.
type RelayCounts struct {
	Open   int   `json:"open"`
	Total  int   `json:"total"`
	Up     int64 `json:"up"`   // bytes to the target
	Down   int64 `json:"down"` // bytes from the target
	Silent int64 `json:"silent"`
}

// Step is the summary that a trainer prints.
type Step struct {
	Run        string           `json:"run"`
	Step       int              `json:"step"`
	Slots      int              `json:"slots"`
	Samples    int              `json:"samples"`
	Tokens     int64            `json:"tokens"`
	Idle       int64            `json:"idle"`  // milliseconds spent waiting for samples
	Total      int64            `json:"total"` // milliseconds from opening to the last sample
	Versions   map[string]int64 `json:"versions"`
	Oldest     int64            `json:"oldest"` // largest age of a sample when it was accepted, in weight versions
	Pulls      int              `json:"pulls"`
	Errors     int              `json:"errors"`   // calls that failed and were made again
	Rejected   int              `json:"rejected"` // answers checked against an older version than the trainer's
	Reopened   int              `json:"reopened"`
	Duplicates int              `json:"duplicates"`
	Problems   []string         `json:"problems"`
	Accepted   []Accepted       `json:"accepted"`
}

// Accepted is one sample that a trainer took.
type Accepted struct {
	Group string      `json:"group"`
	Index int         `json:"index"`
	ID    string      `json:"id"`
	Age   int64       `json:"age"`
	Spans []wire.Span `json:"spans"`
	At    int64       `json:"at"` // milliseconds after opening
}
