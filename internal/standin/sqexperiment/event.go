package sqexperiment

import (
	"context"
	"math"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/standin/sqfleet"
)

// stopTimeout bounds the planned stop of one process.
const stopTimeout = 5 * time.Second

// scene is what an event acts on.
type scene struct {
	fleet   *sqfleet.Fleet
	daemons []*sqfleet.Daemon
	targets []*sqfleet.Target
}

// actions are the things that events can do.
var actions = map[Action]func(context.Context, *scene, *Event) error{
	ActionBehaviour: func(ctx context.Context, s *scene, e *Event) error {
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
	ActionFaults: func(ctx context.Context, s *scene, e *Event) error {
		return s.fleet.SetFaults(ctx, e.Faults)
	},
}

func eachDaemon(f func(*sqfleet.Daemon) error) func(context.Context, *scene, *Event) error {
	return func(_ context.Context, s *scene, _ *Event) error {
		for _, d := range s.daemons {
			if err := f(d); err != nil {
				return err
			}
		}
		return nil
	}
}

func eachTarget(f func(*sqfleet.Target) error) func(context.Context, *scene, *Event) error {
	return func(_ context.Context, s *scene, _ *Event) error {
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

// choose returns the part of a fleet that an event acts on.
func (e *Event) choose(f *sqfleet.Fleet) *scene {
	s := &scene{fleet: f}
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
	if e.Part > 0 {
		s.daemons = s.daemons[:portion(len(s.daemons), e.Part)]
		s.targets = s.targets[:portion(len(s.targets), e.Part)]
	}
	return s
}

func (e *Event) matches(d *sqfleet.Daemon) bool {
	return (e.DataCentre == "" || e.DataCentre == d.DataCentre) &&
		(e.Region == "" || e.Region == d.Region) &&
		(e.Service == "" || d.Service != nil && e.Service == d.Service.Name)
}

func portion(n int, part float64) int {
	return int(math.Round(float64(n) * part))
}
