package ingress

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"bulrushspoke/entry/internal/place"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/standin/flood/floodtest"
)

// Guards against an entry that runs out of memory, and a client that gets a success, because a server sends bytes
// without end that are no answer.
func TestEndlessAnswer(t *testing.T) {
	for _, kind := range []catalog.Kind{catalog.Safe, catalog.Unsafe, catalog.Stream} {
		t.Run(fmt.Sprint(kind), func(t *testing.T) {
			floodtest.Check(t, func(t *testing.T, address string) {
				t.Helper()
				r := newRig(t, catalog.Route{Kind: kind, Timeout: time.Second})
				home := place.Home{Domain: "d", Region: "r", Regions: map[string]string{"d": "r"}}
				r.ingress.Tracker = place.New(home, r.catalog.Limits(), rand.New(rand.NewPCG(1, 1)))
				r.catalog.ApplyServer(catalog.Server{ID: "i", Revision: 1, Service: "v", Address: address, Domain: "d", Slots: 4})
				w := httptest.NewRecorder()
				q := httptest.NewRequest(http.MethodPost, "http://h.example/p/x", nil)
				r.ingress.ServeHTTP(w, q)
				if w.Code < http.StatusBadRequest {
					t.Errorf("the client got %d", w.Code)
				}
			})
		})
	}
}
