package ingress

import (
	"errors"
	"io"
	"net/http"
	"time"

	"bulrushspoke/internal/budget"
)

const (
	// firstBodyBytes is the memory that a body of known length begins with, and firstChunkBytes that of one in chunks.
	// It grows by a factor as the body arrives, so that clients cannot reserve much memory for what they do not send.
	// Most bodies are read without a copy. A known length is reached in few steps, as each leaves garbage of its size.
	firstBodyBytes  = 16 << 10
	firstChunkBytes = 256
	bodyGrowth      = 16
	chunkGrowth     = 2
	// Bodies of more than smallBodyBytes leave one part in spareShare of the memory for bodies to smaller ones, so that a
	// few large bodies that are never completed do not shut out ordinary requests. Documents of ordinary jobs have 100 to
	// 250 KB.
	smallBodyBytes = 256 << 10
	spareShare     = 5
	// smallReplyBytes is the size of a reply that the buffers of a connection and of the kernel take at once.
	smallReplyBytes = 64 << 10
	// replyTimeout bounds the sending of a larger reply: 900 KB at 240 kbit/s.
	replyTimeout = 30 * time.Second
)

// spare returns the part of the memory for bodies that a body of n bytes must leave to others.
func (g *Ingress) spare(n int64) int64 {
	if g.Bodies == nil || n <= smallBodyBytes {
		return 0
	}
	return g.Bodies.Limit() / spareShare
}

// reserve reserves memory for the first part of a request body, whose length is negative if it is unknown. It fails at once if the
// whole body would not fit now.
func (g *Ingress) reserve(q *request, length int64) error {
	q.held = g.Bodies.Lease()
	if length < 0 {
		return q.held.Grow(firstChunkBytes, 0)
	}
	if err := q.held.Grow(length, g.spare(length)); err != nil {
		return err
	}
	q.held.Shrink(length - min(length, firstBodyBytes))
	return nil
}

// readAll reads the request body, for the first part of which memory is reserved.
func (g *Ingress) readAll(c *http.ResponseController, q *request, limit int64) error {
	if err := c.SetReadDeadline(q.arrived.Add(q.remaining(q.arrived))); err != nil {
		return err
	}
	most := limit + 1
	if n := q.http.ContentLength; n > 0 {
		most = n
	}
	body := make([]byte, 0, q.firstPart(most))
	for int64(len(body)) < most {
		if len(body) == cap(body) {
			var err error
			if body, err = g.enlarge(q, body, most); err != nil {
				return err
			}
		}
		n, err := q.http.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
	}
	q.body = body
	return c.SetReadDeadline(time.Time{})
}

// firstPart returns the size of the first part of a body of up to most bytes.
func (q *request) firstPart(most int64) int64 {
	if q.http.ContentLength < 0 {
		return min(most, firstChunkBytes)
	}
	return min(most, firstBodyBytes)
}

// enlarge returns the body in more memory, up to most bytes. Both copies are reserved until it has been copied.
func (g *Ingress) enlarge(q *request, body []byte, most int64) ([]byte, error) {
	factor := int64(chunkGrowth)
	if q.http.ContentLength > 0 {
		factor = bodyGrowth
	}
	size := min(factor*int64(cap(body)), most)
	if err := q.held.Grow(size, g.spare(size)); err != nil {
		return nil, err
	}
	larger := append(make([]byte, 0, size), body...)
	q.held.Shrink(int64(cap(body)))
	return larger, nil
}

// reserveAnswer reserves memory for a server's answer of the given length, which is negative if it is unknown. If it returns false the
// answer is passed on without being buffered.
func (g *Ingress) reserveAnswer(q *request, length int64) bool {
	if length < 0 {
		length = maxBufferedResponse
	}
	if q.buffered.Held() == 0 {
		q.buffered = g.Answers.Lease()
	}
	more := length - q.buffered.Held()
	return more <= 0 || g.grow(&q.buffered, more)
}

// reserveReply reserves memory for a reply until its client has taken it, and replaces one that does not fit by a refusal: the calls
// with large replies only read.
func (g *Ingress) reserveReply(w http.ResponseWriter, a Reply) (reply Reply, release func()) {
	if len(a.Body) <= smallReplyBytes {
		return a, func() {}
	}
	lease := g.Answers.Lease()
	if !g.grow(&lease, int64(len(a.Body))) {
		return Reply{Status: http.StatusServiceUnavailable, RetryAfter: retryNoCapacity, Cause: "no memory for the answer"}, lease.Release
	}
	// Without a deadline, a client that stops reading holds the memory for as long as its connection lives. It fails only
	// if the connection is closed, which the write reports.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(replyTimeout))
	return a, lease.Release
}

// grow enlarges a lease for an answer.
func (g *Ingress) grow(l *budget.Lease, n int64) bool {
	if l.Grow(n, 0) == nil {
		return true
	}
	if g.OnAnswersFull != nil {
		g.OnAnswersFull()
	}
	return false
}
