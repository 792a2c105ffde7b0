package httpproxy

import "pepperlead/policy"

// SetClass maps a class name to a class id of the settings and sets the deadline of its requests. With NoClass, new
// requests that name the class are refused. Requests in flight keep their class.
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

// SetTenant maps a tenant name to a tenant id of the settings. With NoTenant, requests that name the tenant count for
// no tenant.
func (p *Proxy) SetTenant(name string, id policy.TenantID) {
	if id == policy.NoTenant {
		delete(p.tenants, name)
		return
	}
	p.tenants[name] = id
}
