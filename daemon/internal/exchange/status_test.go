package exchange

import (
	"testing"

	"github.com/valyala/fasthttp"

	"bulrushspoke/internal/httpstatus/statustest"
)

// Guards against an answer with an invalid status, such as 000, that a caller gets as a success.
func TestInvalidStatus(t *testing.T) {
	statustest.Check(t, func(t *testing.T, address string) error {
		t.Helper()
		req := &fasthttp.Request{}
		req.SetRequestURI("http://" + address + "/call")
		x, err := Open(t.Context(), req)
		if err != nil {
			return err
		}
		defer x.Close()
		_, err = x.ReadAll(1 << 10)
		return err
	})
}
