package discovery

import (
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"github.com/fsnotify/fsnotify"

	"pepperlead/internal/endpointfiles"
)

// maxWatchedDirectories bounds the watches that the system must keep.
const maxWatchedDirectories = 64

// ReadFile reads a regular file of the size of a list file at most. It doesn't block where the path is a pipe.
func ReadFile(name string) ([]byte, error) {
	file, err := os.OpenFile(name, os.O_RDONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // it was only read
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, fmt.Errorf("%s: found no plain file, allowed a list file", name)
	}
	content, err := io.ReadAll(io.LimitReader(file, endpointfiles.MaxFileSize+1))
	if err != nil {
		return nil, err
	}
	if len(content) > endpointfiles.MaxFileSize {
		return nil, fmt.Errorf("%s: found over %d bytes, allowed as many", name, endpointfiles.MaxFileSize)
	}
	return content, nil
}

// watchDirectories watches the directories of the files and of the targets of symbolic links. It is called before each
// read: a directory that was removed and created again must be watched anew, and watching one twice has no effect.
func (f *Files) watchDirectories(watcher *fsnotify.Watcher) {
	if watcher == nil {
		return
	}
	directories := map[string]bool{}
	for _, pattern := range f.patterns {
		directories[parentWithoutWildcards(pattern)] = true
	}
	for _, path := range f.paths() {
		directories[filepath.Dir(path)] = true
		if target, err := filepath.EvalSymlinks(path); err == nil {
			directories[filepath.Dir(target)] = true
		}
	}
	for i, directory := range slices.Sorted(maps.Keys(directories)) {
		if i == maxWatchedDirectories {
			return
		}
		_ = watcher.Add(directory) // without a watch, files are still polled
	}
}

// parentWithoutWildcards returns the deepest parent directory of a pattern whose path has no wildcards.
func parentWithoutWildcards(pattern string) string {
	parent := filepath.Dir(pattern)
	for strings.ContainsAny(parent, wildcards) {
		parent = filepath.Dir(parent)
	}
	return parent
}
