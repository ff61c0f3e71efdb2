package sqexperiment

import (
	"context"
	"math"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/standin/sqfleet"
)

// stopTimeout limits the time that one process may take to end on SIGTERM.
const stopTimeout = 5 * time.Second

// selection holds the processes that an event acts on.
type selection struct {
	fleet   *sqfleet.Fleet
	daemons []*sqfleet.Daemon
	targets []*sqfleet.Target
}

// actions maps each action of an event to its implementation.
var actions = map[Action]func(context.Context, *selection, *Event) error{
	ActionBehaviour: func(ctx context.Context, s *selection, e *Event) error {
		for _, t := range s.targets {
			if err := s.fleet.SetBehaviour(ctx, t, e.Behaviour); err != nil {
				return err
			}
		}
		return nil
	},
	ActionKillDaemons:   eachDaemon(func(d *sqfleet.Daemon) error { d.Kill(); return nil }),
	ActionPauseDaemons:  eachDaemon(func(d *sqfleet.Daemon) error { d.Pause(); return nil }),
	ActionResumeDaemons: eachDaemon(func(d *sqfleet.Daemon) error { d.Resume(); return nil }),
	ActionStartDaemons:  eachDaemon(func(d *sqfleet.Daemon) error { return d.Start() }),
	ActionStopDaemons:   eachDaemon(func(d *sqfleet.Daemon) error { return terminate(d.Process) }),
	ActionStopTargets:   eachTarget(func(t *sqfleet.Target) error { return terminate(t.Process) }),
	ActionStartTargets:  eachTarget(func(t *sqfleet.Target) error { return t.Start() }),
	ActionFaults: func(ctx context.Context, s *selection, e *Event) error {
		return s.fleet.SetFaults(ctx, e.Faults)
	},
}

// eachDaemon returns an action that calls f for each selected daemon, until the
// first error.
func eachDaemon(f func(*sqfleet.Daemon) error) func(context.Context, *selection, *Event) error {
	return func(_ context.Context, s *selection, _ *Event) error {
		for _, d := range s.daemons {
			if err := f(d); err != nil {
				return err
			}
		}
		return nil
	}
}

// eachTarget returns an action that calls f for each selected target, until the
// first error.
func eachTarget(f func(*sqfleet.Target) error) func(context.Context, *selection, *Event) error {
	return func(_ context.Context, s *selection, _ *Event) error {
		for _, t := range s.targets {
			if err := f(t); err != nil {
				return err
			}
		}
		return nil
	}
}

func terminate(p *sqfleet.Process) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_, err := p.Terminate(ctx)
	return err
}

// selectFrom returns the daemons and targets of a fleet that the event acts on: the
// matching ones, or the first Fraction of them.
func (e *Event) selectFrom(f *sqfleet.Fleet) *selection {
	s := &selection{fleet: f}
	for _, d := range f.Daemons() {
		if e.matches(d) {
			s.daemons = append(s.daemons, d)
		}
	}
	for _, t := range f.Targets() {
		if e.matches(t.Daemon) {
			s.targets = append(s.targets, t)
		}
	}
	if e.Fraction > 0 {
		s.daemons = s.daemons[:partOf(len(s.daemons), e.Fraction)]
		s.targets = s.targets[:partOf(len(s.targets), e.Fraction)]
	}
	return s
}

// matches reports whether a daemon has the event's data centre, region and service;
// an empty one matches all.
func (e *Event) matches(d *sqfleet.Daemon) bool {
	return (e.DataCentre == "" || e.DataCentre == d.DataCentre) &&
		(e.Region == "" || e.Region == d.Region) &&
		(e.Service == "" || d.Service != nil && e.Service == d.Service.Name)
}

func partOf(n int, part float64) int {
	return int(math.Round(float64(n) * part))
}
