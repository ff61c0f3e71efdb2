// Package sqpool has a typed pool of values that are costly to make.
package sqpool

import "sync"

// Pool keeps values for reuse. New must be set.
type Pool[T any] struct {
	// New makes a value when the pool has none.
	New func() *T

	pool sync.Pool
}

// Get returns a value, which may hold what its last user left in it.
func (p *Pool[T]) Get() *T {
	if v, ok := p.pool.Get().(*T); ok {
		return v
	}
	return p.New()
}

// Put gives a value back; the caller must not use it again.
func (p *Pool[T]) Put(v *T) {
	p.pool.Put(v)
}
