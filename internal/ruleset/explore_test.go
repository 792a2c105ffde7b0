package ruleset

import (
	"slices"
	"testing"

	"pepperlead/policy"
)

// This file explores every order of events of the lease protocol for a few ticks of time: lease requests, responses,
// lost messages, term confirmations, new leaders that the old one doesn't know of, a change of the revision, restarts
// of an instance and a slow clock.

const (
	leaseDuration = 1 // ticks
	lastTick      = 4 // time at which the exploration ends
	// clockDrift allows for a clock that loses one tick in three: the maximum lifetime of a lease, which is
	// policy.Time(1*(1+0.5))+1 = 2 ticks, covers the tick of the lease and the lost one.
	clockDrift = 0.5
)

// fault is a fault planted in the protocol, which the exploration must find.
type fault int

const (
	noFault                    fault = iota
	completeWithoutWaiting           // a change completes while leases of the old revision may be valid
	skipTermConfirmation             // leases are issued without a quorum round
	leaseStartsAtResponse            // the lease duration starts when the response arrives
	acceptResponseToOldRequest       // a response to any request is accepted
)

// bounds limits the events of one exploration.
type bounds struct {
	requests, leaders int
	clients           int  // 0: two
	slow              bool // the clock of the first instance may lose ticks
	restart           bool // the first instance may restart once
}

// requestInFlight is a lease request that its leader has not answered.
type requestInFlight struct {
	client, leader int
	id             uint64
	known          []RevisionNumber
}

// responseInFlight is a lease that has not reached its client.
type responseInFlight struct {
	client int
	lease  Lease
}

// state is the state of all instances and leaders. It holds clients and issuers by value, so that copies are
// independent.
type state struct {
	now          policy.Time
	lostTicks    policy.Time // ticks that the clock of the first instance has not counted
	lastLostTick policy.Time
	clients      []LeaseClient
	generations  []uint32
	leaders      []LeaseIssuer
	requests     []requestInFlight
	responses    []responseInFlight
	requestCount int
}

func (s state) copy() state {
	s.clients = slices.Clone(s.clients)
	for i := range s.clients {
		client := &s.clients[i]
		client.ruleSets = slices.Clone(client.ruleSets)
		client.leasedRevisions = slices.Clone(client.leasedRevisions)
	}
	s.generations, s.leaders = slices.Clone(s.generations), slices.Clone(s.leaders)
	s.requests, s.responses = slices.Clone(s.requests), slices.Clone(s.responses)
	return s
}

// key encodes the state, to recognise states that were visited before.
func (s *state) key() string {
	key := []byte{byte(s.now), byte(s.lostTicks), byte(s.lastLostTick), byte(s.requestCount), byte(s.generations[0])}
	for i := range s.clients {
		client := &s.clients[i]
		key = append(key, byte(client.term), byte(client.leaseExpiry), byte(client.lastRequestID),
			byte(client.lastRequestID>>32), byte(client.requestedAt), byte(len(client.leasedRevisions)))
		for _, number := range client.leasedRevisions {
			key = append(key, byte(number))
		}
	}
	for _, leader := range s.leaders {
		key = append(key, 'g', byte(leader.active), byte(leader.next), byte(leader.activeOnlyExpiry),
			byte(leader.confirmedAt))
	}
	for _, request := range s.requests {
		key = append(key, 'q', byte(request.client), byte(request.leader), byte(request.id), byte(request.id>>32))
	}
	for _, response := range s.responses {
		lease := response.lease
		key = append(key, 'a', byte(response.client), byte(lease.Term), byte(lease.RequestID),
			byte(lease.RequestID>>32), byte(len(lease.Revisions)), byte(lease.Revisions[0]))
	}
	return string(key)
}

// clock returns the time on the clock of an instance.
func (s *state) clock(client int) policy.Time {
	if client == 0 {
		return s.now - s.lostTicks
	}
	return s.now
}

// testRuleSet returns the rule set of a revision. Revision 2 allows less for class x and more for class y than the
// other revisions do, so that following the wrong one shows in either direction.
func testRuleSet(number RevisionNumber) RuleSet {
	rules := Rules{AnyEndpoint: true, Instances: 1, ColdCapacity: 1, OverloadMultiple: 1,
		Classes: []NamedClassRule{{"x", IdempotentRule(9)}, {"y", ClassRule{Deadline: 9}}}}
	if number == 2 {
		rules.Classes = []NamedClassRule{{"x", ClassRule{Deadline: 9}}, {"y", IdempotentRule(9)}}
	}
	return RuleSet{Number: number, Digest: [32]byte{byte(number)}, Rules: rules}
}

// contradicts reports whether one instance follows revision 2 alone and may do what revision 1 forbids, while another
// may do what revision 2 forbids.
func (s *state) contradicts() bool {
	for i := range s.clients {
		own, leased := s.clients[i].Active(s.clock(i))
		if revisions := s.clients[i].leasedRevisions; !leased || len(revisions) != 1 || revisions[0] != 2 {
			continue
		}
		for j := range s.clients {
			if other, _ := s.clients[j].Active(s.clock(j)); j != i && !testRuleSet(2).Rules.Allows(*other) &&
				!testRuleSet(1).Rules.Allows(*own) {
				return true
			}
		}
	}
	return false
}

