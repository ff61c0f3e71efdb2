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

var errStreamEnded = errors.New("the stream of charges has ended")

// batchSender sends values of several goroutines in order and in batches. A goroutine
// that adds a value while no other sends becomes the sender until the queue is empty.
type batchSender[T any] struct {
	mu    sync.Mutex
	queue []T
	// spare is the buffer of the last batch, for reuse.
	spare   []T
	sending bool
}

// add queues v. If no other goroutine is sending, it calls send until the queue is empty,
// also with values of others. After an error of send, nothing more is sent.
func (c *batchSender[T]) add(v T, send func([]T) error) error {
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

// chargeStream is an entry's long-lived stream of charges to one keeper.
type chargeStream struct {
	stream   sqledgerwire.Ledger_ChargeClient
	cancel   context.CancelFunc
	onRecord func([]byte)
	out      batchSender[*sqledgerwire.ChargeRequest]

	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan outcome
	err     error
}

func (s *chargeStream) hasFailed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err != nil
}

// charge sends one charge and waits for its answer.
func (s *chargeStream) charge(ctx context.Context, w sqid.WorkspaceID) (outcome, error) {
	answer := make(chan outcome, 1)
	id, err := s.addPending(answer)
	if err != nil {
		return notKeeping, err
	}
	if err := s.out.add(&sqledgerwire.ChargeRequest{Id: id, Workspace: string(w)}, s.send); err != nil {
		s.fail(err)
	}
	select {
	case o, ok := <-answer:
		if !ok {
			return notKeeping, errStreamEnded
		}
		return o, nil
	case <-ctx.Done():
		s.dropPending(id)
		return notKeeping, ctx.Err()
	}
}

// addPending registers a channel for the answer to a new charge, and returns the id of the
// charge.
func (s *chargeStream) addPending(answer chan outcome) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return 0, s.err
	}
	s.lastID++
	s.pending[s.lastID] = answer
	return s.lastID, nil
}

func (s *chargeStream) dropPending(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, id)
}

func (s *chargeStream) send(batch []*sqledgerwire.ChargeRequest) error {
	return s.stream.Send(&sqledgerwire.ChargeBatch{Charges: batch})
}

// receive passes the answers to the waiting charges until the stream ends.
func (s *chargeStream) receive() {
	for {
		batch, err := s.stream.Recv()
		if err != nil {
			s.fail(err)
			return
		}
		if len(batch.Record) > 0 {
			s.onRecord(batch.Record)
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

// fail closes the stream and fails the pending charges.
func (s *chargeStream) fail(err error) {
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
