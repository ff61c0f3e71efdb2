package sqdemo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqsettings"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqload"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqsimtarget"
)

// eventRecord records what the checks need to know of the events. Times are in Unix
// nanoseconds.
type eventRecord struct {
	// withdrawnAt is when the change of the lists was accepted, refusedAfter the
	// time from then until every daemon refused the key.
	withdrawnAt  int64
	refusedAfter time.Duration
	drainedAt    int64
	// drainExit and stopExit are the exit statuses of the drained target and the
	// stopped daemon; -1 for a daemon that did not end in time.
	drainExit int
	stopExit  int
	// stopLoadResult is of the load through the stopped daemon.
	stopLoadResult     *sqload.Result
	killedAt           int64
	repeatedOperations int
	// upload is the request with the large body.
	upload sqload.Sample
}

// playEvents runs the events of the demo one after the other; each waits for its
// time.
func (d *Demo) playEvents(ctx context.Context) (*eventRecord, error) {
	rec := &eventRecord{}
	for _, event := range []func(context.Context, *eventRecord) error{
		d.crossAnswers, d.repeatOperations, d.withdrawKey, d.sendPhoto, d.drainTarget, d.stopDaemon, d.platformOutage, d.killDaemon,
	} {
		if err := event(ctx, rec); err != nil {
			return nil, err
		}
	}
	return rec, nil
}

const (
	crossRate = 300
	// crossSeed and stopSeed are added to the demo's seed, so that the loads of the
	// events differ from the load of loadConfig.
	crossSeed = 2000
	stopSeed  = 1000
)

// crossAnswers makes every calendar target send some answers twice and truncate
// others, while the probe workspace sends requests.
func (d *Demo) crossAnswers(ctx context.Context, _ *eventRecord) error {
	d.waitUntil(surgeFrom)
	d.logf("%s sends %d times its usual load", surgingWorkspace, surgeFactor)
	d.waitUntil(crossFrom)
	d.logf("targets send answers twice and cut answers")
	if err := d.setCalendarBehaviour(ctx, sqsimtarget.Behaviour{DuplicateEvery: 5, TruncateEvery: 9}); err != nil {
		return err
	}
	// With a single entry, connections to targets are reused at once, where the
	// second answer could be taken for that of the next request.
	cfg := d.workspaceConfig(probeWorkspace, crossRate)
	cfg.Seed += crossSeed
	cfg.Entries = cfg.Entries[:1]
	cfg.Duration = sqsettings.Span(crossFor)
	result, err := sqload.Run(ctx, cfg)
	if err != nil {
		return err
	}
	d.extraSamples = append(d.extraSamples, result.Samples...)
	return d.setCalendarBehaviour(ctx, sqsimtarget.Behaviour{})
}

func (d *Demo) setCalendarBehaviour(ctx context.Context, b sqsimtarget.Behaviour) error {
	for _, t := range d.fleet.Targets() {
		if t.Service != calendar {
			continue
		}
		if err := d.fleet.SetBehaviour(ctx, t, b); err != nil {
			return err
		}
	}
	return nil
}

const (
	operationCount    = 25
	sendsPerOperation = 4
)

// repeatOperations sends each of operationCount operations (requests with an
// idempotency key) through several entries at once.
func (d *Demo) repeatOperations(ctx context.Context, rec *eventRecord) error {
	d.waitUntil(repeatAt)
	d.logf("%d operations, each sent through %d entries at once", operationCount, sendsPerOperation)
	prober := sqload.NewProber(d.workspaceConfig(probeWorkspace, probeRate))
	entries := d.entries()
	samples := make([]sqload.Sample, operationCount*sendsPerOperation)
	var wg sync.WaitGroup
	for i := range samples {
		wg.Go(func() {
			n, send := i/sendsPerOperation, i%sendsPerOperation
			id := fmt.Sprintf("%d-repeat%d-%d", d.Seed, n, send)
			operation := fmt.Sprintf("repeat-%d", n)
			samples[i] = prober.Send(ctx, entries[(n+send*3)%len(entries)], id, operation, bookRoute)
		})
	}
	wg.Wait()
	d.extraSamples = append(d.extraSamples, samples...)
	rec.repeatedOperations = operationCount
	return nil
}

