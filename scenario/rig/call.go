package rig

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"bulrushspoke/scenario/history"
	"bulrushspoke/wire"
)

const maxEventBytes = 8 << 20 // of one server-sent event

// Complete sends a completion request, streamed if q.Stream is set, and returns its outcome.
func Complete(ctx context.Context, entry, token string, q wire.CompletionRequest) history.Completion {
	start := time.Now()
	c := history.Completion{Prompt: q.Prompt, MaxTokens: q.MaxTokens, Start: start.UnixMilli()}
	err := complete(ctx, entry, token, q, start, &c)
	c.Total = millisSince(start)
	if err != nil {
		c.Error = err.Error()
	}
	return c
}

func complete(
	ctx context.Context, entry, token string, q wire.CompletionRequest, start time.Time, c *history.Completion,
) error {
	body, err := json.Marshal(q)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+token)
	r.Header.Set("Content-Type", "application/json")
	a, err := client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = a.Body.Close() }()
	c.Status = a.StatusCode
	if q.Stream && a.StatusCode == http.StatusOK {
		return readEvents(a.Body, start, c)
	}
	text, err := io.ReadAll(io.LimitReader(a.Body, maxBody))
	if err != nil {
		return err
	}
	c.FirstToken = millisSince(start)
	return record(text, c)
}

// readEvents reads a stream of server-sent events.
func readEvents(body io.Reader, start time.Time, c *history.Completion) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		if c.FirstToken == 0 {
			c.FirstToken = millisSince(start)
		}
		if err := record([]byte(data), c); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	if c.FinishReason == "" && c.Code == "" {
		return errors.New("stream ended without a finish reason")
	}
	return nil
}

// record adds one JSON body to c: a response, an event of a stream, or a refusal.
func record(text []byte, c *history.Completion) error {
	var body struct {
		wire.CompletionResponse
		Error *wire.Problem `json:"error"`
	}
	if err := json.Unmarshal(text, &body); err != nil {
		return fmt.Errorf("decode response %.200q: %w", text, err)
	}
	if body.Error != nil {
		c.Code, c.Ran, c.Message = body.Error.Code, body.Error.Ran, body.Error.Message
		return nil
	}
	for _, choice := range body.Choices {
		c.Text += choice.Text
		if choice.FinishReason != "" {
			c.FinishReason = choice.FinishReason
		}
	}
	if body.Versions != nil {
		c.Spans = body.Versions
	}
	return nil
}

// Write sends a POST request to a plain service under an idempotency key and returns its outcome.
func Write(ctx context.Context, entry, token, service, key, path string) history.Write {
	w := history.Write{Key: key, Path: path, Start: time.Now().UnixMilli()}
	url := entry + "/v1/services/" + service + path
	header := bearer(token)
	header["Idempotency-Key"] = key
	a, err := Do(ctx, http.MethodPost, url, map[string]string{"key": key}, header)
	w.End = time.Now().UnixMilli()
	w.Status, w.Body = a.Status, string(a.Body)
	if err != nil {
		w.Error = err.Error()
		return w
	}
	var e wire.ErrorBody
	if a.Status != http.StatusOK && json.Unmarshal(a.Body, &e) == nil {
		w.Code, w.Ran, w.Message = e.Error.Code, e.Error.Ran, e.Error.Message
	}
	return w
}
