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
	"github.com/sequoiatack/sequoiatack/internal/standin/sqtargetstand"
)

// marks are what the events left for the judgement. Times are in Unix
// nanoseconds.
type marks struct {
	withdrawn  int64
	everywhere time.Duration
	drained    int64
	drainExit  int
	stopExit   int
	stopResult *sqload.Result
	killed     int64
	operations int
	upload     sqload.Sample
}

// events brings about everything that the demo shows, in order of time.
func (d *Demo) events(ctx context.Context) (*marks, error) {
	m := &marks{}
	for _, event := range []func(context.Context, *marks) error{
		d.cross, d.repeat, d.withdraw, d.sendPhoto, d.drain, d.stop, d.outage, d.kill,
	} {
		if err := event(ctx, m); err != nil {
			return nil, err
		}
	}
	return m, nil
}

const (
	crossRate = 300
	crossSeed = 2000
	stopSeed  = 1000
)

// cross has every calendar target send some answers twice and cut others.
func (d *Demo) cross(ctx context.Context, _ *marks) error {
	d.at(surgeFrom)
	d.say("%s sends %d times its usual load", large, surgeFactor)
	d.at(crossFrom)
	d.say("targets send answers twice and cut answers")
	if err := d.behave(ctx, sqtargetstand.Behaviour{CrossEvery: 5, TruncateEvery: 9}); err != nil {
		return err
	}
	// Through one entry, so that connections to targets are used again at once.
	cfg := d.config(visitor, crossRate)
	cfg.Seed += crossSeed
	cfg.Entries = cfg.Entries[:1]
	cfg.Duration = sqsettings.Span(crossFor)
	result, err := sqload.Run(ctx, cfg)
	if err != nil {
		return err
	}
	d.extra = append(d.extra, result.Samples...)
	return d.behave(ctx, sqtargetstand.Behaviour{})
}

func (d *Demo) behave(ctx context.Context, b sqtargetstand.Behaviour) error {
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
	repeatedOperations = 25
	sendsEach          = 4
)

// repeat sends each of some operations through several entries at once.
func (d *Demo) repeat(ctx context.Context, m *marks) error {
	d.at(repeatAt)
	d.say("%d operations, each sent through %d entries at once", repeatedOperations, sendsEach)
	prober := sqload.NewProber(d.config(visitor, visitorRate))
	entries := d.entries()
	samples := make([]sqload.Sample, repeatedOperations*sendsEach)
	var wg sync.WaitGroup
	for i := range samples {
		wg.Go(func() {
			n, send := i/sendsEach, i%sendsEach
			id := fmt.Sprintf("%d-repeat%d-%d", d.Seed, n, send)
			operation := fmt.Sprintf("repeat-%d", n)
			samples[i] = prober.Send(ctx, entries[(n+send*3)%len(entries)], id, operation, bookRoute)
		})
	}
	wg.Wait()
	d.extra = append(d.extra, samples...)
	m.operations = repeatedOperations
	return nil
}

// withdraw takes the leaver's key out of the lists and waits until every
// daemon refuses it.
func (d *Demo) withdraw(ctx context.Context, m *marks) error {
	d.at(withdrawAt)
	d.say("the key of %s is withdrawn", leaver)
	gone := *d.tenants[leaver]
	lists := d.lists()
	for i := range lists.Workspaces {
		if lists.Workspaces[i].Name == leaver {
			lists.Workspaces[i].KeyDigests = []sqid.KeyDigest{}
		}
	}
	if _, err := d.fleet.PutList(ctx, d.fleet.Daemons()[1], "workspaces", lists.Workspaces); err != nil {
		return errors.Wrap(err, "withdraw the key")
	}
	accepted := time.Now()
	m.withdrawn = accepted.UnixNano()
	cfg := d.config(leaver, leaverRate)
	cfg.Workspaces[0].Key = gone.Key
	m.everywhere = d.refusedEverywhere(ctx, sqload.NewProber(cfg), accepted)
	return nil
}

const everywhereTimeout = 6 * time.Second

// refusedEverywhere returns the time until every daemon refuses the prober's
// key, or everywhereTimeout if some never does.
func (d *Demo) refusedEverywhere(ctx context.Context, p *sqload.Prober, since time.Time) time.Duration {
	for n, daemon := range d.fleet.Daemons() {
		for {
			s := p.Send(ctx, daemon.Entry(), fmt.Sprintf("withdrawn-%d-%d", n, time.Now().UnixNano()), "", readRoute)
			d.extra = append(d.extra, s)
			if s.Attempts[0].Status == unauthorized {
				break
			}
			if time.Since(since) > everywhereTimeout {
				return everywhereTimeout
			}
			time.Sleep(pollEvery)
		}
	}
	return time.Since(since)
}

const unauthorized = 401

// sendPhoto sends one large body.
func (d *Demo) sendPhoto(ctx context.Context, m *marks) error {
	d.say("a body of %d MiB is sent", photoBytes>>20)
	prober := sqload.NewProber(d.config(visitor, visitorRate))
	m.upload = prober.Send(ctx, d.entries()[0], fmt.Sprintf("%d-photo-0", d.Seed), "", photoRoute)
	d.extra = append(d.extra, m.upload)
	return nil
}

// drain ends a target in the planned way.
func (d *Demo) drain(ctx context.Context, m *marks) error {
	m.drained = d.at(drainAt)
	d.say("target of %s drains", drainedSeat)
	ctx, cancel := context.WithTimeout(ctx, stopDeadline)
	defer cancel()
	var err error
	m.drainExit, err = d.target(drainedSeat).Terminate(ctx)
	return err
}

// stop ends a daemon in the planned way while callers send through it.
func (d *Demo) stop(ctx context.Context, m *marks) error {
	d.at(stopAt - stopLead)
	daemon := d.daemon(stoppedSeat)
	cfg := d.config(visitor, visitorRate)
	cfg.Seed += stopSeed
	cfg.Entries = []string{daemon.Entry()}
	cfg.Duration = sqsettings.Span(stopLoadFor)
	done := make(chan error, 1)
	go func() {
		var err error
		m.stopResult, err = sqload.Run(ctx, cfg)
		done <- err
	}()
	d.at(stopAt)
	d.say("daemon %s is stopped", stoppedSeat)
	stopping, cancel := context.WithTimeout(ctx, stopDeadline)
	defer cancel()
	var err error
	if m.stopExit, err = daemon.Terminate(stopping); err != nil {
		m.stopExit = -1
		d.say("%v", err)
	}
	err = <-done
	if err == nil {
		d.extra = append(d.extra, m.stopResult.Samples...)
	}
	return err
}

// kill ends a daemon without notice; its target lives on without a gate.
func (d *Demo) kill(_ context.Context, m *marks) error {
	m.killed = d.at(killAt)
	d.say("daemon %s is killed", killedSeat)
	d.daemon(killedSeat).Kill()
	return nil
}

// outage takes the platform away for a while.
func (d *Demo) outage(ctx context.Context, _ *marks) error {
	d.at(outageFrom)
	d.say("the platform is down")
	if err := d.fleet.SetFaults(ctx, map[string]any{"down": true}); err != nil {
		return err
	}
	d.at(outageFrom + outageFor)
	return d.fleet.SetFaults(ctx, map[string]any{"down": false})
}
