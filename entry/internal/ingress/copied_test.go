package ingress

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"bulrushspoke/internal/call"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/platform/platformtest"
	"bulrushspoke/standin/repeat"
)

// Guards against a late copy of an answer that a client gets, or that is believed, for another attempt under the same id.
func TestCopiedAnswersOfRequests(t *testing.T) {
	for name, statuses := range map[string][]int{
		"success": {200, 200},
		"failure": {500, 200},
		"refusal": {503, 200},
	} {
		t.Run(name, func(t *testing.T) {
			var sent []string
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				sent = append(sent, q.URL.Path)
				a := call.Answer{ID: platformtest.DecodeServerRequest(q.Header).ID, Signature: platformtest.Signature}
				status := statuses[len(sent)-1]
				if status == http.StatusServiceUnavailable {
					a.Signature, a.NotRun = "", true
				}
				platformtest.SetResponseHeaders(w.Header(), a)
				w.WriteHeader(status)
				_, _ = io.WriteString(w, "answer "+strconv.Itoa(len(sent)))
			}))
			s.Listener = repeat.New(s.Listener, func(answer string) bool { return strings.HasSuffix(answer, "answer 1") })
			s.Start()
			t.Cleanup(s.Close)
			r := newRig(t, catalog.Route{Kind: catalog.Safe}, &server{Listener: s.Listener})
			for n, status := range statuses {
				resp, body, err := r.send(t, http.MethodPost, "/p/x", "payload", nil)
				if err != nil {
					t.Fatal(err)
				}
				if resp.StatusCode != status || status < 503 && body != "answer "+strconv.Itoa(n+1) {
					t.Errorf("attempt %d of the client got %d %q, want %d", n+1, resp.StatusCode, body, status)
				}
			}
			if len(sent) != len(statuses) {
				t.Errorf("the server got %d requests, want %d", len(sent), len(statuses))
			}
		})
	}
}
