// Package sqtimer is the timer service: systems subscribe to it, and it ticks
// each of them at its period, one at a time for each system.
package sqtimer

import (
	"context"
	"sync"
	"time"
)

// System runs over its tables at each tick.
type System interface {
	// Tick does the work that is due at now. It must not block.
	Tick(now time.Time)
}

// SystemFunc makes a System of a function.
type SystemFunc func(now time.Time)

// Tick calls f.
func (f SystemFunc) Tick(now time.Time) { f(now) }

// Service ticks its subscribers. The zero value is ready.
type Service struct {
	mu   sync.Mutex
	subs []subscription
}

type subscription struct {
	every  time.Duration
	system System
}

// Subscribe has the service tick s at the period every, once Run is called.
// It panics if every is not positive. A subscription after Run has no effect.
func (t *Service) Subscribe(every time.Duration, s System) {
	if every <= 0 {
		panic("sqtimer: period must be positive")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.subs = append(t.subs, subscription{every: every, system: s})
}

// Run ticks the subscribers until ctx ends, and returns when the last tick
// has returned. Its error is nil.
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

func (s subscription) run(ctx context.Context) {
	ticker := time.NewTicker(s.every)
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
