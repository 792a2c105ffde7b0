// Package snapshot stores small values on disk so that they outlive a restart. A value is replaced atomically, so that
// a crash leaves either the old or the new one, and has a checksum, so that damage is detected.
package snapshot

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// MaxSize is the maximum size of a file, in bytes.
const MaxSize = 64 << 20

// Modes of the directories and files that a store creates: only the owner has access to them.
const (
	directoryMode = 0o700
	fileMode      = 0o600
)

// ErrNotFound reports that no value is stored under a name.
var ErrNotFound = errors.New("no value is stored")

// Store is a directory of values, one file for each name.
type Store struct {
	Dir string
	// Unsynced values outlive the process, but perhaps not a power failure: they are not written to disk at once. A
	// value that a power failure has damaged is detected.
	Unsynced bool

	files fileSystem // nil: the operating system's
}

// header is the first line of a file. It describes the value that follows.
type header struct {
	kind     string
	version  int
	size     int    // size of the value, in bytes
	checksum string // SHA-256 of the value, in hexadecimal
}

// newHeader returns the header of a value.
func newHeader(kind string, version int, body []byte) header {
	return header{kind: kind, version: version, size: len(body), checksum: fmt.Sprintf("%x", sha256.Sum256(body))}
}

// parseHeader parses a header, without the line feed at its end.
func parseHeader(line []byte) (header, error) {
	var h header
	_, err := fmt.Sscanf(string(line), "pepperlead %s %d %d %s", &h.kind, &h.version, &h.size, &h.checksum)
	return h, err
}

// String returns the header, without a line feed at its end.
func (h header) String() string {
	return fmt.Sprintf("pepperlead %s %d %d %s", h.kind, h.version, h.size, h.checksum)
}

// Put stores a value under a name and replaces an earlier one. It also stores the kind of the value and the version of
// its format.
func (s *Store) Put(name, kind string, version int, body []byte) error {
	if err := os.MkdirAll(s.Dir, directoryMode); err != nil {
		return err
	}
	files := s.files
	if files == nil {
		files = osFileSystem{}
	}
	if s.Unsynced {
		files = unsyncedFileSystem{files}
	}
	content := append([]byte(newHeader(kind, version, body).String()+"\n"), body...)
	return replaceFile(files, filepath.Join(s.Dir, name), fileMode, content)
}

// Get returns the value last stored under a name. It returns ErrNotFound if there is none, and another error if the
// value is damaged or of another kind or version.
func (s *Store) Get(name, kind string, version int) ([]byte, error) {
	path := filepath.Join(s.Dir, name)
	content, err := readLimited(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, ErrNotFound
	}
	if err != nil {
		return nil, err
	}
	line, body, _ := bytes.Cut(content, []byte{'\n'})
	found, err := parseHeader(line)
	if err != nil {
		return nil, fmt.Errorf("%s: malformed header", path)
	}
	actual := newHeader(kind, version, body)
	switch {
	case found.kind != kind || found.version != version:
		return nil, fmt.Errorf("%s: contains %s of version %d, want %s of version %d",
			path, found.kind, found.version, kind, version)
	case found.size != actual.size:
		return nil, fmt.Errorf("%s: value has %d bytes, want %d", path, actual.size, found.size)
	case found.checksum != actual.checksum:
		return nil, fmt.Errorf("%s: checksum mismatch", path)
	}
	return body, nil
}

// readLimited reads a file, but no more than MaxSize+1 bytes. A longer file is truncated, and fails the checks of Get.
func readLimited(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // the file was only read
	return io.ReadAll(io.LimitReader(file, MaxSize+1))
}
