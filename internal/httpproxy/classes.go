package httpproxy

import "pepperlead/policy"

// SetClass maps the class of that name to an id of the settings, with the deadline of its requests. With NoClass they
// are refused from now on. Requests in flight keep their class.
func (p *Proxy) SetClass(name string, id policy.ClassID, deadline policy.Time) {
	if id == policy.NoClass {
		delete(p.classes, name)
	} else {
		p.classes[name] = id
		for len(p.config.Deadlines) <= int(id) {
			p.config.Deadlines = append(p.config.Deadlines, 0)
		}
		p.config.Deadlines[id] = deadline
	}
	if name == p.config.DefaultClass {
		p.defaultClass = id
	}
}

// SetTenant maps the tenant of that name to an id of the settings. With NoTenant its requests count for no tenant.
func (p *Proxy) SetTenant(name string, id policy.TenantID) {
	if id == policy.NoTenant {
		delete(p.tenants, name)
		return
	}
	p.tenants[name] = id
}
