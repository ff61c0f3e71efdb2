// Package sqstore is the stand-in for the platform: a key-value service with
// compare-and-swap, leases and watches, held in memory, with fault switches.
//
// Tests use a Store in their own process: Store.Platform is a
// sqkv.Store without a network, fit for testing/synctest, and a Server
// offers the same Store in the subset of etcd v3's gRPC API.
//
// The faults are methods of Store and, on a Server's fault address, HTTP with
// JSON bodies:
//
//	GET  /v1/faults   the faults in force
//	PUT  /v1/faults   sets all of them:
//	                  {"down":true}          the platform does not answer
//	                  {"delay":"200ms"}      each call begins so much later
//	                  {"loseAnswers":1}      so many writes take effect, and
//	                                         their answers are lost
//	                  {"loseWrites":1}       so many writes are lost on the way
//	                  A negative number is all writes until the next PUT;
//	                  {} ends all faults.
//	POST /v1/save     keeps the state of now
//	POST /v1/restore  goes back to the kept state and version, and ends all
//	                  watches, as when an operator restores a backup
//	POST /v1/compact  forgets all history, so that older watches fail
//	GET  /v1/counts   calls by kind, and "watching", the watches that wait
package sqstore

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/state/sqkv"
)

// DefaultHistoryLimit is the number of changes kept for watches.
const DefaultHistoryLimit = 10_000

// Store is the state of the stand-in. The zero value is empty and ready. Its
// methods may be called from several goroutines.
type Store struct {
	// HistoryLimit is the number of changes kept, by default
	// DefaultHistoryLimit; older ones are compacted.
	HistoryLimit int

	mu        sync.Mutex
	state     state
	history   []change
	compacted int64
	saved     *state
	faults    Faults
	counts    Counts
	onDown    []func(down bool)
	// changed is closed at the next change, cut when watches must end.
	changed, cut chan struct{}
}

// state is what a backup holds.
type state struct {
	revision  int64
	lastLease int64
	records   map[string]record
	leases    map[int64]*lease
}

type record struct {
	key                        string
	value                      []byte
	created, modified, version int64
	lease                      int64
}

// change is one change of a key, in the store's history.
type change struct {
	revision int64
	record   record
	deleted  bool
}

// condition is a number of a key that a transaction expects.
type condition func(r record) bool

// operation is one step of a transaction; exactly one field is set.
type operation struct {
	put    *record
	remove *span
	read   *span
}

// span is a key, or the keys from start to before end.
type span struct {
	start, end string
}

func (s span) has(key string) bool {
	switch s.end {
	case "":
		return key == s.start
	case "\x00":
		return key >= s.start
	}
	return key >= s.start && key < s.end
}

// result is what one operation read or removed.
type result struct {
	records []record
}

var (
	errLeaseUnknown = errors.New("requested lease not found")
	errCompacted    = errors.New("required revision has been compacted")
	errCut          = errors.New("watch was cut")
)

// apply runs operations as a whole and returns the revision after them.
func (s *Store) apply(ops []operation) ([]result, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applyLocked(ops)
}

// compareAndApply runs success if every key meets its condition, else failure.
func (s *Store) compareAndApply(conditions map[string]condition, success, failure []operation) (bool, []result, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ops, holds := success, true
	for key, holdsFor := range conditions {
		if !holdsFor(s.state.records[key]) {
			ops, holds = failure, false
		}
	}
	results, revision, err := s.applyLocked(ops)
	return holds, results, revision, err
}

func (s *Store) applyLocked(ops []operation) ([]result, int64, error) {
	for _, op := range ops {
		if op.put != nil && op.put.lease != 0 && s.state.leases[op.put.lease] == nil {
			return nil, s.state.revision, errLeaseUnknown
		}
	}
	next := s.state.revision + 1
	results := make([]result, len(ops))
	wrote := false
	for i, op := range ops {
		switch {
		case op.put != nil:
			s.put(next, *op.put)
			wrote = true
		case op.remove != nil:
			results[i].records = s.find(*op.remove)
			for _, r := range results[i].records {
				s.remove(next, r.key)
				wrote = true
			}
		case op.read != nil:
			results[i].records = s.find(*op.read)
		}
	}
	if wrote {
		s.state.revision = next
		s.announce()
	}
	return results, s.state.revision, nil
}

func (s *Store) put(revision int64, r record) {
	if s.state.records == nil {
		s.state.records = make(map[string]record)
	}
	old := s.state.records[r.key]
	r.created = cmp.Or(old.created, revision)
	r.version = old.version + 1
	r.modified = revision
	r.value = slices.Clone(r.value)
	if old.lease != 0 {
		delete(s.state.leases[old.lease].keys, r.key)
	}
	if r.lease != 0 {
		s.state.leases[r.lease].keys[r.key] = true
	}
	s.state.records[r.key] = r
	s.remember(change{revision: revision, record: r})
}

func (s *Store) remove(revision int64, key string) {
	old := s.state.records[key]
	if l := s.state.leases[old.lease]; l != nil {
		delete(l.keys, key)
	}
	delete(s.state.records, key)
	s.remember(change{revision: revision, record: record{key: key, modified: revision}, deleted: true})
}

func (s *Store) remember(c change) {
	s.history = append(s.history, c)
	limit := cmp.Or(s.HistoryLimit, DefaultHistoryLimit)
	if over := len(s.history) - limit; over > 0 {
		s.compacted = s.history[over-1].revision
		s.history = slices.Clone(s.history[over:])
	}
}

// find returns the records of a span in key order.
func (s *Store) find(in span) []record {
	if in.end == "" {
		if r, ok := s.state.records[in.start]; ok {
			return []record{r}
		}
		return nil
	}
	var found []record
	for key, r := range s.state.records {
		if in.has(key) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b record) int { return cmp.Compare(a.key, b.key) })
	return found
}

// announce wakes those that wait for a change.
func (s *Store) announce() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// platform returns the record as a daemon sees it.
func (r record) platform() sqkv.Record {
	return sqkv.Record{Key: r.key, Value: slices.Clone(r.value), Version: sqkv.Version(r.modified)}
}

// Compact forgets all history, so that a watch from before now fails.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compacted = s.state.revision
}

// Save keeps the state of now for Restore.
func (s *Store) Save() {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.state.clone()
	s.saved = &kept
}

// Restore goes back to the state of the last Save, or to an empty one, and
// ends all watches. The version goes back as well.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.state.leases {
		l.timer.Stop()
	}
	s.state = state{}
	if s.saved != nil {
		s.state = s.saved.clone()
	}
	for id, l := range s.state.leases {
		s.start(id, l, time.Now())
	}
	s.history = nil
	s.compacted = s.state.revision
	s.cutWatches()
	s.announce()
}

func (s state) clone() state {
	c := s
	c.records = make(map[string]record, len(s.records))
	for key, r := range s.records {
		c.records[key] = r
	}
	c.leases = make(map[int64]*lease, len(s.leases))
	for id, l := range s.leases {
		c.leases[id] = l.clone()
	}
	return c
}
