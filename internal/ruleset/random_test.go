package ruleset

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"pepperlead/policy"
)

// drawn rules of two offerings, so that tickets in hand meet every kind of change.
func drawn(t *rapid.T) *Rules {
	r := &Rules{AnyEndpoint: true, Instances: 1, OverloadMultiple: 1}
	for _, name := range []string{"a", "b"} {
		o := ClassRule{Deadline: policy.Time(rapid.IntRange(1, 3).Draw(t, "cut-off"))}
		switch rapid.IntRange(0, 3).Draw(t, "repeats") {
		case 0:
			continue
		case 1:
			o = IdempotentRule(o.Deadline)
		case 2:
			o = ClassRule{true, rapid.Bool().Draw(t, "zone"), rapid.Bool().Draw(t, "pod"), policy.Time(rapid.IntRange(1, 3).Draw(t, "window")), o.Deadline}
		}
		r.Classes = append(r.Classes, NamedClassRule{name, o})
	}
	return r
}

// Whatever comes and goes, a ticket goes by nothing that the version which admitted it forbids, nor one that was in force since; new ones go by
// exactly what is in force; and without a lease nothing is repeated.
func TestTicketsGoByTheirOwnVersionOrAStricterOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type held struct {
			at    policy.ClassID
			bound []ClassRule
			keyed bool
		}
		p, tickets, now := ClassTable{Capacity: rapid.IntRange(2, 8).Draw(t, "places")}, []held{}, map[policy.ClassID]ClassRule{}
		acts, leased := drawn(t), true
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				acts, leased = drawn(t), rapid.IntRange(0, 3).Draw(t, "leased") > 0
				clear(now)
				p.Update(acts, leased, func(at policy.ClassID, _ string, o ClassRule, _ bool) { now[at] = o })
				for i := range tickets {
					if name := p.of[tickets[i].at].name; leased {
						o, known := acts.Class(name)
						if !known {
							o = ClassRule{Deadline: o.Deadline}
						}
						tickets[i].bound = append(tickets[i].bound, o)
					}
				}
			case 1, 2:
				name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "offering")
				at, offered := p.Lookup(name)
				if !offered {
					continue
				}
				if o, known := acts.Class(name); leased && p.Capacity >= 8 && (!known || now[at] != o) {
					t.Fatalf("%s is admitted by %+v, in force is %+v", name, now[at], o)
				}
				p.Acquire(at)
				tickets = append(tickets, held{at: at, bound: []ClassRule{p.of[at].rule}, keyed: now[at].NeedsKey()})
			case 3:
				if len(tickets) > 0 {
					i := rapid.IntRange(0, len(tickets)-1).Draw(t, "ticket")
					p.Release(tickets[i].at)
					tickets = slices.Delete(tickets, i, i+1)
				}
			}
			for _, one := range tickets {
				is := now[one.at]
				if !leased && is.Repeatable {
					t.Fatalf("%+v is repeated without a lease", is)
				}
				if is.NeedsKey() && !one.keyed && !p.of[one.at].keyed {
					t.Fatalf("a ticket without a number goes by %+v", is)
				}
				for _, o := range one.bound {
					if strict(o, is) != is && is.Repeatable {
						t.Fatalf("a ticket bound by %+v goes by %+v", o, is)
					}
				}
			}
		}
	})
}

// Two sidecars and a book under random histories far longer than those explored: grants and versions late, lost and doubled, leaders that follow
// each other, changes, ones withdrawn, and texts gone back to. Never do two act by leased versions that have none in common.
func TestNoHistoryMakesTwoContradict(t *testing.T) {
	for range 30 { // a hundred histories each
		rapid.Check(t, history)
	}
}

