package rpc

import (
	"context"

	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"

	"pepperlead/policy"
)

type keyContextKey struct{}

type tenantContextKey struct{}

// WithKey sets the key of the calls made with the context. Calls with the same key go to the same endpoint while that
// endpoint is usable and has room. If a large part of all calls have the same key, these calls are spread over several
// endpoints. Without WithKey, the key is taken from the metadata that the configuration names. If a unary call has no
// such metadata, its key is taken from the request field that the configuration names.
func WithKey(ctx context.Context, key string) context.Context {
	return context.WithValue(ctx, keyContextKey{}, key)
}

// WithTenant sets the tenant on whose behalf calls are made with the context. A name that is not in the configuration
// has no effect.
func WithTenant(ctx context.Context, name string) context.Context {
	return context.WithValue(ctx, tenantContextKey{}, name)
}

// WithFranchise sets the tenant of the calls made with the context.
//
// Deprecated: use WithTenant.
func WithFranchise(ctx context.Context, name string) context.Context { return WithTenant(ctx, name) }

// key returns the key of a call: that set by WithKey, else that in the metadata, else that in a field of the request.
func (c *Conn) key(ctx context.Context, request any) string {
	if key, ok := ctx.Value(keyContextKey{}).(string); ok {
		return key
	}
	if key, ok := c.metadataKey(ctx); ok {
		return key
	}
	return c.fieldKey(request)
}

func (c *Conn) metadataKey(ctx context.Context) (key string, found bool) {
	if c.keyMetadata == "" {
		return "", false
	}
	md, ok := metadata.FromOutgoingContext(ctx)
	if !ok {
		return "", false
	}
	values := md.Get(c.keyMetadata)
	if len(values) == 0 {
		return "", false
	}
	return values[0], true
}

func (c *Conn) fieldKey(request any) string {
	message, ok := request.(proto.Message)
	if !ok || c.keyField == "" {
		return ""
	}
	reflected := message.ProtoReflect()
	field := reflected.Descriptor().Fields().ByName(c.keyField)
	if field == nil || field.IsList() || field.IsMap() || !reflected.Has(field) {
		return ""
	}
	return reflected.Get(field).String()
}

// tenant returns the tenant that the context names, NoTenant if it names none or one that is not configured.
func (c *Conn) tenant(ctx context.Context) policy.TenantID {
	if name, ok := ctx.Value(tenantContextKey{}).(string); ok {
		if tenant, known := c.tenants[name]; known {
			return tenant
		}
	}
	return policy.NoTenant
}
