// Package jsonenc encodes JSON without escapes for HTML, and tells the size of encoded texts.
//
// # Usage
//
//	value, err := jsonenc.Marshal(record)
//	if size+jsonenc.StringSize(text) > limit { … }
//
// Package encoding/json escapes <, > and & in texts unless it is told otherwise, which makes markup up to six times as large.
package jsonenc

import (
	"bytes"
	"encoding/json"
	"unicode/utf8"
)

const (
	shortEscape = 2 // bytes of an escape such as \n
	longEscape  = 6 // bytes of an escape such as \u0001
)

// Marshal returns the encoding of v. Raw messages in v are compacted. The error is that of encoding/json.
func Marshal(v any) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n")), nil
}

// StringSize returns the length in bytes of the encoding of a text, with its quotes.
func StringSize(s string) int {
	n := len(s) + len(`""`)
	for i := 0; i < len(s); {
		if c := s[i]; c < utf8.RuneSelf {
			switch {
			case c == '"', c == '\\', c == '\n', c == '\r', c == '\t', c == '\b', c == '\f':
				n += shortEscape - 1
			case c < ' ':
				n += longEscape - 1
			}
			i++
			continue
		}
		r, size := utf8.DecodeRuneInString(s[i:])
		if r == utf8.RuneError && size == 1 || r == '\u2028' || r == '\u2029' {
			n += longEscape - size
		}
		i += size
	}
	return n
}
