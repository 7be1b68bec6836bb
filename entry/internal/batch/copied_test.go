package batch

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"bulrushspoke/internal/call"
	"bulrushspoke/platform/platformtest"
	"bulrushspoke/standin/repeat"
)

// answerTime is how long servers take for an answer, so that the copy of the one before is read first.
const answerTime = 30 * time.Millisecond

// startRepeating starts a server that sends each answer with the given status a second time, at the beginning of the next
// request on the connection.
func startRepeating(t *testing.T, h http.Handler, status string) *httptest.Server {
	t.Helper()
	s := httptest.NewUnstartedServer(h)
	s.Listener = repeat.New(s.Listener, func(answer string) bool { return strings.HasPrefix(answer, "HTTP/1.1 "+status) })
	s.Start()
	t.Cleanup(s.CloseClientConnections)
	return s
}

// Guards against a late copy of the answer to an earlier attempt of an item that counts for its next attempt, as both have
// the same id: a failure that is counted twice, which gives the item up too early, or a refusal after which it runs twice.
func TestCopiedAnswersOfItems(t *testing.T) {
	const id = "g-3"
	for name, statuses := range map[string][]int{
		"fails twice":                 {500, 500},
		"fails after a refusal":       {503, 500, 500},
		"is refused between failures": {500, 503, 500},
		"is refused four times":       {503, 503, 503, 503},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newEngine(t, 1)
			e.Server = startRepeating(t, e, "50")
			e.hijack = func(http.ResponseWriter, string, int) bool {
				time.Sleep(answerTime)
				return false
			}
			e.answer = func(_ string, run int) int {
				if run > len(statuses) {
					return 0
				}
				return statuses[run-1]
			}
			r := newRig(t, e)
			m, _ := r.manager("a", "a1")
			r.submit(m, "j", payload(1, id))
			checkTexts(t, r.collect(m, "j", 1), id)
			e.mu.Lock()
			defer e.mu.Unlock()
			if n := e.runs[id]; n != len(statuses)+1 {
				t.Errorf("the item was sent %d times, want %d", n, len(statuses)+1)
			}
		})
	}
}

// Guards against the same for reward calls.
func TestCopiedAnswersOfRewardCalls(t *testing.T) {
	for name, statuses := range map[string][]int{
		"fails twice":           {500, 500},
		"is refused":            {503, 503, 503},
		"fails after a refusal": {503, 500, 500},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newEngine(t, 1)
			s := newScorer(t, e)
			s.Server, s.second = startRepeating(t, s, "50"), startRepeating(t, s, "50")
			s.set(func(w http.ResponseWriter, _ *http.Request, id string, run int) bool {
				time.Sleep(answerTime)
				if run > len(statuses) {
					return false
				}
				a := call.Answer{ID: id, Signature: signature(id)}
				if statuses[run-1] == http.StatusServiceUnavailable {
					a = call.Answer{ID: id, NotRun: true}
				}
				platformtest.SetResponseHeaders(w.Header(), a)
				w.WriteHeader(statuses[run-1])
				return true
			})
			r := newRig(t, e)
			r.addScorer(s)
			m, _ := r.manager("a", "a1")
			r.submit(m, "j", scoredPayload("g-3"))
			results := r.collect(m, "j", 1)
			checkTexts(t, results, "g-3")
			checkScores(t, s, results)
			if n := s.count("call-g-3"); n != len(statuses)+1 {
				t.Errorf("the call was sent %d times, want %d", n, len(statuses)+1)
			}
		})
	}
}
