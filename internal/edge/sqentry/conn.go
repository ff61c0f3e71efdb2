package sqentry

import (
	"context"
	"net"
	"sync/atomic"
)

// connKey is the key of a connection's state in the contexts of its requests.
type connKey struct{}

// connState is what is known of a caller's connection.
type connState struct{ used atomic.Bool }

// ConnContext is the ConnContext of a server whose front asks FirstOnConnection.
func ConnContext(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, new(connState))
}

// FirstOnConnection reports whether a request is the first on its connection.
// Callers that were refused come back on a new one.
func FirstOnConnection(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*connState)
	return ok && !c.used.Swap(true)
}
