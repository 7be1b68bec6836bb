// Package cursor encodes the set of samples of a step that its trainer holds.
//
// # Usage
//
//	set, err := cursor.Parse(text, digest, slots)
//	set.Add(17)
//	text = set.String()
//
// The text is opaque to trainers: base64url of a format byte, the digest of the step's groups and one bit for each
// slot. The digest keeps a cursor of another step from being taken for one of this step. An empty text is the empty
// set.
package cursor

import (
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"math/bits"
)

const (
	format = 1
	header = 1 + 8
)

// FormatError tells that a text is not a cursor of the step.
type FormatError struct {
	cause string
}

// Error implements error.
func (e *FormatError) Error() string { return "cursor: " + e.cause }

// Set is a set of slots.
type Set struct {
	digest uint64
	slots  int
	bits   []byte
}

// New returns the empty set for a step of the given number of slots.
func New(digest uint64, slots int) Set {
	return Set{digest: digest, slots: slots, bits: make([]byte, (slots+7)/8)}
}

// Parse reads a cursor; its error is a *FormatError.
func Parse(text string, digest uint64, slots int) (Set, error) {
	s := New(digest, slots)
	if text == "" {
		return s, nil
	}
	b, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return s, &FormatError{cause: "not base64url"}
	}
	if len(b) != header+len(s.bits) || b[0] != format {
		return s, &FormatError{cause: fmt.Sprintf("%d bytes, %d expected", len(b), header+len(s.bits))}
	}
	if binary.BigEndian.Uint64(b[1:header]) != digest {
		return s, &FormatError{cause: "belongs to another step"}
	}
	copy(s.bits, b[header:])
	if spare := slots % 8; spare != 0 && s.bits[len(s.bits)-1]>>spare != 0 {
		return s, &FormatError{cause: "holds slots that the step does not have"}
	}
	return s, nil
}

// Has reports whether the set holds the slot.
func (s Set) Has(slot int) bool { return s.bits[slot/8]&(1<<(slot%8)) != 0 }

// Add puts the slot into the set.
func (s Set) Add(slot int) { s.bits[slot/8] |= 1 << (slot % 8) }

// Count returns the number of slots in the set.
func (s Set) Count() int {
	n := 0
	for _, b := range s.bits {
		n += bits.OnesCount8(b)
	}
	return n
}

// Full reports whether the set holds every slot of the step.
func (s Set) Full() bool { return s.Count() == s.slots }

// Clone returns a copy that shares nothing with the set.
func (s Set) Clone() Set {
	c := New(s.digest, s.slots)
	copy(c.bits, s.bits)
	return c
}

// String returns the text of the cursor.
func (s Set) String() string {
	b := make([]byte, header, header+len(s.bits))
	b[0] = format
	binary.BigEndian.PutUint64(b[1:], s.digest)
	return base64.RawURLEncoding.EncodeToString(append(b, s.bits...))
}
