// Package wire defines the messages exchanged between the bulrushspoke processes, the bodies of the HTTP API, the objects
// kept in the platform's store, and the bodies of the engine protocol.
//
// # Usage
//
// The types are generated from the JSON schemas in the folder schema; run "make generate" after changing a schema.
// Messages between processes are encoded as CBOR, everything else as JSON, with the same field names. Field comments
// state the units; durations are in whole milliseconds unless a comment says otherwise.
package wire
