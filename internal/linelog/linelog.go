// Package linelog writes log lines in the background, so that logging never blocks the caller.
//
// # Usage
//
//	w := linelog.New(os.Stdout)
//	logger := slog.New(slog.NewJSONHandler(w, nil))
//	defer w.Close()
//
// Lines are held in a buffer of bounded size. A line that does not fit is dropped and counted. The next write to the
// output reports the number of dropped lines in a line of its own.
package linelog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBufferedBytes is the maximum number of bytes that are held until they are written.
	maxBufferedBytes = 128 << 10
	// flushDelay is the time during which lines are collected into one write, to save system calls.
	flushDelay = 50 * time.Millisecond
)

// Writer is an io.Writer that never blocks. It is safe for concurrent use.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	spare   []byte // buffer of the previous write, reused by the next one
	dropped int64  // lines dropped since the last report
	total   int64  // lines dropped since the start
	wake    chan struct{}
	closed  bool
	done    chan struct{}
}

// New returns a Writer that writes to out in a goroutine of its own. It must be closed.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers a line. It never fails: a line that does not fit, or that comes after Close, is dropped and counted.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.pending)+len(line) > maxBufferedBytes {
		w.dropped++
		w.total++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since New.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// Close writes the buffered lines and stops the goroutine. It blocks until the output has taken them.
func (w *Writer) Close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	w.mu.Unlock()
	close(w.wake)
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	for range w.wake {
		time.Sleep(flushDelay)
		w.flush()
	}
	w.flush()
}

func (w *Writer) flush() {
	w.mu.Lock()
	batch := w.pending
	w.pending = w.spare[:0]
	if w.dropped > 0 {
		batch = fmt.Appendf(batch, `{"level":"WARN","msg":"log lines dropped","count":%d}`+"\n", w.dropped)
		w.dropped = 0
	}
	w.mu.Unlock()
	// The error is ignored because the log is the only place where it could be reported.
	_, _ = w.out.Write(batch)
	w.mu.Lock()
	w.spare = batch
	w.mu.Unlock()
}
