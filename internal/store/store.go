// Package store implements a client of the platform's object store. Other implementations of a store share its types and
// errors.
//
// # Usage
//
//	c := store.New("http://10.0.0.5:7000", 2*time.Second, logger)
//	version, err := c.Create(ctx, "claim", name, value)
//	var conflict *store.ConflictError
//	if errors.As(err, &conflict) { … }
//
// Each call sends at most one request and never retries it; whether a retry is safe is left to the caller. A *UnavailableError
// with Ambiguous true means that a write may have taken effect although its response was lost.
package store

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"bulrushspoke/internal/event"
	"bulrushspoke/internal/httpstatus"
	"bulrushspoke/wire"
)

// VersionHeader is the response header that carries the store version of an object.
const VersionHeader = "Version"

// MaxValueBytes is the largest value that the store accepts, in bytes.
const MaxValueBytes = 1 << 20

const (
	maxConnections = 64
	// maxResponseBytes bounds the body of a response, against a peer that answers without end. The largest responses are
	// those of a watch that starts with all objects of a kind.
	maxResponseBytes = 16 << 20
)

// Object is a value with the store version of its last write.
type Object struct {
	Value   []byte
	Version int64
}

// NotFoundError means that the object does not exist.
type NotFoundError struct {
	kind string
	name string
}

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("store: %s/%s is absent", e.kind, e.name) }

// ConflictError means that the precondition of a write does not hold. It carries the current object.
type ConflictError struct {
	kind    string
	name    string
	current Object
}

// NewConflictError returns a ConflictError. It is meant for store implementations other than Client.
func NewConflictError(kind, name string, current Object) *ConflictError {
	return &ConflictError{kind: kind, name: name, current: current}
}

// Current returns the current object; its version is 0 if the object does not exist.
func (e *ConflictError) Current() Object { return e.current }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: %s/%s is at version %d", e.kind, e.name, e.current.Version)
}

// UnavailableError means that the store could not be reached, did not respond in time or failed with a 5xx status, or that the
// context ended before the request was sent.
type UnavailableError struct {
	ambiguous bool
	cause     string
}

// NewUnavailableError returns an UnavailableError. It is meant for store implementations other than Client.
func NewUnavailableError(ambiguous bool, cause string) *UnavailableError {
	return &UnavailableError{ambiguous: ambiguous, cause: cause}
}

// Ambiguous reports whether a write may have taken effect.
func (e *UnavailableError) Ambiguous() bool { return e.ambiguous }

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store: no answer (ambiguous: %t): %s", e.ambiguous, e.cause)
}

// Client is an HTTP client of one object store. It is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *fasthttp.Client
	logger  *slog.Logger
	down    atomic.Bool
	calls   atomic.Int64
}

// New returns a client of the store at base, such as http://10.0.0.5:7000. Each request fails after timeout; a watch
// fails after timeout on top of its wait.
func New(base string, timeout time.Duration, logger *slog.Logger) *Client {
	return &Client{
		base:    base,
		timeout: timeout,
		logger:  logger,
		http: &fasthttp.Client{
			DialTimeout:         httpstatus.DialTimeout,
			MaxConnsPerHost:     maxConnections,
			MaxResponseBodySize: maxResponseBytes,
			// Retrying a write would hide from the caller that the first response was lost.
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
	}
}

// Calls returns the number of requests sent, including watches that still wait.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Down reports whether the last request to complete failed with a *UnavailableError.
func (c *Client) Down() bool { return c.down.Load() }

// Get reads an object.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	return c.object(ctx, fasthttp.MethodGet, kind, name, nil, "", "")
}

// Create writes an object only if it does not exist and returns its version.
func (c *Client) Create(ctx context.Context, kind, name string, value []byte) (int64, error) {
	o, err := c.object(ctx, fasthttp.MethodPut, kind, name, value, fasthttp.HeaderIfNoneMatch, "*")
	return o.Version, err
}

// Update writes an object only if it is at the given version and returns its new version.
func (c *Client) Update(ctx context.Context, kind, name string, value []byte, version int64) (int64, error) {
	o, err := c.object(ctx, fasthttp.MethodPut, kind, name, value, fasthttp.HeaderIfMatch, strconv.FormatInt(version, 10))
	return o.Version, err
}

// Delete deletes an object only if it is at the given version.
func (c *Client) Delete(ctx context.Context, kind, name string, version int64) error {
	_, err := c.object(ctx, fasthttp.MethodDelete, kind, name, nil, fasthttp.HeaderIfMatch, strconv.FormatInt(version, 10))
	return err
}

