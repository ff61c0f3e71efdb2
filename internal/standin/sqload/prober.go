package sqload

import (
	"context"
	"time"
)

// Prober sends single requests of one workspace outside a schedule.
type Prober struct {
	sender *sender
}

// NewProber returns a prober for the first workspace of cfg.
func NewProber(cfg Config) *Prober {
	r := &runner{cfg: cfg, start: time.Now(), timeout: cfg.timeout()}
	return &Prober{sender: r.newSender(1, &cfg.Workspaces[0])}
}

// Send sends one attempt of a request to an entry and returns it as a sample.
// The ids of attempts of one operation may differ only after the last hyphen.
func (p *Prober) Send(ctx context.Context, entry, id, operation string, route Route) Sample {
	now := time.Now()
	a := p.sender.attempt(ctx, call{entry: entry, id: id, operation: operation, route: &route})
	return Sample{
		Workspace: p.sender.workspace.Name, Method: route.method(), Path: route.Path, Importance: route.Importance,
		Scheduled: now.UnixNano(), Ended: a.Ended, Complete: a.Complete, Attempts: []Attempt{a},
	}
}
