package sqetcd

import (
	"context"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/state/sqkv"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"

	wire "github.com/sequoiatack/sequoiatack/internal/wire/sqetcdwire"
)

// errOpenTimeout means that the platform did not confirm a watch in time.
var errOpenTimeout = errors.New("watch was not confirmed in time")

type watchStream = grpc.BidiStreamingClient[wire.WatchRequest, wire.WatchResponse]

// Watch calls f, in order, with each change after the version after to a key that
// begins with prefix. It returns ctx's error, sqkv.ErrUnavailable, sqkv.ErrCompacted or
// f's error.
func (c *Client) Watch(ctx context.Context, prefix string, after sqkv.Version, f func(sqkv.Event) error) error {
	c.count(CallWatch)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stream, address, err := c.openWatch(ctx, cancel, prefix, after)
	if err != nil {
		return c.watchError(ctx, address, err)
	}
	for {
		answer, err := stream.Recv()
		if err != nil {
			return c.watchError(ctx, address, err)
		}
		if answer.GetCanceled() {
			return c.watchError(ctx, address, cancelReason(answer))
		}
		for _, e := range answer.GetEvents() {
			if err := f(eventOf(e)); err != nil {
				return err
			}
		}
	}
}

// openWatch opens a watch and returns its stream, once the platform has confirmed it,
// and the address.
func (c *Client) openWatch(ctx context.Context, cancel context.CancelCauseFunc, prefix string, after sqkv.Version) (watchStream, string, error) {
	openCtx, stop := context.WithTimeout(ctx, c.timeout())
	defer stop()
	addresses := c.orderedAddresses()
	conn, i, err := c.connect(openCtx, addresses)
	if err != nil {
		return nil, "", err
	}
	// A deadline on ctx would end the stream later on, so a timer bounds the opening.
	timer := time.AfterFunc(c.timeout(), func() { cancel(errOpenTimeout) })
	defer timer.Stop()
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

// cancelReason returns the error for a watch that the platform has cancelled.
func cancelReason(answer *wire.WatchResponse) error {
	if answer.GetCompactRevision() > 0 {
		return sqkv.ErrCompacted
	}
	return errors.Errorf("platform ended the watch: %s", answer.GetCancelReason())
}

// watchError returns the error with which Watch ends. It demotes the address unless the
// caller ended the watch or the version was compacted.
func (c *Client) watchError(ctx context.Context, address string, err error) error {
	if errors.Is(err, sqkv.ErrCompacted) {
		return wrapError(CallWatch, err)
	}
	if ctx.Err() != nil && context.Cause(ctx) != errOpenTimeout {
		return ctx.Err()
	}
	if address != "" {
		c.demote(address, err)
	}
	return storeError(CallWatch, sqkv.ErrUnavailable, err)
}

func eventOf(e *wire.Event) sqkv.Event {
	record := recordOf(e.GetKv())
	if e.GetType() == wire.Event_DELETE {
		record.Value = nil
		return sqkv.Event{Record: record, Deleted: true}
	}
	return sqkv.Event{Record: record}
}
