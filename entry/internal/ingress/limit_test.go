package ingress

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"bulrushspoke/internal/call"
	"bulrushspoke/internal/catalog"
	"bulrushspoke/platform/platformtest"
)

// limitedTo responds like a server that states a limit of its request rate.
func limitedTo(rate float64) script {
	return func(c net.Conn, q *http.Request, _ string) bool {
		return write(c, "200 OK\r\n"+platformtest.RawResponseHeaders(call.Answer{
			ID: platformtest.DecodeServerRequest(q.Header).ID, Signature: platformtest.Signature,
			Limit: call.Limit{Stated: true, Rate: rate},
		}), "fine")
	}
}

// Guards against a server that gets more requests than one and a half times its stated limit and five, and against
// rejections that do not say when to come back.
func TestRequestsStayWithinStatedLimit(t *testing.T) {
	const rate, window = 2.0, 4.0
	s := newServer(t, limitedTo(rate))
	r := newRig(t, catalog.Route{Kind: catalog.Safe, MaxAttempts: 2}, s)
	for range 60 {
		resp, _, err := r.send(t, "GET", "/p/", "", nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode == http.StatusOK {
			continue
		}
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if resp.StatusCode != http.StatusServiceUnavailable || err != nil || after <= 0 {
			t.Fatalf("rejected with %d and Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
		}
	}
	if got, most := len(s.requests()), int(1.5*rate*window+5); got > most {
		t.Errorf("the server got %d requests in less than 4 s, allowed are %d", got, most)
	}
}

// Guards against a request that is taken from its server halfway to its deadline although no other server takes it: there
// is none, or the limit of the other one is used up.
func TestRequestStaysAtOnlyServerThatTakesIt(t *testing.T) {
	slow := func(c net.Conn, q *http.Request, _ string) bool {
		time.Sleep(600 * time.Millisecond)
		return respondOK(c, q, "")
	}
	limited := newServer(t, limitedTo(0.2))
	for name, servers := range map[string][]*server{"only server": {newServer(t, slow)}, "limited": {newServer(t, slow), limited}} {
		r := newRig(t, catalog.Route{Kind: catalog.Safe, MaxAttempts: 2}, servers...)
		r.deadline = time.Second
		if name == "limited" {
			now := time.Now()
			r.catalog.Limits().Record("i1", call.Limit{Stated: true, Rate: 0.2}, now, now)
		}
		resp, body, err := r.send(t, "GET", "/p/", "", nil)
		if err != nil || resp.StatusCode != http.StatusOK || body != "fine" {
			t.Errorf("%s: got %v, %q, %v", name, resp, body, err)
		}
	}
}
