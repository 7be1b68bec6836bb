// Package call holds the metadata of one HTTP request and its response, independent of the headers that carry it.
//
// # Usage
//
//	var codec Codec // of the platform adapter; maps the metadata to headers
//	r := codec.Request(header)
//	codec.Attempt(header, call.Attempt{Server: id, Left: left})
//	switch answer.Meaning(r.ID) { … }
package call

import "time"

// Request is the metadata that a client sends with its request.
type Request struct {
	ID        string        // identifies this attempt of the client; empty if the client sent none
	Deadline  time.Duration // how long the client waits for the answer; 0 if unknown
	MaxWait   time.Duration // how long a read may be held open until there is something to return
	LastEvent int           // number of the last event of a stream that the client has received; 0 for none
	Prompt    Prompt        // what the client states about the prompt
}

// Attempt is the metadata that is sent to a server in addition to the client's headers.
type Attempt struct {
	Server      string        // ID of the only server incarnation that may run the request
	Timeout     time.Duration // time until the request is abandoned
	ResumeAfter int           // number of the event after which the stream is resumed; 0 for its start
}

// Sender is on whose behalf a request is sent to a server. The zero value stands for a deployment without workspaces, in
// which what the client states is passed on.
type Sender struct {
	StripCredentials bool              // the client's credentials and its statement of a workspace are removed
	IsSecret         func(string) bool // reports whether a text contains a key, so that its header is removed; nil for never
	Workspace        string            // name of the workspace; empty for none
	StripPriority    bool              // the client's statement of a priority is removed
	HasPriority      bool              // Priority is sent to the server
	Priority         int               // 0 is run first
}

// Answer is the metadata that a server sends with its response.
type Answer struct {
	ID        string // ID of the request that is answered
	Signature string // signature of the server; empty if there is none
	NotRun    bool   // the server states that it did not run the request
	Leaving   bool   // the server states that it is about to shut down
	Version   int    // weight version that the answer starts with; 0 if none was given
	Limit     Limit  // what the server states about the rate of requests that it accepts
}

// Limit is a server's statement about the rate of requests that it accepts from all senders together. The zero value means
// that the answer states no limit.
type Limit struct {
	Stated  bool    // the answer states a limit
	Invalid bool    // the stated value is not a rate
	Rate    float64 // requests a second, finite and not negative; only set if the limit is valid
}

// CauseForeign is the log text for answers whose Meaning is Foreign.
const CauseForeign = "the answer belongs to another request or bears no signature"

// Meaning classifies an answer with respect to the request that it was received for.
type Meaning int

// Meanings of answers.
const (
	// Foreign answers belong to another request or do not come from a server, so they prove nothing about this request.
	Foreign Meaning = iota
	// NotRun answers prove that the server has not run the request and will not run it.
	NotRun
	// Genuine answers come from the server and belong to this request.
	Genuine
)

// Meaning classifies the answer with respect to the request with the given id. The id is compared before any other field
// is trusted, because a late answer to an earlier request may arrive on the same connection.
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
