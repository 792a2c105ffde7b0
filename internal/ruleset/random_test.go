package ruleset

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"pepperlead/policy"
)

// drawRules draws rules of two classes, so that requests in flight meet every kind of change.
func drawRules(t *rapid.T) *Rules {
	r := &Rules{AnyEndpoint: true, Instances: 1, OverloadMultiple: 1}
	for _, name := range []string{"a", "b"} {
		o := ClassRule{Deadline: policy.Time(rapid.IntRange(1, 3).Draw(t, "deadline"))}
		switch rapid.IntRange(0, 3).Draw(t, "repeats") {
		case 0:
			continue
		case 1:
			o = IdempotentRule(o.Deadline)
		case 2:
			o = ClassRule{true, rapid.Bool().Draw(t, "zone"), rapid.Bool().Draw(t, "pod"),
				policy.Time(rapid.IntRange(1, 3).Draw(t, "window")), o.Deadline}
		}
		r.Classes = append(r.Classes, NamedClassRule{name, o})
	}
	return r
}

// Whatever changes, a request follows nothing that the revision which admitted it forbids, nor one that was in force
// since; new ones follow exactly what is in force; and without a lease nothing is retried.
func TestRequestsFollowTheirOwnRevisionOrAStricterOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type admitted struct {
			at    policy.ClassID
			bound []ClassRule
			keyed bool
		}
		table := ClassTable{Capacity: rapid.IntRange(2, 8).Draw(t, "slots")}
		requests := []admitted{}
		now := map[policy.ClassID]ClassRule{}
		active, leased := drawRules(t), true
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				active, leased = drawRules(t), rapid.IntRange(0, 3).Draw(t, "leased") > 0
				clear(now)
				table.Update(active, leased, func(at policy.ClassID, _ string, o ClassRule, _ bool) { now[at] = o })
				for i := range requests {
					if name := table.slots[requests[i].at].name; leased {
						o, known := active.Class(name)
						if !known {
							o = ClassRule{Deadline: o.Deadline}
						}
						requests[i].bound = append(requests[i].bound, o)
					}
				}
			case 1, 2:
				name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "class")
				at, offered := table.Lookup(name)
				if !offered {
					continue
				}
				if o, known := active.Class(name); leased && table.Capacity >= 8 && (!known || now[at] != o) {
					t.Fatalf("%s is admitted by %+v, in force is %+v", name, now[at], o)
				}
				table.Acquire(at)
				requests = append(requests, admitted{at: at, bound: []ClassRule{table.slots[at].rule},
					keyed: now[at].NeedsKey()})
			case 3:
				if len(requests) > 0 {
					i := rapid.IntRange(0, len(requests)-1).Draw(t, "request")
					table.Release(requests[i].at)
					requests = slices.Delete(requests, i, i+1)
				}
			}
			for _, one := range requests {
				is := now[one.at]
				if !leased && is.Repeatable {
					t.Fatalf("%+v is retried without a lease", is)
				}
				if is.NeedsKey() && !one.keyed && !table.slots[one.at].keyed {
					t.Fatalf("a request without a key follows %+v", is)
				}
				for _, o := range one.bound {
					if strictestClassRule(o, is) != is && is.Repeatable {
						t.Fatalf("a request bound by %+v follows %+v", o, is)
					}
				}
			}
		}
	})
}

// Three instances and a revision log under random histories far longer than those explored: leases and revisions late,
// lost and doubled, leaders that follow each other, changes, withdrawn ones, and rollbacks. Never do two act by leased
// revisions that have none in common.
func TestNoHistoryMakesTwoContradict(t *testing.T) {
	for range 30 { // a hundred histories each
		rapid.Check(t, randomHistory)
	}
}

