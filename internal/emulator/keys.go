package emulator

import (
	"math"
	"math/rand/v2"
)

// zipf draws keys from 1 on with Zipf's distribution: key k has a weight of 1/k^s.
type zipf struct{ cumulative []float64 }

// newZipf returns a distribution of n keys with the exponent s. To limit its memory, keys above 1<<20 are never drawn.
func newZipf(n int, s float64) *zipf {
	z := &zipf{cumulative: make([]float64, min(n, 1<<20))}
	for i := range z.cumulative {
		z.cumulative[i] = math.Pow(float64(i+1), -s)
	}
	cumulate(z.cumulative)
	return z
}

func (z *zipf) draw(r *rand.Rand) uint64 {
	point := r.Float64()
	low := 0
	high := len(z.cumulative) - 1
	for low < high {
		mid := (low + high) / 2
		if point < z.cumulative[mid] {
			high = mid
		} else {
			low = mid + 1
		}
	}
	return uint64(low + 1)
}
