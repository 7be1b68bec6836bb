package exchange

import (
	"context"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"bulrushspoke/standin/flood/floodtest"
)

// Guards against a daemon that runs out of memory because its server answers without end.
func TestEndlessAnswer(t *testing.T) {
	floodtest.Check(t, func(t *testing.T, address string) {
		t.Helper()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		req := &fasthttp.Request{}
		req.SetRequestURI("http://" + address + "/call")
		x, err := Open(ctx, req)
		if err != nil {
			return
		}
		defer x.Close()
		if _, err := x.ReadAll(1 << 20); err == nil {
			t.Error("the call succeeded")
		}
	})
}
