// Package memorydir gives tests folders whose files are in memory. A test of what happens within some milliseconds of a
// write uses one: on a busy disk a write, or a rename over a file, may take a second.
package memorydir

import (
	"os"
	"testing"
)

// memoryFolder is a file system in memory on Linux.
const memoryFolder = "/dev/shm"

// New returns a new folder that is removed at the end of the test. It is on disk where there is no file system in
// memory.
func New(t testing.TB) string {
	t.Helper()
	dir, err := os.MkdirTemp(memoryFolder, "pepperlead-test-")
	if err != nil {
		return t.TempDir()
	}
	t.Cleanup(func() {
		if err := os.RemoveAll(dir); err != nil {
			t.Error(err)
		}
	})
	return dir
}
