// Package web contains the HTTP helpers of the simulated systems.
//
// # Usage
//
//	err := web.Serve(ctx, "127.0.0.1:7000", handler)
//
// The simulated systems use net/http because its handlers learn when a client disconnects and its server can close all
// connections at once, which crashes and lost responses require.
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
	maxBodyBytes  = 8 << 20 // bytes
	headerTimeout = 10 * time.Second
)

// Serve listens on a TCP address and serves until the context ends, then closes all connections at once.
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

// WriteJSON responds with a status and v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ReadJSON decodes the JSON body of a request. If the body is malformed or has unknown fields, it responds with status
// 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// Abort closes the connection of the current request without a response. It does not return.
func Abort() { panic(http.ErrAbortHandler) }

// Sleep waits until d has passed or the context ends, and reports whether the context is still active.
func Sleep(ctx context.Context, d time.Duration) bool {
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
