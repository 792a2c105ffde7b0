package rpc

import (
	"context"
	"testing"

	"pepperlead/policy"
)

// The context names the tenant, set by WithTenant or WithFranchise. A tenant that is not configured counts as none.
func TestTenantFromContext(t *testing.T) {
	c := &Conn{tenants: map[string]policy.TenantID{"a": 0, "b": 1}}
	for name, want := range map[string]policy.TenantID{"a": 0, "b": 1, "unknown": policy.NoTenant} {
		if got := c.tenant(WithTenant(context.Background(), name)); got != want {
			t.Errorf("WithTenant %s: tenant %d, want %d", name, got, want)
		}
		if got := c.tenant(WithFranchise(context.Background(), name)); got != want {
			t.Errorf("WithFranchise %s: tenant %d, want %d", name, got, want)
		}
	}
	if got := c.tenant(context.Background()); got != policy.NoTenant {
		t.Errorf("context without a tenant: tenant %d", got)
	}
}
