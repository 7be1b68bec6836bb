package ingress

import (
	"errors"
	"time"

	"bulrushspoke/internal/call"
	"bulrushspoke/internal/upstream"
)

// Usage counts the attempts of clients' requests that servers began to run.
type Usage interface {
	Began(workspace string, at time.Time)
}

// recordAnswered counts an attempt that was answered, unless the answer proves that it has not run. A foreign answer, such
// as a late one to an earlier request, proves nothing, and the server has most likely begun.
func (g *Ingress) recordAnswered(q *request, r *upstream.Response, m call.Meaning) {
	if m != call.NotRun {
		g.recordBegan(q, r.SentAt)
	}
}

// recordUnanswered counts an attempt without an answer if it was sent. A server that is gone refuses the connection, so one
// that has taken the request and then reset the connection, or not answered in time, has most likely begun.
func (g *Ingress) recordUnanswered(q *request, err error) {
	var e *upstream.Error
	if errors.As(err, &e) && e.Sent() {
		g.recordBegan(q, e.SentAt())
	}
}

// recordBegan counts an attempt that a server began to run shortly after the given time.
func (g *Ingress) recordBegan(q *request, at time.Time) {
	if name := q.workspace.Name; g.Usage != nil && name != "" {
		g.Usage.Began(name, at)
	}
}
