package ruleset

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"pepperlead/policy"
)

// drawRules draws rules for up to two classes. They are so few that most changes affect requests in flight.
func drawRules(t *rapid.T) *Rules {
	rules := &Rules{AnyEndpoint: true, Instances: 1, OverloadMultiple: 1}
	for _, name := range []string{"a", "b"} {
		rule := ClassRule{Deadline: policy.Time(rapid.IntRange(1, 3).Draw(t, "deadline"))}
		switch rapid.IntRange(0, 3).Draw(t, "kind of rule") {
		case 0:
			continue
		case 1:
			rule = IdempotentRule(rule.Deadline)
		case 2:
			rule = ClassRule{true, rapid.Bool().Draw(t, "zone"), rapid.Bool().Draw(t, "cell"),
				policy.Time(rapid.IntRange(1, 3).Draw(t, "window")), rule.Deadline}
		}
		rules.Classes = append(rules.Classes, NamedClassRule{name, rule})
	}
	return rules
}

// Across random changes of the rules, a request is never allowed anything that is forbidden by the revision it was
// admitted under or by a revision that came into force later. New requests follow exactly the rules in force, unless
// requests in flight occupy every slot, and without a lease nothing is retried.
func TestRequestsFollowTheirOwnRevisionOrAStricterOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type admittedRequest struct {
			slot  policy.ClassID
			bound []ClassRule // the rules of its class in the revisions in force since it was admitted
			keyed bool
		}
		table := ClassTable{Capacity: rapid.IntRange(2, 8).Draw(t, "slots")}
		requests := []admittedRequest{}
		current := map[policy.ClassID]ClassRule{}
		active, leased := drawRules(t), true
		spare := true // whether the latest update left a slot free, so that no class can have found none
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				active, leased = drawRules(t), rapid.IntRange(0, 3).Draw(t, "leased") > 0
				clear(current)
				table.Update(active, leased, func(slot policy.ClassID, _ string, rule ClassRule, _ bool) {
					current[slot] = rule
				})
				spare = len(table.slots) < table.Capacity || slices.ContainsFunc(table.slots, func(s classSlot) bool { return s.free() })
				for i := range requests {
					if name := table.slots[requests[i].slot].name; leased {
						rule, known := active.Class(name)
						if !known {
							rule = ClassRule{Deadline: rule.Deadline}
						}
						requests[i].bound = append(requests[i].bound, rule)
					}
				}
			case 1, 2:
				name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "class")
				slot, admitting := table.Lookup(name)
				if !admitting {
					continue
				}
				if rule, known := active.Class(name); leased && spare &&
					(!known || current[slot] != rule) {
					t.Fatalf("class %s is admitted under %+v, but %+v is in force", name, current[slot], rule)
				}
				table.Acquire(slot)
				requests = append(requests, admittedRequest{slot: slot, bound: []ClassRule{table.slots[slot].rule},
					keyed: current[slot].NeedsKey()})
			case 3:
				if len(requests) > 0 {
					i := rapid.IntRange(0, len(requests)-1).Draw(t, "request")
					table.Release(requests[i].slot)
					requests = slices.Delete(requests, i, i+1)
				}
			}
			for _, request := range requests {
				followed := current[request.slot]
				if !leased && followed.Repeatable {
					t.Fatalf("%+v allows retries without a lease", followed)
				}
				if followed.NeedsKey() && !request.keyed && !table.slots[request.slot].keyed {
					t.Fatalf("a request without a key follows %+v", followed)
				}
				for _, rule := range request.bound {
					if strictestClassRule(rule, followed) != followed && followed.Repeatable {
						t.Fatalf("a request bound by %+v follows %+v", rule, followed)
					}
				}
			}
		}
	})
}

// Any two instances with valid leases have a leased revision in common. The random histories are far longer than those
// of explore: messages are delayed, lost and duplicated, leaders replaced, changes withdrawn and revisions rolled back.
func TestRandomHistoriesKeepLeasesConsistent(t *testing.T) {
	for range 30 { // rapid runs a hundred histories per check
		rapid.Check(t, randomHistory)
	}
}

