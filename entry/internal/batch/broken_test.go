package batch

import (
	"fmt"
	"net/http"
	"testing"

	"bulrushspoke/internal/call"
	"bulrushspoke/platform/platformtest"
)

// Guards against the text or head of an error in the text of an item whose stream broke off.
func TestBrokenStreamLeavesNoErrorText(t *testing.T) {
	const head = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\noverloaded\n\n"
	for _, rest := range []string{head, "id: 2\nda" + head, "id: 2\ndata:" + head, "event: error\ndata: overloaded\n\n", "overloaded\n\n"} {
		e := newEngine(t, 1)
		e.hijack = func(w http.ResponseWriter, id string, run int) bool {
			if run > 1 {
				return false
			}
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return true
			}
			defer func() { _ = conn.Close() }()
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\nid: 1\ndata: %s.1\n\n%s",
				platformtest.RawResponseHeaders(call.Answer{ID: id, Signature: platformtest.Signature, Version: 1}), id, rest)
			return true
		}
		r := newRig(t, e)
		m, _ := r.manager("a", "a1")
		r.submit(m, "j", payload(1, "g-4"))
		checkTexts(t, r.collect(m, "j", 1), "g-4")
	}
}
