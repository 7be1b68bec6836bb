package batch

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"bulrushspoke/internal/call"
	"bulrushspoke/internal/job"
	"bulrushspoke/platform/platformtest"
	"bulrushspoke/wire"
)

// writeRaw takes the connection of a request over, writes the text and closes the connection.
func writeRaw(w http.ResponseWriter, text string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the client has left
	}
	_, _ = io.WriteString(c, text)
	_ = c.Close()
}

// Guards against items that are listed with an empty or short text because their engine stopped in the head of its
// answer, at any point, or ended a response without framing between two events.
func TestCutAnswerIsNoText(t *testing.T) {
	const events = 4
	for name, framed := range map[string]bool{"chunks": true, "until the end of the connection": false} {
		t.Run(name, func(t *testing.T) {
			e := newEngine(t, 1)
			heads := 0
			e.hijack = func(w http.ResponseWriter, id string, run int) bool {
				head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + platformtest.RawResponseHeaders(call.Answer{
					ID: id, Signature: platformtest.Signature, Version: 1,
				})
				if framed {
					head += "Transfer-Encoding: chunked\r\n"
				}
				head += "\r\n"
				var cut int
				if _, err := fmt.Sscanf(id, "g%d-", &cut); err != nil {
					return false
				}
				if cut = cut * 7; run > 1 || cut > len(head) {
					return false
				}
				e.set(func(*engine) { heads++ })
				if cut+7 <= len(head) {
					writeRaw(w, head[:cut])
					return true
				}
				text := "id: 1\ndata: " + id + ".1\n\n"
				if framed {
					text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
				}
				writeRaw(w, head+text)
				return true
			}
			r := newRig(t, e)
			m, _ := r.manager("a", "a1")
			var ids []string
			for n := range 60 {
				ids = append(ids, fmt.Sprintf("g%d-%d", n, events))
			}
			r.submit(m, "j", payloadFor(len(ids), 1, ids...))
			checkTexts(t, r.collect(m, "j", len(ids)), ids...)
			if heads < 15 {
				t.Errorf("only %d answers were cut", heads)
			}
		})
	}
}

// Guards against items that are listed with a part of their text because an engine that was asked to go on died after the head
// of a response without framing.
func TestEngineThatDiesConfirmsNoText(t *testing.T) {
	const broken, dies, gone, busy = "broken", "dies", "gone", "busy"
	for name, script := range map[string][]string{
		"once":        {broken, dies, gone},
		"three times": {broken, dies, gone, dies, gone, dies, gone},
		"first run":   {dies, gone},
		"cannot say":  {broken, dies, busy},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := newEngine(t, 1)
			e.hijack = func(w http.ResponseWriter, id string, run int) bool {
				if run > len(script) {
					return false
				}
				head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + platformtest.RawResponseHeaders(call.Answer{
					ID: id, Signature: platformtest.Signature, Version: 1,
				})
				switch script[run-1] {
				case broken:
					text := fmt.Sprintf("id: 1\ndata: %s.1\n\n", id)
					writeRaw(w, fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(text), text))
				case dies:
					writeRaw(w, head+"\r\n")
				case gone:
					writeRaw(w, "")
				case busy:
					platformtest.SetResponseHeaders(w.Header(), call.Answer{NotRun: true})
					w.WriteHeader(http.StatusServiceUnavailable)
				}
				return true
			}
			r := newRig(t, e)
			m, _ := r.manager("a", "a1")
			r.submit(m, "j", payload(1, "g-5"))
			checkTexts(t, r.collect(m, "j", 1), "g-5")
		})
	}
}

// Guards against items that stay open at engines whose responses have no framing, or run there again and again.
func TestUnframedTextIsConfirmed(t *testing.T) {
	e := newEngine(t, 1)
	e.hijack = func(w http.ResponseWriter, id string, run int) bool {
		text := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
		after := 0
		if run > 1 {
			after = length(id) // the request asks for the events after the last one
			text += platformtest.RawResponseHeaders(call.Answer{ID: id, Signature: platformtest.Signature})
		} else {
			text += platformtest.RawResponseHeaders(call.Answer{ID: id, Signature: platformtest.Signature, Version: 1})
		}
		text += "\r\n"
		for n := after + 1; n <= length(id); n++ {
			text += fmt.Sprintf("id: %d\ndata: %s.%d\n\n", n, id, n)
		}
		writeRaw(w, text)
		return true
	}
	r := newRig(t, e)
	m, _ := r.manager("a", "a1")
	r.submit(m, "j", payload(1, "g-5", "h-3"))
	checkTexts(t, r.collect(m, "j", 2), "g-5", "h-3")
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, n := range e.runs {
		if n > 2 {
			t.Errorf("item %s ran %d times, want a run and a confirmation", id, n)
		}
	}
}

// Guards against a score of a server that stopped in the head of its answer, at each possible byte.
func TestCutAnswerIsNoScore(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + platformtest.RawResponseHeaders(call.Answer{ID: "c", Signature: platformtest.Signature}) +
		"Content-Length: 2\r\n\r\n"
	e := newEngine(t, 1)
	cut := 0
	e.hijack = func(w http.ResponseWriter, _ string, _ int) bool {
		writeRaw(w, (head + "{}")[:cut])
		return true
	}
	r := newRig(t, e)
	m, _ := r.manager("a", "a1")
	j := newJob(m, job.Job{ID: "j"}, wire.JobState{Host: "h", Path: "/p/"}, nil, time.Now())
	rewardCall := job.Reward{ID: "c", Host: "h", Path: "/p/score", Body: []byte("{}")}
	for ; cut < len(head)+2; cut++ {
		score, _, _ := j.sendRewardCall(t.Context(), &rewardCall, r.server(0, 1), &r.route, time.Second)
		if score != "" {
			t.Errorf("cut after %d of %d bytes: the score is %q", cut, len(head), score)
		}
	}
	if score, _, _ := j.sendRewardCall(t.Context(), &rewardCall, r.server(0, 1), &r.route, time.Second); !strings.Contains(score, platformtest.Signature) {
		t.Errorf("the whole answer has the score %q", score)
	}
}