// List returns the name and version of each object of a kind whose name begins with prefix. Values are not included.
func (c *Client) List(ctx context.Context, kind, prefix string) (wire.Listing, error) {
	uri := fmt.Sprintf("%s/o/%s?prefix=%s", c.base, url.PathEscape(kind), url.QueryEscape(prefix))
	return c.listing(ctx, uri, c.timeout)
}

// Watch waits up to wait for changes of a kind after a store version and returns them with their values. It returns as
// soon as ctx is cancelled; the HTTP request itself cannot be cancelled and runs until it completes or times out.
func (c *Client) Watch(ctx context.Context, kind, prefix string, after int64, wait time.Duration) (wire.Listing, error) {
	uri := fmt.Sprintf("%s/w/%s?prefix=%s&after=%d&wait=%d",
		c.base, url.PathEscape(kind), url.QueryEscape(prefix), after, wait.Milliseconds())
	type result struct {
		list wire.Listing
		err  error
	}
	done := make(chan result, 1)
	go func() {
		l, err := c.listing(ctx, uri, wait+c.timeout)
		done <- result{list: l, err: err}
	}()
	select {
	case r := <-done:
		return r.list, r.err
	case <-ctx.Done():
		return wire.Listing{}, ctx.Err()
	}
}

func (c *Client) listing(ctx context.Context, uri string, timeout time.Duration) (wire.Listing, error) {
	var l wire.Listing
	status, body, _, err := c.do(ctx, fasthttp.MethodGet, uri, nil, "", "", timeout)
	if err != nil {
		return l, err
	}
	if status != fasthttp.StatusOK {
		return l, eris.Errorf("store: list: unexpected status %d", status)
	}
	if err := json.Unmarshal(body, &l); err != nil {
		return l, eris.Wrap(err, "store: decode list")
	}
	return l, nil
}

func (c *Client) object(
	ctx context.Context, method, kind, name string, value []byte, condition, match string,
) (Object, error) {
	uri := fmt.Sprintf("%s/o/%s/%s", c.base, url.PathEscape(kind), url.PathEscape(name))
	status, body, version, err := c.do(ctx, method, uri, value, condition, match, c.timeout)
	if err != nil {
		return Object{}, err
	}
	switch status {
	case fasthttp.StatusOK, fasthttp.StatusCreated, fasthttp.StatusNoContent:
		return Object{Value: body, Version: version}, nil
	case fasthttp.StatusNotFound:
		return Object{}, &NotFoundError{kind: kind, name: name}
	case fasthttp.StatusPreconditionFailed:
		return Object{}, &ConflictError{kind: kind, name: name, current: Object{Value: body, Version: version}}
	default:
		return Object{}, eris.Errorf("store: %s %s/%s answered %d: %s", method, kind, name, status, body)
	}
}

func (c *Client) do(
	ctx context.Context, method, uri string, value []byte, condition, match string, timeout time.Duration,
) (int, []byte, int64, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(uri)
	req.SetBody(value)
	if condition != "" {
		req.Header.Set(condition, match)
	}
	if d, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(d))
	}
	if err := ctx.Err(); err != nil {
		return 0, nil, 0, &UnavailableError{cause: err.Error()}
	}
	c.calls.Add(1)
	if err := c.http.DoTimeout(req, resp, timeout); err != nil {
		c.report(true, err)
		return 0, nil, 0, &UnavailableError{ambiguous: method != fasthttp.MethodGet && !neverSent(err), cause: err.Error()}
	}
	if resp.StatusCode() >= fasthttp.StatusInternalServerError {
		c.report(true, eris.Errorf("status %d", resp.StatusCode()))
		ambiguous := method != fasthttp.MethodGet && resp.StatusCode() != fasthttp.StatusServiceUnavailable
		return 0, nil, 0, &UnavailableError{ambiguous: ambiguous, cause: fmt.Sprintf("status %d", resp.StatusCode())}
	}
	c.report(false, nil)
	version, _ := strconv.ParseInt(string(resp.Header.Peek(VersionHeader)), 10, 64)
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), version, nil
}

// report records whether the store is down and logs each transition.
func (c *Client) report(down bool, cause error) {
	if c.down.Swap(down) == down {
		return
	}
	if down {
		event.StoreDown.Log(c.logger, "cause", cause.Error())
		return
	}
	event.StoreRecovered.Log(c.logger)
}
