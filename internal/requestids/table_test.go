package requestids

import (
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

// shared opens the same file twice, as two processes do.
func shared(t *testing.T) (first, second *Table) {
	t.Helper()
	path := filepath.Join(t.TempDir(), FileName)
	var tables [2]*Table
	for i := range tables {
		var err error
		if tables[i], err = Open(path); err != nil {
			t.Fatal(err)
		}
	}
	return tables[0], tables[1]
}

// An id that one process has claimed cannot be claimed by any process until it is released or its time is over.
func TestIDsAreClaimedOnce(t *testing.T) {
	first, second := shared(t)
	now := 100 * time.Hour
	first.now = func() time.Duration { return now }
	second.now = func() time.Duration { return now - 3*tick } // it has read the clock earlier
	id, other := xxhash.Sum64String("a"), xxhash.Sum64String("b")
	if !first.Claim(id) || first.Claim(id) || second.Claim(id) || !second.Claim(other) {
		t.Error("an id was claimed twice, or not at all")
	}
	first.Release(id)
	if !second.Claim(id) || first.Claim(id) {
		t.Error("a released id cannot be claimed once more")
	}
	now += holdTime - tick
	second.Renew(id)
	now += 2 * tick
	if first.Claim(id) {
		t.Error("an id was claimed again after it had been renewed")
	}
	if !first.Claim(other) {
		t.Error("an id is still claimed after its time")
	}
	now += 30 * 24 * time.Hour
	if !second.Claim(id) {
		t.Error("an id is still claimed a month later")
	}
}

// Of the claims that two processes make at the same time, at most one succeeds for each id.
func TestSimultaneousClaims(t *testing.T) {
	first, second := shared(t)
	const ids = 8000
	var claims [ids]atomic.Int32
	var wait sync.WaitGroup
	for _, table := range []*Table{first, second, first, second} {
		wait.Go(func() {
			for id := range claims {
				if table.Claim(xxhash.Sum64([]byte{byte(id), byte(id >> 8)})) {
					claims[id].Add(1)
				}
			}
		})
	}
	wait.Wait()
	unclaimed := 0
	for id := range claims {
		switch claims[id].Load() {
		case 0:
			unclaimed++ // each of two processes has seen the claim of the other
		case 1:
		default:
			t.Errorf("id %d was claimed %d times", id, claims[id].Load())
		}
	}
	if unclaimed > ids/10 {
		t.Errorf("nobody has claimed %d of %d ids", unclaimed, ids)
	}
}

// A full bucket forgets its oldest id.
func TestFullBucketForgetsItsOldestID(t *testing.T) {
	table := New()
	now := time.Hour
	table.now = func() time.Duration { return now }
	inOneBucket := func(n uint64) uint64 { return n << 32 }
	for n := range uint64(bucketSlots + 1) {
		if !table.Claim(inOneBucket(n)) {
			t.Fatalf("id %d was not claimed", n)
		}
		now += tick
	}
	for n := uint64(1); n <= bucketSlots; n++ {
		if table.Claim(inOneBucket(n)) {
			t.Errorf("id %d was forgotten", n)
		}
	}
	if !table.Claim(inOneBucket(0)) {
		t.Error("the oldest id was not forgotten")
	}
}

// A file that a killed process has left with a part of its size is completed, and what cannot be allocated is an error.
func TestFileIsCompleted(t *testing.T) {
	first, second := shared(t)
	if first.Claim(7); second.Claim(7) {
		t.Error("the file is not shared")
	}
	if _, err := Open(filepath.Join(t.TempDir(), "none", FileName)); err == nil {
		t.Error("opened a file in a folder that does not exist")
	}
}
