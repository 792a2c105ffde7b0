package ruleset

import (
	"slices"
	"testing"

	"pepperlead/policy"
)

// What is explored: every order of requests, answers, losses, confirmations, leaders that follow each other without the
// old one knowing, a change of revisions, instances that restart, and a clock that runs slow, for some moments of time.

const (
	leaseDuration = 1 // moments of a lease
	lastMoment    = 4 // last
	// A clock that loses one moment in three: longest = 1*(1+0.5)+1 covers the moment of the asker and the one lost.
	clockDrift = 0.5
)

// fault is one planted in the machines, which the exploration must find.
type fault int

const (
	noFault fault = iota
	noWait
	noTermConfirmation
	leaseFromAnswer
	acceptAnyAnswer
)

// bounds say how much may happen in one exploration.
type bounds struct {
	requests, leaders int
	clients           int  // 0: two
	slow, restart     bool // the first instance's clock loses moments; it restarts once
}

type leaseRequest struct {
	client, leader int
	id             uint64
	known          []RevisionNumber
}

type leaseAnswer struct {
	client int
	lease  Lease
}

// state is the state of all instances and leaders. Clients and issuers are values, so a copy is a state of its own.
type state struct {
	now          policy.Time
	lost         policy.Time // moments that the first instance's clock has not counted
	lastLost     policy.Time
	clients      []LeaseClient
	generations  []uint32
	leaders      []LeaseIssuer
	requests     []leaseRequest
	answers      []leaseAnswer
	requestCount int
}

func (s state) copy() state {
	s.clients = slices.Clone(s.clients)
	for i := range s.clients {
		client := &s.clients[i]
		client.known = slices.Clone(client.known)
		client.leasedRevisions = slices.Clone(client.leasedRevisions)
	}
	s.generations, s.leaders = slices.Clone(s.generations), slices.Clone(s.leaders)
	s.requests, s.answers = slices.Clone(s.requests), slices.Clone(s.answers)
	return s
}

func (s *state) key() string {
	k := []byte{byte(s.now), byte(s.lost), byte(s.lastLost), byte(s.requestCount), byte(s.generations[0])}
	for i := range s.clients {
		h := &s.clients[i]
		k = append(k, byte(h.term), byte(h.leaseExpiry), byte(h.lastRequestID), byte(h.lastRequestID>>32),
			byte(h.requestedAt), byte(len(h.leasedRevisions)))
		for _, n := range h.leasedRevisions {
			k = append(k, byte(n))
		}
	}
	for _, g := range s.leaders {
		k = append(k, 'g', byte(g.active), byte(g.next), byte(g.activeOnlyExpiry), byte(g.confirmedAt))
	}
	for _, q := range s.requests {
		k = append(k, 'q', byte(q.client), byte(q.leader), byte(q.id), byte(q.id>>32))
	}
	for _, a := range s.answers {
		k = append(k, 'a', byte(a.client), byte(a.lease.Term), byte(a.lease.RequestID), byte(a.lease.RequestID>>32),
			byte(len(a.lease.Revisions)), byte(a.lease.Revisions[0]))
	}
	return string(k)
}

func (s *state) clock(i int) policy.Time {
	if i == 0 {
		return s.now - s.lost
	}
	return s.now
}

func ruleSetNumbered(n RevisionNumber) RuleSet {
	// 2 allows less of x and more of y than 1 does, so either way of acting by the wrong one shows.
	r := Rules{AnyEndpoint: true, Instances: 1, ColdCapacity: 1, OverloadMultiple: 1,
		Classes: []NamedClassRule{{"x", IdempotentRule(9)}, {"y", ClassRule{Deadline: 9}}}}
	if n == 2 {
		r.Classes = []NamedClassRule{{"x", ClassRule{Deadline: 9}}, {"y", IdempotentRule(9)}}
	}
	return RuleSet{Number: n, Digest: [32]byte{byte(n)}, Rules: r}
}

// contradicts looks for an instance that acts by the new revision alone, beside one that may do what it forbids, or the
// other way round.
func (s *state) contradicts() bool {
	for i := range s.clients {
		mine, leased := s.clients[i].Active(s.clock(i))
		if of := s.clients[i].leasedRevisions; !leased || len(of) != 1 || of[0] != 2 {
			continue
		}
		for j := range s.clients {
			if other, _ := s.clients[j].Active(s.clock(j)); j != i && !ruleSetNumbered(2).Rules.Allows(*other) &&
				!ruleSetNumbered(1).Rules.Allows(*mine) {
				return true
			}
		}
	}
	return false
}

