// Package events reads streams of server-sent events.
//
// # Usage
//
//	r := events.NewReader(body, "x-weight-versions")
//	for {
//		e, err := r.Next()
//		if errors.Is(err, io.EOF) { break }	// the stream ended between two events
//		…
//	}
//
// Only whole events are returned. A stream that ends in the middle of one gives io.ErrUnexpectedEOF.
package events

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
)

// MaxEvent bounds one event in bytes; larger ones are taken for bytes that are no event stream.
const MaxEvent = 1 << 20

// ErrFormat tells that the bytes are no events.
var ErrFormat = errors.New("events: malformed event")

// Event is one whole event.
type Event struct {
	ID      int    // number within the stream, from 1; 0 if it has none
	Data    string // lines of data, separated by line feeds
	Version int    // weight version that begins with this event; 0 if it does not change
	Raw     []byte // the event as it came, with the empty line that ends it; valid until the next call of Next
}

// Reader reads events.
type Reader struct {
	in      *bufio.Reader
	version string
	raw     []byte
}

// NewReader returns a Reader; version is the name of the line that announces another weight version.
func NewReader(in io.Reader, version string) *Reader {
	const size = 2 << 10 // a few events
	return &Reader{in: bufio.NewReaderSize(in, size), version: version}
}

// line appends the next line to the raw event and returns it.
func (r *Reader) line() ([]byte, error) {
	begin := len(r.raw)
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
		return r.raw[begin:], nil
	}
}

// Next returns the next whole event.
func (r *Reader) Next() (Event, error) {
	var e Event
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
				continue // an empty line between two events
			}
			e.Data = strings.Join(data, "\n")
			e.Raw = r.raw
			return e, nil
		}
		name, value, _ := strings.Cut(text, ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "id":
			e.ID, err = strconv.Atoi(value)
		case "data":
			data = append(data, value)
		case r.version:
			e.Version, err = strconv.Atoi(value)
		}
		if err != nil {
			return Event{}, ErrFormat
		}
	}
}
