package sqdaemon

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqtimer"
)

const (
	// leaveTimeout bounds the word to the peers.
	leaveTimeout = 2 * time.Second
	// settleTime is how long the daemon serves on after that word, for the
	// peers and callers that have yet to hear it.
	settleTime = 500 * time.Millisecond
	// handoverTimeout bounds the handover of shards.
	handoverTimeout = 5 * time.Second
	drainPoll       = 10 * time.Millisecond
)

// stop ends the service in order. It returns an error if requests were cut,
// because stopTimeout has passed or now has ended.
func (d *Daemon) stop(now context.Context) error {
	d.Logger.Info("stopping")
	d.stopping.Store(true)
	ctx, cancel := context.WithTimeout(now, time.Duration(d.Settings.StopTimeout))
	defer cancel()
	d.leave(ctx)
	_ = sqtimer.Sleep(ctx, settleTime)
	if d.Adapter != nil {
		d.awaitCallers(ctx)
	}
	d.targets.DrainAll()
	var wg sync.WaitGroup
	wg.Go(func() { d.callers.shutdown(ctx, d.Logger) })
	wg.Go(func() { d.drained(ctx) })
	wg.Wait()
	cut := d.calls.Len()
	d.local.shutdown(ctx, d.Logger)
	d.stopPeers(ctx)
	d.admin.shutdown(ctx, d.Logger)
	if d.readiness != nil {
		d.readiness.shutdown(ctx, d.Logger)
	}
	if cut > 0 {
		return errors.Errorf("stop: calls cut: %d", cut)
	}
	d.Logger.Info("stopped")
	return nil
}

// leave tells the peers, and hands over what this daemon keeps.
func (d *Daemon) leave(ctx context.Context) {
	within, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := d.gossip.Leave(within); err != nil {
		d.Logger.Error(err, "leaving was not passed on")
	}
	if d.ledger == nil {
		return
	}
	within, cancel = context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	if err := d.ledger.Stop(within); err != nil {
		d.Logger.Error(err, "shards were not handed over")
	}
}

// drained waits until no call runs at the local targets.
func (d *Daemon) drained(ctx context.Context) {
	for d.targets.Running()+d.calls.Len() > 0 && ctx.Err() == nil {
		_ = sqtimer.Sleep(ctx, drainPoll)
	}
}

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
