// Package snapshot keeps small things on disk over a restart: each is written to a new file, synced and renamed, so that
// whatever ends the process leaves the old or the new, and carries a checksum, so that a damaged one is known.
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

// MaxSize is how many bytes one thing may have.
const MaxSize = 64 << 20

// ErrNotFound says that nothing is kept under the name.
var ErrNotFound = errors.New("nothing is kept")

// Store is a folder. The zero value of Step is ready to use; tests have it called before each step of a write.
type Store struct {
	Dir        string
	BeforeStep func(name string)
}

// Put keeps the body under the name, in place of what was there. kind and version say what it is.
func (s *Store) Put(name, kind string, version int, body []byte) error {
	head := fmt.Sprintf("pepperlead %s %d %d %x\n", kind, version, len(body), sha256.Sum256(body))
	if err := os.MkdirAll(s.Dir, 0o700); err != nil {
		return err
	}
	return replace(filepath.Join(s.Dir, name), 0o600, append([]byte(head), body...), s.BeforeStep)
}

// Get gives what was last kept under the name, if it is whole and of that kind and version.
func (s *Store) Get(name, kind string, version int) ([]byte, error) {
	path := filepath.Join(s.Dir, name)
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, ErrNotFound
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	all, err := io.ReadAll(io.LimitReader(f, MaxSize+1))
	if err != nil {
		return nil, err
	}
	head, body, _ := bytes.Cut(all, []byte{'\n'})
	var isKind, sum string
	var isVersion, size int
	if n, err := fmt.Sscanf(string(head), "pepperlead %s %d %d %s", &isKind, &isVersion, &size, &sum); n != 4 || err != nil {
		return nil, fmt.Errorf("%s: its head cannot be read", path)
	}
	switch {
	case isKind != kind || isVersion != version:
		return nil, fmt.Errorf("%s: found %s of version %d, allowed %s of version %d", path, isKind, isVersion, kind, version)
	case size != len(body):
		return nil, fmt.Errorf("%s: found %d bytes, allowed %d", path, len(body), size)
	case fmt.Sprintf("%x", sha256.Sum256(body)) != sum:
		return nil, fmt.Errorf("%s: its checksum does not hold", path)
	}
	return body, nil
}

// Replace puts a file in place of the one at the path, whole or not at all. Where the path is a link, what it leads to is
// replaced.
func Replace(path string, text []byte) error {
	mode := os.FileMode(0o644)
	if real, err := filepath.EvalSymlinks(path); err == nil {
		path = real
	}
	if info, err := os.Stat(path); err == nil {
		mode = info.Mode().Perm()
	}
	return replace(path, mode, text, nil)
}

func replace(path string, mode os.FileMode, text []byte, step func(string)) (err error) {
	if step == nil {
		step = func(string) {}
	}
	step("create")
	fresh := path + ".new"
	f, err := os.OpenFile(fresh, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, mode)
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			os.Remove(fresh)
		}
	}()
	// Half now and half then, so that a kill in the middle is a step like any other.
	for i, part := range [][]byte{text[:len(text)/2], text[len(text)/2:]} {
		step([]string{"write", "write on"}[i])
		if _, err = f.Write(part); err != nil {
			f.Close()
			return err
		}
	}
	step("sync")
	// Renamed before its bytes are on disk, a file may be found empty after a power cut.
	if err = f.Sync(); err != nil {
		f.Close()
		return err
	}
	step("close")
	if err = f.Close(); err != nil {
		return err
	}
	step("rename")
	if err = os.Rename(fresh, path); err != nil {
		return err
	}
	step("sync folder")
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer dir.Close()
	if err := dir.Sync(); err != nil {
		return err
	}
	step("done")
	return nil
}
