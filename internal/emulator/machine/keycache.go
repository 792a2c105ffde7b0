package machine

// noEntry is the index of no cache entry.
const noEntry = -1

// keyCache holds the keys used last.
type keyCache struct {
	capacity int
	index    map[uint64]int32
	entries  []cacheEntry
	newest   int32
	oldest   int32
}

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

// touch makes the key the newest and reports whether it was cached.
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

func (k *keyCache) unlink(i int32) {
	n := k.entries[i]
	if n.newer >= 0 {
		k.entries[n.newer].older = n.older
	} else {
		k.newest = n.older
	}
	if n.older >= 0 {
		k.entries[n.older].newer = n.newer
	} else {
		k.oldest = n.newer
	}
}
