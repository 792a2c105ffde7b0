package policy

const (
	// recentKeyCount is the number of latest keys that are remembered.
	recentKeyCount = 256
	// frequencyPrior is the number of requests with other keys that are assumed to precede the first request.
	frequencyPrior = 64
	// burstLength is the number of latest requests that are checked for a key that has just become hot.
	burstLength = 32
)

// recentKeys is a ring of the latest requests' keys.
type recentKeys struct {
	keys  [recentKeyCount]uint64
	count int // keys added so far
}

// observe adds a key and returns its frequency. That is the larger of two figures: the key's part of the
// recent requests, and half the key's part of the latest burstLength requests. Neither figure counts the
// request that is being added. The second one also leaves out one earlier request with the key, so a key seen
// twice is not yet a burst.
func (k *recentKeys) observe(key uint64) (frequency float64) {
	k.add(key)
	occurrences := -1.0
	burst := -2.0
	for i, recent := range k.keys {
		if recent != key {
			continue
		}
		occurrences++
		if (k.count-1-i)%len(k.keys) < burstLength {
			burst++
		}
	}
	return max(occurrences/float64(k.len()+frequencyPrior), burst/(2*burstLength))
}

func (k *recentKeys) add(key uint64) {
	k.keys[k.count%len(k.keys)] = key
	k.count++
}

func (k *recentKeys) len() int { return min(k.count, len(k.keys)) }

// latestFirst returns the keys, the latest first.
func (k *recentKeys) latestFirst() (keys []uint64) {
	for i := range k.len() {
		keys = append(keys, k.keys[(k.count-1-i)%len(k.keys)])
	}
	return keys
}

// restore replaces the keys by those given, the latest first. If more than recentKeyCount are given, it takes
// none of them.
func (k *recentKeys) restore(latestFirst []uint64) {
	k.count = 0
	if len(latestFirst) > len(k.keys) {
		return
	}
	for i := len(latestFirst) - 1; i >= 0; i-- {
		k.add(latestFirst[i])
	}
}
