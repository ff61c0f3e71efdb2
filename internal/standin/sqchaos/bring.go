package sqchaos

import (
	"context"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqfleet"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqtargetstand"
)

// bring brings about a fault and takes it back when it has held long enough.
func (c *Chaos) bring(ctx context.Context, f Fault) error {
	d := c.fleet.Daemons()[f.Daemon]
	if f.Kind == KindKill || f.Kind == KindPause || f.Kind == KindStop {
		// A planned stop may last into the daemon's next fault.
		c.processes[f.Daemon].Lock()
		defer c.processes[f.Daemon].Unlock()
	}
	switch f.Kind {
	case KindKill:
		d.Kill()
		time.Sleep(f.For)
		return d.Start()
	case KindPause:
		d.Pause()
		time.Sleep(f.For)
		d.Resume()
		return nil
	case KindStop:
		return c.stop(ctx, d, f.For)
	case KindDown:
		return c.platform(ctx, map[string]any{"down": true}, f.For)
	case KindSlow:
		return c.platform(ctx, map[string]any{"delay": "300ms"}, f.For)
	case KindLoseAnswers:
		return c.platform(ctx, map[string]any{"loseAnswers": -1}, f.For)
	case KindOlder:
		return c.older(ctx, f.For)
	case KindChangeLists:
		return c.changeLists(ctx, d)
	default:
		return c.breakAnswers(ctx, f.For)
	}
}

func (c *Chaos) stop(ctx context.Context, d *sqfleet.Daemon, wait time.Duration) error {
	stopping, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if status, err := d.Terminate(stopping); err != nil || status != 0 {
		c.say("%s: exit status %d, %v", d.Name, status, err)
	}
	time.Sleep(wait)
	return d.Start()
}

func (c *Chaos) platform(ctx context.Context, faults map[string]any, wait time.Duration) error {
	if err := c.fleet.SetFaults(ctx, faults); err != nil {
		return err
	}
	time.Sleep(wait)
	return c.fleet.SetFaults(ctx, map[string]any{})
}

// older has the platform lose what was written while the fault held.
func (c *Chaos) older(ctx context.Context, wait time.Duration) error {
	if err := c.fleet.PlatformAction(ctx, "save"); err != nil {
		return err
	}
	time.Sleep(wait)
	return c.fleet.PlatformAction(ctx, "restore")
}

// changeLists gives the first workspace one more key. Only a change that was
// accepted counts.
func (c *Chaos) changeLists(ctx context.Context, d *sqfleet.Daemon) error {
	lists := sqfleet.Lists(c.tenants)
	key := sqid.NewKey()
	lists.Workspaces[0].KeyDigests = append(lists.Workspaces[0].KeyDigests, sqid.DigestKey(key))
	if _, err := c.fleet.PutList(ctx, d, "workspaces", lists.Workspaces); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys = append(c.keys, key)
	return nil
}

func (c *Chaos) breakAnswers(ctx context.Context, wait time.Duration) error {
	broken := sqtargetstand.Behaviour{CrossEvery: 7, TruncateEvery: 11, FailEvery: 13, HangEvery: 97}
	if err := c.behave(ctx, broken); err != nil {
		return err
	}
	time.Sleep(wait)
	return c.behave(ctx, sqtargetstand.Behaviour{})
}

func (c *Chaos) behave(ctx context.Context, b sqtargetstand.Behaviour) error {
	for _, t := range c.fleet.Targets() {
		if err := c.fleet.SetBehaviour(ctx, t, b); err != nil {
			return err
		}
	}
	return nil
}
