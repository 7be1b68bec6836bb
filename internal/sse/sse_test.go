package sse

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against returning an event that the end of the stream truncated, and against lost version changes.
func TestReader(t *testing.T) {
	long := strings.Repeat("x", 5000)
	for _, c := range []struct {
		name string
		text string
		want []Event
		err  error
	}{
		{name: "empty", err: io.EOF},
		{
			name: "two events", text: "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n",
			want: []Event{{ID: 1, Data: "a"}, {ID: 2, Data: "b\nc"}}, err: io.EOF,
		},
		{
			name: "version change", text: "version: 7\nid: 3\ndata: a\n\n",
			want: []Event{{ID: 3, Data: "a", Version: 7}}, err: io.EOF,
		},
		{name: "carriage returns", text: "id:4\r\ndata:x\r\n\r\n", want: []Event{{ID: 4, Data: "x"}}, err: io.EOF},
		{name: "truncated within a line", text: "id: 1\nda", err: io.ErrUnexpectedEOF},
		{name: "truncated before the empty line", text: "id: 1\ndata: a\n", err: io.ErrUnexpectedEOF},
		{
			name: "line longer than the buffer", text: "id: 1\ndata: " + long + "\n\n",
			want: []Event{{ID: 1, Data: long}}, err: io.EOF,
		},
		{
			name: "comment", text: ": ping\n\nid: 1\n: note\ndata: a\n\n",
			want: []Event{{Comment: true}, {ID: 1, Data: "a"}}, err: io.EOF,
		},
		{name: "error in an event", text: "id: 1\ndaHTTP/1.1 500 Internal Server Error\r\n\r\noverloaded\n\n", err: ErrFormat},
		{name: "error with headers", text: "id: 1\ndata:HTTP/1.1 500 Error\r\nContent-Type: text/plain\r\n\r\n", err: ErrFormat},
		{name: "non-numeric id", text: "id: one\ndata: a\n\n", err: ErrFormat},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := NewReader(strings.NewReader(c.text), "version")
			var got []Event
			var raw strings.Builder
			for {
				e, err := r.Next()
				if err != nil {
					if !errors.Is(err, c.err) {
						t.Errorf("Next returned error %v, want %v", err, c.err)
					}
					break
				}
				raw.Write(e.Raw)
				e.Raw = nil
				got = append(got, e)
			}
			if d := cmp.Diff(c.want, got); d != "" {
				t.Errorf("events (-want +got):\n%s", d)
			}
			if errors.Is(c.err, io.EOF) && raw.String() != c.text {
				t.Errorf("raw bytes are %q, want %q", raw.String(), c.text)
			}
		})
	}
}
