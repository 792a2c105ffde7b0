package ruleset

import (
	"slices"

	"pepperlead/policy"
)

// RevisionNumber is a version's place in the agreed order, from 1.
type RevisionNumber uint64

// Term counts who grants: a granter of an older term is not listened to.
type Term uint64

// RuleSet is a whole: its number, what it is known by, and what binds of it.
type RuleSet struct {
	Number RevisionNumber
	Digest [32]byte
	Rules  Rules
}

// Lease lets a sidecar act by the strictest of some versions for a span. It is asked for: the span counts from the asking, on the
// asker's own clock, so that neither clocks that differ nor slow links make it longer.
type Lease struct {
	Term      Term
	RequestID uint64           // number of the question that it answers
	Revisions []RevisionNumber // versions that may be in force: one, or two while a change is under way; in order
	Duration  policy.Time
}

// LeaseClient is one sidecar's part.
type LeaseClient struct {
	known  []RuleSet // in order of number
	term   Term
	of     []RevisionNumber
	till   policy.Time // own clock; what is decided later than that goes by the floor
	asked  uint64
	sentAt policy.Time
	acts   Rules // by what is granted
	floor  Rules
	turns  uint64 // changes of what may be done
}

// NewLeaseClient is a sidecar that knows nothing yet. life tells its lives apart: an answer to a question of an earlier one must not count.
func NewLeaseClient(life uint32) *LeaseClient { return &LeaseClient{asked: uint64(life) << 32} }

// keptVersions is how many versions a sidecar remembers: those in force, and what may still be asked about.
const keptVersions = 4

// Add takes a version in. False where its number is known with another digest, which it is then left with, where it is older than what
// is granted, and while there is no room beside what may be in force.
func (h *LeaseClient) Add(v RuleSet) bool {
	i, known := h.at(v.Number)
	if known {
		return h.known[i].Digest == v.Digest
	}
	if len(h.of) > 0 && v.Number < h.of[0] {
		return false
	}
	full := len(h.known) >= keptVersions
	if full && (i == 0 || len(h.of) > 0 && h.known[0].Number >= h.of[0]) {
		return false // what may be in force is not given up for it; it is told again
	}
	h.known = slices.Insert(h.known, i, v)
	if full {
		h.known = h.known[1:]
	}
	h.settle()
	return true
}

func (h *LeaseClient) at(n RevisionNumber) (int, bool) {
	return slices.BinarySearchFunc(h.known, n, func(v RuleSet, n RevisionNumber) int {
		if v.Number < n {
			return -1
		}
		return min(1, int(v.Number-n))
	})
}

// NewRequest numbers a question for a grant, sent now. Knows tells the granter what this sidecar could act by.
func (h *LeaseClient) NewRequest(now policy.Time) (ask uint64, knows []RevisionNumber) {
	h.asked++
	h.sentAt = now
	for _, v := range h.known {
		knows = append(knows, v.Number)
	}
	return h.asked, knows
}

// Accept takes an answer. Only the one to the latest question counts: an older one says what was in force before it.
func (h *LeaseClient) Accept(g Lease) bool {
	if g.RequestID != h.asked || g.Term < h.term || len(g.Revisions) == 0 || len(h.of) > 0 && g.Revisions[0] < h.of[0] {
		return false
	}
	for _, n := range g.Revisions {
		if _, known := h.at(n); !known {
			return false // it could not act by it
		}
	}
	h.term, h.till = g.Term, h.sentAt+g.Duration
	if !slices.Equal(h.of, g.Revisions) {
		h.of = slices.Clone(g.Revisions)
		h.settle()
	}
	return true
}

// settle works out what may be done, so that looking it up for a ticket costs nothing. What is older than what was granted last comes into
// force no more, so the floor does without it.
func (h *LeaseClient) settle() {
	h.acts = strictestOf(h.known, func(n RevisionNumber) bool { return slices.Contains(h.of, n) })
	h.floor = strictestOf(h.known, func(n RevisionNumber) bool { return len(h.of) == 0 || n >= h.of[0] }).Floor()
	h.turns++
}

// Changes counts changes of what Acts gives, but for the end of a lease.
func (h *LeaseClient) Changes() uint64 { return h.turns }

// Knows tells whether the version is known, under whatever digest.
func (h *LeaseClient) Knows(n RevisionNumber) bool {
	_, known := h.at(n)
	return known
}

