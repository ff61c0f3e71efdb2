package sqledger

import (
	"sync"
	"time"
)

// tasks are the background goroutines that Ledger.Run waits for when it ends.
type tasks struct {
	mu     sync.Mutex
	closed bool
	wait   sync.WaitGroup
}

// spawn runs f in the background, but not after close.
func (t *tasks) spawn(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed {
		t.wait.Go(f)
	}
}

// close waits until all spawned functions have returned.
func (t *tasks) close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.wait.Wait()
}

// periodicTask runs at most once per period and never twice at a time.
type periodicTask struct {
	mu      sync.Mutex
	running bool
	next    time.Time
}

// start spawns f if it is due and not running.
func (d *periodicTask) start(t *tasks, now time.Time, period time.Duration, f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running || now.Before(d.next) {
		return
	}
	d.running, d.next = true, now.Add(period)
	t.spawn(func() {
		f()
		d.mu.Lock()
		defer d.mu.Unlock()
		d.running = false
	})
}
