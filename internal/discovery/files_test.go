package discovery

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pepperlead/internal/clock"
	"pepperlead/internal/endpointfiles"
	"pepperlead/policy"
)

var limits = endpointfiles.Limits{MaxRemovedShare: 0.6, SettleTime: 40 * policy.Millisecond, MissingTime: 150 * policy.Millisecond,
	DrainMemory: 3600 * policy.Second}

// listText is a list file of the named endpoints; one with a ! drains. issue 0: neither numbered nor sealed.
func listText(issue endpointfiles.Issue, uids ...string) []byte {
	var b bytes.Buffer
	for _, uid := range uids {
		name, drains := strings.CutSuffix(uid, "!")
		fmt.Fprintf(&b, "[[server]]\nid = %q\naddress = \"127.0.0.1:%d\"\n", name, 9000+endpointfiles.EndpointID(name)%900)
		if drains {
			b.WriteString("state = \"draining\"\n")
		}
	}
	if issue == 0 {
		fmt.Fprintf(&b, "[whole]\nservers = %d\n", len(uids))
		return b.Bytes()
	}
	out, _, err := endpointfiles.Seal("f", b.Bytes(), issue, 0)
	if err != nil {
		panic(err)
	}
	return out
}

// runningSource runs a source and receives its events.
type runningSource struct {
	t      *testing.T
	dir    string
	events chan Event
	stop   func()
}

func start(t *testing.T, dir string, s Source) *runningSource {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	w := &runningSource{t: t, dir: dir, events: make(chan Event, 64)}
	ended := make(chan struct{})
	go func() { defer close(ended); s.Run(ctx, func(event Event) { w.events <- event }) }()
	w.stop = func() { cancel(); <-ended }
	t.Cleanup(w.stop)
	return w
}

func watchFiles(t *testing.T, patterns ...string) *runningSource {
	dir := t.TempDir()
	for i := range patterns {
		patterns[i] = filepath.Join(dir, patterns[i])
	}
	return start(t, dir, NewFiles(patterns, limits, clock.New().Now))
}

func (w *runningSource) write(name string, in []byte) {
	w.t.Helper()
	if err := os.WriteFile(filepath.Join(w.dir, name), in, 0o600); err != nil {
		w.t.Fatal(err)
	}
}

func (w *runningSource) rename(name string, in []byte) {
	w.t.Helper()
	w.write("fresh.tmp", in)
	if err := os.Rename(filepath.Join(w.dir, "fresh.tmp"), filepath.Join(w.dir, name)); err != nil {
		w.t.Fatal(err)
	}
}

// want waits for the next event: a list of these endpoints in order of id, or "refused ..." with these words in it, or "settled".
func (w *runningSource) want(words ...string) {
	w.t.Helper()
	select {
	case event := <-w.events:
		got := event.Rejected
		switch {
		case event.List != nil:
			var uids []string
			for _, e := range event.List.Entries {
				uid := e.UID
				if e.Status == policy.Draining {
					uid += "!"
				}
				uids = append(uids, uid)
			}
			got = strings.Join(uids, " ")
		case event.Recovered:
			got = "settled"
		case event.Note != "":
			got = "note " + event.Note
		}
		want, rejection := strings.CutPrefix(strings.Join(words, " "), "refused ")
		if rejection != (event.Rejected != "") || got != want && !(rejection && strings.Contains(got, want)) &&
			!(event.Note != "" && strings.HasPrefix(got, want)) {
			w.t.Errorf("got %q, want %v", got, words)
		}
	case <-time.After(5 * time.Second):
		w.t.Fatalf("no event, want %v", words)
	}
}

// wantNone fails if there is an event within the time.
func (w *runningSource) wantNone(span time.Duration) {
	w.t.Helper()
	select {
	case event := <-w.events:
		w.t.Errorf("got %+v", event)
	case <-time.After(span):
	}
}

