// Package requestids remembers the ids of requests that must not run twice, for all processes of a sidecar. The client
// of such a request may leave and send the request again, to this process or to the one that replaces it.
package requestids

import (
	"errors"
	"os"
	"sync/atomic"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// holdTime is how long an id is remembered. It is longer than any client waits for an answer.
const holdTime = 20 * time.Second

// Dimensions of a table. An id can only be in the bucket that its hash selects. If all slots of the bucket hold ids, a
// new id replaces the oldest one.
const (
	buckets     = 1 << 13
	bucketSlots = 8
	slotBytes   = 8
	tableBytes  = buckets * bucketSlots * slotBytes
)

// A slot holds the upper bits of the hash of an id, and below them the time at which it was claimed. It is 0 if it
// holds no id.
const (
	timeBits = 24
	timeMask = 1<<timeBits - 1
	// tick is the unit of the time.
	tick      = 250 * time.Millisecond
	holdTicks = uint64(holdTime / tick)
	// maxAheadTicks is how far the clock of another process may seem to be ahead, between two readings.
	maxAheadTicks = uint64(time.Minute / tick)
)

// FileName is the name of the file of a table. A file with another layout needs another name.
const FileName = "request-ids"

const fileMode = 0o600

// Table is a set of claimed ids. Any number of goroutines, and processes that have opened the same file, may use it at
// the same time. An id is given by its hash.
type Table struct {
	slots []atomic.Uint64
	now   func() time.Duration // time since an arbitrary moment, the same in all processes
}

// New returns an empty table for this process only.
func New() *Table {
	return &Table{slots: make([]atomic.Uint64, buckets*bucketSlots), now: monotonicTime}
}

// Open returns the table in a file, which it creates if it doesn't exist. The error is one of the operating system.
func Open(path string) (*Table, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	mapped, err := mapFile(file)
	if err = errors.Join(err, file.Close()); err != nil {
		return nil, err
	}
	slots := unsafe.Slice((*atomic.Uint64)(unsafe.Pointer(unsafe.SliceData(mapped))), buckets*bucketSlots)
	return &Table{slots: slots, now: monotonicTime}, nil
}

// mapFile maps the file into memory until the process ends. Before that it allocates its blocks: an access to a page
// without one would end the process if the disk is full.
func mapFile(file *os.File) ([]byte, error) {
	descriptor := int(file.Fd())
	for {
		err := unix.Fallocate(descriptor, 0, 0, tableBytes)
		if err == nil {
			break
		}
		if !errors.Is(err, unix.EINTR) {
			return nil, os.NewSyscallError("fallocate", err)
		}
	}
	return unix.Mmap(descriptor, 0, tableBytes, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
}

// monotonicTime returns the time since the machine was booted, without the time that it was suspended.
func monotonicTime() time.Duration {
	var now unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &now) // cannot fail for this clock
	return time.Duration(now.Nano())
}

// Claim claims an id, and reports whether nobody had claimed it before. Of several claims at the same time, at most one
// succeeds.
func (t *Table) Claim(hash uint64) bool {
	bucket := t.bucket(hash)
	for {
		now := t.ticks()
		slot, earlier := replaceable(bucket, now) // before find, so that a claim in this slot is noticed
		if find(bucket, hash, now, noSlot) != noSlot {
			return false
		}
		entry := tagOf(hash)<<timeBits | now
		if !bucket[slot].CompareAndSwap(earlier, entry) {
			continue
		}
		// Another process may have claimed the id at the same time, in another slot.
		if find(bucket, hash, now, slot) != noSlot {
			bucket[slot].CompareAndSwap(entry, 0)
			return false
		}
		return true
	}
}

// Renew has a claimed id remembered from now on.
func (t *Table) Renew(hash uint64) {
	t.update(hash, func(now uint64) uint64 { return tagOf(hash)<<timeBits | now })
}

// Release forgets an id.
func (t *Table) Release(hash uint64) { t.update(hash, func(uint64) uint64 { return 0 }) }

// update replaces the entry of an id, if there still is one.
func (t *Table) update(hash uint64, entryAt func(now uint64) uint64) {
	bucket := t.bucket(hash)
	now := t.ticks()
	if slot := find(bucket, hash, now, noSlot); slot != noSlot {
		entry := bucket[slot].Load()
		if entry>>timeBits == tagOf(hash) {
			bucket[slot].CompareAndSwap(entry, entryAt(now))
		}
	}
}

// bucket returns the slots that may hold an id.
func (t *Table) bucket(hash uint64) []atomic.Uint64 {
	first := int(hash%buckets) * bucketSlots
	return t.slots[first : first+bucketSlots]
}

// ticks returns the time in the unit and range of a slot.
func (t *Table) ticks() uint64 { return uint64(t.now()/tick) & timeMask }

// tagOf returns the bits of a hash that a slot holds. They are never 0.
func tagOf(hash uint64) uint64 { return hash>>timeBits | 1 }

// noSlot stands for no index of a slot.
const noSlot = -1

// find returns the index of the slot that holds the id, other than the excluded one, or noSlot.
func find(bucket []atomic.Uint64, hash, now uint64, excluded int) int {
	for slot := range bucket {
		entry := bucket[slot].Load()
		if slot != excluded && entry>>timeBits == tagOf(hash) && isLive(entry, now) {
			return slot
		}
	}
	return noSlot
}

// isLive reports whether a slot holds an id that is still remembered.
func isLive(entry, now uint64) bool {
	age := (now - entry) & timeMask
	return entry != 0 && (age < holdTicks || age > timeMask-maxAheadTicks)
}

// replaceable returns the index and the entry of the first slot that holds no id, or of the one with the oldest id.
func replaceable(bucket []atomic.Uint64, now uint64) (oldest int, oldestEntry uint64) {
	oldestAge := uint64(0)
	for slot := range bucket {
		entry := bucket[slot].Load()
		if !isLive(entry, now) {
			return slot, entry
		}
		if age := (now - entry + maxAheadTicks) & timeMask; age > oldestAge || slot == 0 {
			oldest, oldestEntry, oldestAge = slot, entry, age
		}
	}
	return oldest, oldestEntry
}