// withdrawKey removes the leaving workspace's key from the lists and waits until
// every daemon refuses it.
func (d *Demo) withdrawKey(ctx context.Context, rec *eventRecord) error {
	d.waitUntil(withdrawAt)
	d.logf("the key of %s is withdrawn", leavingWorkspace)
	withdrawn := *d.workspaceSpecs[leavingWorkspace]
	lists := d.lists()
	for i := range lists.Workspaces {
		if lists.Workspaces[i].Name == leavingWorkspace {
			lists.Workspaces[i].KeyDigests = []sqid.KeyDigest{}
		}
	}
	if _, err := d.fleet.PutList(ctx, d.fleet.Daemons()[1], "workspaces", lists.Workspaces); err != nil {
		return errors.Wrap(err, "withdraw the key")
	}
	accepted := time.Now()
	rec.withdrawnAt = accepted.UnixNano()
	cfg := d.workspaceConfig(leavingWorkspace, leavingRate)
	cfg.Workspaces[0].Key = withdrawn.Key
	rec.refusedAfter = d.waitRefused(ctx, sqload.NewProber(cfg), accepted)
	return nil
}

// refusalTimeout is the time within which every daemon must refuse a withdrawn key.
const refusalTimeout = 6 * time.Second

// waitRefused returns the time from accepted until every daemon refuses the prober's
// key, or refusalTimeout if some never does.
func (d *Demo) waitRefused(ctx context.Context, p *sqload.Prober, accepted time.Time) time.Duration {
	for n, daemon := range d.fleet.Daemons() {
		for {
			s := p.Send(ctx, daemon.EntryURL(), fmt.Sprintf("withdrawn-%d-%d", n, time.Now().UnixNano()), "", readRoute)
			d.extraSamples = append(d.extraSamples, s)
			if s.Attempts[0].Status == unauthorized {
				break
			}
			if time.Since(accepted) > refusalTimeout {
				return refusalTimeout
			}
			time.Sleep(pollEvery)
		}
	}
	return time.Since(accepted)
}

const unauthorized = 401

// sendPhoto sends one request with a large body.
func (d *Demo) sendPhoto(ctx context.Context, rec *eventRecord) error {
	d.logf("a body of %d MiB is sent", photoBytes>>20)
	prober := sqload.NewProber(d.workspaceConfig(probeWorkspace, probeRate))
	rec.upload = prober.Send(ctx, d.entries()[0], fmt.Sprintf("%d-photo-0", d.Seed), "", photoRoute)
	d.extraSamples = append(d.extraSamples, rec.upload)
	return nil
}

// drainTarget terminates a target with SIGTERM, on which it drains.
func (d *Demo) drainTarget(ctx context.Context, rec *eventRecord) error {
	rec.drainedAt = d.waitUntil(drainAt)
	d.logf("target of %s drains", drainedDaemon)
	ctx, cancel := context.WithTimeout(ctx, stopDeadline)
	defer cancel()
	var err error
	rec.drainExit, err = d.target(drainedDaemon).Terminate(ctx)
	return err
}

// stopDaemon terminates a daemon with SIGTERM while callers send through it.
func (d *Demo) stopDaemon(ctx context.Context, rec *eventRecord) error {
	d.waitUntil(stopAt - stopLoadLead)
	daemon := d.daemon(stoppedDaemon)
	cfg := d.workspaceConfig(probeWorkspace, probeRate)
	cfg.Seed += stopSeed
	cfg.Entries = []string{daemon.EntryURL()}
	cfg.Duration = sqsettings.Span(stopLoadFor)
	done := make(chan error, 1)
	go func() {
		var err error
		rec.stopLoadResult, err = sqload.Run(ctx, cfg)
		done <- err
	}()
	d.waitUntil(stopAt)
	d.logf("daemon %s is stopped", stoppedDaemon)
	stopping, cancel := context.WithTimeout(ctx, stopDeadline)
	defer cancel()
	var err error
	if rec.stopExit, err = daemon.Terminate(stopping); err != nil {
		rec.stopExit = -1
		d.logf("%v", err)
	}
	err = <-done
	if err == nil {
		d.extraSamples = append(d.extraSamples, rec.stopLoadResult.Samples...)
	}
	return err
}

// killDaemon kills a daemon with SIGKILL. Its target keeps running without a gate.
func (d *Demo) killDaemon(_ context.Context, rec *eventRecord) error {
	rec.killedAt = d.waitUntil(killAt)
	d.logf("daemon %s is killed", killedDaemon)
	d.daemon(killedDaemon).Kill()
	return nil
}

// platformOutage makes the platform unavailable for outageFor.
func (d *Demo) platformOutage(ctx context.Context, _ *eventRecord) error {
	d.waitUntil(outageFrom)
	d.logf("the platform is down")
	if err := d.fleet.SetFaults(ctx, map[string]any{"down": true}); err != nil {
		return err
	}
	d.waitUntil(outageFrom + outageFor)
	return d.fleet.SetFaults(ctx, map[string]any{"down": false})
}
