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

// goldenCachedList returns the entries in the golden file of the cached list, and the state of their list files.
func goldenCachedList() (map[string]Entry, endpointfiles.State) {
	entries := map[string]Entry{
		"s-1": {UID: "s-1", Addr: "127.0.0.1:9101", Member: policy.Member{ID: endpointfiles.EndpointID("s-1"), Zone: "a", Cell: 3, Weight: 1.5,
			Status: policy.Draining, Started: 7 * policy.Second}},
		"s-2": {UID: "s-2", Addr: "127.0.0.1:9102", Member: policy.Member{ID: endpointfiles.EndpointID("s-2"), Weight: 1}},
	}
	return entries, endpointfiles.State{Issues: map[string]endpointfiles.Issue{"servers.toml": 5},
		Drains: map[string]endpointfiles.Drain{"s-1": {FirstListed: 8 * policy.Second, LastListed: 9 * policy.Second}}}
}

// TestCachedListMatchesGoldenFile compares the file of the cached list with the golden file.
func TestCachedListMatchesGoldenFile(t *testing.T) {
	directory := t.TempDir()
	cached := NewCached(&Fixed{}, directory, func() policy.Time { return 10 * policy.Second })
	if err := cached.save(cached.document(goldenCachedList())); err != nil {
		t.Fatal(err)
	}
	files, err := filepath.Glob(filepath.Join(directory, "*"))
	if err != nil || len(files) != 1 {
		t.Fatal(files, err)
	}
	written, err := os.ReadFile(files[0])
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, filepath.Join("kept", filepath.Base(files[0])), written)
}

// TestGoldenCachedListIsRead reads the golden file of the cached list.
func TestGoldenCachedListIsRead(t *testing.T) {
	entries, state := goldenCachedList()
	cached := &Cached{Source: &Fixed{}, store: &snapshot.Store{Dir: "testdata/kept"}, now: func() policy.Time { return 0 }}
	read, readState, err := cached.load()
	if err != nil {
		t.Fatal(err)
	}
	if want := []Entry{entries["s-1"], entries["s-2"]}; !reflect.DeepEqual(read, want) || !reflect.DeepEqual(readState, state) {
		t.Errorf("got %+v and %+v, want %+v and %+v", read, readState, want, state)
	}
}

// TestPlatformListMatchesGoldenFile decodes a list of the platform that has every key, and compares the values with the golden file.
func TestPlatformListMatchesGoldenFile(t *testing.T) {
	revision, full, entries, err := DecodeList(golden.Read(t, "platform.json"))
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "platform.values", golden.Values([]any{revision, full, entries}))
}