// successors returns every state that one event leads to.
func (s state) successors(planted fault, limits bounds) (all []state) {
	// step adds the state that apply changes a copy of s to, if apply reports success.
	step := func(apply func(next *state) bool) {
		if next := s.copy(); apply(&next) {
			all = append(all, next)
		}
	}
	if s.now < lastTick {
		step(func(next *state) bool { next.now++; return true })
		if limits.slow && (s.lostTicks == 0 || s.now-s.lastLostTick >= 3) {
			step(func(next *state) bool { next.now++; next.lostTicks++; next.lastLostTick = next.now; return true })
		}
	}
	latest := len(s.leaders) - 1
	for client := range s.clients {
		if s.requestCount < limits.requests {
			for leader := range s.leaders {
				step(func(next *state) bool {
					next.requestCount++
					id, known := next.clients[client].NewRequest(next.clock(client))
					next.requests = append(next.requests, requestInFlight{client, leader, id, known})
					return true
				})
			}
		}
		if client == 0 && limits.restart && s.generations[0] == 0 && s.requestCount > 0 {
			step(func(next *state) bool { // the instance restarts with its stored rule sets
				next.generations[0]++
				restarted := NewLeaseClient(next.generations[0])
				restarted.ruleSets = next.clients[0].ruleSets
				restarted.recompute()
				next.clients[0] = *restarted
				return true
			})
		}
	}
	for i, request := range s.requests {
		step(func(next *state) bool {
			next.requests = slices.Delete(next.requests, i, i+1)
			issuer, received := &next.leaders[request.leader], next.now
			if request.leader == latest {
				issuer.ConfirmTerm(next.now) // a quorum round confirms only the latest term
			}
			if planted == skipTermConfirmation {
				received = -1
			}
			lease, issued := issuer.Issue(request.id, request.known, received)
			if issued {
				next.responses = append(next.responses, responseInFlight{request.client, lease})
			}
			return issued
		})
	}
	for i, response := range s.responses { // a response that is never delivered is a lost one
		step(func(next *state) bool {
			next.responses = slices.Delete(next.responses, i, i+1)
			client := &next.clients[response.client]
			if planted == leaseStartsAtResponse {
				client.requestedAt = next.clock(response.client)
			}
			if planted == acceptResponseToOldRequest {
				client.lastRequestID = response.lease.RequestID
			}
			return client.Accept(response.lease)
		})
	}
	issuer := &s.leaders[latest]
	if issuer.next == 1 {
		step(func(next *state) bool { return next.leaders[latest].BeginChange(2, next.now) })
	}
	if issuer.ChangeReady(s.now) || planted == completeWithoutWaiting && issuer.active != issuer.next {
		step(func(next *state) bool { next.leaders[latest].CompleteChange(); return true })
	}
	if len(s.leaders) < limits.leaders {
		step(func(next *state) bool {
			next.leaders = append(next.leaders,
				*NewLeaseIssuer(2, leaseDuration, clockDrift, issuer.active, issuer.next, next.now))
			return true
		})
	}
	return all
}

// explore visits every reachable state, up to maxStates, and returns how many it found. It stops at the first
// contradiction. complete reports whether it visited all of them.
func explore(planted fault, limits bounds, maxStates int) (states int, complete, contradiction bool) {
	initial := state{clients: make([]LeaseClient, max(2, limits.clients)), generations: make([]uint32, 2),
		leaders: []LeaseIssuer{*NewLeaseIssuer(1, leaseDuration, clockDrift, 1, 1, 0)}}
	for i := range initial.clients {
		client := NewLeaseClient(0)
		client.Add(testRuleSet(1))
		client.Add(testRuleSet(2))
		initial.clients[i] = *client
	}
	seen, queue := map[string]bool{initial.key(): true}, []state{initial}
	for len(queue) > 0 && len(seen) < maxStates {
		current := queue[0]
		queue = queue[1:]
		for _, next := range current.successors(planted, limits) {
			if key := next.key(); !seen[key] {
				seen[key] = true
				if next.contradicts() {
					return len(seen), false, true
				}
				queue = append(queue, next)
			}
		}
	}
	return len(seen), len(queue) == 0, false
}

// No order of events lets two instances follow contradicting revisions. With each planted fault some order does, which
// shows that the exploration can find contradictions.
func TestNoEventOrderLetsInstancesContradict(t *testing.T) {
	const maxStates = 2_000_000
	if raceDetector {
		if _, _, contradiction := explore(noFault, bounds{requests: 2, leaders: 2}, 10_000); contradiction {
			t.Error("two instances contradict each other")
		}
		return
	}
	for _, limits := range []bounds{{requests: 2, leaders: 2, clients: 3}, {requests: 2, leaders: 1, slow: true,
		restart: true}, {requests: 3, leaders: 1}} {
		states, complete, contradiction := explore(noFault, limits, maxStates)
		if t.Logf("%+v: %d states", limits, states); contradiction || !complete {
			t.Errorf("%+v: contradiction: %v, all states visited: %v", limits, contradiction, complete)
		}
	}
	for planted, limits := range map[fault]bounds{completeWithoutWaiting: {requests: 2, leaders: 1},
		skipTermConfirmation:       {requests: 2, leaders: 2},
		leaseStartsAtResponse:      {requests: 2, leaders: 1},
		acceptResponseToOldRequest: {requests: 3, leaders: 1}} {
		if states, _, contradiction := explore(planted, limits, maxStates); !contradiction {
			t.Errorf("fault %d was not found in %d states", planted, states)
		} else {
			t.Logf("fault %d found after %d states", planted, states)
		}
	}
}
