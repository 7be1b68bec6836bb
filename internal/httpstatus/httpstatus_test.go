package httpstatus

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// Guards against a valid answer that is rejected or changed, and against an invalid status that passes because the status
// line arrives in pieces, after empty lines or after interim answers.
func TestReader(t *testing.T) {
	for _, tc := range []struct {
		answer string
		valid  bool
	}{
		{"HTTP/1.1 200 OK\r\nA: b\r\n\r\nHTTP/1.1 000 in the body\r\n", true},
		{"HTTP/1.1 599\r\n\r\n", true},
		{"\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n", true},
		{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", true},
		{"HTTP/1.1 103 " + strings.Repeat("x", 51) + "\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", true},
		{"HTTP/1.1 103 " + strings.Repeat("x", 51) + "\r\nA: 200\r\n\r\nHTTP/1.1 000 OK\r\n\r\n", false},
		{"HTTP/1.1 101 Switching Protocols\r\n\r\n", false},
		{"HTTP/1.1 200 " + strings.Repeat("long ", 40) + "\r\n\r\n", true},
		{"HTTP/1.1 000 OK\r\n\r\n", false},
		{"\r\nHTTP/1.1 000 OK\r\n\r\n", false},
		{"HTTP/1.1  600 OK\r\n\r\n", false},
		{"HTTP/1.1\r\n\r\n", false},
		{"HTTP/1.1 100 Continue\r\nA: b\r\n\r\nHTTP/1.1 099 OK\r\n\r\n", false},
		{"HTTP/1.1 100 Continue\n\nHTTP/1.1 000 OK\n\n", false},
		{"HTTP/1.1" + strings.Repeat(" ", 100) + "200 OK\r\n\r\n", false},
	} {
		for name, r := range map[string]io.Reader{
			"whole":        strings.NewReader(tc.answer),
			"byte by byte": iotest.OneByteReader(strings.NewReader(tc.answer)),
		} {
			got, err := io.ReadAll(NewReader(r))
			var invalid *InvalidError
			switch {
			case tc.valid && (err != nil || string(got) != tc.answer):
				t.Errorf("%s: %q: got %q, %v", name, tc.answer, got, err)
			case !tc.valid && !errors.As(err, &invalid):
				t.Errorf("%s: %q: got %q, %v, want an *InvalidError", name, tc.answer, got, err)
			}
		}
	}
}
