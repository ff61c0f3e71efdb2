// Package sqtimer runs the periodic work of a daemon. Components subscribe to a
// Service, which calls each of them at its period; calls to one component don't
// overlap.
package sqtimer

import (
	"context"
	"sync"
	"time"
)

// System is a component with periodic work, such as the expiry of rows of its tables.
type System interface {
	// Tick does the work that is due at now. It must not block: further ticks
	// of the same System wait or are skipped meanwhile.
	Tick(now time.Time)
}

// SystemFunc is a function used as a System.
type SystemFunc func(now time.Time)

// Tick calls f.
func (f SystemFunc) Tick(now time.Time) { f(now) }

// Service calls its subscribers periodically while Run runs. The zero value is ready
// for use.
type Service struct {
	mu   sync.Mutex
	subs []subscription
}

type subscription struct {
	period time.Duration
	system System
}

// Subscribe makes Run call s.Tick once in each period. It panics if period is not
// positive. A subscription after the call of Run has no effect.
func (t *Service) Subscribe(period time.Duration, s System) {
	if period <= 0 {
		panic("sqtimer: period must be positive")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.subs = append(t.subs, subscription{period: period, system: s})
}

// Run ticks each subscriber in a goroutine of its own until ctx ends, and returns when
// the last tick has returned. It always returns nil.
func (t *Service) Run(ctx context.Context) error {
	t.mu.Lock()
	subs := t.subs
	t.mu.Unlock()
	var wg sync.WaitGroup
	for _, sub := range subs {
		wg.Go(func() { sub.run(ctx) })
	}
	wg.Wait()
	return nil
}

// run ticks one subscriber until ctx ends.
func (s subscription) run(ctx context.Context) {
	ticker := time.NewTicker(s.period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.system.Tick(now)
		}
	}
}
