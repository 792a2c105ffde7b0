package config

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"pepperlead/internal/tomlfile"
	"pepperlead/policy"
)

// minDeadlineTicks is the shortest deadline in ticks. The policy answers a request 3 ticks before its deadline, so a
// shorter deadline would leave no time to serve the request.
const minDeadlineTicks = 4

// maxClassTime is the longest target latency and deadline.
const maxClassTime = 3600 * policy.Second

// maxWindow is the longest time in which a keyed request may be retried.
const maxWindow = 24 * 3600 * policy.Second

// Bounds of a class's value and a tenant's quota.
const (
	minQuantity = 1e-6
	maxQuantity = 1e9
)

// definitions maps each name to the line on which it was last defined.
type definitions map[string]int

// define stores the name of a table, and reports a fault if another table has the same name.
func (d definitions) define(t *tomlfile.Table, name string) {
	if line, defined := d[name]; defined && name != "" {
		t.Fault("name", t.Found("name"), fmt.Sprintf("a unique name: line %d has the same", line))
	}
	d[name] = t.Line("name")
}

// readClasses reads the classes of requests.
func (c *Config) readClasses(tables []*tomlfile.Table) {
	names := definitions{}
	methods := definitions{}
	for _, t := range tables {
		class := readClass(t, names, c.Settings.Tick)
		c.Methods = append(c.Methods, readMethods(t, methods))
		if t.Bool("default", false) {
			if c.DefaultClass != "" {
				t.Fault("default", "true", "true for one offering only: "+c.DefaultClass+" has it already")
			}
			c.DefaultClass = class.Name
		}
		t.RejectUnknown()
		c.Settings.Classes = append(c.Settings.Classes, class)
		c.Deadlines = append(c.Deadlines, class.Deadline)
	}
}

// readClass reads one class without its RPC methods.
func readClass(t *tomlfile.Table, names definitions, tick policy.Time) policy.Class {
	t.Require("name", "quoted_time", "cut_off")
	class := policy.Class{
		Name:        t.String("name", ""),
		Value:       t.Float("credit", 1, minQuantity, maxQuantity),
		LateValue:   t.Float("late_credit", 0, 0, 1),
		Target:      t.Duration("quoted_time", policy.Second, policy.Millisecond, maxClassTime),
		Idempotency: readIdempotency(t),
	}
	if !validClassName(class.Name) {
		t.Fault("name", t.Found("name"),
			"printable ASCII without / ? # and spaces, not starting with _: the name is part of a path")
	}
	names.define(t, class.Name)
	minDeadline := minDeadlineTicks * tick
	class.Deadline = t.Duration("cut_off", max(class.Target, minDeadline), minDeadline, maxClassTime)
	if class.Deadline < class.Target {
		t.Fault("cut_off", t.Found("cut_off"), fmt.Sprintf("at least the quoted time, %v", time.Duration(class.Target)))
	}
	keyed := class.Idempotency == policy.Keyed
	if keyed {
		t.Require("group", "window")
	}
	class.Group = policy.Group(t.OneOf("group", int(policy.GroupAll), "all", "zone", "pod"))
	class.Window = t.Duration("window", 0, policy.Millisecond, maxWindow)
	for _, key := range []string{"group", "window"} {
		if !keyed && t.Has(key) {
			t.Fault(key, t.Found(key), `nothing: only with repeats = "numbered"`)
		}
	}
	return class
}

// readIdempotency reads how requests of a class may be repeated. The choices are in the order of policy's constants.
func readIdempotency(t *tomlfile.Table) policy.Idempotency {
	return policy.Idempotency(t.OneOf("repeats", int(policy.NonIdempotent), "reissuable", "numbered", "at-most-once"))
}

// validClassName reports whether a name can be part of a URL's path without escapes. Paths that start with an
// underscore are reserved for operators.
func validClassName(name string) bool {
	return !strings.HasPrefix(name, "_") && !strings.ContainsFunc(name, func(r rune) bool {
		return r <= ' ' || r >= 0x7f || strings.ContainsRune("/?#", r)
	})
}

// readMethods reads the RPC methods of a class. It reports a fault if a method is invalid or defined already.
func readMethods(t *tomlfile.Table, defined definitions) []string {
	methods := t.Strings("methods")
	for _, method := range methods {
		line, duplicate := defined[method]
		switch {
		case !validMethod(method):
			t.Fault("methods", strconv.Quote(method), "/package.Service/Method, /package.Service/* or *")
		case duplicate:
			t.Fault("methods", strconv.Quote(method), fmt.Sprintf("each method only once: line %d has it", line))
		}
		defined[method] = t.Line("methods")
	}
	return methods
}

// validMethod reports whether a string is *, /package.Service/* or /package.Service/Method.
func validMethod(pattern string) bool {
	if pattern == "*" {
		return true
	}
	service, method, ok := strings.Cut(strings.TrimPrefix(pattern, "/"), "/")
	return strings.HasPrefix(pattern, "/") && ok && service != "" && method != "" && !strings.Contains(service, "*")
}

// readTenants reads the tenants with their quotas.
func readTenants(root *tomlfile.Table, settings *policy.Settings) {
	common := root.Table("franchises")
	settings.OverQuotaValue = common.Float("beyond_credit", 0.05, 0, 1)
	common.RejectUnknown()
	names := definitions{}
	for _, t := range root.Tables("franchise") {
		t.Require("name", "quota")
		tenant := policy.Tenant{Name: t.String("name", ""), Quota: t.Float("quota", 1, minQuantity, maxQuantity)}
		names.define(t, tenant.Name)
		t.RejectUnknown()
		settings.TotalQuota += tenant.Quota
		settings.Tenants = append(settings.Tenants, tenant)
	}
}
