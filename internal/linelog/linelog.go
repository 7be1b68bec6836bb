// Package linelog writes log lines without ever blocking the task that logs.
//
// # Usage
//
//	w := linelog.New(os.Stdout)
//	logger := slog.New(slog.NewJSONHandler(w, nil))
//	defer w.Close()
//
// Lines wait in a buffer of bounded size. A line that finds it full is dropped and counted; the count is written as a
// line of its own as soon as there is room.
package linelog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// buffer bounds the bytes that wait to be written.
	buffer = 128 << 10
	// pause collects lines into one write, so that logging costs few system calls.
	pause = 50 * time.Millisecond
)

// Writer is an io.Writer that never blocks.
type Writer struct {
	out io.Writer

	mu      sync.Mutex
	waiting []byte
	spare   []byte
	dropped int64
	total   int64
	wake    chan struct{}
	closed  bool
	done    chan struct{}
}

// New returns a Writer that writes to out in a task of its own.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line. It never fails: a line that finds no room is counted in Dropped.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.waiting)+len(line) > buffer {
		w.dropped++
		w.total++
		return len(line), nil
	}
	w.waiting = append(w.waiting, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// Close writes what waits and ends the task.
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
		time.Sleep(pause)
		w.flush()
	}
	w.flush()
}

func (w *Writer) flush() {
	w.mu.Lock()
	b := w.waiting
	w.waiting = w.spare[:0]
	if w.dropped > 0 {
		b = fmt.Appendf(b, `{"level":"WARN","msg":"log lines dropped","count":%d}`+"\n", w.dropped)
		w.dropped = 0
	}
	w.mu.Unlock()
	// There is nowhere left to report that the log itself cannot be written.
	_, _ = w.out.Write(b)
	w.mu.Lock()
	w.spare = b
	w.mu.Unlock()
}
