// Package token generates and checks the deterministic tokens of the simulated engine.
//
// # Usage
//
//	text := token.Make(prompt, 7, 42)              // token 7 of the prompt under weight version 42
//	err := token.Check(prompt, answer, spans)      // verifies a complete answer against its reported versions
//
// A token has the text "<hash>.<index>.<version> " with a trailing space, where hash is the hash of the prompt. The
// text of an answer alone therefore shows whether it belongs to another prompt, is truncated or reordered, or is
// attributed to a wrong weight version.
package token

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"

	"bulrushspoke/wire"
)

// Token is the parsed text of one token.
type Token struct {
	Hash    string
	Index   int
	Version int64
}

// Hash returns the hash of the prompt as 8 hex digits.
func Hash(prompt string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(prompt))
	return fmt.Sprintf("%08x", h.Sum32())
}

// Make returns the token at an index of the answer to the prompt under a weight version.
func Make(prompt string, index int, version int64) string {
	return Text(Hash(prompt), index, version)
}

// Text is Make for a prompt whose hash is already known.
func Text(hash string, index int, version int64) string {
	return hash + "." + strconv.Itoa(index) + "." + strconv.FormatInt(version, 10) + " "
}

// Parse parses one token; the trailing space is optional.
func Parse(text string) (Token, error) {
	f := strings.Split(strings.TrimSuffix(text, " "), ".")
	if len(f) != 3 || len(f[0]) != 8 {
		return Token{}, fmt.Errorf("token: %q is malformed", text)
	}
	i, err := strconv.Atoi(f[1])
	if err != nil {
		return Token{}, fmt.Errorf("token: %q has no index: %w", text, err)
	}
	v, err := strconv.ParseInt(f[2], 10, 64)
	if err != nil {
		return Token{}, fmt.Errorf("token: %q has no version: %w", text, err)
	}
	return Token{Hash: f[0], Index: i, Version: v}, nil
}

// Split parses all tokens of an answer. It returns an error if the last one has no trailing space.
func Split(answer string) ([]Token, error) {
	if answer == "" {
		return nil, nil
	}
	if !strings.HasSuffix(answer, " ") {
		return nil, fmt.Errorf("token: answer of %d bytes ends within a token", len(answer))
	}
	parts := strings.SplitAfter(answer, " ")
	tokens := make([]Token, 0, len(parts)-1)
	for _, p := range parts[:len(parts)-1] {
		t, err := Parse(p)
		if err != nil {
			return nil, err
		}
		tokens = append(tokens, t)
	}
	return tokens, nil
}

// Check returns an error unless the answer consists of consecutive tokens of the prompt from index 0 and their versions
// match the spans, which have to cover all tokens.
func Check(prompt, answer string, spans []wire.Span) error {
	tokens, err := Split(answer)
	if err != nil {
		return err
	}
	hash := Hash(prompt)
	for i, t := range tokens {
		if t.Hash != hash {
			return fmt.Errorf("token: token %d belongs to prompt %s, not %s", i, t.Hash, hash)
		}
		if t.Index != i {
			return fmt.Errorf("token: token %d has index %d", i, t.Index)
		}
	}
	return checkSpans(tokens, spans)
}

func checkSpans(tokens []Token, spans []wire.Span) error {
	next := 0
	for _, s := range spans {
		if s.First != next || s.Last < s.First || s.Last >= len(tokens) {
			return fmt.Errorf("token: span %d-%d does not follow token %d of %d", s.First, s.Last, next, len(tokens))
		}
		for i := s.First; i <= s.Last; i++ {
			if tokens[i].Version != s.Version {
				return fmt.Errorf("token: token %d has version %d, reported as %d", i, tokens[i].Version, s.Version)
			}
		}
		next = s.Last + 1
	}
	if next != len(tokens) {
		return fmt.Errorf("token: spans cover %d of %d tokens", next, len(tokens))
	}
	return nil
}
