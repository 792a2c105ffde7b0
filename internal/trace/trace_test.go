package trace

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"pepperlead/policy"
)

// write writes a trace and returns its bytes and the records that it must contain.
func write(t testing.TB) ([]byte, []Record) {
	path := filepath.Join(t.TempDir(), "t")
	recorder, err := Create(path, Header{Start: 1000, Name: "n", Zone: "a", Classes: []string{"step"}})
	if err != nil {
		t.Fatal(err)
	}
	var want []Record
	number := recorder.EndpointNumber(1001, policy.Member{ID: 7, Cell: 3, Weight: 1.5, Zone: "a"}, "s-1")
	want = append(want, Record{Kind: Endpoint, At: 1, A: 3, B: 1500000, UID: "s-1", Zone: "a"})
	for i := range policy.Time(50) {
		record := Record{Kind: Request, At: 1002 + i, No: uint64(i), C: policy.Second, Key: 1 << 63}
		recorder.Put(record)
		record.At -= 1000
		want = append(want, record)
	}
	if again := recorder.EndpointNumber(2000, policy.Member{ID: 7}, "s-1"); again != number || recorder.KnownEndpoint(7) != number ||
		recorder.KnownEndpoint(8) != -1 {
		t.Error("the number of an endpoint changed, or an unknown endpoint has one")
	}
	if err := recorder.Close(); err != nil || recorder.Dropped() != 0 {
		t.Fatal(err, recorder.Dropped())
	}
	written, _ := os.ReadFile(path)
	return written, want
}

// A trace that is truncated at any byte, which happens when its process is killed, is read up to its last complete
// record and marked as truncated.
func TestReadTruncatedTraces(t *testing.T) {
	complete, want := write(t)
	last := -1
	for i := range len(complete) + 1 {
		got, err := Read(bytes.NewReader(complete[:i]))
		if err != nil {
			if last >= 0 {
				t.Fatalf("trace truncated at byte %d: error %v", i, err)
			}
			continue
		}
		if n := len(got.Records); n < last || n > last+1 && last >= 0 || n > 0 && !reflect.DeepEqual(got.Records, want[:n]) {
			t.Fatalf("trace truncated at byte %d: wrong records, or %d records although one byte fewer gave %d",
				i, n, last)
		}
		if n := len(got.Records); n == last && !got.Truncated {
			t.Fatalf("trace truncated at byte %d is not marked as truncated", i)
		}
		last = len(got.Records)
	}
	if last != len(want) {
		t.Errorf("read %d of %d records from the complete trace", last, len(want))
	}
}

// Read does not panic on any input, and accepts only traces of the current version.
func FuzzRead(f *testing.F) {
	complete, _ := write(f)
	f.Add(complete)
	f.Fuzz(func(t *testing.T, b []byte) {
		got, err := Read(bytes.NewReader(b))
		if err == nil && got.Version != version {
			t.Fatalf("accepted a trace of another version: %+v", got.Header)
		}
	})
}
