package steplog

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"bulrushspoke/internal/store"
	"bulrushspoke/wire"
)

// Digest returns a hash of the groups of a step. It is part of the names of part objects and of the trainer's cursor.
func Digest(groups []wire.Group) uint64 {
	d := xxhash.New()
	var b [8]byte
	writeString := func(s string) {
		binary.BigEndian.PutUint64(b[:], uint64(len(s)))
		_, _ = d.Write(b[:])
		_, _ = d.WriteString(s)
	}
	for _, g := range groups {
		writeString(g.Name)
		writeString(g.Prompt)
		writeString(fmt.Sprintf("%d %d", g.Samples, g.Tokens))
	}
	return d.Sum64()
}

// SplitGroups encodes groups as JSON parts, each with up to MaxRecordBytes of groups. It fails if a single group is
// larger.
func SplitGroups(groups []wire.Group) ([][]byte, error) {
	var split [][]byte
	var part wire.Part
	size := 0
	for _, g := range groups {
		b, err := json.Marshal(g)
		if err != nil {
			return nil, eris.Wrap(err, "steplog: encode")
		}
		if len(b) > MaxRecordBytes {
			return nil, eris.Errorf("steplog: group %s takes %d bytes, at most %d", g.Name, len(b), MaxRecordBytes)
		}
		if size+len(b) > MaxRecordBytes {
			if split, err = appendPart(split, part); err != nil {
				return nil, err
			}
			part, size = wire.Part{}, 0
		}
		part.Groups = append(part.Groups, g)
		size += len(b) + 1
	}
	return appendPart(split, part)
}

func appendPart(split [][]byte, part wire.Part) ([][]byte, error) {
	b, err := json.Marshal(part)
	if err != nil {
		return nil, eris.Wrap(err, "steplog: encode")
	}
	return append(split, b), nil
}

// partName includes the digest of the groups, so that two specs for one step never share part objects.
func (l *Log) partName(hash uint64, i int) string { return fmt.Sprintf("%s.%016x.%d", l.name, hash, i) }

// WriteParts stores the parts of a spec. It may be repeated.
func (l *Log) WriteParts(ctx context.Context, digest uint64, split [][]byte) error {
	for i, b := range split {
		_, err := l.createObject(ctx, partObjects, l.partName(digest, i), b)
		var conflict *store.ConflictError
		if err == nil || errors.As(err, &conflict) {
			continue
		}
		// A lost reply alone is no outage: the part is read back before the write counts as failed.
		var down *store.UnavailableError
		if !errors.As(err, &down) || !down.Ambiguous() {
			return err
		}
		if _, readErr := l.getObject(ctx, partObjects, l.partName(digest, i)); readErr != nil {
			return err
		}
	}
	return nil
}

// ReadParts reads the parts of a spec and returns their groups.
func (l *Log) ReadParts(ctx context.Context, spec wire.Spec) ([]wire.Group, error) {
	var groups []wire.Group
	for i := range spec.Parts {
		o, err := l.getObject(ctx, partObjects, l.partName(spec.Digest, i))
		if err != nil {
			return nil, err
		}
		var p wire.Part
		if err := json.Unmarshal(o.Value, &p); err != nil {
			return nil, eris.Wrapf(err, "steplog: decode part %d", i)
		}
		groups = append(groups, p.Groups...)
	}
	return groups, nil
}
