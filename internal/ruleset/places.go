package ruleset

import (
	"pepperlead/policy"
)

// Places give each ticket the rules that it was admitted by, or stricter ones, while versions come and go: an offering has a place, and
// gets another where tickets in hand have been promised less than what comes into force allows.
type Places struct {
	of      []place // by policy.OfferingID
	current map[string]policy.ClassID
	Most    int // places; with none left an offering stays as strict as it was, until one is free
}

type place struct {
	name  string
	rule  Offering // the strictest of all that has been in force since its first ticket came
	held  int      // tickets in hand
	taken bool     // tickets are admitted to it
	keyed bool     // its tickets came with a number, as numbered ones must
}

// Go makes these rules the ones in force. Without a lease (not leased) they bind those in hand for as long as that lasts: nothing is
// repeated, and no cut-off is later. set is told of each place and by what its tickets now go; free ones are not told of. Places of offerings
// that are new, or whose tickets in hand were promised less, are told of too.
func (p *Places) Go(acts *Rules, leased bool, set func(at policy.ClassID, name string, now Offering, admits bool)) {
	if p.current == nil {
		p.current = map[string]policy.ClassID{}
	}
	if leased {
		for i := range p.of {
			one := &p.of[i]
			rule, known := acts.Offering(one.name)
			if !known {
				rule = Offering{CutOff: one.rule.CutOff}
				if one.taken {
					one.taken = false
					delete(p.current, one.name)
				}
			}
			if one.held > 0 {
				one.rule = strict(one.rule, rule)
				if one.rule.Numbered() && !one.keyed {
					one.rule = Offering{CutOff: one.rule.CutOff} // without a number servers cannot tell it again
				}
			}
		}
		for _, o := range acts.Offerings {
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
			now = Offering{CutOff: now.CutOff}
			if o, known := acts.Offering(one.name); known {
				now.CutOff = shorter(now.CutOff, o.CutOff)
			}
		}
		set(policy.ClassID(i), one.name, now, one.taken)
	}
}

// admit finds the place at which tickets of the offering are admitted by exactly that.
func (p *Places) admit(o Named) {
	at, known := p.current[o.Name]
	if known && (p.of[at].held == 0 || p.of[at].rule == o.Offering) {
		p.of[at].rule, p.of[at].keyed = o.Offering, o.Numbered()
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
	case free < 0 && len(p.of) < p.Most:
		free = len(p.of)
		p.of = append(p.of, place{})
	case free < 0:
		return // it stays as strict as it was; one that is not known yet is not offered
	}
	if known {
		p.of[at].taken = false
	}
	p.of[free] = place{name: o.Name, rule: o.Offering, taken: true, keyed: o.Numbered()}
	p.current[o.Name] = policy.ClassID(free)
}

// At is the place at which tickets of that name are admitted.
func (p *Places) At(name string) (policy.ClassID, bool) {
	at, known := p.current[name]
	return at, known
}

// Took and Gave count the tickets in hand.
func (p *Places) Took(at policy.ClassID) { p.of[at].held++ }
func (p *Places) Gave(at policy.ClassID) { p.of[at].held-- }
