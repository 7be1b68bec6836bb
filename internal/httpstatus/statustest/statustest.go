// Package statustest checks that clients do not take answers with an invalid status for answers.
//
// # Usage
//
//	statustest.Check(t, func(t *testing.T, address string) error { return call(address) })
package statustest

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

// statuses are the invalid statuses that servers are made to send.
var statuses = []string{"000", "001", "050", "099", "600", "999", "20", "2000", "-20", "+20", "2x0", "abc", ""}

// heads are status lines with a place for the status. The second one arrives after an interim answer.
var heads = []string{"HTTP/1.1 %", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 %"}

// Check calls a function for a server that answers each request with one of the invalid statuses, and fails the test if
// the function returns no error. The function may make its call twice on one connection.
func Check(t *testing.T, call func(t *testing.T, address string) error) {
	t.Helper()
	const rest = " OK\r\nContent-Type: application/json\r\nVersion: 7\r\nContent-Length: 2\r\n\r\n{}"
	for i, head := range heads {
		for _, status := range statuses {
			for _, split := range []int{0, 10, len(head)} {
				name := fmt.Sprintf("status %s sent in two parts at %d", status, split)
				if i > 0 {
					name += " after an interim answer"
				}
				t.Run(name, func(t *testing.T) {
					address := serve(t, head[:len(head)-1]+status+rest, split)
					if err := call(t, address); err == nil {
						t.Error("the answer was accepted")
					}
				})
			}
		}
	}
}

// serve starts a server that sends a fixed answer to each request, in two parts.
func serve(t *testing.T, answer string, split int) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_ = c.SetDeadline(time.Now().Add(10 * time.Second))
				for buffer := make([]byte, 4<<10); ; {
					if _, err := c.Read(buffer); err != nil {
						return
					}
					if _, err := io.WriteString(c, answer[:split]); err != nil {
						return
					}
					if _, err := io.WriteString(c, answer[split:]); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}
