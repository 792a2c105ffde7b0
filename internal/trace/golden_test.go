package trace

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"pepperlead/internal/golden"
)

// goldenTrace is a trace that has each kind of record once, with a value of its own in each field.
func goldenTrace() (Header, []Record) {
	var header Header
	golden.Fill(&header)
	header.Format, header.Version = format, version
	var records []Record
	for _, kind := range []Kind{Endpoint, ListEntry, Request, Attempt, AttemptEnd, RequestEnd} {
		var record Record
		golden.Fill(&record)
		record.Kind = kind
		record.No += uint64(kind) << 40
		record.B = -record.B
		record.Key |= 1 << 63
		records = append(records, record)
	}
	return header, records
}

// TestTraceIsWrittenAsBefore writes a trace and holds its bytes to those that were written before.
func TestTraceIsWrittenAsBefore(t *testing.T) {
	header, records := goldenTrace()
	path := filepath.Join(t.TempDir(), "trace")
	recorder, err := Create(path, header)
	if err != nil {
		t.Fatal(err)
	}
	for _, record := range records {
		record.At += header.Start
		recorder.Put(record)
	}
	if err := recorder.Close(); err != nil || recorder.Dropped() != 0 {
		t.Fatal(err, recorder.Dropped())
	}
	written, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "trace.cbor", written)
}

// TestTraceOfBeforeIsRead reads the trace that was written before.
func TestTraceOfBeforeIsRead(t *testing.T) {
	header, records := goldenTrace()
	read, err := Read(bytes.NewReader(golden.Read(t, "trace.cbor")))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read.Header, header) || !reflect.DeepEqual(read.Records, records) || read.Truncated {
		t.Errorf("got %+v, want %+v and %+v", read, header, records)
	}
}
