package sqstore

import "context"

// wait blocks until there are changes of keys in a range at the revision from or
// later. It returns them and the revision from which to continue.
func (s *Store) wait(ctx context.Context, keys keyRange, from int64, cancelled <-chan struct{}) ([]change, int64, error) {
	for {
		found, next, changed, err := s.changesFrom(keys, from)
		if err != nil || len(found) > 0 {
			return found, next, err
		}
		from = next
		select {
		case <-ctx.Done():
			return nil, from, ctx.Err()
		case <-cancelled:
			return nil, from, errWatchCancelled
		case <-changed:
		}
	}
}

// changesFrom returns the changes of keys in a range at the revision from or
// later, the revision from which to continue, and a channel that is closed at
// the next change.
func (s *Store) changesFrom(keys keyRange, from int64) ([]change, int64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	if from <= s.compacted {
		return nil, from, nil, errCompacted
	}
	var found []change
	for _, c := range s.history {
		if c.revision >= from && keys.contains(c.record.key) {
			found = append(found, c)
		}
	}
	return found, max(from, s.state.revision+1), s.changed, nil
}

// beginWatch counts a watch as open. It returns a channel that is closed when
// the watch must end, the first revision to deliver (the next one if from is 0)
// and a function that counts the watch as closed.
func (s *Store) beginWatch(from int64) (<-chan struct{}, int64, func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Watching++
	if s.cancelled == nil {
		s.cancelled = make(chan struct{})
	}
	if from == 0 {
		from = s.state.revision + 1
	}
	return s.cancelled, from, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.counts.Watching--
	}
}

// cancelWatches ends all open watches. The caller holds mu.
func (s *Store) cancelWatches() {
	if s.cancelled != nil {
		close(s.cancelled)
	}
	s.cancelled = make(chan struct{})
}
