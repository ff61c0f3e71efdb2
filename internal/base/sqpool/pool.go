// Package sqpool provides a typed sync.Pool, for values that are costly to allocate.
package sqpool

import "sync"

// Pool keeps values for reuse. New must be set before the first Get. Its methods are
// safe for concurrent use.
type Pool[T any] struct {
	// New allocates a value when the pool is empty.
	New func() *T

	pool sync.Pool
}

// Get returns a pooled or new value. A pooled one is not cleared: it holds what its
// last user wrote.
func (p *Pool[T]) Get() *T {
	if v, ok := p.pool.Get().(*T); ok {
		return v
	}
	return p.New()
}

// Put returns v to the pool. The caller must not use it afterwards.
func (p *Pool[T]) Put(v *T) {
	p.pool.Put(v)
}
