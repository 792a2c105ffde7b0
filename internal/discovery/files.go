package discovery

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fsnotify/fsnotify"

	"pepperlead/internal/endpointfiles"
	"pepperlead/policy"
)

const (
	// pollInterval is the interval at which files are read if there are no notifications of changes.
	pollInterval = time.Second
	// burstDelay is the delay after a notification, so that the files are read only once after a burst of changes.
	burstDelay = 2 * time.Millisecond
	// maxFiles bounds the number of list files. It allows for one file per endpoint.
	maxFiles = 2048
	// wildcards are the characters with a special meaning in patterns of filepath.Glob.
	wildcards = `*?[\`
)

// Files is a source that watches list files and emits their endpoints as one list.
type Files struct {
	patterns  []string
	validator *endpointfiles.Validator
	name      string
	now       func() policy.Time
	parsed    map[string]endpointfiles.File // files as last read, by path; unchanged files are not parsed again
	rejected  string                        // why the files are rejected; empty: they are not
	refreshes chan chan struct{}            // requests to read the files; each channel is closed once that is done
}

// NewFiles returns a source that reads the files that match the given patterns of filepath.Glob. A pattern without
// wildcards names a required file.
func NewFiles(patterns []string, limits endpointfiles.Limits, now func() policy.Time) *Files {
	for _, pattern := range patterns {
		if !strings.ContainsAny(pattern, wildcards) {
			limits.RequiredFiles = append(limits.RequiredFiles, pattern)
		}
	}
	return &Files{
		patterns:  patterns,
		validator: endpointfiles.New(limits),
		name:      fmt.Sprintf("files %v, %+v", patterns, limits),
		now:       now,
		parsed:    map[string]endpointfiles.File{},
		refreshes: make(chan chan struct{}),
	}
}

// Name returns the patterns and the limits.
func (f *Files) Name() string { return f.name }

// Follow does nothing, because reading files puts no load on a shared service.
func (f *Files) Follow(bool) {}

// Refresh reads the files immediately, and reports whether their events were emitted before the timeout.
func (f *Files) Refresh(timeout time.Duration) bool {
	expired := time.After(timeout)
	done := make(chan struct{})
	select {
	case f.refreshes <- done:
	case <-expired:
		return false
	}
	select {
	case <-done:
		return true
	case <-expired:
		return false
	}
}

// Resume puts a list in force that was saved earlier. It must be called before Run.
func (f *Files) Resume(entries []Entry, state endpointfiles.State) {
	f.validator.Resume(entries, state)
}

// Run reads the files when they change, and at least at each poll interval.
func (f *Files) Run(ctx context.Context, emit func(Event)) {
	var changes chan fsnotify.Event
	var overflows chan error
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		emit(Event{Note: "file change notifications unavailable, polling every second: " + err.Error()})
	} else {
		defer func() { _ = watcher.Close() }() // an error does not matter: no notifications are read any more
		changes = watcher.Events
		overflows = watcher.Errors
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		f.watchDirectories(watcher)
		timer.Reset(f.evaluate(emit))
		select {
		case <-ctx.Done():
			return
		case done := <-f.refreshes:
			f.evaluate(emit)
			close(done)
		case <-timer.C:
		case <-overflows: // notifications were lost, so the files are read in any case
		case <-changes:
			sleep(ctx, burstDelay)
			discardPending(changes)
		}
	}
}

// discardPending empties the channel without blocking.
func discardPending(changes chan fsnotify.Event) {
	for {
		select {
		case <-changes:
		default:
			return
		}
	}
}

// evaluate reads the files and emits an event if something has changed. It returns the time after which the files must
// be read again at the latest.
func (f *Files) evaluate(emit func(Event)) time.Duration {
	result := f.validator.Evaluate(f.now(), f.readAll())
	switch result.Verdict {
	case endpointfiles.Accepted:
		f.rejected = ""
		emit(Event{List: &List{Kind: policy.ListFull, Entries: result.Entries, FileState: f.validator.State()}})
	case endpointfiles.Rejected:
		if result.Reason != f.rejected {
			f.rejected = result.Reason
			emit(Event{Rejected: result.Reason})
		}
	case endpointfiles.Unchanged:
		if f.rejected != "" {
			f.rejected = ""
			emit(Event{Recovered: true})
		}
	case endpointfiles.Wait:
		if result.RecheckAt > 0 {
			return min(pollInterval, max(time.Duration(result.RecheckAt-f.now()), burstDelay))
		}
	}
	return pollInterval
}

// paths returns the paths that match the patterns, without duplicates.
func (f *Files) paths() []string {
	var paths []string
	for _, pattern := range f.patterns {
		matches, _ := filepath.Glob(pattern) // malformed patterns are rejected with the configuration
		paths = append(paths, matches...)
	}
	slices.Sort(paths)
	return slices.Compact(paths)
}

// readAll reads the files. A file that can't be read is returned with the error as its Problem; a file that was removed
// meanwhile is left out.
func (f *Files) readAll() []endpointfiles.File {
	paths := f.paths()
	if len(paths) > maxFiles {
		problem := fmt.Sprintf("%v: found %d files, allowed %d", f.patterns, len(paths), maxFiles)
		return []endpointfiles.File{{Name: paths[0], Problem: problem}}
	}
	var files []endpointfiles.File
	for _, path := range paths {
		content, err := ReadFile(path)
		switch {
		case os.IsNotExist(err):
		case err != nil:
			digest := endpointfiles.Digest(xxhash.Sum64String(err.Error()))
			files = append(files, endpointfiles.File{Name: path, Problem: err.Error(), Digest: digest})
		default:
			files = append(files, f.parse(path, content))
		}
	}
	maps.DeleteFunc(f.parsed, func(path string, _ endpointfiles.File) bool { return !slices.Contains(paths, path) })
	return files
}

// parse parses a file, unless its content is unchanged since the last time.
func (f *Files) parse(path string, content []byte) endpointfiles.File {
	parsed, known := f.parsed[path]
	if known && parsed.Digest == endpointfiles.Digest(xxhash.Sum64(content)) {
		return parsed
	}
	parsed = endpointfiles.Parse(path, content)
	f.parsed[path] = parsed
	return parsed
}
