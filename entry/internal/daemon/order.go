package daemon

import (
	"fmt"
	"slices"

	"bulrushspoke/wire"
)

// order puts the parts of an answer in order.
type order struct {
	limit  int // largest number of tokens
	have   int // tokens before this offset are in order
	total  int // tokens of the whole answer once known
	known  bool
	ready  []wire.Chunk // in order, without gaps
	parts  []wire.Chunk // beyond a gap
	beyond int          // tokens in parts
}

// add takes a part. Its error tells that the part cannot belong to the answer.
func (o *order) add(c wire.Chunk) error {
	if c.Offset < 0 || c.Offset+len(c.Tokens) > o.limit {
		return fmt.Errorf("tokens %d to %d of at most %d", c.Offset, c.Offset+len(c.Tokens), o.limit)
	}
	if !covers(c) {
		return fmt.Errorf("versions do not cover the tokens from offset %d on", c.Offset)
	}
	if c.Offset > o.have {
		if o.beyond += len(c.Tokens); o.beyond > o.limit {
			return fmt.Errorf("more than %d tokens beyond a gap", o.limit)
		}
		o.parts = append(o.parts, c)
		return nil
	}
	o.append(c)
	if len(o.parts) == 0 {
		return nil
	}
	slices.SortFunc(o.parts, func(a, b wire.Chunk) int { return a.Offset - b.Offset })
	for len(o.parts) > 0 && o.parts[0].Offset <= o.have {
		o.beyond -= len(o.parts[0].Tokens)
		o.append(o.parts[0])
		o.parts = o.parts[1:]
	}
	return nil
}

// append adds what c has beyond the tokens in order.
func (o *order) append(c wire.Chunk) {
	end := c.Offset + len(c.Tokens)
	if end <= o.have {
		return
	}
	o.ready = append(o.ready, cut(c, o.have))
	o.have = end
}

// finish notes the number of tokens of the whole answer.
func (o *order) finish(total int) error {
	if total < o.have || total > o.limit {
		return fmt.Errorf("an end at %d tokens after %d of at most %d", total, o.have, o.limit)
	}
	o.total, o.known = total, true
	return nil
}

// take returns all tokens that are in order as one part.
func (o *order) take(attempt string) (wire.Chunk, bool) {
	if len(o.ready) == 0 {
		return wire.Chunk{}, false
	}
	c := wire.Chunk{Attempt: attempt, Offset: o.ready[0].Offset}
	for _, r := range o.ready {
		c.Tokens = append(c.Tokens, r.Tokens...)
		c.Spans = join(c.Spans, r.Spans)
	}
	o.ready = nil
	return c, true
}

// complete reports whether no part is missing as far as is known.
func (o *order) complete() bool { return !o.known || o.have >= o.total }

// gap reports whether a part is missing.
func (o *order) gap() bool { return len(o.parts) > 0 || o.known && o.have < o.total }

// covers reports whether the spans of a part name exactly its tokens, in order.
func covers(c wire.Chunk) bool {
	next := c.Offset
	for _, s := range c.Spans {
		if s.First != next || s.Last < s.First {
			return false
		}
		next = s.Last + 1
	}
	return next == c.Offset+len(c.Tokens)
}

// cut returns the part of c from offset on.
func cut(c wire.Chunk, offset int) wire.Chunk {
	if c.Offset >= offset {
		return c
	}
	c.Tokens = c.Tokens[offset-c.Offset:]
	c.Offset = offset
	var spans []wire.Span
	for _, s := range c.Spans {
		if s.Last < offset {
			continue
		}
		s.First = max(s.First, offset)
		spans = append(spans, s)
	}
	c.Spans = spans
	return c
}

// join appends spans and merges neighbours of one version.
func join(a, b []wire.Span) []wire.Span {
	for _, s := range b {
		if n := len(a); n > 0 && a[n-1].Version == s.Version && a[n-1].Last+1 == s.First {
			a[n-1].Last = s.Last
			continue
		}
		a = append(a, s)
	}
	return a
}
