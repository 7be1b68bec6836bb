// Package workspace tells which workspace a key belongs to.
//
// # Usage
//
//	d, err := workspace.NewDirectory([]workspace.Entry{{Name: "huka270", Keys: keys}}) // a *workspace.InvalidError
//	w, ok := d.Lookup(key)
//
// # Load
//
// A directory is designed for some hundred workspaces with a few keys each, for several hundred lookups a second in each
// process and for a few replacements a second. It is immutable, and neither it nor its errors hold a key: keys are kept as
// SHA-256 digests, of which a lookup compares all that share the first bytes in constant time.
package workspace

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"fmt"
	"strings"
)

const (
	// MaxPriority is the least urgent priority that servers distinguish; larger values count as this one.
	MaxPriority = 9
	// DefaultPriority is the priority that servers give to requests that state none.
	DefaultPriority = 5
)

// Workspace is an isolated group of clients that share keys and a priority. The zero value stands for no workspace.
type Workspace struct {
	Name        string
	Priority    int  // 0 is the most urgent; only meaningful if HasPriority
	HasPriority bool // the workspace has a priority of its own
}

// None reports whether w is no workspace.
func (w Workspace) None() bool { return w.Name == "" }

// Entry is a workspace with its keys.
type Entry struct {
	Workspace
	Keys []string
}

// InvalidError reports a list of workspaces that cannot be used. It contains no key.
type InvalidError struct {
	workspace string
	field     string
	cause     string
}

// NewInvalidError returns an InvalidError; the workspace is its name or, if that is unusable, its place in the list. No
// argument may contain a key.
func NewInvalidError(workspace, field, cause string) *InvalidError {
	return &InvalidError{workspace: workspace, field: field, cause: cause}
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("workspace %s: field %s: %s", e.workspace, e.field, e.cause)
}

// Workspace returns the name of the workspace, or its place in the list.
func (e *InvalidError) Workspace() string { return e.workspace }

// Field returns the field that is invalid.
func (e *InvalidError) Field() string { return e.field }

// Cause returns why the field is invalid.
func (e *InvalidError) Cause() string { return e.cause }

// Fields of an Entry in errors.
const (
	FieldName     = "name"
	FieldKeys     = "keys"
	FieldPriority = "priority"
)

type digest [sha256.Size]byte

// prefix is the part of a digest by which it is found. It is not secret: nobody can choose a key by its digest.
func (d *digest) prefix() uint64 { return binary.LittleEndian.Uint64(d[:]) }

type holder struct {
	digest    digest
	workspace Workspace
}

// Directory holds the workspaces of a configuration. It is immutable.
type Directory struct {
	byPrefix    map[uint64][]holder
	byName      map[string]Workspace
	lengths     map[int]bool // of the keys; other texts are not searched for as keys
	hasPriority bool
}