// strictestOf is what all of these versions allow; no rules at all where there are none.
func strictestOf(all []RuleSet, counts func(RevisionNumber) bool) (r Rules) {
	first := true
	for _, v := range all {
		switch {
		case !counts(v.Number):
		case first:
			r, first = v.Rules, false
		default:
			r = Strictest(r, v.Rules)
		}
	}
	return r
}

// Active are the rules of this moment. leased is false once the lease has run out: then it is the strictest of all that is known, without
// what a version that has not been heard of could forbid. It is to be called after a decision and before what it leads to is
// written, in one turn of the loop, as a process may have stood still in between.
func (h *LeaseClient) Active(now policy.Time) (r *Rules, leased bool) {
	if len(h.of) > 0 && now < h.till {
		return &h.acts, true
	}
	return &h.floor, false
}

// Leased are the versions that the latest grant named.
func (h *LeaseClient) Leased() []RevisionNumber { return h.of }

// LeaseIssuer is the part of the one that grants in its term: the leader of the group that agrees on the order of versions.
//
// A change has two steps. Once version n+1 is agreed, grants are of n and n+1: whoever holds one acts by what both allow. Only when no
// grant of n alone can hold any more, by the granter's clock and the drift allowed, are grants of n+1 alone given. So none acts by what
// n alone allows while another acts by what n+1 alone does.
type LeaseIssuer struct {
	term     Term
	span     policy.Time    // of a grant
	drift    float64        // how much faster or slower any two clocks may run
	old, new RevisionNumber // equal where no change is under way
	alone    policy.Time    // until when, by this clock, a grant of old alone may hold
	sure     policy.Time    // the group has confirmed this term in a round that began then
}

// NewLeaseIssuer begins a term. What the term before it has granted is not known, so nothing is given alone until that must be over: now is the
// moment of the begin, old and next what the agreed order says is in force and under way (equal: none).
func NewLeaseIssuer(term Term, span policy.Time, drift float64, old, next RevisionNumber, now policy.Time) *LeaseIssuer {
	g := &LeaseIssuer{term: term, span: span, drift: drift, old: old, new: next, sure: -1}
	g.alone = now + g.longest()
	return g
}

// longest is how long a grant may hold by the granter's clock, from its giving: the asker counts from its asking, which is earlier, but
// its clock may be slow.
func (g *LeaseIssuer) longest() policy.Time {
	return policy.Time(float64(g.span)*(1+g.drift)) + 1
}

// Term is whose grants these are.
func (g *LeaseIssuer) Term() Term { return g.term }

// BeginChange begins a change to a later version. False while one is under way.
func (g *LeaseIssuer) BeginChange(n RevisionNumber, now policy.Time) bool {
	if g.old != g.new || n <= g.new {
		return false
	}
	g.new = n
	g.alone = max(g.alone, now+g.longest())
	return true
}

// ChangeReady tells whether the old version may be dropped; the group then agrees that it is, and tells Dropped.
func (g *LeaseIssuer) ChangeReady(now policy.Time) bool { return g.old != g.new && now >= g.alone }

// CompleteChange ends a change.
func (g *LeaseIssuer) CompleteChange() { g.old = g.new }

// WithdrawChange ends a change by going back: who holds a grant of both goes by what is stricter until it is over. No version comes under the
// same number again.
func (g *LeaseIssuer) WithdrawChange() { g.new = g.old }

// ConfirmTerm is told that a round of the group, begun at that moment, found this term still to be the latest.
func (g *LeaseIssuer) ConfirmTerm(begun policy.Time) { g.sure = max(g.sure, begun) }

// Issue answers a question that came at that moment. None is given before a round begun since has confirmed the term: else a leader that
// is cut off would go on granting what a later one has changed. Nor is one given to a sidecar that lacks a version: it is to be sent
// it, and to ask again.
func (g *LeaseIssuer) Issue(ask uint64, knows []RevisionNumber, came policy.Time) (Lease, bool) {
	if g.sure < came {
		return Lease{}, false
	}
	of := []RevisionNumber{g.old}
	if g.new != g.old {
		of = append(of, g.new)
	}
	for _, n := range of {
		if !slices.Contains(knows, n) {
			return Lease{}, false
		}
	}
	return Lease{Term: g.term, RequestID: ask, Revisions: of, Duration: g.span}, true
}
