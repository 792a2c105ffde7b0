// Package logqueue writes log lines in a goroutine of its own, so that a reader of the log that stalls doesn't delay
// those who log.
package logqueue

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// maxQueued is how many bytes of lines may wait to be written. Further lines are dropped.
const maxQueued = 256 << 10

// Writer queues lines for another writer. Its methods may be called by several goroutines.
type Writer struct {
	to   io.Writer
	wake chan struct{}

	mu      sync.Mutex
	queued  []byte
	writing bool
	dropped int // lines dropped since the latest notice
}

// New returns a writer that writes to another one.
func New(to io.Writer) *Writer {
	w := &Writer{to: to, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write queues a line. It never blocks and never fails: if too many bytes wait, it drops the line.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queued)+len(line) > maxQueued {
		w.dropped++
		return len(line), nil
	}
	if w.dropped > 0 {
		w.queued = fmt.Appendf(w.queued, "log: %d lines dropped, the log was not read\n", w.dropped)
		w.dropped = 0
	}
	w.queued = append(w.queued, line...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// run writes what is queued. Errors of the other writer are ignored: there is no place to report them.
func (w *Writer) run() {
	var spare []byte
	for range w.wake {
		w.mu.Lock()
		part := w.queued
		w.queued = spare[:0]
		w.writing = true
		w.mu.Unlock()
		_, _ = w.to.Write(part)
		spare = part
		w.mu.Lock()
		w.writing = false
		w.mu.Unlock()
	}
}

// flushInterval is the interval at which Flush looks whether everything is written.
const flushInterval = time.Millisecond

// Flush waits until everything is written that was queued, but no longer than the timeout. It reports whether it is.
func (w *Writer) Flush(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); ; time.Sleep(flushInterval) {
		w.mu.Lock()
		empty := len(w.queued) == 0 && !w.writing
		w.mu.Unlock()
		if empty || time.Now().After(end) {
			return empty
		}
	}
}