func TestEditorsThatWriteInPlace(t *testing.T) {
	w := watchFiles(t, "f.toml")
	w.want("refused", "no list file is there")
	w.write("f.toml", listText(1, "a", "b", "c", "d"))
	w.want("a", "b", "c", "d")
	path := filepath.Join(w.dir, "f.toml")
	// Truncated, then written piece by piece: there is no event before it is complete.
	complete := listText(2, "a", "b", "c!", "d")
	for i := 0; i <= len(complete); i += 40 {
		w.write("f.toml", complete[:min(i, len(complete))])
		time.Sleep(2 * time.Millisecond)
	}
	w.write("f.toml", complete)
	w.want("a", "b", "c!", "d")
	// Overwritten without being truncated: a short new text with the tail of the old behind it.
	short := listText(3, "a", "b!", "c!", "d")[:250]
	f, _ := os.OpenFile(path, os.O_WRONLY, 0)
	f.Write(short)
	f.Close()
	w.want("refused", "f.toml:")
	w.wantNone(100 * time.Millisecond) // the reason is emitted once
	w.write("f.toml", complete)
	w.want("settled")
	// Without a digest a mixture can look whole; it has to hold still.
	bare := listText(0, "e", "f", "g", "h")
	w = watchFiles(t, "g.toml")
	w.want("refused", "no list file is there")
	for range 10 {
		w.write("g.toml", listText(0, "x", "f", "g", "h"))
		time.Sleep(5 * time.Millisecond)
		w.write("g.toml", bare)
		time.Sleep(5 * time.Millisecond)
	}
	w.want("e", "f", "g", "h")
}

func TestReplacedWhileADrainIsRunning(t *testing.T) {
	w := watchFiles(t, "f.toml")
	w.want("refused", "no list file is there")
	w.rename("f.toml", listText(5, "a", "b", "c"))
	w.want("a", "b", "c")
	w.rename("f.toml", listText(6, "a", "b!", "c"))
	w.want("a", "b!", "c")
	w.rename("f.toml", listText(5, "a", "b", "c")) // an old copy
	w.want("refused", "found 5, allowed from 6 on")
	w.rename("f.toml", listText(7, "a", "b!", "c!"))
	w.want("a", "b!", "c!")
	w.rename("f.toml", listText(8, "a", "b", "c!"))
	w.want("a", "b", "c!")
	// Lists that are not numbered cannot say that they are newer.
	w = watchFiles(t, "g.toml")
	w.want("refused", "no list file is there")
	w.rename("g.toml", listText(0, "a", "b!", "c"))
	w.want("a", "b!", "c")
	w.rename("g.toml", listText(0, "a", "b", "c"))
	w.want("refused", `"b" was told draining`)
	w.rename("g.toml", bytes.Replace(listText(0, "a", "b", "c"), []byte(`id = "b"`),
		[]byte(`id = "b"`+"\nstarted = 2199-01-01T00:00:00Z"), 1))
	w.want("a", "b", "c")
}

func TestSeveralFilesAreOneList(t *testing.T) {
	w := watchFiles(t, "*.toml")
	w.want("refused", "no list file is there")
	w.rename("1.toml", listText(1, "a", "b"))
	w.want("a", "b")
	w.rename("2.toml", listText(1, "c", "d", "e"))
	w.want("a", "b", "c", "d", "e")
	w.rename("2.toml", []byte("[[server"))
	w.want("refused", "2.toml:1: document")
	w.rename("1.toml", listText(2, "a", "b!")) // waits with the other
	w.wantNone(100 * time.Millisecond)
	w.rename("2.toml", listText(2, "c", "d", "e"))
	w.want("a", "b!", "c", "d", "e")
	w.rename("1.toml", listText(3, "a", "b!", "e"))
	w.want("refused", `server "e" stands in`)
	w.rename("1.toml", listText(4, "a", "b!"))
	w.want("a", "b!", "c", "d", "e")
	// Gone for a moment is not gone.
	os.Remove(filepath.Join(w.dir, "1.toml"))
	time.Sleep(50 * time.Millisecond)
	w.rename("1.toml", listText(4, "a", "b!"))
	w.wantNone(250 * time.Millisecond)
	os.Remove(filepath.Join(w.dir, "1.toml"))
	w.want("c", "d", "e")
	w.rename("2.toml", listText(3, "c", "d!", "e!"))
	w.want("refused", "takes away 2 of 3 ready servers, 67% of the weight, allowed 60%")
	out, _, _ := endpointfiles.Seal("2", listText(3, "c", "d!", "e!"), 4, 2)
	w.rename("2.toml", out)
	w.want("c", "d!", "e!")
	w.rename("2.toml", listText(5))
	w.want("refused", "takes away 1 of 1")
}

