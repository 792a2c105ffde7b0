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
	// queueLength is the number of records that may wait to be written.
	queueLength = 1 << 13
	// bufferSize is the number of bytes that are written to the file at once. Flushes may write fewer.
	bufferSize = 64 << 10
	// flushInterval is the longest time that a record stays in the buffer.
	flushInterval = 100 * time.Millisecond
	// traceFileMode is the mode of trace files. They contain data about requests, so only the owner has access.
	traceFileMode = 0o600
	// weightScale is the value in a record for a weight of 1.
	weightScale = 1e6
)

// Recorder receives records from the event loop and writes them in a separate goroutine. It never blocks the loop:
// records are dropped and counted if they arrive faster than they can be written. Except for Dropped, its methods must
// be called from the loop's goroutine.
type Recorder struct {
	header    Header
	records   chan Record
	result    chan error // result of write, sent when it returns
	dropped   atomic.Int64
	endpoints map[policy.EndpointID]int64 // numbers of the endpoints in this trace
}

// Create starts a trace in a file. It replaces the content of an existing file.
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

// write writes the header and all records until the recorder is closed. After an error, it continues to receive records
// and counts them as dropped.
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

// countingWriter counts the bytes that are written to the underlying writer.
type countingWriter struct {
	to    io.Writer
	bytes int64
}

// Write writes to the underlying writer and counts the written bytes.
func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.to.Write(b)
	w.bytes += int64(n)
	return n, err
}

// Put adds a record to the trace. record.At must be a Unix time; the trace stores it relative to its own start.
func (r *Recorder) Put(record Record) {
	record.At -= r.header.Start
	select {
	case r.records <- record:
	default:
		r.dropped.Add(1)
	}
}

// EndpointNumber returns the number of an endpoint in this trace. The first call for an endpoint assigns the number and
// adds a record of it.
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

// KnownEndpoint returns the number of an endpoint, or -1 if none is assigned yet. Unlike EndpointNumber, it does
// not assign one.
func (r *Recorder) KnownEndpoint(id policy.EndpointID) int64 {
	if number, known := r.endpoints[id]; known {
		return number
	}
	return -1
}

// Dropped returns the number of records that were not written.
func (r *Recorder) Dropped() int64 { return r.dropped.Load() }

// Close writes the remaining records and closes the file. Put must not be called afterwards.
func (r *Recorder) Close() error {
	close(r.records)
	return <-r.result
}
