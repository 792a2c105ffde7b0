package clock

import (
	"testing"

	"pepperlead/policy"
)

func TestParseSkew(t *testing.T) {
	none := skew{rate: 1}
	for text, want := range map[string]skew{
		"":           none,
		"0.98":       none,
		"fast,3s":    none,
		"0.98,3s":    {rate: 0.98, offset: 3 * policy.Second},
		"0,-50ms":    {rate: 0, offset: -50 * policy.Millisecond},
		"1.5,always": {rate: 1.5},
	} {
		if got := parseSkew(text); got != want {
			t.Errorf("%q: got %+v, want %+v", text, got, want)
		}
	}
}

// Without a skew, leases expire by the system's clock.
func TestLeaseClockFollowsSystemClock(t *testing.T) {
	before := BootTime()
	got := LeaseTime()
	after := BootTime()
	if got < before || got > after {
		t.Errorf("got %d, want %d to %d", got, before, after)
	}
}
