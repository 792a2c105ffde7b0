package discovery

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"pepperlead/internal/endpointfiles"
	"pepperlead/internal/golden"
	"pepperlead/policy"
)

// The encoding of the cached list must not change: it matches the golden file, and decoding and encoding that file yields the same bytes.
func TestCachedListEncoding(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "servers")
	cached := NewCached(&Fixed{}, dir, func() policy.Time { return 1 })
	save := func(entries []Entry, state endpointfiles.State) []byte {
		t.Helper()
		byUID := map[string]Entry{}
		merge(byUID, List{Kind: policy.ListFull, Entries: entries})
		if err := cached.save(cached.document(byUID, state)); err != nil {
			t.Fatal(err)
		}
		file, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		return file
	}
	// Every field has a distinct value, so that the encoding changes if a key is lost, renamed or swapped with another one.
	endpoint := func(uid, address string, member policy.Member) Entry {
		member.ID = endpointfiles.EndpointID(uid)
		return Entry{UID: uid, Addr: address, Member: member}
	}
	encoded := save([]Entry{
		endpoint("server-1", "10.0.0.1:80", policy.Member{Weight: 2.5, Cell: 3, Zone: "zone-1", Status: policy.Draining, Started: 4}),
		endpoint("server-2", "10.0.0.2:80", policy.Member{Weight: 5.5, Cell: 6, Zone: "zone-2", Status: policy.Ready, Started: 7}),
		endpoint("server-3", "10.0.0.3:80", policy.Member{}),
	}, endpointfiles.State{
		Issues: map[string]endpointfiles.Issue{"file-1": 8, "file-2": 9},
		Drains: map[string]endpointfiles.Drain{"server-1": {FirstListed: 10, LastListed: 11}, "server-4": {FirstListed: 12, LastListed: 13}},
	})
	want := golden.ReadOrWrite(t, "servers", encoded)
	if !bytes.Equal(encoded, want) {
		t.Errorf("encoded\n%s\nwant\n%s", encoded, want)
	}
	if err := os.WriteFile(path, want, 0o600); err != nil {
		t.Fatal(err)
	}
	entries, state, err := cached.load()
	if err != nil {
		t.Fatal(err)
	}
	if again := save(entries, state); !bytes.Equal(again, want) {
		t.Errorf("decoded and encoded again\n%s\nwant\n%s", again, want)
	}
}
