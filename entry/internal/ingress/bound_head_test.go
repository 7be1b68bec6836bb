package ingress

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"bulrushspoke/internal/catalog"
)

// Guards against refusing a client within the limit on heads because of the number of its fields or parameters, and against
// accepting a head beyond the limit that the connection has let through.
func TestBoundHead(t *testing.T) {
	const limit = 16_384
	for name, tc := range map[string]struct {
		query  string
		fields int // of five bytes and more
		status int
	}{
		"ordinary":             {"a=b", 10, 0},
		"short fields":         {"", 2000, 0},
		"parameters":           {strings.Repeat("a&", 8000), 0, 0},
		"too many fields":      {"", 4000, http.StatusRequestHeaderFieldsTooLarge},
		"too many parameters":  {strings.Repeat("a&", 8200), 0, http.StatusRequestHeaderFieldsTooLarge},
		"both within a half":   {strings.Repeat("a&", 4000), 1000, 0},
		"both over the limit":  {strings.Repeat("a&", 6000), 1000, http.StatusRequestHeaderFieldsTooLarge},
		"one field repeatedly": {"", -4000, 0},
	} {
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/?"+tc.query, strings.NewReader("body"))
		for i := range tc.fields {
			r.Header[fmt.Sprintf("%04x", i)] = []string{""}
		}
		for range -tc.fields {
			r.Header["A"] = append(r.Header["A"], "")
		}
		q := &request{http: r, config: &catalog.Config{Limits: catalog.Limits{MaxHeaderBytes: limit}}}
		reply := (&Ingress{}).boundHead(q)
		if reply.Status != tc.status || reply.Close != (tc.status != 0) {
			t.Errorf("%s: status %d, close %t; want %d", name, reply.Status, reply.Close, tc.status)
		}
	}
}
