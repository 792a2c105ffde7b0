package machine

// noEntry is the index of a missing cache entry.
const noEntry = -1

// keyCache is an LRU cache of keys.
type keyCache struct {
	capacity int
	index    map[uint64]int32 // index in entries, by key
	entries  []cacheEntry
	newest   int32
	oldest   int32
}

// cacheEntry is a key in the list of keys by their last use.
type cacheEntry struct {
	key          uint64
	newer, older int32
}

func (k *keyCache) reset(capacity int) {
	k.capacity = capacity
	k.newest = noEntry
	k.oldest = noEntry
	k.entries = k.entries[:0]
	if capacity > 0 {
		k.index = make(map[uint64]int32, min(capacity, 1024))
	}
}

// has reports whether the key is cached.
func (k *keyCache) has(key uint64) bool {
	_, cached := k.index[key]
	return cached
}

// touch marks the key as the most recently used one, and reports whether it was cached before. A new key replaces the
// least recently used one if the cache is full.
func (k *keyCache) touch(key uint64) (cached bool) {
	i, cached := k.index[key]
	switch {
	case cached:
		k.unlink(i)
	case len(k.entries) < k.capacity:
		i = int32(len(k.entries))
		k.entries = append(k.entries, cacheEntry{})
	default:
		i = k.oldest
		k.unlink(i)
		delete(k.index, k.entries[i].key)
	}
	k.index[key] = i
	k.entries[i] = cacheEntry{key: key, newer: noEntry, older: k.newest}
	if k.newest >= 0 {
		k.entries[k.newest].newer = i
	} else {
		k.oldest = i
	}
	k.newest = i
	return cached
}

// unlink takes an entry out of the list.
func (k *keyCache) unlink(i int32) {
	removed := k.entries[i]
	if removed.newer >= 0 {
		k.entries[removed.newer].older = removed.older
	} else {
		k.newest = removed.older
	}
	if removed.older >= 0 {
		k.entries[removed.older].newer = removed.newer
	} else {
		k.oldest = removed.newer
	}
}
