package proto

import "pepperlead/policy"

// Offers has requests for that offering come in at that place of the campaign, cut off at that time; NoOffering: they are refused from now on.
// What is in hand stays where it is.
func (s *Sidecar) Offers(name string, at policy.ClassID, cutOff policy.Time) {
	if at == policy.NoClass {
		delete(s.offerings, name)
	} else {
		s.offerings[name] = at
		for len(s.post.CutOffs) <= int(at) {
			s.post.CutOffs = append(s.post.CutOffs, 0)
		}
		s.post.CutOffs[at] = cutOff
	}
	if name == s.post.Default {
		s.fallback = at
	}
}

// Quotes has requests of that franchise count at that place; NoFranchise: as nobody's.
func (s *Sidecar) Quotes(name string, at policy.TenantID) {
	if s.franchises[name] = at; at == policy.NoTenant {
		delete(s.franchises, name)
	}
}
