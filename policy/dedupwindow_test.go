package policy

import (
	"fmt"
	"testing"
)

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

// Guards against a second effect if another endpoint has come up at the address of one that has gone: which group has seen the request
// is not certain then.
func TestNoRepeatWhereAnotherEndpointMayHaveComeUp(t *testing.T) {
	const sentAt = 10 * Second
	one, two, other := EndpointID(1), EndpointID(2), EndpointID(3)
	for name, k := range map[string]struct {
		group      Group
		idempotent bool
		refused    []EndpointID // endpoints that refuse connections before the request is sent
		replaced   EndpointID   // the first endpoint is replaced by it while the request is in flight
		after      Time         // time from the refusals to the request
		repeats    bool
	}{
		"nothing happened":               {group: GroupCell, repeats: true},
		"it was refused before":          {group: GroupCell, refused: []EndpointID{one}},
		"long before":                    {group: GroupCell, refused: []EndpointID{one}, after: 3 * Second, repeats: true},
		"it was refused, all endpoints":  {group: GroupAll, refused: []EndpointID{one}, repeats: true},
		"it was refused, idempotent":     {group: GroupCell, idempotent: true, refused: []EndpointID{one}, repeats: true},
		"the second one was refused":     {group: GroupCell, refused: []EndpointID{two}},
		"replaced from another cell":     {group: GroupCell, replaced: other},
		"replaced from the same cell":    {group: GroupCell, replaced: two, repeats: true},
		"replaced from the same zone":    {group: GroupZone, replaced: other, repeats: true},
		"replaced, idempotent":           {group: GroupCell, idempotent: true, replaced: other, repeats: true},
		"replaced, all endpoints":        {group: GroupAll, replaced: other, repeats: true},
		"replaced by an unknown one":     {group: GroupCell, replaced: 9},
		"replaced by unknown, all":       {group: GroupAll, replaced: 9, repeats: true},
		"the second of another was seen": {group: GroupZone, refused: []EndpointID{other}, repeats: true},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			class := &settings.Classes[0]
			class.Group, class.Window, class.Idempotency = k.group, 5*Second, Keyed
			if k.idempotent {
				class.Idempotency = Idempotent
			}
			front := &recordingFront{}
			b := New(front, settings, 1, Second)
			members := testMembers(3, "a")
			members[2].Cell = 7
			b.UpdateEndpoints(Second, ListFull, members)
			for _, id := range k.refused {
				b.ConnectionsLost(sentAt-k.after, id)
			}
			r, handle := b.inFlightOn(front, sentAt, one)
			if k.replaced != 0 {
				gone := members[0]
				gone.Status, gone.ReplacedBy = Removed, k.replaced
				b.UpdateEndpoints(sentAt+Second/4, ListChanges, []Member{gone})
			}
			b.AttemptEnded(sentAt+Second/2, handle, 0, one, ConnectionLost, Second/2, false)
			if got := b.mayRepeatOn(sentAt+Second/2, r, &b.table.endpoints[b.table.indexes[two]]); got != k.repeats {
				t.Errorf("may be repeated: %v, want %v", got, k.repeats)
			}
		})
	}
}

// inFlightOn admits a request whose first attempt is sent to an endpoint.
func (b *Balancer) inFlightOn(front *recordingFront, now Time, id EndpointID) (*request, Handle) {
	for n := 0; ; n++ {
		handle := front.admit(b, now, fmt.Sprint("k", n), false, 20*Second)
		if front.sentTo[len(front.sentTo)-1] == id {
			return b.requests.lookup(handle), handle
		}
	}
}
