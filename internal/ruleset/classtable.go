package ruleset

import "pepperlead/policy"

// ClassTable assigns each class a slot, which is identified by a policy.ClassID and has nothing to do with the slot
// table of the endpoints. All requests of a slot follow the rule of the slot. When the revision changes, requests in
// flight must go on following the rule they were admitted under or a stricter one. So a class whose rule is relaxed
// while it has requests in flight admits new requests to another slot.
type ClassTable struct {
	slots    []classSlot               // by policy.ClassID
	current  map[string]policy.ClassID // by class name: the slot that admits new requests
	Capacity int                       // maximum number of slots; a class that finds none free keeps its stricter rule
}

// classSlot is one slot of a ClassTable. Its requests all follow the same rule.
type classSlot struct {
	name      string
	rule      ClassRule // the strictest rule since the first of the requests in flight was admitted
	inFlight  int       // number of requests in flight
	admitting bool      // whether the slot admits new requests
	keyed     bool      // whether the requests carry an idempotency key
}

// free reports whether the slot can be given to another class.
func (s *classSlot) free() bool { return !s.admitting && s.inFlight == 0 }

// ClassTableSetter is called with the rule that the requests of a slot follow from now on, and with whether the slot
// admits new requests.
type ClassTableSetter func(id policy.ClassID, name string, rule ClassRule, admits bool)

// Update puts rules in force and calls set for every slot in use. If leased is false, the table itself stays unchanged,
// and the rules passed to set apply only until the next update: they allow no retries, and their deadlines don't exceed
// those in rules.
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
			rule = ruleWithoutLease(slot, rules)
		}
		set(policy.ClassID(i), slot.name, rule, slot.admitting)
	}
}

// restrict makes the requests in flight of a slot follow the new rules in addition to the slot's rule. If the new rules
// lack the class of the slot, the slot admits no more requests.
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
		// The requests in flight carry no key by which endpoints could deduplicate retries, so retries are forbidden.
		slot.rule = ClassRule{Deadline: slot.rule.Deadline}
	}
}

// ruleWithoutLease returns the rule of a slot while there is no lease: no retries, and the shorter of two deadlines,
// that of the slot and that of its class in rules.
func ruleWithoutLease(slot *classSlot, rules *Rules) ClassRule {
	rule := ClassRule{Deadline: slot.rule.Deadline}
	if current, known := rules.Class(slot.name); known {
		rule.Deadline = shorterDeadline(rule.Deadline, current.Deadline)
	}
	return rule
}

// admit makes new requests of a class follow exactly its rule. The class stays in its current slot if that has no
// requests in flight or already has this rule, and otherwise moves to a free slot.
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
		return // a class with a slot keeps its stricter rule, and a new class is not admitted
	}
	if known {
		t.slots[current].admitting = false
	}
	t.slots[free] = classSlot{name: class.Name, rule: class.ClassRule, admitting: true, keyed: class.NeedsKey()}
	t.current[class.Name] = policy.ClassID(free)
}

// freeSlot returns the index of a free slot. It adds one if all are in use and the capacity allows.
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

// Acquire records that a request was admitted to a slot.
func (t *ClassTable) Acquire(id policy.ClassID) { t.slots[id].inFlight++ }

// Release records that a request of a slot has ended.
func (t *ClassTable) Release(id policy.ClassID) { t.slots[id].inFlight-- }
