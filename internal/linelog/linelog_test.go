package linelog

import (
	"strings"
	"sync"
	"testing"
	"time"
)

// gate is a writer that blocks until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	text strings.Builder
}

func (g *gate) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(b)
}

// Guards against a log that holds up the task that logs, and against lines that vanish without being counted.
func TestNeverBlocks(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	w := New(g)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 400 // more than the buffer and one write hold
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range lines {
			_, _ = w.Write(line)
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging waits for the output")
	}
	dropped := w.Dropped()
	if dropped == 0 {
		t.Fatal("no line was dropped although the output is blocked")
	}
	close(g.open)
	w.Close()
	text := g.text.String()
	if got := int64(strings.Count(text, string(line))) + dropped; got != lines {
		t.Errorf("%d lines written or counted as dropped, want %d", got, lines)
	}
	if !strings.Contains(text, `"log lines dropped"`) {
		t.Error("the number of dropped lines is not logged")
	}
}
