package linelog

import (
	"strings"
	"sync"
	"testing"
	"time"
)

// blockingWriter is an io.Writer that blocks until open is closed.
type blockingWriter struct {
	open chan struct{}
	mu   sync.Mutex
	text strings.Builder
}

func (w *blockingWriter) Write(b []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(b)
}

// Guards against a blocked output that blocks the caller of the log, and against dropped lines that are not counted.
func TestNeverBlocks(t *testing.T) {
	out := &blockingWriter{open: make(chan struct{})}
	w := New(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 400 // more than the buffer and a pending write hold
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
		t.Fatal("Write blocked while the output was blocked")
	}
	dropped := w.Dropped()
	if dropped == 0 {
		t.Fatal("no line was dropped although the output was blocked")
	}
	close(out.open)
	w.Close()
	text := out.text.String()
	if got := int64(strings.Count(text, string(line))) + dropped; got != lines {
		t.Errorf("%d lines written or counted as dropped, want %d", got, lines)
	}
	if !strings.Contains(text, `"log lines dropped"`) {
		t.Error("the number of dropped lines is not logged")
	}
}
