package policy

// randomSource is a multiply-with-carry generator of random numbers. It is small, and the same seed gives the
// same numbers on every machine.
type randomSource struct{ state, carry uint32 }

// Parameters of the generator.
const (
	multiplier = 4294957665
	maxCarry   = multiplier - 1
)

// newRandomSource returns a generator. Similar seeds give similar first numbers, so the caller should hash
// them.
func newRandomSource(seed uint64) randomSource {
	return randomSource{
		state: uint32(seed) | 1,
		carry: uint32(seed>>32)%maxCarry + 1,
	}
}

// next returns 32 random bits.
func (r *randomSource) next() uint32 {
	product := uint64(r.state)*multiplier + uint64(r.carry)
	r.state = uint32(product)
	r.carry = uint32(product >> 32)
	return r.state
}

// fraction returns a random number in [0, 1).
func (r *randomSource) fraction() float64 { return float64(r.next()) / (1 << 32) }

// next64 returns 64 random bits.
func (r *randomSource) next64() uint64 {
	high := uint64(r.next()) << 32
	return high | uint64(r.next())
}
