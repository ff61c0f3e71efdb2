package sqledger

import (
	"context"

	"google.golang.org/grpc"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqledgerwire"
)

// server is the gRPC service over a Ledger.
type server struct {
	sqledgerwire.UnimplementedLedgerServer
	l *Ledger
}

// Charge answers an entry's charges as they come, until the entry or this
// daemon ends.
func (s *server) Charge(stream grpc.BidiStreamingServer[sqledgerwire.ChargeBatch, sqledgerwire.DecisionBatch]) error {
	answers := &answerStream{l: s.l, stream: stream}
	failed := make(chan error, 1)
	go func() { failed <- answers.run() }()
	select {
	case err := <-failed:
		return err
	case <-s.l.ended:
		return nil
	}
}

// answerStream is the keeper's side of an entry's stream.
type answerStream struct {
	l      *Ledger
	stream grpc.BidiStreamingServer[sqledgerwire.ChargeBatch, sqledgerwire.DecisionBatch]
	out    combiner[[]*sqledgerwire.ChargeDecision]
	// told is the epoch of the newest record sent; the sender owns it.
	told sqid.Epoch
}

// run serves the batches until the entry ends the stream.
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

// serve answers what it can of a batch at once, in one message.
func (a *answerStream) serve(batch *sqledgerwire.ChargeBatch) error {
	now := make([]*sqledgerwire.ChargeDecision, 0, len(batch.Charges))
	for _, c := range batch.Charges {
		o, ok := a.l.decide(sqid.WorkspaceID(c.Workspace), func(o outcome) { a.later(c.Id, o) })
		if ok {
			now = append(now, decisionOf(c.Id, o))
		}
	}
	if len(now) == 0 {
		return nil
	}
	return a.out.add(now, a.send)
}

// later answers a charge that had to wait. It is called with a shard locked,
// so it leaves the sending to another goroutine.
func (a *answerStream) later(id uint64, o outcome) {
	a.l.tasks.spawn(func() {
		// A failed stream also fails at its reader, which ends it.
		_ = a.out.add([]*sqledgerwire.ChargeDecision{decisionOf(id, o)}, a.send)
	})
}

func decisionOf(id uint64, o outcome) *sqledgerwire.ChargeDecision {
	return &sqledgerwire.ChargeDecision{Id: id, Outcome: o.kind, RetryAfterUs: o.retryAfter.Microseconds()}
}

func (a *answerStream) send(batches [][]*sqledgerwire.ChargeDecision) error {
	m := &sqledgerwire.DecisionBatch{Decisions: batches[0]}
	for _, b := range batches[1:] {
		m.Decisions = append(m.Decisions, b...)
	}
	for _, d := range m.Decisions {
		if d.Outcome == sqledgerwire.Outcome_OUTCOME_NOT_KEEPING {
			m.Record = a.news()
			break
		}
	}
	return a.stream.Send(m)
}

// news returns the daemon's record if the stream has not carried it yet.
func (a *answerStream) news() []byte {
	r := a.l.view.Load().records[a.l.DataCentre]
	if r == nil || r.Epoch <= a.told {
		return nil
	}
	a.told = r.Epoch
	return r.Encode()
}

// Lend answers the keeper of another data centre.
func (s *server) Lend(_ context.Context, r *sqledgerwire.LendRequest) (*sqledgerwire.LendAnswer, error) {
	return s.l.serveLend(r), nil
}

// Witness answers with the epoch that this daemon knows.
func (s *server) Witness(_ context.Context, r *sqledgerwire.WitnessRequest) (*sqledgerwire.WitnessAnswer, error) {
	return s.l.serveWitness(r), nil
}

// Handover takes over shards whose keeper has stopped.
func (s *server) Handover(_ context.Context, r *sqledgerwire.HandoverRequest) (*sqledgerwire.HandoverAnswer, error) {
	return s.l.serveHandover(r), nil
}
