package snapshot

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"pepperlead/internal/golden"
)

// A file of an earlier version is read, and written again to the same bytes, accessible only to its owner.
func TestFileKeepsItsLayout(t *testing.T) {
	const name, kind, version = "name", "kind", 7
	dir := t.TempDir()
	store := Store{Dir: dir}
	put := func(body []byte) []byte {
		t.Helper()
		if err := store.Put(name, kind, version, body); err != nil {
			t.Fatal(err)
		}
		file, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		return file
	}
	encoded := put([]byte("first line\nsecond line\x00\xff"))
	want := golden.ReadOrWrite(t, "file", encoded)
	if !bytes.Equal(encoded, want) {
		t.Errorf("encoded\n%q\nwant\n%q", encoded, want)
	}
	if info, err := os.Stat(filepath.Join(dir, name)); err != nil {
		t.Error(err)
	} else if info.Mode() != 0o600 {
		t.Errorf("got mode %v, want 0600", info.Mode())
	}
	if files, err := os.ReadDir(dir); err != nil || len(files) != 1 {
		t.Errorf("got files %v, error %v, want only %s", files, err, name)
	}
	if err := os.WriteFile(filepath.Join(dir, name), want, 0o600); err != nil {
		t.Fatal(err)
	}
	body, err := store.Get(name, kind, version)
	if err != nil {
		t.Fatal(err)
	}
	if again := put(body); !bytes.Equal(again, want) {
		t.Errorf("decoded and encoded again\n%q\nwant\n%q", again, want)
	}
}
