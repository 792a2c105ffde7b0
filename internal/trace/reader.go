package trace

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/fxamacker/cbor/v2"
)

// Limits of the decoder, which protect against damaged files.
const (
	maxNesting       = 4
	maxArrayElements = 1 << 16
	// maxLastRecord is how many bytes a trace may have beyond MaxSize: the recorder does not count the bytes in
	// its buffer, and completes the record that exceeds the size.
	maxLastRecord = 1 << 20
)

// Trace is a trace that was read.
type Trace struct {
	Header
	Records   []Record
	Truncated bool // the file ends within a record
}

// Read reads a trace up to its last complete record.
func Read(from io.Reader) (*Trace, error) {
	decoder, err := newDecoder(from)
	if err != nil {
		return nil, err
	}
	t := &Trace{}
	if err := decoder.Decode(&t.Header); err != nil {
		return nil, fmt.Errorf("trace: header cannot be decoded: %w", err)
	}
	if t.Format != format || t.Version != version {
		return nil, fmt.Errorf("trace: found %.40q of version %d, allowed %q of version %d",
			t.Format, t.Version, format, version)
	}
	for {
		var record Record
		err := decoder.Decode(&record)
		switch {
		case err == nil:
			t.Records = append(t.Records, record)
		case errors.Is(err, io.EOF):
			return t, nil
		case errors.Is(err, io.ErrUnexpectedEOF):
			t.Truncated = true
			return t, nil
		default:
			return t, fmt.Errorf("trace: record %d cannot be decoded: %w", len(t.Records)+1, err)
		}
	}
}

// newDecoder returns a decoder for the items of a trace.
func newDecoder(from io.Reader) (*cbor.Decoder, error) {
	mode, err := cbor.DecOptions{MaxNestedLevels: maxNesting, MaxArrayElements: maxArrayElements}.DecMode()
	if err != nil {
		return nil, err
	}
	limited := io.LimitReader(from, MaxSize+maxLastRecord)
	return mode.NewDecoder(bufio.NewReader(limited)), nil
}

// ReadFile reads a trace from a file. It may return the records before an error together with the error.
func ReadFile(path string) (*Trace, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // the file was only read
	t, err := Read(file)
	if err != nil {
		return t, fmt.Errorf("%s: %w", path, err)
	}
	return t, nil
}
