package ruleset

import (
	"slices"
	"testing"

	"pepperlead/policy"
)

// What is explored: every order of questions, answers, losses, repeats, confirmations, leaders that follow each other without the old
// one knowing, a change of versions, sidecars that start again, and a clock that runs slow, for some moments of time.

const (
	span   = 1 // moments of a grant
	moment = 4 // last
	// A clock that loses one moment in three: longest = 1*(1+0.5)+1 covers the moment of the asker and the one lost.
	drift = 0.5
)

// fault is one planted in the machines, which the exploration must find.
type fault int

const (
	none fault = iota
	noWait
	noConfirming
	fromAnswer
	anyAnswer
)

// bounds say how much may happen in one exploration.
type bounds struct {
	asks, leaders int
	holders       int  // 0: two
	slow, restart bool // the first sidecar's clock loses moments; it starts again once
}

type question struct {
	holder, leader int
	ask            uint64
	knows          []RevisionNumber
}

type answer struct {
	holder int
	grant  Lease
}

// scene is a state of all. Holders and granters are values, so a copy is a scene of its own.
type scene struct {
	now       policy.Time
	lost      policy.Time // moments that the first sidecar's clock has not counted
	lastLost  policy.Time
	holders   []LeaseClient
	lives     []uint32
	leaders   []LeaseIssuer
	questions []question
	answers   []answer
	asks      int
}

func (s scene) copy() scene {
	s.holders = slices.Clone(s.holders)
	for i := range s.holders {
		s.holders[i].known, s.holders[i].of = slices.Clone(s.holders[i].known), slices.Clone(s.holders[i].of)
	}
	s.lives, s.leaders = slices.Clone(s.lives), slices.Clone(s.leaders)
	s.questions, s.answers = slices.Clone(s.questions), slices.Clone(s.answers)
	return s
}

func (s *scene) key() string {
	k := []byte{byte(s.now), byte(s.lost), byte(s.lastLost), byte(s.asks), byte(s.lives[0])}
	for i := range s.holders {
		h := &s.holders[i]
		k = append(k, byte(h.term), byte(h.till), byte(h.asked), byte(h.asked>>32), byte(h.sentAt), byte(len(h.of)))
		for _, n := range h.of {
			k = append(k, byte(n))
		}
	}
	for _, g := range s.leaders {
		k = append(k, 'g', byte(g.old), byte(g.new), byte(g.alone), byte(g.sure))
	}
	for _, q := range s.questions {
		k = append(k, 'q', byte(q.holder), byte(q.leader), byte(q.ask), byte(q.ask>>32))
	}
	for _, a := range s.answers {
		k = append(k, 'a', byte(a.holder), byte(a.grant.Term), byte(a.grant.RequestID), byte(a.grant.RequestID>>32), byte(len(a.grant.Revisions)), byte(a.grant.Revisions[0]))
	}
	return string(k)
}

func (s *scene) clock(i int) policy.Time {
	if i == 0 {
		return s.now - s.lost
	}
	return s.now
}

func version(n RevisionNumber) RuleSet {
	// 2 allows less of x and more of y than 1 does, so either way of acting by the wrong one shows.
	r := Rules{AnyEndpoint: true, Instances: 1, ColdCapacity: 1, OverloadMultiple: 1, Classes: []NamedClassRule{{"x", IdempotentRule(9)}, {"y", ClassRule{Deadline: 9}}}}
	if n == 2 {
		r.Classes = []NamedClassRule{{"x", ClassRule{Deadline: 9}}, {"y", IdempotentRule(9)}}
	}
	return RuleSet{Number: n, Digest: [32]byte{byte(n)}, Rules: r}
}

// contradicts looks for a sidecar that acts by the new version alone, beside one that may do what it forbids, or the other way round.
func (s *scene) contradicts() bool {
	for i := range s.holders {
		mine, leased := s.holders[i].Active(s.clock(i))
		if of := s.holders[i].of; !leased || len(of) != 1 || of[0] != 2 {
			continue
		}
		for j := range s.holders {
			if other, _ := s.holders[j].Active(s.clock(j)); j != i && !version(2).Rules.Allows(*other) && !version(1).Rules.Allows(*mine) {
				return true
			}
		}
	}
	return false
}

