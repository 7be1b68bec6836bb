// Package web holds the HTTP helpers of the stand-ins.
//
// # Usage
//
//	err := web.Serve(ctx, "127.0.0.1:7000", handler)
//
// The stand-ins use net/http: its handlers are told when a client has gone, and its server closes all connections at
// once, which both crashes and lost answers need.
package web

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	maxBody       = 8 << 20 // bytes
	headerTimeout = 10 * time.Second
)

// Serve listens on address and serves until the context ends.
func Serve(ctx context.Context, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return ServeOn(ctx, l, h)
}

// ServeOn serves on a listener until the context ends, then closes all connections at once.
func ServeOn(ctx context.Context, l net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Answer writes v as JSON.
func Answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Read decodes the JSON body of a request and answers 400 if it is malformed or has unknown fields.
func Read(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(io.LimitReader(r.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Lose closes the connection of the present request without an answer.
func Lose() { panic(http.ErrAbortHandler) }

// Pause waits for d or until the client has gone, and reports whether the client is still there.
func Pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
