package sqentry

import (
	"context"
	"net"
	"sync/atomic"
)

// connKey is the key of a connection's state in the contexts of its requests.
type connKey struct{}

// connState is the state of a caller's connection: whether a request came on it.
type connState struct{ used atomic.Bool }

// ConnContext is to be set as the ConnContext of an http.Server whose adapter calls
// IsFirstOnConnection.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, new(connState))
}

// IsFirstOnConnection reports whether a request is the first on its connection.
// Callers retry on a new connection after a refusal.
func IsFirstOnConnection(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*connState)
	return ok && !c.used.Swap(true)
}
