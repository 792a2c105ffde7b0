package trace

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"pepperlead/internal/golden"
)

// goldenTrace returns the header and the records of a trace with one record of each kind. Each field has a different
// value.
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

// TestWrittenTraceMatchesGoldenFile guards against changes of the format: it writes a trace and compares its bytes with
// the golden file.
func TestWrittenTraceMatchesGoldenFile(t *testing.T) {
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

// TestReadGoldenTrace reads the trace in the golden file, so that traces of earlier versions stay readable.
func TestReadGoldenTrace(t *testing.T) {
	header, records := goldenTrace()
	read, err := Read(bytes.NewReader(golden.Read(t, "trace.cbor")))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(read.Header, header) || !reflect.DeepEqual(read.Records, records) || read.Truncated {
		t.Errorf("got %+v, want %+v and %+v", read, header, records)
	}
}