// next gives every scene that one step leads to.
func (s scene) next(f fault, b bounds) (all []scene) {
	step := func(do func(n *scene) bool) {
		if n := s.copy(); do(&n) {
			all = append(all, n)
		}
	}
	if s.now < moment {
		step(func(n *scene) bool { n.now++; return true })
		if b.slow && (s.lost == 0 || s.now-s.lastLost >= 3) {
			step(func(n *scene) bool { n.now++; n.lost++; n.lastLost = n.now; return true })
		}
	}
	last := len(s.leaders) - 1
	for i := range s.holders {
		if s.asks < b.asks {
			for l := range s.leaders {
				step(func(n *scene) bool {
					n.asks++
					ask, knows := n.holders[i].NewRequest(n.clock(i))
					n.questions = append(n.questions, question{i, l, ask, knows})
					return true
				})
			}
		}
		if i == 0 && b.restart && s.lives[0] == 0 && s.asks > 0 {
			step(func(n *scene) bool { // starts again, with what it kept of versions
				n.lives[0]++
				h := NewLeaseClient(n.lives[0])
				h.known = n.holders[0].known
				h.settle()
				n.holders[0] = *h
				return true
			})
		}
	}
	for q, of := range s.questions {
		step(func(n *scene) bool {
			n.questions = slices.Delete(n.questions, q, q+1)
			g, came := &n.leaders[of.leader], n.now
			if of.leader == last {
				g.ConfirmTerm(n.now) // a round of the group finds only the latest term confirmed
			}
			if f == noConfirming {
				came = -1
			}
			grant, given := g.Issue(of.ask, of.knows, came)
			if given {
				n.answers = append(n.answers, answer{of.holder, grant})
			}
			return given
		})
	}
	for a, of := range s.answers { // one that is lost never comes
		step(func(n *scene) bool {
			n.answers = slices.Delete(n.answers, a, a+1)
			h := &n.holders[of.holder]
			if f == fromAnswer {
				h.sentAt = n.clock(of.holder)
			}
			if f == anyAnswer {
				h.asked = of.grant.RequestID
			}
			return h.Accept(of.grant)
		})
	}
	g := &s.leaders[last]
	if g.new == 1 {
		step(func(n *scene) bool { return n.leaders[last].BeginChange(2, n.now) })
	}
	if g.ChangeReady(s.now) || f == noWait && g.old != g.new {
		step(func(n *scene) bool { n.leaders[last].CompleteChange(); return true })
	}
	if len(s.leaders) < b.leaders {
		step(func(n *scene) bool {
			n.leaders = append(n.leaders, *NewLeaseIssuer(2, span, drift, g.old, g.new, n.now))
			return true
		})
	}
	return all
}

// explore looks at every scene that can be reached, and counts them. It ends at the first contradiction.
func explore(f fault, b bounds, most int) (scenes int, whole, found bool) {
	first := scene{holders: make([]LeaseClient, max(2, b.holders)), lives: make([]uint32, 2), leaders: []LeaseIssuer{*NewLeaseIssuer(1, span, drift, 1, 1, 0)}}
	for i := range first.holders {
		h := NewLeaseClient(0)
		h.Add(version(1))
		h.Add(version(2))
		first.holders[i] = *h
	}
	seen, open := map[string]bool{first.key(): true}, []scene{first}
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
	if raced {
		if _, _, found := explore(none, bounds{asks: 2, leaders: 2}, 10_000); found {
			t.Error("a contradiction")
		}
		return
	}
	for _, b := range []bounds{{asks: 2, leaders: 2, holders: 3}, {asks: 2, leaders: 1, slow: true, restart: true}, {asks: 3, leaders: 1}} {
		scenes, whole, found := explore(none, b, most)
		if t.Logf("%+v: %d scenes", b, scenes); found || !whole {
			t.Errorf("%+v: a contradiction: %v, all looked at: %v", b, found, whole)
		}
	}
	for f, b := range map[fault]bounds{noWait: {asks: 2, leaders: 1}, noConfirming: {asks: 2, leaders: 2}, fromAnswer: {asks: 2, leaders: 1},
		anyAnswer: {asks: 3, leaders: 1}} {
		if scenes, _, found := explore(f, b, most); !found {
			t.Errorf("fault %d was not found in %d scenes", f, scenes)
		} else {
			t.Logf("fault %d found after %d scenes", f, scenes)
		}
	}
}
