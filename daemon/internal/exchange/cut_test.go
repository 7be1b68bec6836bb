package exchange

import (
	"io"
	"net"
	"testing"

	"github.com/valyala/fasthttp"
)

// Guards against an empty or short answer that counts as whole because its server stopped in the middle of its head, or
// in the middle of a body with a length or chunks.
func TestCutAnswerIsAnError(t *testing.T) {
	for _, whole := range []string{
		"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nfine",
		"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nfine",
	} {
		for cut := range len(whole) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = c.Read(make([]byte, 4<<10))
				_, _ = io.WriteString(c, whole[:cut])
				_ = c.Close()
			}()
			req := &fasthttp.Request{}
			req.SetRequestURI("http://" + l.Addr().String() + "/call")
			x, err := Open(t.Context(), req)
			if err == nil {
				var body []byte
				body, err = x.ReadAll(1 << 10)
				if err == nil {
					t.Errorf("cut after %d of %d bytes: status %d and body %q", cut, len(whole), x.Response().StatusCode(), body)
				}
				x.Close()
			}
			_ = l.Close()
		}
	}
}
