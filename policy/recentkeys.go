package policy

const (
	// recentKeyCount is how many of the latest keys are remembered.
	recentKeyCount = 256
	// frequencyPrior is the number of requests under other keys that are assumed before any.
	frequencyPrior = 64
	// burstLength is how many of the latest requests show a key that has just become hot.
	burstLength = 32
)

// recentKeys is a ring of the latest requests' keys.
type recentKeys struct {
	keys  [recentKeyCount]uint64
	count int // of all keys so far
}

// observe adds a key and returns its part of the recent requests, or of the latest burst, whichever is more.
// It counts this request in neither, and one more than it in the burst.
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

// latestFirst lists the keys, the latest first.
func (k *recentKeys) latestFirst() (keys []uint64) {
	for i := range k.len() {
		keys = append(keys, k.keys[(k.count-1-i)%len(k.keys)])
	}
	return keys
}

// restore replaces the keys by others, the latest first. More than fit are ignored, all of them.
func (k *recentKeys) restore(latestFirst []uint64) {
	k.count = 0
	if len(latestFirst) > len(k.keys) {
		return
	}
	for i := len(latestFirst) - 1; i >= 0; i-- {
		k.add(latestFirst[i])
	}
}
