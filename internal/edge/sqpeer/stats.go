package sqpeer

import (
	"context"
	"strings"

	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"

	"github.com/sequoiatack/sequoiatack/internal/base/sqmetric"
)

// counted maps the services whose messages are control to their kind in the
// metrics. Calls are none; the membership counts its own.
var counted = map[string]string{
	"sequoiatack.ledger.v1.Ledger": "ledger",
	"sequoiatack.claim.v1.Claims":  "claim",
}

// frameBytes is what HTTP/2 and gRPC add to a message on an open stream.
const frameBytes = 14

// Control counts the bytes of control between daemons, for both sides of a
// connection.
type Control struct {
	Metrics *sqmetric.Set
}

type kindKey struct{}

// Dial returns the option for the pool's connections.
func (c *Control) Dial() grpc.DialOption { return grpc.WithStatsHandler(c) }

// Serve returns the option for a server.
func (c *Control) Serve() grpc.ServerOption { return grpc.StatsHandler(c) }

// TagRPC notes the kind of a call.
func (c *Control) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	service, _, _ := strings.Cut(strings.TrimPrefix(info.FullMethodName, "/"), "/")
	kind, ok := counted[service]
	if !ok {
		return ctx
	}
	return context.WithValue(ctx, kindKey{}, kind)
}

// HandleRPC counts a message.
func (c *Control) HandleRPC(ctx context.Context, s stats.RPCStats) {
	kind, ok := ctx.Value(kindKey{}).(string)
	if !ok {
		return
	}
	switch p := s.(type) {
	case *stats.InPayload:
		c.Metrics.ControlBytes.WithLabelValues("received", kind).Add(float64(p.CompressedLength + frameBytes))
	case *stats.OutPayload:
		c.Metrics.ControlBytes.WithLabelValues("sent", kind).Add(float64(p.CompressedLength + frameBytes))
	}
}

// TagConn does nothing.
func (c *Control) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn does nothing.
func (c *Control) HandleConn(context.Context, stats.ConnStats) {}
