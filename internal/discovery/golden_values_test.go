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

// cachedBefore returns the list in the golden file, and the state of its files.
func cachedBefore() (map[string]Entry, endpointfiles.State) {
	entries := map[string]Entry{
		"s-1": {UID: "s-1", Addr: "127.0.0.1:9101", Member: policy.Member{ID: endpointfiles.EndpointID("s-1"), Zone: "a", Cell: 3, Weight: 1.5,
			Status: policy.Draining, Started: 7 * policy.Second}},
		"s-2": {UID: "s-2", Addr: "127.0.0.1:9102", Member: policy.Member{ID: endpointfiles.EndpointID("s-2"), Weight: 1}},
	}
	return entries, endpointfiles.State{Issues: map[string]endpointfiles.Issue{"servers.toml": 5},
		Drains: map[string]endpointfiles.Drain{"s-1": {FirstListed: 8 * policy.Second, LastListed: 9 * policy.Second}}}
}

// TestCachedListIsWrittenAsBefore compares the file of the cached list with what was written before.
func TestCachedListIsWrittenAsBefore(t *testing.T) {
	directory := t.TempDir()
	cached := NewCached(&Fixed{}, directory, func() policy.Time { return 10 * policy.Second })
	if err := cached.save(cached.document(cachedBefore())); err != nil {
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

// TestCachedListOfBeforeIsRead reads the file that was written before.
func TestCachedListOfBeforeIsRead(t *testing.T) {
	entries, state := cachedBefore()
	cached := &Cached{Source: &Fixed{}, store: &snapshot.Store{Dir: "testdata/kept"}, now: func() policy.Time { return 0 }}
	read, readState, err := cached.load()
	if err != nil {
		t.Fatal(err)
	}
	if want := []Entry{entries["s-1"], entries["s-2"]}; !reflect.DeepEqual(read, want) || !reflect.DeepEqual(readState, state) {
		t.Errorf("got %+v and %+v, want %+v and %+v", read, readState, want, state)
	}
}

// TestPlatformListIsDecodedAsBefore compares the values that the platform's list, with each of its keys, is decoded to with those that it
// was decoded to before.
func TestPlatformListIsDecodedAsBefore(t *testing.T) {
	revision, full, entries, err := DecodeList(golden.Read(t, "platform.json"))
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "platform.values", golden.Values([]any{revision, full, entries}))
}
