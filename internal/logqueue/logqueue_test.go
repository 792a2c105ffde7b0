package logqueue

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// Guards against a process that stops because nobody reads its log: lines are dropped instead, and a notice says how many.
func TestWriterDoesNotWaitForItsReader(t *testing.T) {
	reader, out := io.Pipe()
	w := New(out)
	line := strings.Repeat("x", 99) + "\n"
	began := time.Now()
	for range 2 * maxQueued / len(line) {
		fmt.Fprint(w, line)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("the lines took %v without a reader", took)
	}
	if w.Flush(20 * time.Millisecond) {
		t.Error("everything was written without a reader")
	}
	var read bytes.Buffer
	done := make(chan struct{})
	go func() {
		defer close(done)
		io.Copy(&read, reader)
	}()
	if !w.Flush(5 * time.Second) {
		t.Fatal("the queued lines were not written")
	}
	fmt.Fprintln(w, "end")
	w.Flush(5 * time.Second)
	out.Close()
	<-done
	written, tail, found := strings.Cut(read.String(), "log: ")
	lines, dropped := strings.Count(written, line), 0
	fmt.Sscanf(tail, "%d lines dropped", &dropped)
	if !found || !strings.HasSuffix(tail, "\nend\n") || lines+dropped != 2*maxQueued/len(line) || lines*len(line) != len(written) {
		t.Errorf("%d whole lines, %d dropped, %d bytes, end %q", lines, dropped, len(written), tail)
	}
}
