package sqchaos

import (
	"context"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqfleet"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqsimtarget"
)

// inject causes a fault, waits for its duration and reverts it.
func (c *Chaos) inject(ctx context.Context, f Fault) error {
	d := c.fleet.Daemons()[f.Daemon]
	if f.Kind == KindKill || f.Kind == KindPause || f.Kind == KindStop {
		// A planned stop may take so long that the daemon's next fault is due
		// before the daemon has started again.
		c.processLocks[f.Daemon].Lock()
		defer c.processLocks[f.Daemon].Unlock()
	}
	switch f.Kind {
	case KindKill:
		d.Kill()
		time.Sleep(f.Duration)
		return d.Start()
	case KindPause:
		d.Pause()
		time.Sleep(f.Duration)
		d.Resume()
		return nil
	case KindStop:
		return c.stopAndRestart(ctx, d, f.Duration)
	case KindPlatformDown:
		return c.holdPlatformFaults(ctx, map[string]any{"down": true}, f.Duration)
	case KindPlatformSlow:
		return c.holdPlatformFaults(ctx, map[string]any{"delay": "300ms"}, f.Duration)
	case KindPlatformLoseAnswers:
		return c.holdPlatformFaults(ctx, map[string]any{"loseAnswers": -1}, f.Duration)
	case KindPlatformRollback:
		return c.restoreOlderState(ctx, f.Duration)
	case KindChangeLists:
		return c.changeLists(ctx, d)
	default:
		return c.breakAnswers(ctx, f.Duration)
	}
}

// stopAndRestart terminates a daemon with SIGTERM and starts it again after
// downtime. An unclean exit is only reported as progress.
func (c *Chaos) stopAndRestart(ctx context.Context, d *sqfleet.Daemon, downtime time.Duration) error {
	stopping, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if status, err := d.Terminate(stopping); err != nil || status != 0 {
		c.logf("%s: exit status %d, %v", d.Name, status, err)
	}
	time.Sleep(downtime)
	return d.Start()
}

// holdPlatformFaults sets faults at the stand-in of the platform for the time
// hold, then clears them.
func (c *Chaos) holdPlatformFaults(ctx context.Context, faults map[string]any, hold time.Duration) error {
	if err := c.fleet.SetFaults(ctx, faults); err != nil {
		return err
	}
	time.Sleep(hold)
	return c.fleet.SetFaults(ctx, map[string]any{})
}

// restoreOlderState makes the platform lose all writes of the time hold: it saves
// the platform's state and restores it afterwards.
func (c *Chaos) restoreOlderState(ctx context.Context, hold time.Duration) error {
	if err := c.fleet.PlatformAction(ctx, "save"); err != nil {
		return err
	}
	time.Sleep(hold)
	return c.fleet.PlatformAction(ctx, "restore")
}

// changeLists puts lists (the workspaces and plans in force) that give the first
// workspace one more API key. The key is remembered only if d accepted the change.
func (c *Chaos) changeLists(ctx context.Context, d *sqfleet.Daemon) error {
	lists := sqfleet.Lists(c.workspaceSpecs)
	key := sqid.NewKey()
	lists.Workspaces[0].KeyDigests = append(lists.Workspaces[0].KeyDigests, sqid.DigestKey(key))
	if _, err := c.fleet.PutList(ctx, d, "workspaces", lists.Workspaces); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acceptedKeys = append(c.acceptedKeys, key)
	return nil
}

// breakAnswers makes all targets send wrong, truncated and failed answers, and
// hang, for the time hold.
func (c *Chaos) breakAnswers(ctx context.Context, hold time.Duration) error {
	broken := sqsimtarget.Behaviour{DuplicateEvery: 7, TruncateEvery: 11, FailEvery: 13, HangEvery: 97}
	if err := c.setBehaviour(ctx, broken); err != nil {
		return err
	}
	time.Sleep(hold)
	return c.setBehaviour(ctx, sqsimtarget.Behaviour{})
}

func (c *Chaos) setBehaviour(ctx context.Context, b sqsimtarget.Behaviour) error {
	for _, t := range c.fleet.Targets() {
		if err := c.fleet.SetBehaviour(ctx, t, b); err != nil {
			return err
		}
	}
	return nil
}
