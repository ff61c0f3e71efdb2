package sqdaemon

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqtimer"
)

const (
	// leaveTimeout bounds the announcement to the peers that the daemon leaves.
	leaveTimeout = 2 * time.Second
	// leaveGrace is how long the daemon goes on serving after the announcement, for
	// peers and callers that have not received it yet.
	leaveGrace = 500 * time.Millisecond
	// handoverTimeout bounds the handover of shards.
	handoverTimeout = 5 * time.Second
	drainPoll       = 10 * time.Millisecond
	// closeMargin is the part of the stop that no accepted request may use; requests that
	// took longer than expected may still end in it.
	closeMargin = 500 * time.Millisecond
	// shutdownTime is the time reserved for closing connections.
	shutdownTime = 100 * time.Millisecond
	// exitMargin is the part of the StopTimeout setting that is left for the process to
	// end: who stops it may kill it as soon as that time has passed.
	exitMargin = 300 * time.Millisecond
)

// stop stops the daemon gracefully, in the order that the package comment describes. It
// returns an error if calls were aborted because the time had passed that the StopTimeout
// setting leaves, or abort had ended.
func (d *Daemon) stop(abort context.Context) error {
	timeout := time.Duration(d.Settings.StopTimeout)
	timeout = max(timeout/2, timeout-exitMargin)
	ctx, cancel := context.WithTimeout(abort, timeout)
	defer cancel()
	acceptFor := max(timeout/2, timeout-closeMargin)
	d.Logger.Info("stopping", "endsWithinMs", timeout.Milliseconds(), "requestsEndWithinMs", acceptFor.Milliseconds())
	d.stopState.Begin(time.Now().Add(acceptFor))
	d.leave(ctx)
	_ = sqtimer.Sleep(ctx, leaveGrace)
	if d.Adapter != nil {
		d.awaitCallers(ctx)
	}
	d.stopState.Close()
	d.targets.DrainAll()
	var wg sync.WaitGroup
	wg.Go(func() { d.callers.shutdown(ctx, d.Logger) })
	wg.Go(func() { d.awaitDrained(ctx) })
	wg.Wait()
	aborted := d.calls.Len()
	d.local.shutdown(ctx, d.Logger)
	d.stopPeers(ctx)
	d.admin.shutdown(ctx, d.Logger)
	if d.readiness != nil {
		d.readiness.shutdown(ctx, d.Logger)
	}
	if aborted > 0 {
		return errors.Errorf("stop: calls aborted: %d", aborted)
	}
	d.Logger.Info("stopped")
	return nil
}

// leave announces to the peers that the daemon leaves, and hands over the shards that it
// keeps.
func (d *Daemon) leave(ctx context.Context) {
	stepCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := d.gossip.Leave(stepCtx); err != nil {
		d.Logger.Error(err, "announcing leaving to the peers failed")
	}
	if d.ledger == nil {
		return
	}
	stepCtx, cancel = context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	if err := d.ledger.Stop(stepCtx); err != nil {
		d.Logger.Error(err, "handing over shards failed")
	}
}

// awaitDrained waits until no call runs at the local targets, or ctx ends.
func (d *Daemon) awaitDrained(ctx context.Context) {
	for d.targets.PendingCalls()+d.calls.Len() > 0 && ctx.Err() == nil {
		_ = sqtimer.Sleep(ctx, drainPoll)
	}
}

// stopPeers stops serving the peers, gracefully until ctx ends.
func (d *Daemon) stopPeers(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		d.peers.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		d.peers.Stop()
		<-done
	}
}