// randomHistory runs three instances, a revision log and its leaders through one random history.
func randomHistory(t *rapid.T) {
	const duration, drift = 10, 0.1
	var revisionLog RevisionLog
	now := policy.Time(1)
	clients := make([]*LeaseClient, 3)
	for i := range clients {
		clients[i] = NewLeaseClient(uint32(i))
		clients[i].Add(RuleSet{Rules: testRuleSet(1).Rules})
	}
	leader := NewLeaseIssuer(1, duration, drift, 0, 0, now)
	formerLeaders := []*LeaseIssuer{}
	type message struct { // a lease, or else a request for one
		client   int
		id       uint64
		known    []RevisionNumber
		received policy.Time
		issuer   *LeaseIssuer
		lease    *Lease
	}
	var inFlight []message
	texts := 0
	answer := func(request message) (message, bool) {
		if request.issuer == leader {
			request.issuer.ConfirmTerm(now) // only the latest term finds a quorum
		}
		lease, issued := request.issuer.Issue(request.id, request.known, request.received)
		if !issued {
			for _, revision := range revisionLog.InForce() {
				clients[request.client].Add(RuleSet{Number: revision.Number, Digest: revision.Digest,
					Rules: testRuleSet(1 + revision.Number%2).Rules})
			}
		}
		return message{client: request.client, lease: &lease}, issued
	}
	for range rapid.IntRange(50, 300).Draw(t, "steps") {
		switch client := rapid.IntRange(0, 2).Draw(t, "client"); rapid.IntRange(0, 13).Draw(t, "step") {
		case 10, 11, 12, 13: // a request that is answered at once
			issuer := leader
			if len(formerLeaders) > 0 && rapid.IntRange(0, 3).Draw(t, "former leader") == 0 {
				issuer = formerLeaders[len(formerLeaders)-1]
			}
			id, known := clients[client].NewRequest(now)
			request := message{client: client, id: id, known: known, received: now, issuer: issuer}
			if response, issued := answer(request); issued {
				clients[client].Accept(*response.lease)
			}
		case 0, 1, 2: // time passes
			now += policy.Time(rapid.IntRange(1, 4).Draw(t, "ticks"))
		case 3, 4: // a request is sent
			id, known := clients[client].NewRequest(now)
			issuer := leader
			if len(formerLeaders) > 0 && rapid.IntRange(0, 3).Draw(t, "former leader") == 0 {
				issuer = formerLeaders[len(formerLeaders)-1]
			}
			inFlight = append(inFlight, message{client: client, id: id, known: known, received: now, issuer: issuer})
		case 5, 6, 7: // a message arrives, and may arrive again
			if len(inFlight) == 0 {
				continue
			}
			i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "message")
			arrived := inFlight[i]
			if rapid.IntRange(0, 4).Draw(t, "duplicated") > 0 {
				inFlight = slices.Delete(inFlight, i, i+1)
			}
			if arrived.lease != nil {
				clients[arrived.client].Accept(*arrived.lease)
				continue
			}
			if response, issued := answer(arrived); issued {
				inFlight = append(inFlight, response)
			}
		case 8: // a revision is proposed or withdrawn
			texts++
			var err error
			if target := RevisionNumber(rapid.IntRange(0, 5).Draw(t, "rollback")); target > 0 &&
				revisionLog.find(target) != nil && target != revisionLog.Active {
				err = revisionLog.ProposeRollback(target, Revision{}, revisionLog.LastNumber, revisionLog.Active)
			} else {
				err = revisionLog.Propose(Revision{Text: fmt.Append(nil, texts)}, revisionLog.LastNumber,
					revisionLog.Active)
			}
			if err == nil {
				leader.BeginChange(revisionLog.Next, now)
			} else if rapid.Bool().Draw(t, "withdrawn") && revisionLog.Withdraw(revisionLog.Next) == nil {
				leader.WithdrawChange()
			}
		case 9: // a change completes, or a new leader takes over
			if leader.ChangeReady(now) && revisionLog.Complete(revisionLog.Next) {
				leader.CompleteChange()
			} else if rapid.IntRange(0, 2).Draw(t, "next leader") == 0 {
				formerLeaders = append(formerLeaders, leader)
				leader = NewLeaseIssuer(leader.term+1, duration, drift, revisionLog.Active, revisionLog.Next, now)
			}
		}
		for i, a := range clients {
			for _, b := range clients[:i] {
				_, aLeased := a.Active(now)
				_, bLeased := b.Active(now)
				if aLeased && bLeased && !slices.ContainsFunc(a.LeasedRevisions(),
					func(number RevisionNumber) bool { return slices.Contains(b.LeasedRevisions(), number) }) {
					t.Fatalf("time %d: one instance follows revisions %v, another %v; active %d, next %d", now,
						a.LeasedRevisions(), b.LeasedRevisions(), revisionLog.Active, revisionLog.Next)
				}
			}
		}
	}
}

// The log accepts one change at a time, on top of the latest revision only, and keeps the active revision however many
// are withdrawn after it.
func TestRevisionLogKeepsOneOrder(t *testing.T) {
	var log RevisionLog
	revision := func(text string) Revision { return Revision{Text: []byte(text), Author: "a"} }
	if log.Propose(revision("x"), 0, log.Active) != nil || log.Active != 0 || log.Next != 1 ||
		log.Propose(revision("y"), 1, log.Active) != ErrChangeInProgress {
		t.Fatalf("unexpected revision log or error; log: %+v", log)
	}
	if log.Complete(2) || !log.Complete(1) || log.Complete(1) || log.Active != 1 {
		t.Fatalf("unexpected revision log or error; log: %+v", log)
	}
	if err := log.Propose(revision("y"), 0, log.Active); err == nil {
		t.Error("a proposal whose author did not know the latest revision is accepted")
	}
	if err := log.Propose(revision("x"), 1, log.Active); err == nil {
		t.Error("a proposal with the text in force is accepted")
	}
	if log.Propose(revision("y"), 1, log.Active) != nil || log.Withdraw(1) != ErrNoChange || log.Withdraw(2) != nil ||
		log.Active != 1 || log.Next != 1 {
		t.Fatalf("unexpected revision log or error; log: %+v", log)
	}
	if log.Propose(revision("z"), 2, log.Active) != nil || !log.Complete(3) ||
		log.ProposeRollback(9, Revision{}, 3, log.Active) == nil ||
		log.ProposeRollback(1, Revision{}, 3, log.Active) != nil {
		t.Fatalf("unexpected revision log or error; log: %+v", log)
	}
	if active := log.InForce(); len(active) != 2 || string(active[0].Text) != "z" || string(active[1].Text) != "x" ||
		active[1].RollbackOf != 1 || active[1].Number != 4 {
		t.Fatalf("unexpected revisions in force: %+v", active)
	}
	log.Complete(4)
	for i := range 2 * maxRevisions { // withdrawn revisions must not push out the active one
		if log.Propose(revision(fmt.Sprint(i)), log.LastNumber, log.Active) != nil || log.Withdraw(log.Next) != nil {
			t.Fatalf("unexpected revision log or error; log: %+v", log)
		}
	}
	if active := log.InForce(); len(log.Revisions) != maxRevisions || len(active) != 1 || active[0].Number != 4 {
		t.Fatalf("the log has %d revisions, in force are %+v", len(log.Revisions), active)
	}
}
