package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against an interrupt that comes after the answer was closed and ends another request on the same connection, and
// against a connection that is kept although it was interrupted.
func TestInterruptEndsOnlyItsAnswer(t *testing.T) {
	for _, tc := range []struct {
		name  string
		calls func(first, second *Response)
		fails bool // reading the second answer
		dials int64
	}{
		{"while the next answer is read", func(first, _ *Response) { first.Interrupt() }, false, 1},
		{"of the next answer", func(_, second *Response) { second.Interrupt() }, true, 2},
		{"of the next answer, once it is closed", func(_, second *Response) { second.Abandon(); second.Interrupt() }, true, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			proceed := make(chan struct{})
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/second" {
					return
				}
				_, _ = fmt.Fprint(w, "begin ")
				_ = http.NewResponseController(w).Flush()
				select {
				case <-proceed:
					_, _ = fmt.Fprint(w, "end")
				case <-r.Context().Done():
				}
			}))
			t.Cleanup(s.Close)
			p := New(Limits{Dial: time.Second, Idle: 4})
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			send := func(path string) *Response {
				r, err := p.Send(ctx, Target{Address: strings.TrimPrefix(s.URL, "http://")},
					Request{Method: http.MethodGet, URI: path, Host: "h", Header: http.Header{}})
				if err != nil {
					t.Fatal(err)
				}
				return r
			}
			first := send("/first")
			first.Close()
			second := send("/second")
			tc.calls(first, second)
			close(proceed)
			b, err := io.ReadAll(second.Body)
			if failed := err != nil; failed != tc.fails || !failed && string(b) != "begin end" {
				t.Errorf("the second answer is %q, %v", b, err)
			}
			second.Close()
			send("/third").Close()
			if n := p.DialAttempts(); n != tc.dials {
				t.Errorf("%d connections, want %d", n, tc.dials)
			}
		})
	}
}

// Guards against an answer that was interrupted between its last byte and its close, and whose connection is kept.
func TestInterruptedConnectionIsNotKept(t *testing.T) {
	f := startFake(t, ok, ok)
	p := New(Limits{Dial: time.Second, Idle: 4})
	r, err := post(t, p, f)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		t.Fatal(err)
	}
	r.Interrupt()
	r.Close()
	if n := p.Idle(f.Addr().String(), "i", time.Now()); n != 0 {
		t.Errorf("%d idle connections, want none", n)
	}
}
