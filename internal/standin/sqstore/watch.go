package sqstore

import "context"

// wait returns the changes of a span from the revision from on, once there
// are any, and the revision to go on with.
func (s *Store) wait(ctx context.Context, in span, from int64, cut <-chan struct{}) ([]change, int64, error) {
	for {
		found, next, changed, err := s.since(in, from)
		if err != nil || len(found) > 0 {
			return found, next, err
		}
		from = next
		select {
		case <-ctx.Done():
			return nil, from, ctx.Err()
		case <-cut:
			return nil, from, errCut
		case <-changed:
		}
	}
}

// since returns the changes of a span from the revision from on, and a
// channel that is closed at the next change.
func (s *Store) since(in span, from int64) ([]change, int64, <-chan struct{}, error) {
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
		if c.revision >= from && in.has(c.record.key) {
			found = append(found, c)
		}
	}
	return found, max(from, s.state.revision+1), s.changed, nil
}

// beginWatch counts a watch in and returns what cuts it, the first revision
// to send and the function that counts it out.
func (s *Store) beginWatch(from int64) (<-chan struct{}, int64, func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Watching++
	if s.cut == nil {
		s.cut = make(chan struct{})
	}
	if from == 0 {
		from = s.state.revision + 1
	}
	return s.cut, from, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.counts.Watching--
	}
}

// cutWatches ends all watches.
func (s *Store) cutWatches() {
	if s.cut != nil {
		close(s.cut)
	}
	s.cut = make(chan struct{})
}
