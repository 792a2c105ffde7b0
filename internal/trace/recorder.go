package trace

import (
	"bufio"
	"errors"
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pepperlead/policy"
)

const (
	// queueLength is how many records may wait to be written.
	queueLength = 1 << 13
	// bufferSize is how many bytes are written at once, except for flushes.
	bufferSize = 64 << 10
	// flushInterval is how long a written record may stay in the buffer.
	flushInterval = 100 * time.Millisecond
	// traceFileMode is the mode of a trace: it names requests and is for its owner alone.
	traceFileMode = 0o600
	// weightScale is how many units a record has for a weight of 1.
	weightScale = 1e6
)

// Recorder takes records from the event loop and writes them in a goroutine of its own. It never blocks the loop:
// records that come faster than the disk takes them are dropped and counted. Its methods are for the loop's goroutine,
// but for Dropped.
type Recorder struct {
	header    Header
	records   chan Record
	result    chan error // of the writer, once it has ended
	dropped   atomic.Int64
	endpoints map[policy.EndpointID]int64 // the numbers of endpoints in this trace
}

// Create starts a trace in a file, in place of what the file has.
func Create(path string, header Header) (*Recorder, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, traceFileMode)
	if err != nil {
		return nil, err
	}
	header.Format = format
	header.Version = version
	r := &Recorder{
		header:    header,
		records:   make(chan Record, queueLength),
		result:    make(chan error, 1),
		endpoints: map[policy.EndpointID]int64{},
	}
	go func() {
		err := r.write(file)
		r.result <- errors.Join(err, file.Close())
	}()
	return r, nil
}

// write writes the header and all records until the recorder is closed. After an error it goes on to take records, and
// counts them as dropped.
func (r *Recorder) write(to io.Writer) error {
	written := &countingWriter{to: to}
	buffer := bufio.NewWriterSize(written, bufferSize)
	encoder := cbor.NewEncoder(buffer)
	failure := encoder.Encode(r.header)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case record, open := <-r.records:
			if !open {
				return errors.Join(failure, buffer.Flush())
			}
			if failure != nil || written.bytes > MaxSize {
				r.dropped.Add(1)
				continue
			}
			failure = encoder.Encode(record)
		case <-ticker.C:
			if failure == nil {
				failure = buffer.Flush()
			}
		}
	}
}

// countingWriter counts the bytes that it passes on.
type countingWriter struct {
	to    io.Writer
	bytes int64
}

// Write passes bytes on.
func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.to.Write(b)
	w.bytes += int64(n)
	return n, err
}

// Put records a record. Its time is a Unix time here, and is written relative to the start of the trace.
func (r *Recorder) Put(record Record) {
	record.At -= r.header.Start
	select {
	case r.records <- record:
	default:
		r.dropped.Add(1)
	}
}

// EndpointNumber returns the number of an endpoint in this trace. It introduces the endpoint the first time.
func (r *Recorder) EndpointNumber(now policy.Time, member policy.Member, uid string) int64 {
	if number, known := r.endpoints[member.ID]; known {
		return number
	}
	number := int64(len(r.endpoints))
	r.endpoints[member.ID] = number
	r.Put(Record{
		Kind: Endpoint,
		At:   now,
		No:   uint64(number),
		A:    int64(member.Cell),
		B:    int64(member.Weight * weightScale),
		UID:  uid,
		Zone: member.Zone,
	})
	return number
}

// KnownEndpoint returns the number of an endpoint, or -1 if it was not introduced.
func (r *Recorder) KnownEndpoint(id policy.EndpointID) int64 {
	if number, known := r.endpoints[id]; known {
		return number
	}
	return -1
}

// Dropped returns how many records could not be written.
func (r *Recorder) Dropped() int64 { return r.dropped.Load() }

// Close writes the remaining records. Put must not be called afterwards.
func (r *Recorder) Close() error {
	close(r.records)
	return <-r.result
}
