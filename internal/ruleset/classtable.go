package ruleset

import "pepperlead/policy"

// ClassTable assigns each class a slot, and its rule, while revisions change. A request is bound by the rule it was
// admitted under or a stricter one, so a class moves to a new slot if its rule is relaxed while requests are in flight.
type ClassTable struct {
	slots    []classSlot               // by policy.ClassID
	current  map[string]policy.ClassID // the slot that admits requests of a class
	Capacity int                       // maximum number of slots; without a free one a class keeps its stricter rule
}

// classSlot is one slot of the table.
type classSlot struct {
	name      string
	rule      ClassRule // the strictest in force since the first request in flight was admitted
	inFlight  int       // requests
	admitting bool      // new requests are admitted to it
	keyed     bool      // its requests carry an idempotency key
}

// free reports whether the slot can be given to another class.
func (s *classSlot) free() bool { return !s.admitting && s.inFlight == 0 }

// ClassTableSetter receives the rule that the requests of a slot follow now, and whether the slot admits new ones.
type ClassTableSetter func(id policy.ClassID, name string, rule ClassRule, admits bool)

// Update puts rules in force and passes every slot in use to set. Without a lease, the rules only restrict the slots
// for the time being: nothing is retried and no deadline is later than theirs.
func (t *ClassTable) Update(rules *Rules, leased bool, set ClassTableSetter) {
	if t.current == nil {
		t.current = map[string]policy.ClassID{}
	}
	if leased {
		for i := range t.slots {
			t.restrict(&t.slots[i], rules)
		}
		for _, class := range rules.Classes {
			t.admit(class)
		}
	}
	for i := range t.slots {
		slot := &t.slots[i]
		if slot.free() {
			continue
		}
		rule := slot.rule
		if !leased {
			rule = withoutLease(slot, rules)
		}
		set(policy.ClassID(i), slot.name, rule, slot.admitting)
	}
}

// restrict binds the requests in flight of a slot by the new rules, and closes the slot if its class is gone.
func (t *ClassTable) restrict(slot *classSlot, rules *Rules) {
	rule, known := rules.Class(slot.name)
	if !known {
		rule = ClassRule{Deadline: slot.rule.Deadline}
		if slot.admitting {
			slot.admitting = false
			delete(t.current, slot.name)
		}
	}
	if slot.inFlight == 0 {
		return
	}
	slot.rule = strictestClassRule(slot.rule, rule)
	if slot.rule.NeedsKey() && !slot.keyed {
		slot.rule = ClassRule{Deadline: slot.rule.Deadline} // endpoints can't deduplicate requests without a key
	}
}

// withoutLease is the rule of a slot while there is no lease.
func withoutLease(slot *classSlot, rules *Rules) ClassRule {
	rule := ClassRule{Deadline: slot.rule.Deadline}
	if now, known := rules.Class(slot.name); known {
		rule.Deadline = shorterDeadline(rule.Deadline, now.Deadline)
	}
	return rule
}

// admit has new requests of a class admitted under exactly its rule: in its current slot if no request in flight there
// was admitted under another rule, else in a free one.
func (t *ClassTable) admit(class NamedClassRule) {
	current, known := t.current[class.Name]
	if known {
		slot := &t.slots[current]
		if slot.inFlight == 0 || slot.rule == class.ClassRule {
			slot.rule = class.ClassRule
			slot.keyed = class.NeedsKey()
			return
		}
	}
	free, ok := t.freeSlot()
	if !ok {
		return // a known class keeps its stricter rule, an unknown one isn't admitted
	}
	if known {
		t.slots[current].admitting = false
	}
	t.slots[free] = classSlot{name: class.Name, rule: class.ClassRule, admitting: true, keyed: class.NeedsKey()}
	t.current[class.Name] = policy.ClassID(free)
}

// freeSlot returns the index of an unused slot, which it adds if the capacity allows.
func (t *ClassTable) freeSlot() (int, bool) {
	for i := range t.slots {
		if t.slots[i].free() {
			return i, true
		}
	}
	if len(t.slots) >= t.Capacity {
		return 0, false
	}
	t.slots = append(t.slots, classSlot{})
	return len(t.slots) - 1, true
}

// Lookup returns the slot that admits requests of a class.
func (t *ClassTable) Lookup(name string) (policy.ClassID, bool) {
	id, known := t.current[name]
	return id, known
}

// Acquire counts a request that was admitted to a slot.
func (t *ClassTable) Acquire(id policy.ClassID) { t.slots[id].inFlight++ }

// Release counts a request of a slot that has ended.
func (t *ClassTable) Release(id policy.ClassID) { t.slots[id].inFlight-- }
