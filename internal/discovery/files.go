package discovery

import (
	"context"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fsnotify/fsnotify"

	"pepperlead/internal/endpointfiles"
	"pepperlead/policy"
)

const (
	lookEvery = time.Second          // where nothing says that a file has changed
	gather    = 2 * time.Millisecond // a burst of changes is read once
	mostFiles = 2048                 // one for each server, say
	mostDirs  = 64
)

// Files watches list files and tells their servers as one list, whole or not at all.
type Files struct {
	patterns []string
	keeper   *endpointfiles.Validator
	name     string
	now      func() policy.Time
	parsed   map[string]endpointfiles.File // as last read, so that what has not changed is not parsed again
	refused  string                        // why, while the files are not taken
	looks    chan chan struct{}            // of whoever wants to know what there is now
}

// NewFiles makes a source of the files at the patterns, which are those of filepath.Glob; one without * or ? must be there.
func NewFiles(patterns []string, terms endpointfiles.Limits, now func() policy.Time) *Files {
	for _, p := range patterns {
		if !strings.ContainsAny(p, `*?[\`) {
			terms.RequiredFiles = append(terms.RequiredFiles, p)
		}
	}
	return &Files{patterns: patterns, keeper: endpointfiles.New(terms), now: now, parsed: map[string]endpointfiles.File{}, looks: make(chan chan struct{}),
		name: fmt.Sprintf("files %v, %+v", patterns, terms)}
}

// Name tells the patterns and the terms.
func (f *Files) Name() string { return f.name }

// Follow has nothing to begin: looking at files costs nobody else.
func (f *Files) Follow(bool) {}

// Refresh reads the files now, and comes back once what they say has been told, or when the time is over: false.
func (f *Files) Refresh(within time.Duration) bool {
	end := time.After(within)
	looked := make(chan struct{})
	select {
	case f.looks <- looked:
	case <-end:
		return false
	}
	select {
	case <-looked:
		return true
	case <-end:
		return false
	}
}

// Resume goes on from a list kept earlier. It is called before Run.
func (f *Files) Resume(entries []Entry, memo endpointfiles.State) { f.keeper.Resume(entries, memo) }

// Run looks at the files when they change, and every second.
func (f *Files) Run(ctx context.Context, say func(Event)) {
	var events chan fsnotify.Event
	var faults chan error
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		say(Event{Note: "list files: no word of changes, looking every second: " + err.Error()})
	} else {
		defer watcher.Close()
		events, faults = watcher.Events, watcher.Errors
	}
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	for {
		f.watch(watcher)
		pause := lookEvery
		if again := f.look(say); again > 0 {
			pause = min(pause, max(time.Duration(again-f.now()), gather))
		}
		alarm.Reset(pause)
		select {
		case <-ctx.Done():
			return
		case looked := <-f.looks:
			f.look(say)
			close(looked)
		case <-alarm.C:
		case <-faults: // the queue ran over: what it said is lost, and looking tells
		case <-events:
			sleep(ctx, gather)
			drained(events)
		}
	}
}

func drained(events chan fsnotify.Event) {
	for {
		select {
		case <-events:
		default:
			return
		}
	}
}

// look reads the files and tells what has become of them; again: when to look at the latest.
func (f *Files) look(say func(Event)) (again policy.Time) {
	switch found := f.keeper.Evaluate(f.now(), f.read()); found.Verdict {
	case endpointfiles.Accepted:
		f.refused = ""
		say(Event{List: &List{Kind: policy.ListFull, Entries: found.Entries, FileState: f.keeper.State()}})
	case endpointfiles.Rejected:
		if found.Reason != f.refused {
			f.refused = found.Reason
			say(Event{Rejected: found.Reason})
		}
	case endpointfiles.Unchanged:
		if f.refused != "" {
			f.refused = ""
			say(Event{Recovered: true})
		}
	case endpointfiles.Wait:
		return found.LookAgain
	}
	return 0
}

// names gives the paths that match, once each.
func (f *Files) names() []string {
	var all []string
	for _, p := range f.patterns {
		found, _ := filepath.Glob(p) // a pattern that is none was refused with the configuration
		all = append(all, found...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// read reads all the files. One that cannot be read is a problem of that file; one that has just gone is not there.
func (f *Files) read() []endpointfiles.File {
	names := f.names()
	if len(names) > mostFiles {
		return []endpointfiles.File{{Name: names[0], Problem: fmt.Sprintf("%v: found %d files, allowed %d", f.patterns, len(names),
			mostFiles)}}
	}
	var files []endpointfiles.File
	for _, name := range names {
		text, err := ReadFile(name)
		switch {
		case os.IsNotExist(err):
		case err != nil:
			files = append(files, endpointfiles.File{Name: name, Problem: err.Error(), Digest: endpointfiles.Digest(xxhash.Sum64String(err.Error()))})
		default:
			was, known := f.parsed[name]
			if !known || was.Digest != endpointfiles.Digest(xxhash.Sum64(text)) {
				was = endpointfiles.Parse(name, text)
				f.parsed[name] = was
			}
			files = append(files, was)
		}
	}
	maps.DeleteFunc(f.parsed, func(name string, _ endpointfiles.File) bool { return !slices.Contains(names, name) })
	return files
}

// ReadFile reads a plain file of a size that a list may have. It never waits for a writer, as it would at a pipe.
func ReadFile(name string) ([]byte, error) {
	in, err := os.OpenFile(name, os.O_RDONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	info, err := in.Stat()
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, fmt.Errorf("%s: found no plain file, allowed a list file", name)
	}
	text, err := io.ReadAll(io.LimitReader(in, endpointfiles.MaxFileSize+1))
	if err != nil {
		return nil, err
	}
	if len(text) > endpointfiles.MaxFileSize {
		return nil, fmt.Errorf("%s: found over %d bytes, allowed as many", name, endpointfiles.MaxFileSize)
	}
	return text, nil
}

// watch asks for word of changes in the folders of the files, and of what they lead to. A folder that was removed and made
// again is asked for anew; asking twice costs nothing.
func (f *Files) watch(w *fsnotify.Watcher) {
	if w == nil {
		return
	}
	dirs := map[string]bool{}
	for _, p := range f.patterns {
		for strings.ContainsAny(filepath.Dir(p), `*?[\`) {
			p = filepath.Dir(p)
		}
		dirs[filepath.Dir(p)] = true
	}
	for _, name := range f.names() {
		dirs[filepath.Dir(name)] = true
		if real, err := filepath.EvalSymlinks(name); err == nil {
			dirs[filepath.Dir(real)] = true
		}
	}
	for i, dir := range slices.Sorted(maps.Keys(dirs)) {
		if i < mostDirs {
			w.Add(dir) // where that fails, looking every second is left
		}
	}
}
