package sqstore

import (
	"maps"
	"time"
)

// lease is removed ttl after its last renewal, together with its keys.
type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]bool
	timer   *time.Timer
}

func (l *lease) clone() *lease {
	return &lease{ttl: l.ttl, keys: maps.Clone(l.keys)}
}

// grant creates a lease and returns its id. If id is 0, the store chooses one.
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
	s.startTimer(id, l, time.Now())
	return id
}

// startTimer sets the expiry of l to its ttl after now. The caller holds mu.
func (s *Store) startTimer(id int64, l *lease, now time.Time) {
	l.expires = now.Add(l.ttl)
	l.timer = time.AfterFunc(l.ttl, func() { s.expire(id, l) })
}

// renew extends a lease and returns its ttl, or 0 if it has expired or does not
// exist.
func (s *Store) renew(id int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.state.leases[id]
	if l == nil || !l.expires.After(time.Now()) {
		return 0
	}
	l.timer.Stop()
	s.startTimer(id, l, time.Now())
	return l.ttl
}

// revoke removes a lease with its keys and reports whether it existed.
func (s *Store) revoke(id int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.state.leases[id]
	if l == nil {
		return false
	}
	l.timer.Stop()
	s.removeLease(id, l)
	return true
}

// expire removes l unless it has been renewed, revoked or replaced by Restore in
// the meantime.
func (s *Store) expire(id int64, l *lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.leases[id] != l || l.expires.After(time.Now()) {
		return
	}
	s.removeLease(id, l)
}

// removeLease removes a lease and its keys. The caller holds mu.
func (s *Store) removeLease(id int64, l *lease) {
	ops := make([]operation, 0, len(l.keys))
	for key := range l.keys {
		ops = append(ops, operation{remove: &keyRange{start: key}})
	}
	delete(s.state.leases, id)
	if len(ops) > 0 {
		// Only a put with an unknown lease can fail.
		_, _, _ = s.applyLocked(ops)
	}
}
