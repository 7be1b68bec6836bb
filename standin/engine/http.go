package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"bulrushspoke/standin/internal/web"
	"bulrushspoke/standin/report"
	"bulrushspoke/standin/token"
	"bulrushspoke/wire"
)

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	switch {
	case path == "/v1/completions" && r.Method == http.MethodPost:
		e.completion(w, r)
	case strings.HasPrefix(path, "/v1/completions/") && r.Method == http.MethodDelete:
		e.cancel(w, strings.TrimPrefix(path, "/v1/completions/"))
	case path == "/version":
		e.mu.Lock()
		s := e.state()
		e.mu.Unlock()
		web.WriteJSON(w, http.StatusOK, s)
	case path == "/load" && r.Method == http.MethodPost:
		e.order(w, r)
	case path == "/load":
		web.WriteJSON(w, http.StatusOK, e.lagging(time.Now()))
	case path == "/control":
		e.control(w, r)
	case path == "/history":
		web.WriteJSON(w, http.StatusOK, e.History())
	default:
		http.NotFound(w, r)
	}
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o wire.EngineOrder
	if !web.ReadJSON(w, r, &o) {
		return
	}
	s, ok := e.load(o, time.Now())
	if !ok {
		web.WriteJSON(w, http.StatusConflict, s)
		return
	}
	web.WriteJSON(w, http.StatusOK, s)
}

// lagging returns the load as it was before the lag.
func (e *Engine) lagging(now time.Time) wire.EngineLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := now.Add(-e.config.Lag)
	l := wire.EngineLoad{At: at.UnixMilli()}
	for _, r := range e.loads {
		if r.at.After(at) {
			break
		}
		l.Running, l.Waiting = r.running, r.waiting
	}
	return l
}

func (e *Engine) control(w http.ResponseWriter, r *http.Request) {
	var c report.EngineControl
	if !web.ReadJSON(w, r, &c) {
		return
	}
	e.Control(c, time.Now())
	w.WriteHeader(http.StatusNoContent)
	if c.Crash {
		// The answer leaves before the crash closes its connection.
		time.AfterFunc(crashDelay, e.Crash)
	}
}

// Control injects or ends faults other than a crash.
func (e *Engine) Control(c report.EngineControl, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.Slow != nil && *c.Slow > 0 {
		e.slow, e.until = *c.Slow, time.Time{}
		if c.For > 0 {
			e.until = now.Add(time.Duration(c.For) * time.Millisecond)
		}
	}
	if c.Fail != nil {
		e.fails = *c.Fail
	}
}

// cancel ends a run; its stream gets a last event.
func (e *Engine) cancel(w http.ResponseWriter, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.find(id)
	if r == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	now := time.Now()
	r.pending = append(r.pending, wire.EngineEvent{Done: true, Reason: Cancelled})
	r.end(Cancelled, now)
	e.remove(r, now)
	w.WriteHeader(http.StatusNoContent)
}

// find returns the run of an id that has not ended; the caller holds the lock.
func (e *Engine) find(id string) *run {
	for _, list := range [][]*run{e.running, e.waiting} {
		for _, r := range list {
			if r.ID == id {
				return r
			}
		}
	}
	return nil
}

func (e *Engine) completion(w http.ResponseWriter, r *http.Request) {
	var q wire.EngineRequest
	if !web.ReadJSON(w, r, &q) {
		return
	}
	if err := check(q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	if e.find(q.ID) != nil {
		e.mu.Unlock()
		http.Error(w, "engine: "+q.ID+" runs already", http.StatusConflict)
		return
	}
	u := e.submit(q, time.Now())
	e.mu.Unlock()
	e.stream(w, r, u)
}

// check refuses a request whose held tokens do not belong to its prompt.
func check(q wire.EngineRequest) error {
	if q.ID == "" || q.Max <= len(q.Tokens) {
		return fmt.Errorf("engine: max %d with %d held tokens", q.Max, len(q.Tokens))
	}
	hash := token.Hash(q.Prompt)
	for i, text := range q.Tokens {
		t, err := token.Parse(text)
		if err != nil {
			return err
		}
		if t.Hash != hash || t.Index != i {
			return fmt.Errorf("engine: held token %d is %q", i, text)
		}
	}
	return nil
}

// stream sends the events of a run until its end.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, u *run) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	_ = control.Flush()
	defer func() { e.leave(u, Gone, time.Now()) }()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-u.notify:
		}
		events, crashed := e.take(u)
		if crashed {
			web.Abort()
		}
		for _, ev := range events {
			if err := send(w, ev); err != nil {
				return
			}
			if ev.Done {
				return
			}
		}
		if control.Flush() != nil {
			return
		}
	}
}

// take returns the events to send, and whether the engine has crashed.
func (e *Engine) take(u *run) ([]wire.EngineEvent, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	events := u.pending
	u.pending = nil
	return events, u.Outcome == Crashed
}

func send(w http.ResponseWriter, ev wire.EngineEvent) error {
	text, err := json.Marshal(ev)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "data: %s\n\n", text)
	return err
}
