package tenant

import (
	"context"

	"go.uber.org/zap"
)

type contextKey struct{}

// Anonymous is the tenant of calls on public routes of a configuration with tenants.
var Anonymous = &Tenant{}

// WithContext returns a context that carries the tenant of a call.
func WithContext(ctx context.Context, t *Tenant) context.Context {
	return context.WithValue(ctx, contextKey{}, t)
}

// FromContext returns the tenant of a call, Anonymous on a public route, or nil if the
// configuration has no tenants.
func FromContext(ctx context.Context) *Tenant {
	t, _ := ctx.Value(contextKey{}).(*Tenant)
	return t
}

// LogField returns a log field with the tenant of a call, if it has one.
func LogField(ctx context.Context) zap.Field {
	t := FromContext(ctx)
	if t == nil || t.Name == "" {
		return zap.Skip()
	}
	return zap.String("tenant", string(t.Name))
}
