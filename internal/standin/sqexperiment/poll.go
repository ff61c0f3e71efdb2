package sqexperiment

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/standin/sqfleet"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqload"
)

// WaitKeyAccepted polls all running daemons and returns the time from start until
// the last of them accepts an API key. It requests a service that no plan allows, so
// that nothing is charged to a rate and no target runs anything. It fails if a daemon
// does not accept the key within acceptTimeout.
func WaitKeyAccepted(ctx context.Context, f *sqfleet.Fleet, key string, start time.Time) (time.Duration, error) {
	ctx, cancel := context.WithDeadline(ctx, start.Add(acceptTimeout))
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var longest time.Duration
	var lastErr error
	for _, d := range f.Daemons() {
		if !d.Running() {
			continue
		}
		wg.Go(func() {
			took, err := waitAccepted(ctx, d, key, start)
			mu.Lock()
			defer mu.Unlock()
			longest = max(longest, took)
			if err != nil {
				lastErr = err
			}
		})
	}
	wg.Wait()
	return longest, lastErr
}

// waitAccepted polls one daemon until it accepts the key, and returns the time from
// start.
func waitAccepted(ctx context.Context, d *sqfleet.Daemon, key string, start time.Time) (time.Duration, error) {
	prober := sqload.NewProber(sqload.Config{Workspaces: []sqload.Workspace{{Name: benchWorkspace, Key: key}}})
	for n := 0; ; n++ {
		s := prober.Send(ctx, d.EntryURL(), fmt.Sprintf("taken-%d", n), "", sqload.Route{Path: "/none/x"})
		if status := s.Attempts[0].Status; status != 0 && status != http.StatusUnauthorized {
			return time.Since(start), nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return acceptTimeout, fmt.Errorf("%s did not accept the new key within %v", d.Name, acceptTimeout)
		}
	}
}

// noneReportsAlive reports whether the status of none of the daemons shows victim as
// alive.
func noneReportsAlive(ctx context.Context, f *sqfleet.Fleet, daemons []*sqfleet.Daemon, victim *sqfleet.Daemon) (bool, error) {
	for _, d := range daemons {
		status, err := f.Status(ctx, d)
		if err != nil {
			return false, err
		}
		if reportsAlive(status, string(victim.Placement.Daemon)) {
			return false, nil
		}
	}
	return true, nil
}

// reportsAlive reports whether the JSON value v names a daemon as alive: in a list,
// or in an object that has the state "alive" or none.
func reportsAlive(v any, name string) bool {
	switch v := v.(type) {
	case map[string]any:
		state, hasState := v["state"]
		for _, field := range v {
			if field == name {
				return !hasState || state == "alive"
			}
		}
		for _, field := range v {
			if reportsAlive(field, name) {
				return true
			}
		}
	case []any:
		for _, item := range v {
			if item == name || reportsAlive(item, name) {
				return true
			}
		}
	}
	return false
}
