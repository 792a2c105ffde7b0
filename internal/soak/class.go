package soak

import "time"

// effect says whether a request may run twice.
type effect string

const (
	idempotentEffect    effect = "retryable" // may run any number of times
	keyedEffect         effect = "dedup"     // servers of a group drop a repeat within a window
	nonIdempotentEffect effect = "fragile"   // must not run twice
)

// group is the group of servers that drop a repeat of a keyed request.
type group string

const (
	allGroup  group = "all"
	zoneGroup group = "zone"
	cellGroup group = "cell"
)

// class is a class of requests.
type class struct {
	Name     string
	Effect   effect
	Group    group
	Window   time.Duration
	Target   time.Duration // latency within which an answer has its full value
	Deadline time.Duration // the longest time that a client waits
}

// method returns the method of the requests of the class.
func (c *class) method() string {
	if c.Effect == idempotentEffect {
		return "GET"
	}
	return "POST"
}

// repeatable reports whether a request that has run may be refused, which tells its client to send it again.
func (c *class) repeatable() bool {
	return c.Effect == idempotentEffect || c.Effect == keyedEffect && c.Group == allGroup
}

// sameGroup reports whether two servers drop each other's repeats of the class's requests.
func (c *class) sameGroup(a, b *server) bool {
	switch c.Group {
	case zoneGroup:
		return a.zone == b.zone
	case cellGroup:
		return a.cell == b.cell
	}
	return true
}

// classes are the classes of every run: one of each kind of effect and group.
func classes(deadline time.Duration) []*class {
	all := []*class{
		{Name: "read", Effect: idempotentEffect, Group: allGroup, Window: 5 * time.Second},
		{Name: "save-zone", Effect: keyedEffect, Group: zoneGroup, Window: 3 * time.Second},
		{Name: "save-cell", Effect: keyedEffect, Group: cellGroup, Window: 2 * time.Second},
		{Name: "save-all", Effect: keyedEffect, Group: allGroup, Window: 2 * time.Second},
		{Name: "order", Effect: nonIdempotentEffect, Group: allGroup, Window: 3 * time.Second},
	}
	for _, c := range all {
		c.Target = deadline / 2
		c.Deadline = deadline
	}
	return all
}