func history(t *rapid.T) {
	const span, drift = 10, 0.1
	var book RevisionLog
	now := policy.Time(1)
	holders := make([]*LeaseClient, 3)
	for i := range holders {
		holders[i] = NewLeaseClient(uint32(i))
		holders[i].Add(RuleSet{Rules: version(1).Rules})
	}
	leader := NewLeaseIssuer(1, span, drift, 0, 0, now)
	old := []*LeaseIssuer{}
	type word struct {
		to    int
		ask   uint64
		knows []RevisionNumber
		came  policy.Time
		by    *LeaseIssuer
		grant *Lease
	}
	var way []word
	texts := 0
	answer := func(w word) (word, bool) {
		if w.by == leader {
			w.by.ConfirmTerm(now) // only the latest term finds most of the others
		}
		g, given := w.by.Issue(w.ask, w.knows, w.came)
		if !given {
			for _, p := range book.InForce() {
				holders[w.to].Add(RuleSet{Number: p.Number, Digest: p.Digest, Rules: version(1 + p.Number%2).Rules})
			}
		}
		return word{to: w.to, grant: &g}, given
	}
	for range rapid.IntRange(50, 300).Draw(t, "steps") {
		switch i := rapid.IntRange(0, 2).Draw(t, "who"); rapid.IntRange(0, 13).Draw(t, "step") {
		case 10, 11, 12, 13: // there and back at once
			by := leader
			if len(old) > 0 && rapid.IntRange(0, 3).Draw(t, "old leader") == 0 {
				by = old[len(old)-1]
			}
			ask, knows := holders[i].NewRequest(now)
			if w, given := answer(word{to: i, ask: ask, knows: knows, came: now, by: by}); given {
				holders[i].Accept(*w.grant)
			}
		case 0, 1, 2:
			now += policy.Time(rapid.IntRange(1, 4).Draw(t, "moments"))
		case 3, 4:
			ask, knows := holders[i].NewRequest(now)
			by := leader
			if len(old) > 0 && rapid.IntRange(0, 3).Draw(t, "old leader") == 0 {
				by = old[len(old)-1]
			}
			way = append(way, word{to: i, ask: ask, knows: knows, came: now, by: by})
		case 5, 6, 7:
			if len(way) == 0 {
				continue
			}
			at := rapid.IntRange(0, len(way)-1).Draw(t, "word")
			w := way[at]
			if rapid.IntRange(0, 4).Draw(t, "doubled") > 0 {
				way = slices.Delete(way, at, at+1)
			}
			if w.grant != nil {
				holders[w.to].Accept(*w.grant)
				continue
			}
			if w, given := answer(w); given {
				way = append(way, w)
			}
		case 8:
			texts++
			var err error
			if back := RevisionNumber(rapid.IntRange(0, 5).Draw(t, "back")); back > 0 && book.at(back) != nil && back != book.Active {
				err = book.ProposeRollback(back, Revision{}, book.LastNumber, book.Active)
			} else {
				err = book.Propose(Revision{Text: fmt.Append(nil, texts)}, book.LastNumber, book.Active)
			}
			if err == nil {
				leader.BeginChange(book.Next, now)
			} else if rapid.Bool().Draw(t, "withdrawn") && book.Withdraw(book.Next) == nil {
				leader.WithdrawChange()
			}
		case 9:
			if leader.ChangeReady(now) && book.Complete(book.Next) {
				leader.CompleteChange()
			} else if rapid.IntRange(0, 2).Draw(t, "next leader") == 0 {
				old = append(old, leader)
				leader = NewLeaseIssuer(leader.term+1, span, drift, book.Active, book.Next, now)
			}
		}
		for i, a := range holders {
			for _, b := range holders[:i] {
				_, l := a.Active(now)
				_, m := b.Active(now)
				if l && m && !slices.ContainsFunc(a.Leased(), func(n RevisionNumber) bool { return slices.Contains(b.Leased(), n) }) {
					t.Fatalf("at %d one acts by %v, another by %v, book %d %d", now, a.Leased(), b.Leased(), book.Active, book.Next)
				}
			}
		}
	}
}

func TestBookKeepsOneOrder(t *testing.T) {
	var b RevisionLog
	page := func(text string) Revision { return Revision{Text: []byte(text), Author: "a"} }
	if b.Propose(page("x"), 0, b.Active) != nil || b.Active != 0 || b.Next != 1 || b.Propose(page("y"), 1, b.Active) != ErrChangeInProgress {
		t.Fatalf("%+v", b)
	}
	if b.Complete(2) || !b.Complete(1) || b.Complete(1) || b.Active != 1 {
		t.Fatalf("%+v", b)
	}
	if err := b.Propose(page("y"), 0, b.Active); err == nil {
		t.Error("one that has not seen the latest is let in")
	}
	if err := b.Propose(page("x"), 1, b.Active); err == nil {
		t.Error("the text in force is let in")
	}
	if b.Propose(page("y"), 1, b.Active) != nil || b.Withdraw(1) != ErrNoChange || b.Withdraw(2) != nil || b.Active != 1 || b.Next != 1 {
		t.Fatalf("%+v", b)
	}
	if b.Propose(page("z"), 2, b.Active) != nil || !b.Complete(3) || b.ProposeRollback(9, Revision{}, 3, b.Active) == nil || b.ProposeRollback(1, Revision{}, 3, b.Active) != nil {
		t.Fatalf("%+v", b)
	}
	if of := b.InForce(); len(of) != 2 || string(of[0].Text) != "z" || string(of[1].Text) != "x" || of[1].RollbackOf != 1 || of[1].Number != 4 {
		t.Fatalf("%+v", of)
	}
	b.Complete(4)
	for i := range 2 * keptPages { // withdrawn ones must not push out what is in force
		if b.Propose(page(fmt.Sprint(i)), b.LastNumber, b.Active) != nil || b.Withdraw(b.Next) != nil {
			t.Fatalf("%+v", b)
		}
	}
	if of := b.InForce(); len(b.Revisions) != keptPages || len(of) != 1 || of[0].Number != 4 {
		t.Fatalf("%d pages, %+v", len(b.Revisions), of)
	}
}
