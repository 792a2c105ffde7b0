package httpproxy

import "pepperlead/policy"

// SetClass has requests for that class come in at that place of the settings, cut off at that time; NoClass: they are refused from now on.
// What is in hand stays where it is.
func (s *Proxy) SetClass(name string, at policy.ClassID, cutOff policy.Time) {
	if at == policy.NoClass {
		delete(s.classes, name)
	} else {
		s.classes[name] = at
		for len(s.config.Deadlines) <= int(at) {
			s.config.Deadlines = append(s.config.Deadlines, 0)
		}
		s.config.Deadlines[at] = cutOff
	}
	if name == s.config.DefaultClass {
		s.defaultClass = at
	}
}

// SetTenant has requests of that tenant count at that place; NoTenant: as nobody's.
func (s *Proxy) SetTenant(name string, at policy.TenantID) {
	if s.tenants[name] = at; at == policy.NoTenant {
		delete(s.tenants, name)
	}
}
