package sqmember

import "sync"

// calls are callbacks that wait to be run in order.
type calls struct {
	mu      sync.Mutex
	pending []func()
	running bool
}

func (c *calls) add(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = append(c.pending, f)
}

// run runs the pending callbacks, unless another goroutine is at it, which
// then runs these as well.
func (c *calls) run() {
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
