package discovery

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"pepperlead/internal/endpointfiles"
	"pepperlead/internal/golden"
	"pepperlead/internal/snapshot"
	"pepperlead/policy"
)

// keptOfBefore gives the list that is kept in the golden file, and its memo.
func keptOfBefore() (map[string]Entry, endpointfiles.State) {
	entries := map[string]Entry{
		"s-1": {UID: "s-1", Addr: "127.0.0.1:9101", Member: policy.Member{ID: endpointfiles.EndpointID("s-1"), Zone: "a", Cell: 3, Weight: 1.5,
			Status: policy.Draining, Started: 7 * policy.Second}},
		"s-2": {UID: "s-2", Addr: "127.0.0.1:9102", Member: policy.Member{ID: endpointfiles.EndpointID("s-2"), Weight: 1}},
	}
	return entries, endpointfiles.State{Issues: map[string]endpointfiles.Issue{"servers.toml": 5},
		Drains: map[string]endpointfiles.Drain{"s-1": {FirstListed: 8 * policy.Second, LastListed: 9 * policy.Second}}}
}

// TestKeptListIsWrittenAsBefore holds the file that keeps the last list to what was written before.
func TestKeptListIsWrittenAsBefore(t *testing.T) {
	folder := t.TempDir()
	kept := NewCached(&Fixed{}, folder, func() policy.Time { return 10 * policy.Second })
	if err := kept.save(kept.document(keptOfBefore())); err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob(filepath.Join(folder, "*"))
	if err != nil || len(files) != 1 {
		t.Fatal(files, err)
	}
	written, err := os.ReadFile(files[0])
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, filepath.Join("kept", filepath.Base(files[0])), written)
}

// TestKeptListOfBeforeIsRead reads the file that was written before, and has it told as a saved list.
func TestKeptListOfBeforeIsRead(t *testing.T) {
	entries, memo := keptOfBefore()
	kept := &Cached{Source: &Fixed{}, store: &snapshot.Store{Dir: "testdata/kept"}, now: func() policy.Time { return 0 }}
	read, readMemo, err := kept.load()
	if err != nil {
		t.Fatal(err)
	}
	if want := []Entry{entries["s-1"], entries["s-2"]}; !reflect.DeepEqual(read, want) || !reflect.DeepEqual(readMemo, memo) {
		t.Errorf("got %+v and %+v, want %+v and %+v", read, readMemo, want, memo)
	}
}

// TestListsOfThePlatformAreReadAsBefore holds the values that the platform's list, with each of its keys, is read as to those that it
// was read as before.
func TestListsOfThePlatformAreReadAsBefore(t *testing.T) {
	version, full, entries, err := DecodeList(golden.Read(t, "platform.json"))
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "platform.values", golden.Values([]any{version, full, entries}))
}
