// Package call holds what the processes know of one request and its answer, whatever protocol carried them.
//
// # Usage
//
//	var codec Codec // of the deployment's adapter
//	r := codec.Request(header)
//	codec.Attempt(header, call.Attempt{Server: id, Left: left})
package call

import "time"

// Request is what a client says of its request.
type Request struct {
	ID       string        // names this attempt of the client; empty if the client sent none
	Deadline time.Duration // how long the client waits; 0 if it did not say
	Wait     time.Duration // how long a read may be held open for news
	After    int           // the client holds the events of a stream up to this one; 0 for none
}

// Attempt is what one server is told beside the client's own headers.
type Attempt struct {
	Server string        // only this incarnation may run the request
	Left   time.Duration // time until the request is given up
	After  int           // resume the stream after this event; 0 starts it
}

// Answer is what a server says of its answer beside status and body.
type Answer struct {
	ID        string // the request that is answered
	Signature string // of the server; empty if the answer bears none
	NotRun    bool   // the server states that it did not run the request
	Leaving   bool   // the server states that it is about to leave
	Version   int    // weight version that the answer begins under; 0 if none was named
}

// CauseForeign tells in logs that an answer was foreign.
const CauseForeign = "the answer belongs to another request or bears no signature"

// Meaning is what an answer says of the request that it was received for.
type Meaning int

// Meanings of answers.
const (
	// Foreign answers belong to another request, or to no server; they say nothing of this request.
	Foreign Meaning = iota
	// NotRun answers prove that the server has not run the request and will not.
	NotRun
	// Genuine answers are the server's own to this request.
	Genuine
)

// Meaning returns what the answer says of the request with the given id. The id is compared before anything else is
// believed: the answer to an earlier request on the same connection may arrive late.
func (a Answer) Meaning(id string) Meaning {
	switch {
	case a.ID != id && a.ID != "":
		return Foreign
	case a.NotRun:
		return NotRun
	case a.ID != id || a.Signature == "":
		return Foreign
	}
	return Genuine
}
