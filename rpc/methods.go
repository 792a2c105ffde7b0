package rpc

import (
	"strings"

	"pepperlead/policy"
)

// methodClasses maps methods to classes. A method gets the class of its full name; without one, the class of its
// service; and without that, the fallback.
type methodClasses struct {
	byMethod  map[string]policy.ClassID
	byService map[string]policy.ClassID
	fallback  policy.ClassID // NoClass: none
}

// newMethodClasses reads the patterns of each class: "/pkg.Service/Method", "/pkg.Service/*" or "*".
func newMethodClasses(patterns [][]string) methodClasses {
	m := methodClasses{
		byMethod:  map[string]policy.ClassID{},
		byService: map[string]policy.ClassID{},
		fallback:  policy.NoClass,
	}
	for i, classPatterns := range patterns {
		for _, pattern := range classPatterns {
			m.bind(pattern, policy.ClassID(i))
		}
	}
	return m
}

func (m *methodClasses) bind(pattern string, class policy.ClassID) {
	service, isService := strings.CutSuffix(pattern, "/*")
	switch {
	case pattern == "*":
		m.fallback = class
	case isService:
		m.byService[service] = class
	default:
		m.byMethod[pattern] = class
	}
}

// lookup returns the class of a method, and whether the method is bound to one.
func (m *methodClasses) lookup(method string) (class policy.ClassID, bound bool) {
	if class, bound = m.byMethod[method]; bound {
		return class, true
	}
	if i := strings.LastIndexByte(method, '/'); i > 0 {
		if class, bound = m.byService[method[:i]]; bound {
			return class, true
		}
	}
	return m.fallback, m.fallback != policy.NoClass
}
