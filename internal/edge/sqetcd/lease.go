package sqetcd

import (
	"context"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/state/sqkv"

	"google.golang.org/grpc"

	wire "github.com/sequoiatack/sequoiatack/internal/wire/sqetcdwire"
)

// Grant creates a lease that ends ttl after its last renewal; ttl is rounded up to
// whole seconds. The call may be repeated, since a lease whose answer was lost expires.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (sqkv.LeaseID, error) {
	r := &wire.LeaseGrantRequest{TTL: int64((ttl + time.Second - 1) / time.Second)}
	var lease sqkv.LeaseID
	err := c.read(ctx, CallGrant, func(ctx context.Context, conn grpc.ClientConnInterface) error {
		answer, err := wire.NewLeaseClient(conn).LeaseGrant(ctx, r)
		lease = sqkv.LeaseID(answer.GetID())
		return err
	})
	return lease, err
}

// Renew renews a lease. It returns sqkv.ErrLeaseEnded if the lease has ended.
func (c *Client) Renew(ctx context.Context, lease sqkv.LeaseID) error {
	return c.read(ctx, CallRenew, func(ctx context.Context, conn grpc.ClientConnInterface) error {
		stream, err := wire.NewLeaseClient(conn).LeaseKeepAlive(ctx)
		if err != nil {
			return err
		}
		if err := stream.Send(&wire.LeaseKeepAliveRequest{ID: int64(lease)}); err != nil {
			return err
		}
		answer, err := stream.Recv()
		if err != nil {
			return err
		}
		if answer.GetTTL() <= 0 {
			return sqkv.ErrLeaseEnded
		}
		return nil
	})
}
