package emulator

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
)

// stream is a source of random numbers for one purpose; drawing from it changes no other stream.
func stream(seed uint64, purpose string, no int) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(purpose))
	return rand.New(rand.NewPCG(seed, h.Sum64()+uint64(no)*0x9e3779b97f4a7c15))
}

// logNormal draws a factor with a mean of 1, log-normal with the coefficient of variation.
func logNormal(r *rand.Rand, cv float64) float64 {
	if cv == 0 {
		return 1
	}
	v := math.Log(1 + cv*cv)
	return math.Exp(r.NormFloat64()*math.Sqrt(v) - v/2)
}
