package sqmember

import "sync"

// callbackQueue holds callbacks that wait to be run in order.
type callbackQueue struct {
	mu      sync.Mutex
	pending []func()
	running bool
}

func (c *callbackQueue) add(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(c.pending, f)
}

// run runs the pending callbacks. If another goroutine is already running them,
// that one runs these as well.
func (c *callbackQueue) run() {
	c.mu.Lock()
	if c.running {
		c.mu.Unlock()
		return
	}
	c.running = true
	for len(c.pending) > 0 {
		f := c.pending[0]
		c.pending = c.pending[1:]
		c.mu.Unlock()
		f()
		c.mu.Lock()
	}
	c.running = false
	c.mu.Unlock()
}