func TestLinksAndFolders(t *testing.T) {
	w := watchFiles(t, "live/f.toml")
	w.want("refused", "no list file is there")
	for i, uids := range [][]string{{"a", "b", "c"}, {"a", "b", "d"}} {
		dir := filepath.Join(w.dir, fmt.Sprint("v", i))
		os.Mkdir(dir, 0o700)
		os.WriteFile(filepath.Join(dir, "f.toml"), listText(endpointfiles.Issue(i+1), uids...), 0o600)
	}
	swap := func(to string) {
		os.Symlink(to, filepath.Join(w.dir, "next"))
		if err := os.Rename(filepath.Join(w.dir, "next"), filepath.Join(w.dir, "live")); err != nil {
			t.Fatal(err)
		}
	}
	swap("v0")
	w.want("a", "b", "c")
	swap("v1")
	w.want("a", "b", "d")
	swap("v0")
	w.want("refused", "found 1, allowed from 2 on")
	swap("v1")
	w.want("settled")
	// The folder is removed and made again.
	os.RemoveAll(filepath.Join(w.dir, "v1"))
	time.Sleep(30 * time.Millisecond)
	os.Mkdir(filepath.Join(w.dir, "v1"), 0o700)
	w.write("v1/f.toml", listText(3, "a", "b"))
	w.want("a", "b")
	os.RemoveAll(filepath.Join(w.dir, "v1"))
	w.want("refused", "no list file is there")
	if err := os.Mkdir(filepath.Join(w.dir, "v1"), 0o700); err != nil {
		t.Fatal(err)
	}
	os.Mkdir(filepath.Join(w.dir, "v1", "f.toml"), 0o700)
	w.want("refused", "found no plain file")
}

// The last list is cached, with the drains and issues that an old copy must not undo; a damaged one is noted, and ignored.
func TestListIsCachedOverARestart(t *testing.T) {
	dir := t.TempDir()
	list, state := filepath.Join(dir, "f.toml"), filepath.Join(dir, "state")
	os.WriteFile(list, listText(6, "a", "b!", "c"), 0o600)
	restart := func() *runningSource {
		return start(t, dir, NewCached(NewFiles([]string{list}, limits, clock.New().Now), state, clock.New().Now))
	}
	w := restart()
	w.want("a", "b!", "c")
	w.rename("f.toml", listText(7, "a", "b!", "c", "d"))
	w.want("a", "b!", "c", "d")
	w.stop()
	w = restart()
	w.want("a", "b!", "c", "d") // from the cache
	w.want("a", "b!", "c", "d") // as the file has it
	w.stop()
	os.WriteFile(list, listText(6, "a", "b", "c"), 0o600)
	w = restart()
	w.want("a", "b!", "c", "d")
	w.want("refused", "found 6, allowed from 7 on")
	w.stop()
	cachePath := filepath.Join(state, "servers")
	content, err := os.ReadFile(cachePath)
	if err != nil {
		t.Fatal(err)
	}
	os.WriteFile(cachePath, content[:len(content)-5], 0o600)
	w = restart()
	w.want("note", "cached endpoint list ignored: ")
	w.want("a", "b", "c")
	w.stop()
	// Changes are merged into the list.
	entries := map[string]Entry{}
	e := func(uid string, s policy.EndpointStatus) Entry {
		return Entry{UID: uid, Member: policy.Member{Status: s}}
	}
	merge(entries, List{Kind: policy.ListFull, Entries: []Entry{e("a", 0), e("b", 0)}})
	merge(entries, List{Kind: policy.ListChanges, Entries: []Entry{e("b", policy.Draining), e("a", policy.Removed), e("c", 0)}})
	if len(entries) != 2 || entries["b"].Status != policy.Draining || entries["c"].UID != "c" {
		t.Errorf("%v", entries)
	}
}
