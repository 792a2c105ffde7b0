package rpc

import (
	"context"
	"testing"

	"pepperlead/policy"
)

// The tenant is the context's, by either name of the function; one that the configuration doesn't know is none.
func TestTenantOfACall(t *testing.T) {
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
		t.Errorf("tenant %d of a context without one", got)
	}
}
