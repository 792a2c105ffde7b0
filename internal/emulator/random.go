package emulator

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
)

// stream returns a source of random numbers for one purpose and for the instance, endpoint or fault with the given
// number. Drawing from it does not affect other streams.
func stream(seed uint64, purpose string, number int) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(purpose))
	return rand.New(rand.NewPCG(seed, h.Sum64()+uint64(number)*0x9e3779b97f4a7c15))
}

// logNormal draws a log-normal factor with a mean of 1 and the coefficient of variation cv.
func logNormal(r *rand.Rand, cv float64) float64 {
	if cv == 0 {
		return 1
	}
	variance := math.Log(1 + cv*cv)
	return math.Exp(r.NormFloat64()*math.Sqrt(variance) - variance/2)
}
