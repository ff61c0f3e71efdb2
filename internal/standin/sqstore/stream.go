package sqstore

import (
	"context"
	"sync"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"

	"github.com/sequoiatack/sequoiatack/internal/edge/sqetcd"
	wire "github.com/sequoiatack/sequoiatack/internal/wire/sqetcdwire"
)

// watchSession is a Watch stream, which carries any number of watches.
type watchSession struct {
	store  *Store
	stream grpc.BidiStreamingServer[wire.WatchRequest, wire.WatchResponse]
	// cancel ends the stream and all its watches.
	cancel context.CancelCauseFunc

	// mu guards ended, last and watches, and serialises sends on stream.
	mu    sync.Mutex
	ended bool
	// last is the id of the latest watch.
	last    int64
	watches map[int64]context.CancelFunc
	wg      sync.WaitGroup
}

// Watch serves a stream of watches until the client or an error ends it.
func (s *service) Watch(stream grpc.BidiStreamingServer[wire.WatchRequest, wire.WatchResponse]) error {
	ctx, cancel := context.WithCancelCause(stream.Context())
	defer cancel(nil)
	session := &watchSession{store: s.store, stream: stream, cancel: cancel, watches: make(map[int64]context.CancelFunc)}
	go session.receive(ctx)
	<-ctx.Done()
	session.close()
	return toStatus(context.Cause(ctx))
}

// close rejects new watches and waits for the open ones to end.
func (w *watchSession) close() {
	w.mu.Lock()
	w.ended = true
	w.mu.Unlock()
	w.wg.Wait()
}

func (w *watchSession) receive(ctx context.Context) {
	for {
		r, err := w.stream.Recv()
		if err != nil {
			w.cancel(err)
			return
		}
		switch {
		case r.GetCreateRequest() != nil:
			w.create(ctx, r.GetCreateRequest())
		case r.GetCancelRequest() != nil:
			w.cancelWatch(r.GetCancelRequest().GetWatchId())
		case r.GetProgressRequest() != nil:
			_, revision, _ := w.store.apply(nil)
			w.send(&wire.WatchResponse{Header: header(revision), WatchId: -1})
		}
	}
}

func (w *watchSession) create(ctx context.Context, r *wire.WatchCreateRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	w.last++
	id := w.last
	ctx, cancel := context.WithCancel(ctx)
	w.watches[id] = cancel
	w.wg.Go(func() { w.run(ctx, id, r) })
}

// cancelWatch cancels a watch and confirms it to the client.
func (w *watchSession) cancelWatch(id int64) {
	w.mu.Lock()
	cancel := w.watches[id]
	delete(w.watches, id)
	w.mu.Unlock()
	if cancel != nil {
		cancel()
		w.send(&wire.WatchResponse{Header: header(0), WatchId: id, Canceled: true})
	}
}

func (w *watchSession) run(ctx context.Context, id int64, r *wire.WatchCreateRequest) {
	cancelled, from, done := w.store.beginWatch(r.GetStartRevision())
	defer done()
	if err := w.store.beginCall(ctx, sqetcd.CallWatch); err != nil {
		w.cancel(err)
		return
	}
	w.send(&wire.WatchResponse{Header: header(from - 1), WatchId: id, Created: true})
	keys := keyRange{start: string(r.GetKey()), end: string(r.GetRangeEnd())}
	for {
		changes, next, err := w.store.wait(ctx, keys, from, cancelled)
		switch {
		case errors.Is(err, errCompacted):
			w.send(&wire.WatchResponse{Header: header(0), WatchId: id, Canceled: true, CompactRevision: from})
			return
		case errors.Is(err, errWatchCancelled):
			w.cancel(err)
			return
		case err != nil:
			return
		}
		from = next
		w.send(watchResponse(id, changes, next-1))
	}
}

func watchResponse(id int64, changes []change, revision int64) *wire.WatchResponse {
	answer := &wire.WatchResponse{Header: header(revision), WatchId: id}
	for _, c := range changes {
		answer.Events = append(answer.Events, c.wire())
	}
	return answer
}

// send sends one message. If that fails, it cancels all watches of the stream.
func (w *watchSession) send(r *wire.WatchResponse) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.stream.Send(r); err != nil {
		w.cancel(err)
	}
}
