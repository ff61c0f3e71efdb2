package sqledger

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqledgerwire"
)

var errStreamEnded = errors.New("stream of charges ended")

// combiner sends values that come from several goroutines in batches, in
// order. Whoever adds a value while nobody sends sends all that are there.
type combiner[T any] struct {
	mu      sync.Mutex
	queue   []T
	spare   []T
	sending bool
}

// add queues v; the caller may be made to send it and others by send.
func (c *combiner[T]) add(v T, send func([]T) error) error {
	c.mu.Lock()
	c.queue = append(c.queue, v)
	if c.sending {
		c.mu.Unlock()
		return nil
	}
	c.sending = true
	for len(c.queue) > 0 {
		batch := c.queue
		c.queue = c.spare[:0]
		c.mu.Unlock()
		if err := send(batch); err != nil {
			return err
		}
		c.mu.Lock()
		clear(batch)
		c.spare = batch
	}
	c.sending = false
	c.mu.Unlock()
	return nil
}

// chargeStream is an entry's standing stream to one keeper.
type chargeStream struct {
	stream sqledgerwire.Ledger_ChargeClient
	cancel context.CancelFunc
	learn  func([]byte)
	out    combiner[*sqledgerwire.ChargeRequest]

	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan outcome
	err     error
}

func (s *chargeStream) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err != nil
}

// charge sends one charge and waits for its answer.
func (s *chargeStream) charge(ctx context.Context, w sqid.WorkspaceID) (outcome, error) {
	answer := make(chan outcome, 1)
	id, err := s.expect(answer)
	if err != nil {
		return notKeeping, err
	}
	if err := s.out.add(&sqledgerwire.ChargeRequest{Id: id, Workspace: string(w)}, s.send); err != nil {
		s.end(err)
	}
	select {
	case o, ok := <-answer:
		if !ok {
			return notKeeping, errStreamEnded
		}
		return o, nil
	case <-ctx.Done():
		s.forget(id)
		return notKeeping, ctx.Err()
	}
}

func (s *chargeStream) expect(answer chan outcome) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return 0, s.err
	}
	s.lastID++
	s.pending[s.lastID] = answer
	return s.lastID, nil
}

func (s *chargeStream) forget(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, id)
}

func (s *chargeStream) send(batch []*sqledgerwire.ChargeRequest) error {
	return s.stream.Send(&sqledgerwire.ChargeBatch{Charges: batch})
}

// receive hands out the answers until the stream ends.
func (s *chargeStream) receive() {
	for {
		batch, err := s.stream.Recv()
		if err != nil {
			s.end(err)
			return
		}
		if len(batch.Record) > 0 {
			s.learn(batch.Record)
		}
		s.mu.Lock()
		for _, d := range batch.Decisions {
			if answer, ok := s.pending[d.Id]; ok {
				delete(s.pending, d.Id)
				answer <- outcome{kind: d.Outcome, retryAfter: time.Duration(d.RetryAfterUs) * time.Microsecond}
			}
		}
		s.mu.Unlock()
	}
}

// end fails the charges under way; the stream is of no more use.
func (s *chargeStream) end(err error) {
	if errors.Is(err, io.EOF) {
		err = errStreamEnded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return
	}
	s.err = err
	for _, answer := range s.pending {
		close(answer)
	}
	s.pending = nil
	s.cancel()
}
