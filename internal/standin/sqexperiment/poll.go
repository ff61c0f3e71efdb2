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

// TakenEverywhere returns the time from since until every daemon that runs
// takes a key; each is asked for a service that no plan allows, so that
// nothing is charged or run.
func TakenEverywhere(ctx context.Context, f *sqfleet.Fleet, key string, since time.Time) (time.Duration, error) {
	ctx, cancel := context.WithDeadline(ctx, since.Add(everywhereWait))
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var longest time.Duration
	var failed error
	for _, d := range f.Daemons() {
		if !d.Running() {
			continue
		}
		wg.Go(func() {
			took, err := takenBy(ctx, d, key, since)
			mu.Lock()
			defer mu.Unlock()
			longest = max(longest, took)
			if err != nil {
				failed = err
			}
		})
	}
	wg.Wait()
	return longest, failed
}

func takenBy(ctx context.Context, d *sqfleet.Daemon, key string, since time.Time) (time.Duration, error) {
	prober := sqload.NewProber(sqload.Config{Workspaces: []sqload.Workspace{{Name: latencyName, Key: key}}})
	for n := 0; ; n++ {
		s := prober.Send(ctx, d.Entry(), fmt.Sprintf("taken-%d", n), "", sqload.Route{Path: "/none/x"})
		if status := s.Attempts[0].Status; status != 0 && status != http.StatusUnauthorized {
			return time.Since(since), nil
		}
		select {
		case <-time.After(statusEvery):
		case <-ctx.Done():
			return everywhereWait, fmt.Errorf("%s did not take a change within %v", d.Name, everywhereWait)
		}
	}
}

// unknownTo reports whether no daemon's status shows a victim as alive.
func unknownTo(ctx context.Context, f *sqfleet.Fleet, daemons []*sqfleet.Daemon, victim *sqfleet.Daemon) (bool, error) {
	for _, d := range daemons {
		status, err := f.Status(ctx, d)
		if err != nil {
			return false, err
		}
		if aliveIn(status, string(victim.Seat.Daemon)) {
			return false, nil
		}
	}
	return true, nil
}

// aliveIn reports whether a JSON value names a daemon, in an object without a
// state or with the state "alive".
func aliveIn(v any, name string) bool {
	switch v := v.(type) {
	case map[string]any:
		state, hasState := v["state"]
		for _, field := range v {
			if field == name {
				return !hasState || state == "alive"
			}
		}
		for _, field := range v {
			if aliveIn(field, name) {
				return true
			}
		}
	case []any:
		for _, item := range v {
			if item == name || aliveIn(item, name) {
				return true
			}
		}
	}
	return false
}
