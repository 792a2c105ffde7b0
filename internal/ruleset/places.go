package ruleset

import (
	"pepperlead/policy"
)

// ClassTable give each ticket the rules that it was admitted by, or stricter ones, while versions come and go: an offering has a place, and
// gets another where tickets in hand have been promised less than what comes into force allows.
type ClassTable struct {
	of       []place // by policy.OfferingID
	current  map[string]policy.ClassID
	Capacity int // places; with none left an offering stays as strict as it was, until one is free
}

type place struct {
	name  string
	rule  ClassRule // the strictest of all that has been in force since its first ticket came
	held  int       // tickets in hand
	taken bool      // tickets are admitted to it
	keyed bool      // its tickets came with a number, as numbered ones must
}

// Update makes these rules the ones in force. Without a lease (not leased) they bind those in hand for as long as that lasts: nothing is
// repeated, and no cut-off is later. set is told of each place and by what its tickets now go; free ones are not told of. Places of offerings
// that are new, or whose tickets in hand were promised less, are told of too.
func (p *ClassTable) Update(acts *Rules, leased bool, set func(at policy.ClassID, name string, now ClassRule, admits bool)) {
	if p.current == nil {
		p.current = map[string]policy.ClassID{}
	}
	if leased {
		for i := range p.of {
			one := &p.of[i]
			rule, known := acts.Class(one.name)
			if !known {
				rule = ClassRule{Deadline: one.rule.Deadline}
				if one.taken {
					one.taken = false
					delete(p.current, one.name)
				}
			}
			if one.held > 0 {
				one.rule = strict(one.rule, rule)
				if one.rule.NeedsKey() && !one.keyed {
					one.rule = ClassRule{Deadline: one.rule.Deadline} // without a number servers cannot tell it again
				}
			}
		}
		for _, o := range acts.Classes {
			p.admit(o)
		}
	}
	for i := range p.of {
		one := &p.of[i]
		if !one.taken && one.held == 0 {
			continue
		}
		now := one.rule
		if !leased {
			now = ClassRule{Deadline: now.Deadline}
			if o, known := acts.Class(one.name); known {
				now.Deadline = shorter(now.Deadline, o.Deadline)
			}
		}
		set(policy.ClassID(i), one.name, now, one.taken)
	}
}

// admit finds the place at which tickets of the offering are admitted by exactly that.
func (p *ClassTable) admit(o NamedClassRule) {
	at, known := p.current[o.Name]
	if known && (p.of[at].held == 0 || p.of[at].rule == o.ClassRule) {
		p.of[at].rule, p.of[at].keyed = o.ClassRule, o.NeedsKey()
		return
	}
	free := -1
	for i := range p.of {
		if !p.of[i].taken && p.of[i].held == 0 {
			free = i
			break
		}
	}
	switch {
	case free < 0 && len(p.of) < p.Capacity:
		free = len(p.of)
		p.of = append(p.of, place{})
	case free < 0:
		return // it stays as strict as it was; one that is not known yet is not offered
	}
	if known {
		p.of[at].taken = false
	}
	p.of[free] = place{name: o.Name, rule: o.ClassRule, taken: true, keyed: o.NeedsKey()}
	p.current[o.Name] = policy.ClassID(free)
}

// Lookup is the place at which tickets of that name are admitted.
func (p *ClassTable) Lookup(name string) (policy.ClassID, bool) {
	at, known := p.current[name]
	return at, known
}

// Acquire and Gave count the tickets in hand.
func (p *ClassTable) Acquire(at policy.ClassID) { p.of[at].held++ }
func (p *ClassTable) Release(at policy.ClassID) { p.of[at].held-- }
