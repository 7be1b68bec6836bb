package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const maxBody = 64 << 20 // bytes

// client does not reuse connections, so that no request fails on a connection that an earlier fault has broken.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, MaxIdleConnsPerHost: -1}}

// Reply is an HTTP response.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do sends one request with a JSON body, or without one if body is nil.
func Do(ctx context.Context, method, url string, body any, header map[string]string) (Reply, error) {
	var text []byte
	if body != nil {
		var err error
		if text, err = json.Marshal(body); err != nil {
			return Reply{}, err
		}
	}
	q, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(text))
	if err != nil {
		return Reply{}, err
	}
	q.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		q.Header.Set(k, v)
	}
	a, err := client.Do(q)
	if err != nil {
		return Reply{}, err
	}
	defer func() { _ = a.Body.Close() }()
	got, err := io.ReadAll(io.LimitReader(a.Body, maxBody))
	return Reply{Status: a.StatusCode, Header: a.Header, Body: got}, err
}

// Get decodes the JSON response to a GET request into answer.
func Get(ctx context.Context, url string, answer any, header map[string]string) error {
	a, err := Do(ctx, http.MethodGet, url, nil, header)
	if err != nil {
		return err
	}
	if a.Status != http.StatusOK {
		return fmt.Errorf("rig: %s returned status %d: %s", url, a.Status, a.Body)
	}
	return json.Unmarshal(a.Body, answer)
}

// Control posts a fault to the control endpoint of the stand-in at an address.
func Control(ctx context.Context, address string, fault any) error {
	a, err := Do(ctx, http.MethodPost, "http://"+address+"/control", fault, nil)
	if err != nil {
		return err
	}
	if a.Status/100 != 2 {
		return fmt.Errorf("rig: control endpoint returned status %d: %s", a.Status, a.Body)
	}
	return nil
}

func bearer(token string) map[string]string {
	return map[string]string{"Authorization": "Bearer " + token}
}

func millisSince(start time.Time) int64 { return time.Since(start).Milliseconds() }
