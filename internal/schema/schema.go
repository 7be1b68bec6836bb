// Package schema embeds the JSON schemas of the settings files. The programs validate their settings with them, and
// bulrushctl checks files offline.
//
// # Usage
//
//	err := settings.Load(path, schema.Entry, &s)
package schema

import _ "embed" // for go:embed

// Entry is the JSON schema of the settings of bulrush-entry.
//
//go:embed entry.json
var Entry []byte

// Daemon is the JSON schema of the settings of bulrush-daemon.
//
//go:embed daemon.json
var Daemon []byte
