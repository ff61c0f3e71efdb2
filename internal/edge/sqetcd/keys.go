package sqetcd

import (
	"context"

	"github.com/sequoiatack/sequoiatack/internal/state/sqkv"

	"google.golang.org/grpc"

	wire "github.com/sequoiatack/sequoiatack/internal/wire/sqetcdwire"
)

// Get returns the record at key; its version is 0 if there is none.
func (c *Client) Get(ctx context.Context, key string) (sqkv.Record, error) {
	records, _, err := c.list(ctx, CallGet, &wire.RangeRequest{Key: []byte(key)})
	if err != nil || len(records) == 0 {
		return sqkv.Record{Key: key}, err
	}
	return records[0], nil
}

// List returns the records whose keys begin with prefix, in key order, and
// the platform's version at which they were read.
func (c *Client) List(ctx context.Context, prefix string) ([]sqkv.Record, sqkv.Version, error) {
	return c.list(ctx, CallList, &wire.RangeRequest{Key: []byte(prefix), RangeEnd: rangeEnd(prefix)})
}

func (c *Client) list(ctx context.Context, kind CallKind, r *wire.RangeRequest) ([]sqkv.Record, sqkv.Version, error) {
	var answer *wire.RangeResponse
	err := c.read(ctx, kind, func(ctx context.Context, conn grpc.ClientConnInterface) (err error) {
		answer, err = wire.NewKVClient(conn).Range(ctx, r)
		return err
	})
	if err != nil {
		return nil, 0, err
	}
	records := make([]sqkv.Record, len(answer.GetKvs()))
	for i, kv := range answer.GetKvs() {
		records[i] = recordOf(kv)
	}
	return records, sqkv.Version(answer.GetHeader().GetRevision()), nil
}

// Swap writes value at key, under lease if that is not 0, if the key's version is still
// expected. It returns the new version.
func (c *Client) Swap(ctx context.Context, key string, expected sqkv.Version, value []byte, lease sqkv.LeaseID) (sqkv.Version, error) {
	put := &wire.PutRequest{Key: []byte(key), Value: value, Lease: int64(lease)}
	return c.txn(ctx, CallSwap, key, expected, &wire.RequestOp{
		Request: &wire.RequestOp_RequestPut{RequestPut: put},
	})
}

// Delete removes key if its version is still expected.
func (c *Client) Delete(ctx context.Context, key string, expected sqkv.Version) error {
	_, err := c.txn(ctx, CallDelete, key, expected, &wire.RequestOp{
		Request: &wire.RequestOp_RequestDeleteRange{RequestDeleteRange: &wire.DeleteRangeRequest{Key: []byte(key)}},
	})
	return err
}

// txn executes op on key in a transaction that requires the key's version to be the
// expected one.
func (c *Client) txn(ctx context.Context, kind CallKind, key string, expected sqkv.Version, op *wire.RequestOp) (sqkv.Version, error) {
	r := &wire.TxnRequest{
		Compare: []*wire.Compare{{
			Result:      wire.Compare_EQUAL,
			Target:      wire.Compare_MOD,
			Key:         []byte(key),
			TargetUnion: &wire.Compare_ModRevision{ModRevision: int64(expected)},
		}},
		Success: []*wire.RequestOp{op},
	}
	var version sqkv.Version
	err := c.write(ctx, kind, func(ctx context.Context, conn grpc.ClientConnInterface) error {
		answer, err := wire.NewKVClient(conn).Txn(ctx, r)
		if err != nil {
			return err
		}
		if !answer.GetSucceeded() {
			return sqkv.ErrConflict
		}
		version = sqkv.Version(answer.GetHeader().GetRevision())
		return nil
	})
	return version, err
}

// rangeEnd returns the first key after all those that begin with prefix.
func rangeEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

func recordOf(kv *wire.KeyValue) sqkv.Record {
	return sqkv.Record{Key: string(kv.GetKey()), Value: kv.GetValue(), Version: sqkv.Version(kv.GetModRevision())}
}
