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
		e.handleCompletion(w, r)
	case strings.HasPrefix(path, "/v1/completions/") && r.Method == http.MethodDelete:
		e.handleCancel(w, strings.TrimPrefix(path, "/v1/completions/"))
	case path == "/version":
		e.mu.Lock()
		s := e.weightStatus()
		e.mu.Unlock()
		web.WriteJSON(w, http.StatusOK, s)
	case path == "/load" && r.Method == http.MethodPost:
		e.handleLoad(w, r)
	case path == "/load":
		web.WriteJSON(w, http.StatusOK, e.delayedLoad(time.Now()))
	case path == "/control":
		e.handleControl(w, r)
	case path == "/history":
		web.WriteJSON(w, http.StatusOK, e.History())
	default:
		http.NotFound(w, r)
	}
}

func (e *Engine) handleLoad(w http.ResponseWriter, r *http.Request) {
	var o wire.EngineLoadRequest
	if !web.ReadJSON(w, r, &o) {
		return
	}
	s, ok := e.startLoad(o, time.Now())
	if !ok {
		web.WriteJSON(w, http.StatusConflict, s)
		return
	}
	web.WriteJSON(w, http.StatusOK, s)
}

// delayedLoad returns the load as it was LoadLag ago.
func (e *Engine) delayedLoad(now time.Time) wire.EngineLoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	at := now.Add(-e.config.LoadLag)
	l := wire.EngineLoadReport{At: at.UnixMilli()}
	for _, r := range e.loadReadings {
		if r.at.After(at) {
			break
		}
		l.Running, l.Waiting = r.running, r.waiting
	}
	return l
}

func (e *Engine) handleControl(w http.ResponseWriter, r *http.Request) {
	var c report.EngineControl
	if !web.ReadJSON(w, r, &c) {
		return
	}
	e.Control(c, time.Now())
	w.WriteHeader(http.StatusNoContent)
	if c.Crash {
		// The delay lets the response be sent before the crash closes its connection.
		time.AfterFunc(crashDelay, e.Crash)
	}
}

// Control injects or ends faults, except for crashes.
func (e *Engine) Control(c report.EngineControl, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c.Slow != nil && *c.Slow > 0 {
		e.slowdown, e.slowUntil = *c.Slow, time.Time{}
		if c.For > 0 {
			e.slowUntil = now.Add(time.Duration(c.For) * time.Millisecond)
		}
	}
	if c.Fail != nil {
		e.failingLoads = *c.Fail
	}
}

// handleCancel cancels a run; its stream gets a last event.
func (e *Engine) handleCancel(w http.ResponseWriter, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.findActive(id)
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

// findActive returns the running or waiting run with an id, nil if there is none; the caller holds the lock.
func (e *Engine) findActive(id string) *run {
	for _, list := range [][]*run{e.running, e.waiting} {
		for _, r := range list {
			if r.ID == id {
				return r
			}
		}
	}
	return nil
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var q wire.EngineRequest
	if !web.ReadJSON(w, r, &q) {
		return
	}
	if err := validate(q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	if e.findActive(q.ID) != nil {
		e.mu.Unlock()
		http.Error(w, "engine: "+q.ID+" runs already", http.StatusConflict)
		return
	}
	u := e.submit(q, time.Now())
	e.mu.Unlock()
	e.stream(w, r, u)
}

// validate returns an error if the request has no id, has no token left to generate, or holds tokens of another prompt.
func validate(q wire.EngineRequest) error {
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

// stream sends the events of a run until it ends or the client disconnects.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, u *run) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	_ = control.Flush()
	defer func() { e.abort(u, Disconnected, time.Now()) }()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-u.notify:
		}
		events, crashed := e.takeEvents(u)
		if crashed {
			web.Abort()
		}
		for _, ev := range events {
			if err := writeEvent(w, ev); err != nil {
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

// takeEvents returns the events to send, and whether the engine has crashed.
func (e *Engine) takeEvents(u *run) ([]wire.EngineEvent, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	events := u.pending
	u.pending = nil
	return events, u.Outcome == Crashed
}

func writeEvent(w http.ResponseWriter, ev wire.EngineEvent) error {
	text, err := json.Marshal(ev)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "data: %s\n\n", text)
	return err
}
