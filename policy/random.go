package policy

// chance is a multiply-with-carry generator.
type chance struct{ x, carry uint32 }

// newChance starts a generator. Seeds that are near each other give first draws that are near: mix them before.
func newChance(seed uint64) chance {
	return chance{uint32(seed) | 1, uint32(seed>>32)%4294957664 + 1}
}

// next draws 32 bits.
func (c *chance) next() uint32 {
	v := uint64(c.x)*4294957665 + uint64(c.carry)
	c.x, c.carry = uint32(v), uint32(v>>32)
	return c.x
}

// part draws a number of at least 0 and under 1.
func (c *chance) part() float64 { return float64(c.next()) / (1 << 32) }
