package daemon

import (
	"fmt"
	"slices"

	"bulrushspoke/wire"
)

// reorderBuffer assembles the chunks of an answer in order.
type reorderBuffer struct {
	maxTokens        int // limit of the number of tokens
	next             int // tokens before this offset are in order
	total            int // tokens of the whole answer once known
	totalKnown       bool
	ready            []wire.Chunk // in order and without gaps
	outOfOrder       []wire.Chunk // chunks beyond a gap
	outOfOrderTokens int          // number of tokens in outOfOrder
}

// add adds a chunk. Its error says why the chunk cannot belong to the answer.
func (b *reorderBuffer) add(c wire.Chunk) error {
	if c.Offset < 0 || c.Offset+len(c.Tokens) > b.maxTokens {
		return fmt.Errorf("tokens %d to %d of at most %d", c.Offset, c.Offset+len(c.Tokens), b.maxTokens)
	}
	if !spansCoverTokens(c) {
		return fmt.Errorf("versions do not cover the tokens from offset %d on", c.Offset)
	}
	if c.Offset > b.next {
		if b.outOfOrderTokens += len(c.Tokens); b.outOfOrderTokens > b.maxTokens {
			return fmt.Errorf("more than %d tokens beyond a gap", b.maxTokens)
		}
		b.outOfOrder = append(b.outOfOrder, c)
		return nil
	}
	b.append(c)
	if len(b.outOfOrder) == 0 {
		return nil
	}
	slices.SortFunc(b.outOfOrder, func(x, y wire.Chunk) int { return x.Offset - y.Offset })
	for len(b.outOfOrder) > 0 && b.outOfOrder[0].Offset <= b.next {
		b.outOfOrderTokens -= len(b.outOfOrder[0].Tokens)
		b.append(b.outOfOrder[0])
		b.outOfOrder = b.outOfOrder[1:]
	}
	return nil
}

// append adds the tokens of c that follow those already in order.
func (b *reorderBuffer) append(c wire.Chunk) {
	end := c.Offset + len(c.Tokens)
	if end <= b.next {
		return
	}
	b.ready = append(b.ready, trimBefore(c, b.next))
	b.next = end
}

// setTotal records the number of tokens of the whole answer.
func (b *reorderBuffer) setTotal(total int) error {
	if total < b.next || total > b.maxTokens {
		return fmt.Errorf("an end at %d tokens after %d of at most %d", total, b.next, b.maxTokens)
	}
	b.total, b.totalKnown = total, true
	return nil
}

// take removes the tokens that are in order and returns them as one chunk.
func (b *reorderBuffer) take(attempt string) (wire.Chunk, bool) {
	if len(b.ready) == 0 {
		return wire.Chunk{}, false
	}
	c := wire.Chunk{Attempt: attempt, Offset: b.ready[0].Offset}
	for _, r := range b.ready {
		c.Tokens = append(c.Tokens, r.Tokens...)
		c.Spans = appendSpans(c.Spans, r.Spans)
	}
	b.ready = nil
	return c, true
}

// complete reports whether no chunk is known to be missing.
func (b *reorderBuffer) complete() bool { return !b.totalKnown || b.next >= b.total }

// gap reports whether a chunk is missing.
func (b *reorderBuffer) gap() bool { return len(b.outOfOrder) > 0 || b.totalKnown && b.next < b.total }

// spansCoverTokens reports whether the spans of a chunk cover exactly its tokens, in order.
func spansCoverTokens(c wire.Chunk) bool {
	next := c.Offset
	for _, s := range c.Spans {
		if s.First != next || s.Last < s.First {
			return false
		}
		next = s.Last + 1
	}
	return next == c.Offset+len(c.Tokens)
}

// trimBefore returns c without the tokens before offset.
func trimBefore(c wire.Chunk, offset int) wire.Chunk {
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

// appendSpans appends b to a and merges adjacent spans of the same weight version.
func appendSpans(a, b []wire.Span) []wire.Span {
	for _, s := range b {
		if n := len(a); n > 0 && a[n-1].Version == s.Version && a[n-1].Last+1 == s.First {
			a[n-1].Last = s.Last
			continue
		}
		a = append(a, s)
	}
	return a
}
