package sqledger

import (
	"context"

	"google.golang.org/grpc"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqledgerwire"
)

// server is the gRPC service of a Ledger.
type server struct {
	sqledgerwire.UnimplementedLedgerServer
	l *Ledger
}

// Charge answers the charges of an entry's stream, until the stream ends or this daemon has
// stopped.
func (s *server) Charge(stream grpc.BidiStreamingServer[sqledgerwire.ChargeBatch, sqledgerwire.DecisionBatch]) error {
	answers := &answerStream{l: s.l, stream: stream}
	failed := make(chan error, 1)
	go func() { failed <- answers.run() }()
	select {
	case err := <-failed:
		return err
	case <-s.l.stopped:
		return nil
	}
}

// answerStream is the keeper's side of an entry's stream of charges.
type answerStream struct {
	l      *Ledger
	stream grpc.BidiStreamingServer[sqledgerwire.ChargeBatch, sqledgerwire.DecisionBatch]
	out    batchSender[[]*sqledgerwire.ChargeDecision]
	// sentEpoch is the epoch of the newest record sent. Only send uses it, which never
	// runs twice at a time.
	sentEpoch sqid.Epoch
}

// run serves batches of charges until the stream ends.
func (a *answerStream) run() error {
	for {
		batch, err := a.stream.Recv()
		if err != nil {
			return nil
		}
		if err := a.serve(batch); err != nil {
			return err
		}
	}
}

// serve decides a batch of charges. It sends the outcomes that are known at once in one
// message.
func (a *answerStream) serve(batch *sqledgerwire.ChargeBatch) error {
	now := make([]*sqledgerwire.ChargeDecision, 0, len(batch.Charges))
	for _, c := range batch.Charges {
		o, ok := a.l.decide(sqid.WorkspaceID(c.Workspace), func(o outcome) { a.answerLater(c.Id, o) })
		if ok {
			now = append(now, decisionOf(c.Id, o))
		}
	}
	if len(now) == 0 {
		return nil
	}
	return a.out.add(now, a.send)
}

// answerLater answers a charge that had to wait. It is called while a shard is locked, so
// it sends from another goroutine.
func (a *answerStream) answerLater(id uint64, o outcome) {
	a.l.tasks.spawn(func() {
		// The error can be ignored: run fails too and ends the stream.
		_ = a.out.add([]*sqledgerwire.ChargeDecision{decisionOf(id, o)}, a.send)
	})
}

func decisionOf(id uint64, o outcome) *sqledgerwire.ChargeDecision {
	return &sqledgerwire.ChargeDecision{Id: id, Outcome: o.kind, RetryAfterUs: o.retryAfter.Microseconds()}
}

// send sends batches of decisions in one message, with the keepers record if this daemon
// does not keep the shard of a charge.
func (a *answerStream) send(batches [][]*sqledgerwire.ChargeDecision) error {
	m := &sqledgerwire.DecisionBatch{Decisions: batches[0]}
	for _, b := range batches[1:] {
		m.Decisions = append(m.Decisions, b...)
	}
	for _, d := range m.Decisions {
		if d.Outcome == sqledgerwire.Outcome_OUTCOME_NOT_KEEPING {
			m.Record = a.unsentRecord()
			break
		}
	}
	return a.stream.Send(m)
}

// unsentRecord returns the data centre's encoded record if it has not been sent on this
// stream yet.
func (a *answerStream) unsentRecord() []byte {
	r := a.l.view.Load().records[a.l.DataCentre]
	if r == nil || r.Epoch <= a.sentEpoch {
		return nil
	}
	a.sentEpoch = r.Epoch
	return r.Encode()
}

// Lend serves a request of another data centre's keeper.
func (s *server) Lend(_ context.Context, r *sqledgerwire.LendRequest) (*sqledgerwire.LendAnswer, error) {
	return s.l.serveLend(r), nil
}

// Witness answers which epoch this daemon knows.
func (s *server) Witness(_ context.Context, r *sqledgerwire.WitnessRequest) (*sqledgerwire.WitnessAnswer, error) {
	return s.l.serveWitness(r), nil
}

// Handover receives the state of shards whose keeper has stopped spending them.
func (s *server) Handover(_ context.Context, r *sqledgerwire.HandoverRequest) (*sqledgerwire.HandoverAnswer, error) {
	return s.l.serveHandover(r), nil
}
