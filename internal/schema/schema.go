// Package schema holds the JSON schemas of the programs' settings files, which the programs and bulrushctl share.
package schema

import _ "embed" // the schemas

// Entry is the schema of the settings of bulrush-entry.
//
//go:embed entry.json
var Entry []byte

// Daemon is the schema of the settings of bulrush-daemon.
//
//go:embed daemon.json
var Daemon []byte
