// Package wire holds the messages between the processes of bulrushspoke, the bodies of its HTTP interface, the
// objects it keeps in the platform's store, and the bodies of the engine protocol.
//
// # Usage
//
// The types are generated from the JSON schemas in the folder schema; run "make generate" after a change there.
// Between processes they are encoded as CBOR, elsewhere as JSON, with the same field names. Field comments state
// units; durations are whole milliseconds unless a comment says otherwise.
package wire
