package store

import (
	"log/slog"
	"testing"
	"time"

	"bulrushspoke/standin/flood/floodtest"
)

// Guards against a process that runs out of memory because the store, or a server that has its address, answers without
// end.
func TestEndlessAnswer(t *testing.T) {
	for name, call := range map[string]func(*testing.T, *Client) error{
		"get": func(t *testing.T, c *Client) error {
			t.Helper()
			_, err := c.Get(t.Context(), "kind", "name")
			return err
		},
		"list": func(t *testing.T, c *Client) error {
			t.Helper()
			_, err := c.List(t.Context(), "kind", "")
			return err
		},
		"watch": func(t *testing.T, c *Client) error {
			t.Helper()
			_, err := c.Watch(t.Context(), "kind", "", 1, time.Second)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			floodtest.Check(t, func(t *testing.T, address string) {
				t.Helper()
				c := New("http://"+address, 2*time.Second, slog.New(slog.DiscardHandler))
				if err := call(t, c); err == nil {
					t.Error("the call succeeded")
				}
			})
		})
	}
}
