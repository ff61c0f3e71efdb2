package sqstore

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/sequoiatack/sequoiatack/internal/edge/sqetcd"
	wire "github.com/sequoiatack/sequoiatack/internal/wire/sqetcdwire"
)

// service implements the supported subset of the etcd v3 API on a Store.
type service struct {
	wire.UnimplementedKVServer
	wire.UnimplementedLeaseServer
	wire.UnimplementedWatchServer

	store *Store
}

// Range reads keys at the latest revision.
func (s *service) Range(ctx context.Context, r *wire.RangeRequest) (*wire.RangeResponse, error) {
	kind := sqetcd.CallGet
	if len(r.GetRangeEnd()) > 0 {
		kind = sqetcd.CallList
	}
	if r.GetRevision() != 0 {
		return nil, status.Error(codes.Unimplemented, "reads at an earlier revision are not supported")
	}
	if err := s.store.beginCall(ctx, kind); err != nil {
		return nil, toStatus(err)
	}
	results, revision, err := s.store.apply([]operation{rangeOperation(r)})
	if err != nil {
		return nil, toStatus(err)
	}
	return rangeResponse(r, results[0], revision), nil
}

// Put writes one key.
func (s *service) Put(ctx context.Context, r *wire.PutRequest) (*wire.PutResponse, error) {
	var revision int64
	err := s.store.write(ctx, sqetcd.CallSwap, func() (err error) {
		_, revision, err = s.store.apply([]operation{putOperation(r)})
		return err
	})
	if err != nil {
		return nil, toStatus(err)
	}
	return &wire.PutResponse{Header: header(revision)}, nil
}

// DeleteRange deletes a key or a range of keys.
func (s *service) DeleteRange(ctx context.Context, r *wire.DeleteRangeRequest) (*wire.DeleteRangeResponse, error) {
	var revision int64
	var results []result
	err := s.store.write(ctx, sqetcd.CallDelete, func() (err error) {
		results, revision, err = s.store.apply([]operation{deleteOperation(r)})
		return err
	})
	if err != nil {
		return nil, toStatus(err)
	}
	return &wire.DeleteRangeResponse{Header: header(revision), Deleted: int64(len(results[0].records))}, nil
}

// Txn compares keys and atomically runs the success or failure operations.
func (s *service) Txn(ctx context.Context, r *wire.TxnRequest) (*wire.TxnResponse, error) {
	conditions := make(map[string]condition)
	for _, c := range r.GetCompare() {
		if _, ok := conditions[string(c.GetKey())]; ok || len(c.GetRangeEnd()) > 0 {
			return nil, status.Error(codes.Unimplemented, "more than one compare for a key, or a compare of a range, is not supported")
		}
		conditions[string(c.GetKey())] = compareCondition(c)
	}
	success, err := txnOperations(r.GetSuccess())
	if err != nil {
		return nil, err
	}
	failure, err := txnOperations(r.GetFailure())
	if err != nil {
		return nil, err
	}
	answer := &wire.TxnResponse{}
	err = s.store.write(ctx, txnKind(r), func() error {
		succeeded, results, revision, err := s.store.compareAndApply(conditions, success, failure)
		answer.Header, answer.Succeeded = header(revision), succeeded
		ran := r.GetSuccess()
		if !succeeded {
			ran = r.GetFailure()
		}
		for i := range results {
			answer.Responses = append(answer.Responses, responseOp(ran[i], results[i], revision))
		}
		return err
	})
	if err != nil {
		return nil, toStatus(err)
	}
	return answer, nil
}

// LeaseGrant creates a lease.
func (s *service) LeaseGrant(ctx context.Context, r *wire.LeaseGrantRequest) (*wire.LeaseGrantResponse, error) {
	if r.GetTTL() <= 0 {
		return nil, status.Error(codes.InvalidArgument, "TTL must be positive")
	}
	if err := s.store.beginCall(ctx, sqetcd.CallGrant); err != nil {
		return nil, toStatus(err)
	}
	id := s.store.grant(r.GetID(), time.Duration(r.GetTTL())*time.Second)
	return &wire.LeaseGrantResponse{Header: header(0), ID: id, TTL: r.GetTTL()}, nil
}

// LeaseRevoke removes a lease and its keys. It counts as a delete.
func (s *service) LeaseRevoke(ctx context.Context, r *wire.LeaseRevokeRequest) (*wire.LeaseRevokeResponse, error) {
	err := s.store.write(ctx, sqetcd.CallDelete, func() error {
		if !s.store.revoke(r.GetID()) {
			return errLeaseUnknown
		}
		return nil
	})
	if err != nil {
		return nil, toStatus(err)
	}
	return &wire.LeaseRevokeResponse{Header: header(0)}, nil
}

// LeaseKeepAlive renews a lease for each message received.
func (s *service) LeaseKeepAlive(stream grpc.BidiStreamingServer[wire.LeaseKeepAliveRequest, wire.LeaseKeepAliveResponse]) error {
	for {
		r, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := s.store.beginCall(stream.Context(), sqetcd.CallRenew); err != nil {
			return toStatus(err)
		}
		ttl := int64(s.store.renew(r.GetID()) / time.Second)
		answer := &wire.LeaseKeepAliveResponse{Header: header(0), ID: r.GetID(), TTL: ttl}
		if err := stream.Send(answer); err != nil {
			return err
		}
	}
}

func header(revision int64) *wire.ResponseHeader {
	return &wire.ResponseHeader{ClusterId: 1, MemberId: 1, Revision: revision, RaftTerm: 1}
}

// toStatus maps an error of the store to a gRPC status.
func toStatus(err error) error {
	switch {
	case errors.Is(err, errDown), errors.Is(err, errAnswerLost), errors.Is(err, errWatchCancelled):
		return status.Error(codes.Unavailable, err.Error())
	case errors.Is(err, errLeaseUnknown):
		return status.Error(codes.NotFound, "etcdserver: requested lease not found")
	}
	return status.FromContextError(err).Err()
}