// next gives every state that one step leads to.
func (s state) next(f fault, b bounds) (all []state) {
	step := func(do func(n *state) bool) {
		if n := s.copy(); do(&n) {
			all = append(all, n)
		}
	}
	if s.now < lastMoment {
		step(func(n *state) bool { n.now++; return true })
		if b.slow && (s.lost == 0 || s.now-s.lastLost >= 3) {
			step(func(n *state) bool { n.now++; n.lost++; n.lastLost = n.now; return true })
		}
	}
	last := len(s.leaders) - 1
	for i := range s.clients {
		if s.requestCount < b.requests {
			for l := range s.leaders {
				step(func(n *state) bool {
					n.requestCount++
					ask, knows := n.clients[i].NewRequest(n.clock(i))
					n.requests = append(n.requests, leaseRequest{i, l, ask, knows})
					return true
				})
			}
		}
		if i == 0 && b.restart && s.generations[0] == 0 && s.requestCount > 0 {
			step(func(n *state) bool { // starts again, with what it kept of versions
				n.generations[0]++
				h := NewLeaseClient(n.generations[0])
				h.known = n.clients[0].known
				h.recompute()
				n.clients[0] = *h
				return true
			})
		}
	}
	for q, of := range s.requests {
		step(func(n *state) bool {
			n.requests = slices.Delete(n.requests, q, q+1)
			g, came := &n.leaders[of.leader], n.now
			if of.leader == last {
				g.ConfirmTerm(n.now) // a round of the group finds only the latest term confirmed
			}
			if f == noTermConfirmation {
				came = -1
			}
			lease, issued := g.Issue(of.id, of.known, came)
			if issued {
				n.answers = append(n.answers, leaseAnswer{of.client, lease})
			}
			return issued
		})
	}
	for a, of := range s.answers { // one that is lost never comes
		step(func(n *state) bool {
			n.answers = slices.Delete(n.answers, a, a+1)
			h := &n.clients[of.client]
			if f == leaseFromAnswer {
				h.requestedAt = n.clock(of.client)
			}
			if f == acceptAnyAnswer {
				h.lastRequestID = of.lease.RequestID
			}
			return h.Accept(of.lease)
		})
	}
	g := &s.leaders[last]
	if g.next == 1 {
		step(func(n *state) bool { return n.leaders[last].BeginChange(2, n.now) })
	}
	if g.ChangeReady(s.now) || f == noWait && g.active != g.next {
		step(func(n *state) bool { n.leaders[last].CompleteChange(); return true })
	}
	if len(s.leaders) < b.leaders {
		step(func(n *state) bool {
			n.leaders = append(n.leaders, *NewLeaseIssuer(2, leaseDuration, clockDrift, g.active, g.next, n.now))
			return true
		})
	}
	return all
}

// explore looks at every state that can be reached, and counts them. It ends at the first contradiction.
func explore(f fault, b bounds, most int) (states int, complete, found bool) {
	first := state{clients: make([]LeaseClient, max(2, b.clients)), generations: make([]uint32, 2),
		leaders: []LeaseIssuer{*NewLeaseIssuer(1, leaseDuration, clockDrift, 1, 1, 0)}}
	for i := range first.clients {
		h := NewLeaseClient(0)
		h.Add(ruleSetNumbered(1))
		h.Add(ruleSetNumbered(2))
		first.clients[i] = *h
	}
	seen, open := map[string]bool{first.key(): true}, []state{first}
	for len(open) > 0 && len(seen) < most {
		s := open[0]
		open = open[1:]
		for _, n := range s.next(f, b) {
			if k := n.key(); !seen[k] {
				seen[k] = true
				if n.contradicts() {
					return len(seen), false, true
				}
				open = append(open, n)
			}
		}
	}
	return len(seen), len(open) == 0, false
}

func TestNoOrderOfEventsMakesTwoContradict(t *testing.T) {
	const most = 2_000_000
	if raceDetector {
		if _, _, found := explore(noFault, bounds{requests: 2, leaders: 2}, 10_000); found {
			t.Error("a contradiction")
		}
		return
	}
	for _, b := range []bounds{{requests: 2, leaders: 2, clients: 3}, {requests: 2, leaders: 1, slow: true,
		restart: true}, {requests: 3, leaders: 1}} {
		states, complete, found := explore(noFault, b, most)
		if t.Logf("%+v: %d states", b, states); found || !complete {
			t.Errorf("%+v: a contradiction: %v, all looked at: %v", b, found, complete)
		}
	}
	for f, b := range map[fault]bounds{noWait: {requests: 2, leaders: 1}, noTermConfirmation: {requests: 2, leaders: 2},
		leaseFromAnswer: {requests: 2, leaders: 1},
		acceptAnyAnswer: {requests: 3, leaders: 1}} {
		if states, _, found := explore(f, b, most); !found {
			t.Errorf("fault %d was not found in %d states", f, states)
		} else {
			t.Logf("fault %d found after %d states", f, states)
		}
	}
}
