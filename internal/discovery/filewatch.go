package discovery

import (
	"maps"
	"path/filepath"
	"slices"
	"strings"

	"github.com/fsnotify/fsnotify"
)

// maxWatchedDirectories bounds the number of watches of the operating system that a source uses.
const maxWatchedDirectories = 64

// watchDirectories watches the directories of the files and of the targets of symbolic links. It is called before each
// read, because a directory that was removed and created again must be watched again. Watching a directory twice has no
// effect.
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

// parentWithoutWildcards returns the deepest parent directory of the pattern whose path contains no wildcards.
func parentWithoutWildcards(pattern string) string {
	parent := filepath.Dir(pattern)
	for strings.ContainsAny(parent, wildcards) {
		parent = filepath.Dir(parent)
	}
	return parent
}
