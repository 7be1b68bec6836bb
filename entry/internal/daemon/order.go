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
func (o *reorderBuffer) add(c wire.Chunk) error {
	if c.Offset < 0 || c.Offset+len(c.Tokens) > o.maxTokens {
		return fmt.Errorf("tokens %d to %d of at most %d", c.Offset, c.Offset+len(c.Tokens), o.maxTokens)
	}
	if !spansCoverTokens(c) {
		return fmt.Errorf("versions do not cover the tokens from offset %d on", c.Offset)
	}
	if c.Offset > o.next {
		if o.outOfOrderTokens += len(c.Tokens); o.outOfOrderTokens > o.maxTokens {
			return fmt.Errorf("more than %d tokens beyond a gap", o.maxTokens)
		}
		o.outOfOrder = append(o.outOfOrder, c)
		return nil
	}
	o.append(c)
	if len(o.outOfOrder) == 0 {
		return nil
	}
	slices.SortFunc(o.outOfOrder, func(a, b wire.Chunk) int { return a.Offset - b.Offset })
	for len(o.outOfOrder) > 0 && o.outOfOrder[0].Offset <= o.next {
		o.outOfOrderTokens -= len(o.outOfOrder[0].Tokens)
		o.append(o.outOfOrder[0])
		o.outOfOrder = o.outOfOrder[1:]
	}
	return nil
}

// append adds the tokens of c that follow those already in order.
func (o *reorderBuffer) append(c wire.Chunk) {
	end := c.Offset + len(c.Tokens)
	if end <= o.next {
		return
	}
	o.ready = append(o.ready, trimBefore(c, o.next))
	o.next = end
}

// setTotal records the number of tokens of the whole answer.
func (o *reorderBuffer) setTotal(total int) error {
	if total < o.next || total > o.maxTokens {
		return fmt.Errorf("an end at %d tokens after %d of at most %d", total, o.next, o.maxTokens)
	}
	o.total, o.totalKnown = total, true
	return nil
}

// take removes the tokens that are in order and returns them as one chunk.
func (o *reorderBuffer) take(attempt string) (wire.Chunk, bool) {
	if len(o.ready) == 0 {
		return wire.Chunk{}, false
	}
	c := wire.Chunk{Attempt: attempt, Offset: o.ready[0].Offset}
	for _, r := range o.ready {
		c.Tokens = append(c.Tokens, r.Tokens...)
		c.Spans = appendSpans(c.Spans, r.Spans)
	}
	o.ready = nil
	return c, true
}

// complete reports whether no chunk is known to be missing.
func (o *reorderBuffer) complete() bool { return !o.totalKnown || o.next >= o.total }

// gap reports whether a chunk is missing.
func (o *reorderBuffer) gap() bool { return len(o.outOfOrder) > 0 || o.totalKnown && o.next < o.total }

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
