// Package sse parses streams of server-sent events.
//
// # Usage
//
//	r := sse.NewReader(body, "x-weight-versions")
//	for {
//		e, err := r.Next()
//		if errors.Is(err, io.EOF) { break }	// end of stream after a complete event
//		…
//	}
//
// Only complete events are returned. A stream that ends within an event yields io.ErrUnexpectedEOF, and an event that is
// malformed or larger than MaxEvent yields ErrFormat. Unlike a browser, the Reader takes unknown fields as malformed: a server
// that fails within a stream may go on with the text of an error, whose lines look like such fields.
package sse

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
)

// MaxEvent is the maximum size of an event in bytes. A larger one means that the input is not an event stream.
const MaxEvent = 1 << 20

// ErrFormat means that the input is not a valid event stream.
var ErrFormat = errors.New("events: malformed event")

// Event is a complete event.
type Event struct {
	ID      int    // position in the stream, from 1; 0 if the event has none
	Data    string // values of the data fields, joined by line feeds
	Version int    // weight version from this event on; 0 if it does not change
	Comment bool   // there are no fields, only comments
	Raw     []byte // bytes as received, including the terminating empty line; valid until the next call of Next
}

// Reader parses events from a stream. It is not safe for concurrent use.
type Reader struct {
	in      *bufio.Reader
	version string
	raw     []byte
}

// NewReader returns a Reader of in. A field named version announces a change of the weight version.
func NewReader(in io.Reader, version string) *Reader {
	const size = 2 << 10 // holds a few events
	return &Reader{in: bufio.NewReaderSize(in, size), version: version}
}

// line reads the next line, appends it to r.raw and returns it.
func (r *Reader) line() ([]byte, error) {
	start := len(r.raw)
	for {
		part, err := r.in.ReadSlice('\n')
		r.raw = append(r.raw, part...)
		switch {
		case len(r.raw) > MaxEvent:
			return nil, ErrFormat
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(r.raw) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		return r.raw[start:], nil
	}
}

// Next returns the next complete event, or io.EOF if the stream ends after one.
func (r *Reader) Next() (Event, error) {
	e := Event{Comment: true}
	var data []string
	r.raw = r.raw[:0]
	for {
		line, err := r.line()
		if err != nil {
			return Event{}, err
		}
		text := strings.TrimRight(string(line), "\r\n")
		if text == "" {
			if len(r.raw) == len(line) {
				r.raw = r.raw[:0]
				continue // extra empty line between two events
			}
			e.Data = strings.Join(data, "\n")
			e.Raw = r.raw
			return e, nil
		}
		name, value, _ := strings.Cut(text, ":")
		value = strings.TrimPrefix(value, " ")
		e.Comment = e.Comment && name == ""
		switch name {
		case "", "event", "retry":
		case "id":
			e.ID, err = strconv.Atoi(value)
		case "data":
			data = append(data, value)
		case r.version:
			e.Version, err = strconv.Atoi(value)
		default:
			err = ErrFormat
		}
		if err != nil {
			return Event{}, ErrFormat
		}
	}
}
