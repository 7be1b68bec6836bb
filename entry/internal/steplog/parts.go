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

// Digest returns the hash of a step's groups.
func Digest(groups []wire.Group) uint64 {
	d := xxhash.New()
	var b [8]byte
	text := func(s string) {
		binary.BigEndian.PutUint64(b[:], uint64(len(s)))
		_, _ = d.Write(b[:])
		_, _ = d.WriteString(s)
	}
	for _, g := range groups {
		text(g.Name)
		text(g.Prompt)
		text(fmt.Sprintf("%d %d", g.Samples, g.Tokens))
	}
	return d.Sum64()
}

// Split divides groups into parts whose JSON stays below MaxRecord. A group that is larger alone gives an error.
func Split(groups []wire.Group) ([][]byte, error) {
	var split [][]byte
	var part wire.Part
	size := 0
	for _, g := range groups {
		b, err := json.Marshal(g)
		if err != nil {
			return nil, eris.Wrap(err, "steplog: encode")
		}
		if len(b) > MaxRecord {
			return nil, eris.Errorf("steplog: group %s takes %d bytes, at most %d", g.Name, len(b), MaxRecord)
		}
		if size+len(b) > MaxRecord {
			if split, err = flush(split, part); err != nil {
				return nil, err
			}
			part, size = wire.Part{}, 0
		}
		part.Groups = append(part.Groups, g)
		size += len(b) + 1
	}
	return flush(split, part)
}

func flush(split [][]byte, part wire.Part) ([][]byte, error) {
	b, err := json.Marshal(part)
	if err != nil {
		return nil, eris.Wrap(err, "steplog: encode")
	}
	return append(split, b), nil
}

// part names carry the digest, so that two specs for one step never share part objects.
func (l *Log) part(digest uint64, i int) string { return fmt.Sprintf("%s.%016x.%d", l.name, digest, i) }

// WriteParts stores the parts of a spec; it may be repeated.
func (l *Log) WriteParts(ctx context.Context, digest uint64, split [][]byte) error {
	for i, b := range split {
		_, err := l.create(ctx, parts, l.part(digest, i), b)
		var conflict *store.ConflictError
		if err == nil || errors.As(err, &conflict) {
			continue
		}
		// A lost answer is no outage: the part is read back before the write counts as failed.
		var down *store.DownError
		if !errors.As(err, &down) || !down.Ambiguous() {
			return err
		}
		if _, readErr := l.read(ctx, parts, l.part(digest, i)); readErr != nil {
			return err
		}
	}
	return nil
}

// ReadParts returns the groups of a spec.
func (l *Log) ReadParts(ctx context.Context, spec wire.Spec) ([]wire.Group, error) {
	var groups []wire.Group
	for i := range spec.Parts {
		o, err := l.read(ctx, parts, l.part(spec.Digest, i))
		if err != nil {
			return nil, err
		}
		var p wire.Part
		if err := json.Unmarshal(o.Value, &p); err != nil {
			return nil, eris.Wrapf(err, "steplog: part %d", i)
		}
		groups = append(groups, p.Groups...)
	}
	return groups, nil
}
