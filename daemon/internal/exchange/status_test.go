package exchange

import (
	"errors"
	"testing"

	"github.com/valyala/fasthttp"

	"bulrushspoke/internal/httpstatus"
	"bulrushspoke/internal/httpstatus/statustest"
)

// Guards against an answer with an invalid status, such as 000, that a caller gets as a success, and against one that cannot
// be told from a server that has crashed.
func TestInvalidStatus(t *testing.T) {
	statustest.Check(t, func(t *testing.T, address string) error {
		t.Helper()
		req := &fasthttp.Request{}
		req.SetRequestURI("http://" + address + "/call")
		x, err := Open(t.Context(), req)
		var invalid *httpstatus.InvalidError
		if err != nil && !errors.As(err, &invalid) {
			t.Errorf("got %v, want an *httpstatus.InvalidError", err)
		}
		if err != nil {
			return err
		}
		defer x.Close()
		_, err = x.ReadAll(1 << 10)
		return err
	})
}
