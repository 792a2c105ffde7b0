package policy

// randomSource is a multiply-with-carry generator: small, seeded, and the same on every machine.
type randomSource struct{ state, carry uint32 }

const (
	multiplier = 4294957665
	maxCarry   = multiplier - 1
)

// newRandomSource starts a generator. Similar seeds give similar first draws: mix them before.
func newRandomSource(seed uint64) randomSource {
	return randomSource{
		state: uint32(seed) | 1,
		carry: uint32(seed>>32)%maxCarry + 1,
	}
}

// next draws 32 bits.
func (r *randomSource) next() uint32 {
	product := uint64(r.state)*multiplier + uint64(r.carry)
	r.state = uint32(product)
	r.carry = uint32(product >> 32)
	return r.state
}

// fraction draws a number of at least 0 and under 1.
func (r *randomSource) fraction() float64 { return float64(r.next()) / (1 << 32) }

// next64 draws 64 bits.
func (r *randomSource) next64() uint64 {
	high := uint64(r.next()) << 32
	return high | uint64(r.next())
}
