package supervise

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
)

// Guards against a panic in a request handler that crashes the process or leaves the client without a response.
func TestHandlerPanics(t *testing.T) {
	logger := slog.New(slog.DiscardHandler)
	l := fasthttputil.NewInmemoryListener()
	s := &fasthttp.Server{Handler: Handler(logger, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/panic" {
			panic("malformed request")
		}
		ctx.SetBodyString("ok")
	})}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Shutdown() })
	client := &http.Client{
		Transport: &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return l.Dial() }},
		Timeout:   5 * time.Second,
	}
	for path, want := range map[string]int{"/panic": http.StatusInternalServerError, "/": http.StatusOK} {
		for range 2 {
			resp, err := client.Get("http://h" + path)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			if resp.StatusCode != want {
				t.Errorf("%s: unexpected status %d", path, resp.StatusCode)
			}
		}
	}
}
