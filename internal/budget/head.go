package budget

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// ordinaryHeadBytes and ordinaryFields are the size of a head that the memory of its connection allows for.
	ordinaryHeadBytes = 4 << 10
	ordinaryFields    = 64
	// fieldBytes is the memory of a decoded field beside its text: a slice of values, two string headers and its place in
	// a map that is up to twice as large as needed.
	fieldBytes = 160
	// headCopies is the number of copies of a head's text that are held while its request is served: as received and as
	// passed on.
	headCopies = 2
	// lingerTime is how long a connection stays open after a refusal. Closing it while the client is still sending would
	// reset it and discard the answer.
	lingerTime = 300 * time.Millisecond
)

// Answers to heads that are not decoded; the request has not run.
const (
	headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	noHeadMemory = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.3\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// HeadLimits bound the head of a request.
type HeadLimits struct {
	Bytes int // of the request line and the header fields
}

// leadingBytes is the number of line end bytes that net/http skips before a request that follows a POST.
const leadingBytes = 4

// marks is an upper bound on what a part of a head decodes to: its bytes, and its fields and parameters.
type marks struct {
	size   int
	fields int
}

func (m *marks) add(b []byte) {
	m.size += len(b)
	m.fields += bytes.Count(b, []byte{'\n'}) + bytes.Count(b, []byte{'&'})
}

// headScanner bounds the bytes that are received between the end of a request and the end of the next head, without
// interpreting them: where a head begins and ends is known to net/http only. Up to a buffer of 4 KB of the head may have been
// received before, and as much of what follows it may be received with its end.
type headScanner struct {
	active    bool
	limits    HeadLimits
	lease     Lease
	seen      marks
	last      marks // of the latest read, which net/http may not have used up when a head begins
	deadlines int   // read deadlines set since the head began
}

// begin starts a head.
func (h *headScanner) begin(a *Account, limits HeadLimits) {
	h.lease.Release()
	*h = headScanner{active: true, limits: limits, lease: a.Lease(), last: h.last}
}

// end ends the head; its memory stays reserved until the next one begins or the connection is closed.
func (h *headScanner) end() { h.active = false }

// beforeRead is called before more of the head is read. It returns the answer with which the request is refused, or "".
func (h *headScanner) beforeRead() string {
	if h.seen.size >= h.limits.Bytes+leadingBytes {
		return headTooLarge
	}
	// After a request, net/http sets a deadline and waits until four bytes are there; then it sets others. A read before
	// that means that fewer than four bytes are left of what was received with the former request.
	const idleDeadlines = 1
	if h.seen.size == 0 && h.deadlines > idleDeadlines {
		return h.reserve(h.last)
	}
	return ""
}

// afterRead counts a part of the head.
func (h *headScanner) afterRead(b []byte) string {
	if h.seen.size == 0 && h.lease.Held() > 0 {
		h.seen.fields = h.last.fields // the rest of the latest read is part of this head
	}
	h.seen.add(b)
	return h.reserve(h.seen)
}

// reserve reserves memory for a head beyond the ordinary size. It returns the answer with which the request is refused, or "".
func (h *headScanner) reserve(m marks) string {
	if h.settle(m) != nil {
		return noHeadMemory
	}
	return ""
}

// settle makes the lease that of a head.
func (h *headScanner) settle(m marks) error {
	var need int64
	if m.size > ordinaryHeadBytes || m.fields > ordinaryFields {
		need = int64(headCopies*m.size + fieldBytes*m.fields)
	}
	if held := h.lease.Held(); need <= held {
		h.lease.Shrink(held - need)
		return nil
	}
	return h.lease.Grow(need-h.lease.Held(), 0)
}

// HeadSize returns the size of a decoded head in bytes, at most what its client has sent, and the number of its fields and
// parameters.
func HeadSize(r *http.Request) (size, fields int) {
	const (
		lineBytes  = len("  HTTP/1.1\n")
		fieldBytes = len(":\n") // beside name and value
	)
	size = len(r.Method) + len(r.RequestURI) + lineBytes
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + fieldBytes
			fields++
		}
	}
	return size, fields + strings.Count(r.URL.RawQuery, "&")
}

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// ConnContext is the ConnContext hook of an http.Server that serves a Listener.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// SettleHead replaces what was reserved for the head of a request while it was received by what it takes. The error is an
// *Error. Requests of other listeners are not limited.
func SettleHead(r *http.Request, size, fields int) error {
	c, ok := r.Context().Value(connKey{}).(*Conn)
	if !ok || c.listener.options.Heads == nil {
		return nil
	}
	return c.head.settle(marks{size: size, fields: fields})
}

// refuse sends an answer and returns the error that ends the connection. Its client has time to read the answer.
func (c *Conn) refuse(answer string) error {
	c.listener.recordHead(c, time.Now())
	c.head.lease.Release()
	_ = c.SetWriteDeadline(time.Now().Add(lingerTime))
	if _, err := io.WriteString(c.Conn, answer); err == nil && c.CloseWrite() == nil {
		time.Sleep(lingerTime)
	}
	return io.EOF // net/http closes the connection without an answer of its own
}
