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

// Guards against two requests with one id on a connection, where a late copy of the first answer could be taken for the
// second one, and against connections that are opened without that need.
func TestIDsOfOneConnectionDiffer(t *testing.T) {
	distinct := make([]string, maxSentIDs+1)
	for n := range distinct {
		distinct[n] = fmt.Sprint(n)
	}
	for _, tc := range []struct {
		name  string
		most  int // connections that may be open
		ids   []string
		dials int64
	}{
		{"same id", 4, []string{"a", "a"}, 2},
		{"same id after another one", 4, []string{"a", "b", "a"}, 2},
		{"same id three times", 4, []string{"a", "a", "a"}, 3},
		{"same id at the limit of connections", 1, []string{"a", "a", "a"}, 3},
		{"two idle connections", 4, []string{"a", "a", "b", "c", "d"}, 2},
		{"the older idle connection", 4, []string{"a", "a", "b", "b"}, 2},
		{"other ids", 4, []string{"a", "b", "c"}, 1},
		{"without ids", 4, []string{"", "", ""}, 1},
		{"as many ids as are kept", 4, distinct[:maxSentIDs], 1},
		{"more ids than are kept", 4, distinct, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			t.Cleanup(s.Close)
			p := New(Limits{Dial: time.Second, Idle: 4})
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			target := Target{Address: strings.TrimPrefix(s.URL, "http://"), Incarnation: "i", Conns: tc.most}
			for _, id := range tc.ids {
				r, err := p.Send(ctx, target, Request{Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, ID: id})
				if err != nil {
					t.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					t.Fatal(err)
				}
				r.Close()
			}
			if n := p.DialAttempts(); n != tc.dials {
				t.Errorf("%d connections for %d requests, want %d", n, len(tc.ids), tc.dials)
			}
		})
	}
}
