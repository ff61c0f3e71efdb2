package sqpeer

import (
	"context"
	"strings"

	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"

	"github.com/sequoiatack/sequoiatack/internal/base/sqmetric"
)

// controlKinds maps the services whose messages are control traffic to their kind in
// the metrics. Calls are not control traffic, and the membership protocol counts its
// own bytes.
var controlKinds = map[string]string{
	"sequoiatack.ledger.v1.Ledger": "ledger",
	"sequoiatack.claim.v1.Claims":  "claim",
}

// frameOverheadBytes is what HTTP/2 and gRPC add to a message on an open stream.
const frameOverheadBytes = 14

// ControlCounter counts the bytes of control traffic between daemons. It is a gRPC stats
// handler for both sides of a connection.
type ControlCounter struct {
	Metrics *sqmetric.Set
}

// kindKey is the key of a call's kind in its context.
type kindKey struct{}

// DialOption returns the option that installs the counter on client connections.
func (c *ControlCounter) DialOption() grpc.DialOption { return grpc.WithStatsHandler(c) }

// ServerOption returns the option that installs the counter on a server.
func (c *ControlCounter) ServerOption() grpc.ServerOption { return grpc.StatsHandler(c) }

// TagRPC adds the kind of a control call to its context.
func (c *ControlCounter) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	service, _, _ := strings.Cut(strings.TrimPrefix(info.FullMethodName, "/"), "/")
	kind, ok := controlKinds[service]
	if !ok {
		return ctx
	}
	return context.WithValue(ctx, kindKey{}, kind)
}

// HandleRPC counts the bytes of a message of a control call.
func (c *ControlCounter) HandleRPC(ctx context.Context, s stats.RPCStats) {
	kind, ok := ctx.Value(kindKey{}).(string)
	if !ok {
		return
	}
	switch p := s.(type) {
	case *stats.InPayload:
		c.Metrics.ControlBytes.WithLabelValues("received", kind).Add(float64(p.CompressedLength + frameOverheadBytes))
	case *stats.OutPayload:
		c.Metrics.ControlBytes.WithLabelValues("sent", kind).Add(float64(p.CompressedLength + frameOverheadBytes))
	}
}

// TagConn does nothing.
func (c *ControlCounter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn does nothing.
func (c *ControlCounter) HandleConn(context.Context, stats.ConnStats) {}
