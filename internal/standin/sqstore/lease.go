package sqstore

import (
	"maps"
	"time"
)

// lease ends ttl after its last renewal, and its keys with it.
type lease struct {
	ttl   time.Duration
	ends  time.Time
	keys  map[string]bool
	timer *time.Timer
}

func (l *lease) clone() *lease {
	return &lease{ttl: l.ttl, keys: maps.Clone(l.keys)}
}

// grant makes a lease; id is the caller's choice, 0 for the store's.
func (s *Store) grant(id int64, ttl time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id == 0 {
		s.state.lastLease++
		id = s.state.lastLease
	}
	if s.state.leases == nil {
		s.state.leases = make(map[int64]*lease)
	}
	l := &lease{ttl: ttl, keys: make(map[string]bool)}
	s.state.leases[id] = l
	s.start(id, l, time.Now())
	return id
}

// start has l end its ttl after now.
func (s *Store) start(id int64, l *lease, now time.Time) {
	l.ends = now.Add(l.ttl)
	l.timer = time.AfterFunc(l.ttl, func() { s.expire(id, l) })
}

// renew returns the lease's ttl, 0 if it has ended.
func (s *Store) renew(id int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.state.leases[id]
	if l == nil || !l.ends.After(time.Now()) {
		return 0
	}
	l.timer.Stop()
	s.start(id, l, time.Now())
	return l.ttl
}

// revoke ends a lease and reports whether there was one.
func (s *Store) revoke(id int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.state.leases[id]
	if l == nil {
		return false
	}
	l.timer.Stop()
	s.end(id, l)
	return true
}

func (s *Store) expire(id int64, l *lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.leases[id] != l || l.ends.After(time.Now()) {
		return
	}
	s.end(id, l)
}

func (s *Store) end(id int64, l *lease) {
	ops := make([]operation, 0, len(l.keys))
	for key := range l.keys {
		ops = append(ops, operation{remove: &span{start: key}})
	}
	delete(s.state.leases, id)
	if len(ops) > 0 {
		// Removals can't fail.
		_, _, _ = s.applyLocked(ops)
	}
}
