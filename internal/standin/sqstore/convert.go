package sqstore

import (
	"bytes"
	"cmp"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/sequoiatack/sequoiatack/internal/edge/sqetcd"
	wire "github.com/sequoiatack/sequoiatack/internal/wire/sqetcdwire"
)

func rangeOperation(r *wire.RangeRequest) operation {
	return operation{read: &keyRange{start: string(r.GetKey()), end: string(r.GetRangeEnd())}}
}

func deleteOperation(r *wire.DeleteRangeRequest) operation {
	return operation{remove: &keyRange{start: string(r.GetKey()), end: string(r.GetRangeEnd())}}
}

func putOperation(r *wire.PutRequest) operation {
	return operation{put: &record{key: string(r.GetKey()), value: r.GetValue(), lease: r.GetLease()}}
}

func txnOperations(requests []*wire.RequestOp) ([]operation, error) {
	ops := make([]operation, len(requests))
	for i, r := range requests {
		switch {
		case r.GetRequestRange() != nil:
			ops[i] = rangeOperation(r.GetRequestRange())
		case r.GetRequestPut() != nil:
			ops[i] = putOperation(r.GetRequestPut())
		case r.GetRequestDeleteRange() != nil:
			ops[i] = deleteOperation(r.GetRequestDeleteRange())
		default:
			return nil, status.Error(codes.Unimplemented, "operation is not supported by the stand-in")
		}
	}
	return ops, nil
}

// txnKind returns the kind of call as which a transaction is counted: a delete
// if it deletes keys on success, else a swap.
func txnKind(r *wire.TxnRequest) sqetcd.CallKind {
	for _, op := range r.GetSuccess() {
		if op.GetRequestDeleteRange() != nil {
			return sqetcd.CallDelete
		}
	}
	return sqetcd.CallSwap
}

func compareCondition(c *wire.Compare) condition {
	return func(r record) bool {
		var order int
		switch c.GetTarget() {
		case wire.Compare_VERSION:
			order = cmp.Compare(r.version, c.GetVersion())
		case wire.Compare_CREATE:
			order = cmp.Compare(r.created, c.GetCreateRevision())
		case wire.Compare_MOD:
			order = cmp.Compare(r.modified, c.GetModRevision())
		case wire.Compare_LEASE:
			order = cmp.Compare(r.lease, c.GetLease())
		case wire.Compare_VALUE:
			order = bytes.Compare(r.value, c.GetValue())
		}
		switch c.GetResult() {
		case wire.Compare_GREATER:
			return order > 0
		case wire.Compare_LESS:
			return order < 0
		case wire.Compare_NOT_EQUAL:
			return order != 0
		default:
			return order == 0
		}
	}
}

func responseOp(r *wire.RequestOp, got result, revision int64) *wire.ResponseOp {
	switch {
	case r.GetRequestRange() != nil:
		answer := rangeResponse(r.GetRequestRange(), got, revision)
		return &wire.ResponseOp{Response: &wire.ResponseOp_ResponseRange{ResponseRange: answer}}
	case r.GetRequestDeleteRange() != nil:
		answer := &wire.DeleteRangeResponse{Header: header(revision), Deleted: int64(len(got.records))}
		return &wire.ResponseOp{Response: &wire.ResponseOp_ResponseDeleteRange{ResponseDeleteRange: answer}}
	}
	answer := &wire.PutResponse{Header: header(revision)}
	return &wire.ResponseOp{Response: &wire.ResponseOp_ResponsePut{ResponsePut: answer}}
}

func rangeResponse(r *wire.RangeRequest, got result, revision int64) *wire.RangeResponse {
	answer := &wire.RangeResponse{Header: header(revision), Count: int64(len(got.records))}
	if r.GetCountOnly() {
		return answer
	}
	records := got.records
	if limit := r.GetLimit(); limit > 0 && int64(len(records)) > limit {
		records, answer.More = records[:limit], true
	}
	for _, record := range records {
		kv := record.wire()
		if r.GetKeysOnly() {
			kv.Value = nil
		}
		answer.Kvs = append(answer.Kvs, kv)
	}
	return answer
}

func (r record) wire() *wire.KeyValue {
	return &wire.KeyValue{
		Key: []byte(r.key), CreateRevision: r.created, ModRevision: r.modified,
		Version: r.version, Value: r.value, Lease: r.lease,
	}
}

func (c change) wire() *wire.Event {
	e := &wire.Event{Type: wire.Event_PUT, Kv: c.record.wire()}
	if c.deleted {
		e.Type = wire.Event_DELETE
	}
	return e
}