func randomHistory(t *rapid.T) {
	const span, drift = 10, 0.1
	var revisionLog RevisionLog
	now := policy.Time(1)
	clients := make([]*LeaseClient, 3)
	for i := range clients {
		clients[i] = NewLeaseClient(uint32(i))
		clients[i].Add(RuleSet{Rules: ruleSetNumbered(1).Rules})
	}
	leader := NewLeaseIssuer(1, span, drift, 0, 0, now)
	old := []*LeaseIssuer{}
	type message struct {
		to    int
		id    uint64
		known []RevisionNumber
		came  policy.Time
		by    *LeaseIssuer
		lease *Lease
	}
	var inTransit []message
	texts := 0
	answer := func(w message) (message, bool) {
		if w.by == leader {
			w.by.ConfirmTerm(now) // only the latest term finds most of the others
		}
		g, issued := w.by.Issue(w.id, w.known, w.came)
		if !issued {
			for _, p := range revisionLog.InForce() {
				clients[w.to].Add(RuleSet{Number: p.Number, Digest: p.Digest,
					Rules: ruleSetNumbered(1 + p.Number%2).Rules})
			}
		}
		return message{to: w.to, lease: &g}, issued
	}
	for range rapid.IntRange(50, 300).Draw(t, "steps") {
		switch i := rapid.IntRange(0, 2).Draw(t, "who"); rapid.IntRange(0, 13).Draw(t, "step") {
		case 10, 11, 12, 13: // there and back at once
			by := leader
			if len(old) > 0 && rapid.IntRange(0, 3).Draw(t, "old leader") == 0 {
				by = old[len(old)-1]
			}
			id, known := clients[i].NewRequest(now)
			if w, issued := answer(message{to: i, id: id, known: known, came: now, by: by}); issued {
				clients[i].Accept(*w.lease)
			}
		case 0, 1, 2:
			now += policy.Time(rapid.IntRange(1, 4).Draw(t, "moments"))
		case 3, 4:
			id, known := clients[i].NewRequest(now)
			by := leader
			if len(old) > 0 && rapid.IntRange(0, 3).Draw(t, "old leader") == 0 {
				by = old[len(old)-1]
			}
			inTransit = append(inTransit, message{to: i, id: id, known: known, came: now, by: by})
		case 5, 6, 7:
			if len(inTransit) == 0 {
				continue
			}
			at := rapid.IntRange(0, len(inTransit)-1).Draw(t, "message")
			w := inTransit[at]
			if rapid.IntRange(0, 4).Draw(t, "doubled") > 0 {
				inTransit = slices.Delete(inTransit, at, at+1)
			}
			if w.lease != nil {
				clients[w.to].Accept(*w.lease)
				continue
			}
			if w, issued := answer(w); issued {
				inTransit = append(inTransit, w)
			}
		case 8:
			texts++
			var err error
			if back := RevisionNumber(rapid.IntRange(0, 5).Draw(t, "back")); back > 0 &&
				revisionLog.find(back) != nil && back != revisionLog.Active {
				err = revisionLog.ProposeRollback(back, Revision{}, revisionLog.LastNumber, revisionLog.Active)
			} else {
				err = revisionLog.Propose(Revision{Text: fmt.Append(nil, texts)}, revisionLog.LastNumber,
					revisionLog.Active)
			}
			if err == nil {
				leader.BeginChange(revisionLog.Next, now)
			} else if rapid.Bool().Draw(t, "withdrawn") && revisionLog.Withdraw(revisionLog.Next) == nil {
				leader.WithdrawChange()
			}
		case 9:
			if leader.ChangeReady(now) && revisionLog.Complete(revisionLog.Next) {
				leader.CompleteChange()
			} else if rapid.IntRange(0, 2).Draw(t, "next leader") == 0 {
				old = append(old, leader)
				leader = NewLeaseIssuer(leader.term+1, span, drift, revisionLog.Active, revisionLog.Next, now)
			}
		}
		for i, a := range clients {
			for _, b := range clients[:i] {
				_, l := a.Active(now)
				_, m := b.Active(now)
				if l && m && !slices.ContainsFunc(a.Leased(),
					func(n RevisionNumber) bool { return slices.Contains(b.Leased(), n) }) {
					t.Fatalf("at %d one acts by %v, another by %v, revision log %d %d", now, a.Leased(), b.Leased(),
						revisionLog.Active, revisionLog.Next)
				}
			}
		}
	}
}

func TestRevisionLogKeepsOneOrder(t *testing.T) {
	var log RevisionLog
	revision := func(text string) Revision { return Revision{Text: []byte(text), Author: "a"} }
	if log.Propose(revision("x"), 0, log.Active) != nil || log.Active != 0 || log.Next != 1 ||
		log.Propose(revision("y"), 1, log.Active) != ErrChangeInProgress {
		t.Fatalf("%+v", log)
	}
	if log.Complete(2) || !log.Complete(1) || log.Complete(1) || log.Active != 1 {
		t.Fatalf("%+v", log)
	}
	if err := log.Propose(revision("y"), 0, log.Active); err == nil {
		t.Error("one that has not seen the latest is let in")
	}
	if err := log.Propose(revision("x"), 1, log.Active); err == nil {
		t.Error("the text in force is let in")
	}
	if log.Propose(revision("y"), 1, log.Active) != nil || log.Withdraw(1) != ErrNoChange || log.Withdraw(2) != nil ||
		log.Active != 1 || log.Next != 1 {
		t.Fatalf("%+v", log)
	}
	if log.Propose(revision("z"), 2, log.Active) != nil || !log.Complete(3) ||
		log.ProposeRollback(9, Revision{}, 3, log.Active) == nil ||
		log.ProposeRollback(1, Revision{}, 3, log.Active) != nil {
		t.Fatalf("%+v", log)
	}
	if active := log.InForce(); len(active) != 2 || string(active[0].Text) != "z" || string(active[1].Text) != "x" ||
		active[1].RollbackOf != 1 || active[1].Number != 4 {
		t.Fatalf("%+v", active)
	}
	log.Complete(4)
	for i := range 2 * maxRevisions { // withdrawn ones must not push out what is in force
		if log.Propose(revision(fmt.Sprint(i)), log.LastNumber, log.Active) != nil || log.Withdraw(log.Next) != nil {
			t.Fatalf("%+v", log)
		}
	}
	if active := log.InForce(); len(log.Revisions) != maxRevisions || len(active) != 1 || active[0].Number != 4 {
		t.Fatalf("%d revisions, %+v", len(log.Revisions), active)
	}
}