// NewDirectory returns a directory of the given workspaces. Names must be set, unique and usable as the value of an HTTP
// header, keys must be set and belong to one workspace, and priorities must not be negative. The error is an
// *InvalidError.
func NewDirectory(l []Entry) (*Directory, error) {
	d := &Directory{
		byPrefix: make(map[uint64][]holder),
		byName:   make(map[string]Workspace, len(l)),
		lengths:  make(map[int]bool),
	}
	for i, e := range l {
		if err := d.add(i, e); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *Directory) add(i int, e Entry) error {
	place := fmt.Sprintf("%d of the list", i)
	if err := validateName(e.Name); err != "" {
		return NewInvalidError(place, FieldName, err)
	}
	if _, ok := d.byName[e.Name]; ok {
		return NewInvalidError(e.Name, FieldName, "the name is repeated")
	}
	if e.HasPriority && e.Priority < 0 {
		return NewInvalidError(e.Name, FieldPriority, "the value is negative")
	}
	d.byName[e.Name] = e.Workspace
	d.hasPriority = d.hasPriority || e.HasPriority
	for n, key := range e.Keys {
		if key == "" {
			return NewInvalidError(e.Name, FieldKeys, fmt.Sprintf("key %d is empty", n))
		}
		sum := digest(sha256.Sum256([]byte(key)))
		if other, ok := d.find(&sum); ok {
			if other.Name != e.Name {
				return NewInvalidError(e.Name, FieldKeys, fmt.Sprintf("key %d is also held by %s", n, other.Name))
			}
			continue
		}
		d.lengths[len(key)] = true
		d.byPrefix[sum.prefix()] = append(d.byPrefix[sum.prefix()], holder{digest: sum, workspace: e.Workspace})
	}
	return nil
}

// validateName returns why a name cannot be used, empty if it can. The name is sent to servers as the value of a header:
// control characters would make the request invalid, and white space at an end would be cut off, so that two names could
// look the same to a server.
func validateName(name string) string {
	switch {
	case name == "":
		return "the name is empty"
	case strings.ContainsFunc(name, func(r rune) bool { return r < ' ' || r == '\x7f' }):
		return "the name contains a control character"
	case strings.Trim(name, " ") != name:
		return "the name begins or ends with white space"
	}
	return ""
}

// Lookup returns the workspace that holds a key.
func (d *Directory) Lookup(key string) (Workspace, bool) {
	sum := digest(sha256.Sum256([]byte(key)))
	return d.find(&sum)
}

// ContainsKey reports whether a text is a key, or contains one as a word or as a part of a word between two of "=", ":" and
// "/" or an end. A key may contain these characters itself.
func (d *Directory) ContainsKey(text string) bool {
	if d == nil || text == "" {
		return false
	}
	if d.isKey(text) {
		return true
	}
	separates := func(r rune) bool { return strings.ContainsRune(" \t,;\"'&?|<>()[]{}", r) }
	for word := range strings.FieldsFuncSeq(text, separates) {
		if d.containsPart(word) {
			return true
		}
	}
	return false
}

// containsPart reports whether a key is a part of a word. Only parts that are as long as a key are hashed: hashing every part
// of every header would cost more than all else that is done with them.
func (d *Directory) containsPart(word string) bool {
	isSeparator := func(i int) bool { return word[i] == '=' || word[i] == ':' || word[i] == '/' }
	for i := range len(word) {
		if i > 0 && !isSeparator(i-1) {
			continue
		}
		for n := range d.lengths {
			if end := i + n; end <= len(word) && (end == len(word) || isSeparator(end)) && d.isKey(word[i:end]) {
				return true
			}
		}
	}
	return false
}

func (d *Directory) isKey(s string) bool {
	if !d.lengths[len(s)] {
		return false
	}
	_, ok := d.Lookup(s)
	return ok
}

// MaskText fills the place of a masked key. It has no character that has a meaning in JSON strings.
const MaskText = "[masked]"

// Mask overwrites a key, or a part of one, with MaskText, which is repeated or cut off to its length.
func Mask(key []byte) {
	for i := range key {
		key[i] = MaskText[i%len(MaskText)]
	}
}

func (d *Directory) find(sum *digest) (Workspace, bool) {
	for _, h := range d.byPrefix[sum.prefix()] {
		if subtle.ConstantTimeCompare(h.digest[:], sum[:]) == 1 {
			return h.workspace, true
		}
	}
	return Workspace{}, false
}

// Current returns the workspace as the directory describes it, or w itself if the directory does not have it: work that was
// accepted for a workspace goes on after the workspace has left the configuration.
func (d *Directory) Current(w Workspace) Workspace {
	if d == nil {
		return w
	}
	if held, ok := d.byName[w.Name]; ok {
		return held
	}
	return w
}

// HasPriority reports whether any workspace has a priority.
func (d *Directory) HasPriority() bool { return d != nil && d.hasPriority }

// Len returns the number of workspaces.
func (d *Directory) Len() int { return len(d.byName) }
