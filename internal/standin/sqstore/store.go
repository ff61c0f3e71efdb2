// Package sqstore is the stand-in for the platform, the key-value store that
// daemons share: an in-memory store with compare-and-swap, leases, watches and
// fault injection.
//
// Tests can use a Store in their own process: Store.Platform returns a
// sqkv.Store that works without a network, so that it can be used with
// testing/synctest. A Server serves the same Store over gRPC as a subset of the
// etcd v3 API.
//
// Faults are injected by methods of Store or, on a Server's fault address, over
// HTTP with JSON bodies:
//
//	GET  /v1/faults   returns the faults in force
//	PUT  /v1/faults   replaces all faults:
//	                  {"down":true}          all calls fail
//	                  {"delay":"200ms"}      each call is delayed
//	                  {"loseAnswers":1}      this many writes take effect but
//	                                         are not answered
//	                  {"loseWrites":1}       this many writes are lost before
//	                                         they take effect
//	                  A negative number means all writes until the next PUT;
//	                  {} ends all faults.
//	POST /v1/save     saves the current state
//	POST /v1/restore  restores the saved state and revision and ends all
//	                  watches, as when an operator restores a backup
//	POST /v1/compact  discards the history, so that watches from earlier
//	                  revisions fail
//	GET  /v1/counts   returns the calls by kind and, as "watching", the open
//	                  watches
package sqstore

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/sequoiatack/sequoiatack/internal/state/sqkv"
)

// DefaultHistoryLimit is the default of Store.HistoryLimit.
const DefaultHistoryLimit = 10_000

// Store is the in-memory key-value store. The zero value is empty and ready to
// use. Its methods may be called concurrently.
type Store struct {
	// HistoryLimit is the number of changes kept for watches; older ones are
	// compacted. 0 means DefaultHistoryLimit.
	HistoryLimit int

	// mu guards the fields below.
	mu    sync.Mutex
	state state
	// history holds the latest changes, ordered by revision.
	history []change
	// compacted is the latest revision whose changes history does not hold in
	// full.
	compacted int64
	// saved is the state that Restore goes back to, nil for an empty one.
	saved  *state
	faults Faults
	counts Counts
	// onDownChange holds the functions to call when Faults.Down changes.
	onDownChange []func(down bool)
	// changed is closed at the next change, cancelled when all watches must end.
	// Each is then replaced by a new channel.
	changed, cancelled chan struct{}
}

// state is the part of a Store that Save and Restore cover.
type state struct {
	revision  int64
	lastLease int64
	records   map[string]record
	leases    map[int64]*lease
}

// record is a key with its value, as etcd keeps it.
type record struct {
	key   string
	value []byte
	// created and modified are revisions of the store; version counts the puts
	// since the key was created.
	created, modified, version int64
	// lease is the id of the lease with which the key is removed, 0 for none.
	lease int64
}

// change is a put or, if deleted is set, a deletion of a key.
type change struct {
	revision int64
	record   record
	deleted  bool
}

// condition reports whether a record meets a compare of a transaction. A key
// that does not exist has the zero record.
type condition func(r record) bool

// operation is one step of a transaction; exactly one field is set.
type operation struct {
	put    *record
	remove *keyRange
	read   *keyRange
}

// keyRange is a range of keys as in etcd: the single key start if end is empty,
// all keys from start on if end is "\x00", else the keys in [start, end).
type keyRange struct {
	start, end string
}

func (s keyRange) contains(key string) bool {
	switch s.end {
	case "":
		return key == s.start
	case "\x00":
		return key >= s.start
	}
	return key >= s.start && key < s.end
}

// result holds the records that one operation read or removed.
type result struct {
	records []record
}

var (
	errLeaseUnknown   = errors.New("requested lease not found")
	errCompacted      = errors.New("required revision has been compacted")
	errWatchCancelled = errors.New("watch was cancelled")
)

// apply runs operations atomically and returns the revision after them.
func (s *Store) apply(ops []operation) ([]result, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applyLocked(ops)
}

// compareAndApply atomically runs success if every key meets its condition, else
// failure. It reports whether the conditions were met.
func (s *Store) compareAndApply(conditions map[string]condition, success, failure []operation) (bool, []result, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ops, succeeded := success, true
	for key, met := range conditions {
		if !met(s.state.records[key]) {
			ops, succeeded = failure, false
		}
	}
	results, revision, err := s.applyLocked(ops)
	return succeeded, results, revision, err
}

// applyLocked is apply for callers that hold mu. All writes of one call get the
// same new revision; if there are none, the revision stays.
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
		s.notifyChange()
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
	s.appendHistory(change{revision: revision, record: r})
}

func (s *Store) remove(revision int64, key string) {
	old := s.state.records[key]
	if l := s.state.leases[old.lease]; l != nil {
		delete(l.keys, key)
	}
	delete(s.state.records, key)
	s.appendHistory(change{revision: revision, record: record{key: key, modified: revision}, deleted: true})
}

// appendHistory adds a change to the history and compacts it to its limit.
func (s *Store) appendHistory(c change) {
	s.history = append(s.history, c)
	limit := cmp.Or(s.HistoryLimit, DefaultHistoryLimit)
	if over := len(s.history) - limit; over > 0 {
		s.compacted = s.history[over-1].revision
		s.history = slices.Clone(s.history[over:])
	}
}

// find returns the records in a range, ordered by key.
func (s *Store) find(keys keyRange) []record {
	if keys.end == "" {
		if r, ok := s.state.records[keys.start]; ok {
			return []record{r}
		}
		return nil
	}
	var found []record
	for key, r := range s.state.records {
		if keys.contains(key) {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b record) int { return cmp.Compare(a.key, b.key) })
	return found
}

// notifyChange wakes the watches that wait for a change.
func (s *Store) notifyChange() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// platform converts the record to that of sqkv.
func (r record) platform() sqkv.Record {
	return sqkv.Record{Key: r.key, Value: slices.Clone(r.value), Version: sqkv.Version(r.modified)}
}

// Compact discards the history, so that watches from earlier revisions fail.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.compacted = s.state.revision
}

// Save saves the current state for Restore.
func (s *Store) Save() {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := s.state.clone()
	s.saved = &snapshot
}

// Restore goes back to the state of the last Save, or to an empty state, and
// ends all watches. The revision goes back as well. Leases start anew with
// their full ttl.
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
		s.startTimer(id, l, time.Now())
	}
	s.history = nil
	s.compacted = s.state.revision
	s.cancelWatches()
	s.notifyChange()
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
