package budget

import (
	"bytes"
	"io"
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
	Bytes  int // of the request line and the header fields
	Fields int // header fields and parameters of the query
}

// headScanner counts the bytes and fields of a head while it is received, before it is decoded.
type headScanner struct {
	active bool
	limits HeadLimits
	lease  Lease
	size   int
	lines  int
	fields int
	line   int  // length of the current line without its line end
	cr     bool // the last byte was a carriage return
}

// begin starts a head. Up to a buffer of it may have been received before, with the request that preceded it.
func (h *headScanner) begin(a *Account, limits HeadLimits) {
	h.lease.Release()
	*h = headScanner{active: true, limits: limits, lease: a.Lease()}
}

// end ends the head; its memory stays reserved until the next one begins or the connection is closed.
func (h *headScanner) end() { h.active = false }

// scan counts a part of the head. It returns the answer with which the request is refused, or "".
func (h *headScanner) scan(b []byte) string {
	for len(b) > 0 && h.active {
		i := bytes.IndexByte(b, '\n')
		part := b
		if i >= 0 {
			part = b[:i+1]
		}
		h.count(part, i >= 0)
		b = b[len(part):]
		if h.active && (h.size > h.limits.Bytes || h.fields > h.limits.Fields) {
			return headTooLarge
		}
	}
	if !h.reserve() {
		return noHeadMemory
	}
	return ""
}

// count adds a part of a line, which ends the line if last is set.
func (h *headScanner) count(part []byte, last bool) {
	h.size += len(part)
	if h.lines == 0 {
		h.fields += bytes.Count(part, []byte{'&'})
	}
	if !last {
		h.line += len(part)
		h.cr = part[len(part)-1] == '\r'
		return
	}
	text := h.line + len(part) - 1
	if text > 0 && (len(part) > 1 && part[len(part)-2] == '\r' || len(part) == 1 && h.cr) {
		text--
	}
	if text == 0 && h.lines > 0 {
		h.active = false
		return
	}
	h.lines++
	if h.lines > 1 {
		h.fields++
	}
	h.line, h.cr = 0, false
}

// reserve reserves memory for a head beyond the ordinary size.
func (h *headScanner) reserve() bool {
	if h.size <= ordinaryHeadBytes && h.fields <= ordinaryFields {
		return true
	}
	need := int64(headCopies*h.size + fieldBytes*h.fields)
	return need <= h.lease.Held() || h.lease.Grow(need-h.lease.Held(), 0) == nil
}

// refuse sends an answer and returns the error that ends the connection. Its client has time to read the answer.
func (c *Conn) refuse(answer string) error {
	c.listener.recordHead(c, time.Now())
	_ = c.SetWriteDeadline(time.Now().Add(lingerTime))
	if _, err := io.WriteString(c.Conn, answer); err == nil && c.CloseWrite() == nil {
		time.Sleep(lingerTime)
	}
	return io.EOF // net/http closes the connection without an answer of its own
}
