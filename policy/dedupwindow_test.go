package policy

import "testing"

// Guards against a second effect: a repeat must have arrived completely before the window of its class ends, counted from the send of
// the first attempt that may have run, under the settings in force at that moment.
func TestRepeatMustArriveWithinItsWindow(t *testing.T) {
	const window, sentAt = 5 * Second, 2 * Second
	for name, k := range map[string]struct {
		idempotency Idempotency
		group       Group
		outcome     Outcome              // of the first attempt
		change      func(class *Class)   // new settings while the repeat is under way
		move        func(repeat *Member) // a new list while the repeat is under way
		want        Time                 // limit without the margin; never: unlimited
	}{
		"keyed":                         {idempotency: Keyed, outcome: ConnectionLost, want: sentAt + window},
		"keyed, certainly not run":      {idempotency: Keyed, outcome: NotConnected, want: never},
		"idempotent":                    {idempotency: Idempotent, outcome: ConnectionLost, want: never},
		"not idempotent, not run":       {idempotency: NonIdempotent, outcome: Rejected, want: never},
		"window shortened":              {idempotency: Keyed, outcome: Errored, change: func(c *Class) { c.Window = Second }, want: sentAt + Second},
		"keyed by new settings":         {idempotency: Idempotent, outcome: Errored, change: func(c *Class) { c.Idempotency = Keyed }, want: sentAt + window},
		"no longer keyed":               {idempotency: Keyed, outcome: Errored, change: func(c *Class) { c.Idempotency = NonIdempotent }, want: 0},
		"endpoint moves to other group": {idempotency: Keyed, group: GroupZone, outcome: Errored, move: func(m *Member) { m.Zone = "b" }, want: 0},
	} {
		settings := testSettings()
		settings.Classes[0].Idempotency = k.idempotency
		settings.Classes[0].Group = k.group
		settings.Classes[0].Window = window
		front := &recordingFront{}
		b := New(front, settings, 1, Second)
		members := testMembers(3, "a")
		b.UpdateEndpoints(Second, ListFull, members)
		handle := front.admit(b, sentAt, "k", false, 20*Second)
		if by, limited := b.ArriveBy(handle); limited || by != never {
			t.Errorf("%s: the first attempt must arrive by %d, want no limit", name, by)
		}
		b.AttemptEnded(sentAt+Second/2, handle, 0, front.sentTo[0], k.outcome, Second/2, false)
		if len(front.sentTo) != 2 {
			t.Errorf("%s: %d attempts, want 2", name, len(front.sentTo))
			continue
		}
		if k.change != nil {
			k.change(&settings.Classes[0])
		}
		if k.move != nil {
			for i := range members {
				if members[i].ID == front.sentTo[1] {
					k.move(&members[i])
				}
			}
			b.UpdateEndpoints(sentAt+Second, ListFull, members)
		}
		want := k.want
		if want != 0 && want != never {
			want -= settings.answerMargin()
		}
		by, limited := b.ArriveBy(handle)
		if by != want || limited != (want != never) {
			t.Errorf("%s: the repeat must arrive by %d (limited: %v), want %d", name, by, limited, want)
		}
		b.ClientLeft(sentAt+2*Second, handle)
		b.AttemptEnded(sentAt+2*Second, handle, 1, front.sentTo[1], Cancelled, Second, true)
		if by, limited := b.ArriveBy(handle); !limited || by != 0 {
			t.Errorf("%s: an ended request may still arrive by %d", name, by)
		}
	}
}
