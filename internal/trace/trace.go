// Package trace writes what came into a sidecar and how it ended, and reads it back: a sequence of CBOR items (RFC 8742), the
// first of them a head with the format's version, each other one record. A trace whose writer was killed is readable up to its
// last whole record.
package trace

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"pepperlead/policy"
)

const (
	format  = "pepperlead trace"
	version = 1
	// MostBytes is how long a trace may get; what comes later is dropped, and counted.
	MostBytes  = 1 << 30
	mostWaits  = 1 << 13
	flushEvery = 100 * time.Millisecond
)

// Head is the first item.
type Head struct {
	_          struct{} `cbor:",toarray"`
	Format     string
	Version    int
	Start      policy.Time // Unix time; moments of records count from it
	Name       string      // of the sidecar
	Zone       policy.Zone
	Offerings  []string
	Franchises []string
}

// Kind is what a record tells.
type Kind uint8

const (
	Server Kind = iota + 1 // No: its place in this trace; UID, Zone; A: pod; B: weight in millionths
	Listed                 // No: of the server; A: standing; B: started, Unix time
	Ticket                 // No: counts tickets; A: offering; B: franchise; C: time left; Key: hash, 0 for none; D: 1 for a further try
	Push                   // No: of the ticket; A: server
	Ended                  // No: of the ticket; A: server; B: outcome; C: time taken
	Answer                 // No: of the ticket; A: 0 honoured, 1 declined, 2 turned back, 3 given up, 4 client left; C: time taken
)

// Record is one item.
type Record struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	At   policy.Time // since the head's start
	No   uint64
	A    int64
	B    int64
	C    policy.Time
	D    int64
	Key  uint64
	UID  string
	Zone policy.Zone
}

// Recorder takes records from the loop and writes them beside it. It never makes the loop wait: what comes too fast, or when the
// disk does not keep up, is dropped and counted.
type Recorder struct {
	head    Head
	records chan Record
	done    chan error
	dropped atomic.Int64
	servers map[policy.EndpointID]int64 // the loop's
}

// Create begins a trace in a new file.
func Create(path string, head Head) (*Recorder, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	head.Format, head.Version = format, version
	r := &Recorder{head: head, records: make(chan Record, mostWaits), done: make(chan error, 1), servers: map[policy.EndpointID]int64{}}
	go func() {
		err := r.write(f)
		r.done <- errors.Join(err, f.Close())
	}()
	return r, nil
}

func (r *Recorder) write(to io.Writer) error {
	count := &counter{to: to}
	out := bufio.NewWriterSize(count, 64<<10)
	enc := cbor.NewEncoder(out)
	failed := enc.Encode(r.head)
	tick := time.NewTicker(flushEvery)
	defer tick.Stop()
	for {
		select {
		case one, more := <-r.records:
			if !more {
				return errors.Join(failed, out.Flush())
			}
			if failed != nil || count.n > MostBytes {
				r.dropped.Add(1)
				continue
			}
			failed = enc.Encode(one)
		case <-tick.C:
			if failed == nil {
				failed = out.Flush()
			}
		}
	}
}

type counter struct {
	to io.Writer
	n  int64
}

func (c *counter) Write(b []byte) (int, error) {
	n, err := c.to.Write(b)
	c.n += int64(n)
	return n, err
}

// Put hands a record over. At is a moment; it is told from the trace's start.
func (r *Recorder) Put(one Record) {
	one.At -= r.head.Start
	select {
	case r.records <- one:
	default:
		r.dropped.Add(1)
	}
}

// ServerNo gives a server's place in this trace, and tells of it the first time.
func (r *Recorder) ServerNo(now policy.Time, m policy.Member, uid string) int64 {
	no, known := r.servers[m.ID]
	if !known {
		no = int64(len(r.servers))
		r.servers[m.ID] = no
		r.Put(Record{Kind: Server, At: now, No: uint64(no), A: int64(m.Cell), B: int64(m.Weight * 1e6), UID: uid, Zone: m.Zone})
	}
	return no
}

// Known gives the place of a server told of before, -1 if it was not.
func (r *Recorder) Known(id policy.EndpointID) int64 {
	if no, known := r.servers[id]; known {
		return no
	}
	return -1
}

// Dropped is how many records could not be written.
func (r *Recorder) Dropped() int64 { return r.dropped.Load() }

// Close writes what is left. Nothing may be put after it.
func (r *Recorder) Close() error {
	close(r.records)
	return <-r.done
}

// Trace is one that was read.
type Trace struct {
	Head
	Records []Record
	Cut     bool // it breaks off within a record
}

// Read reads a trace up to its last whole record.
func Read(from io.Reader) (*Trace, error) {
	mode, err := cbor.DecOptions{MaxNestedLevels: 4, MaxArrayElements: 1 << 16}.DecMode()
	if err != nil {
		return nil, err
	}
	dec := mode.NewDecoder(bufio.NewReader(io.LimitReader(from, MostBytes+1<<20)))
	t := &Trace{}
	if err := dec.Decode(&t.Head); err != nil {
		return nil, fmt.Errorf("trace: its head cannot be read: %w", err)
	}
	if t.Format != format || t.Version != version {
		return nil, fmt.Errorf("trace: found %.40q of version %d, allowed %q of version %d", t.Format, t.Version, format, version)
	}
	for {
		var one Record
		switch err := dec.Decode(&one); {
		case err == nil:
			t.Records = append(t.Records, one)
		case errors.Is(err, io.EOF):
			return t, nil
		case errors.Is(err, io.ErrUnexpectedEOF):
			t.Cut = true
			return t, nil
		default:
			return t, fmt.Errorf("trace: record %d cannot be read: %w", len(t.Records)+1, err)
		}
	}
}

// ReadFile reads the trace in a file.
func ReadFile(path string) (*Trace, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	t, err := Read(f)
	if err != nil {
		return t, fmt.Errorf("%s: %w", path, err)
	}
	return t, nil
}
