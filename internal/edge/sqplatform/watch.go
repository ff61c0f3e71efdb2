package sqplatform

import (
	"context"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/state/sqkv"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"

	wire "github.com/sequoiatack/sequoiatack/internal/wire/sqetcdwire"
)

// errOpening says that the platform did not confirm a watch in time.
var errOpening = errors.New("watch was not confirmed in time")

type watchStream = grpc.BidiStreamingClient[wire.WatchRequest, wire.WatchResponse]

// Watch sends the changes of the keys that begin with prefix to f, in order.
// It returns ctx's error, sqkv.ErrUnavailable, sqkv.ErrCompacted, or what f returns.
func (c *Client) Watch(ctx context.Context, prefix string, after sqkv.Version, f func(sqkv.Event) error) error {
	c.count(CallWatch)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stream, address, err := c.openWatch(ctx, cancel, prefix, after)
	if err != nil {
		return c.watchEnd(ctx, address, err)
	}
	for {
		answer, err := stream.Recv()
		if err != nil {
			return c.watchEnd(ctx, address, err)
		}
		if answer.GetCanceled() {
			return c.watchEnd(ctx, address, cancelReason(answer))
		}
		for _, e := range answer.GetEvents() {
			if err := f(eventOf(e)); err != nil {
				return err
			}
		}
	}
}

// openWatch returns a stream whose watch the platform has confirmed.
func (c *Client) openWatch(ctx context.Context, cancel context.CancelCauseFunc, prefix string, after sqkv.Version) (watchStream, string, error) {
	opening, stop := context.WithTimeout(ctx, c.timeout())
	defer stop()
	addresses := c.order()
	conn, i, err := c.connect(opening, addresses)
	if err != nil {
		return nil, "", err
	}
	// The stream lives as long as ctx, so the bound on its opening is a timer.
	bound := time.AfterFunc(c.timeout(), func() { cancel(errOpening) })
	defer bound.Stop()
	stream, err := wire.NewWatchClient(conn).Watch(ctx)
	if err != nil {
		return nil, addresses[i], err
	}
	if err := stream.Send(createRequest(prefix, after)); err != nil {
		return nil, addresses[i], err
	}
	answer, err := stream.Recv()
	if err != nil {
		return nil, addresses[i], err
	}
	if answer.GetCanceled() {
		return nil, addresses[i], cancelReason(answer)
	}
	return stream, addresses[i], nil
}

func createRequest(prefix string, after sqkv.Version) *wire.WatchRequest {
	create := &wire.WatchCreateRequest{
		Key:           []byte(prefix),
		RangeEnd:      rangeEnd(prefix),
		StartRevision: int64(after) + 1,
	}
	return &wire.WatchRequest{RequestUnion: &wire.WatchRequest_CreateRequest{CreateRequest: create}}
}

func cancelReason(answer *wire.WatchResponse) error {
	if answer.GetCompactRevision() > 0 {
		return sqkv.ErrCompacted
	}
	return errors.Errorf("platform ended the watch: %s", answer.GetCancelReason())
}

func (c *Client) watchEnd(ctx context.Context, address string, err error) error {
	if errors.Is(err, sqkv.ErrCompacted) {
		return refusal(CallWatch, err)
	}
	if ctx.Err() != nil && context.Cause(ctx) != errOpening {
		return ctx.Err()
	}
	if address != "" {
		c.avoid(address, err)
	}
	return failure(CallWatch, sqkv.ErrUnavailable, err)
}

func eventOf(e *wire.Event) sqkv.Event {
	record := recordOf(e.GetKv())
	if e.GetType() == wire.Event_DELETE {
		record.Value = nil
		return sqkv.Event{Record: record, Deleted: true}
	}
	return sqkv.Event{Record: record}
}
