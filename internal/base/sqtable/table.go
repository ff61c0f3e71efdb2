// Package sqtable provides a map of rows by id that is safe for concurrent use. Each
// kind of entity of a daemon is kept in one table, which one package owns.
package sqtable

import (
	"sync"
)

// Table holds rows by id under one lock. The zero value is an empty table. Its methods
// are safe for concurrent use; functions passed to them run with the lock held and
// must not call methods of the table.
type Table[ID comparable, Row any] struct {
	mu   sync.RWMutex
	rows map[ID]Row
}

// Get returns the row with id, and whether there is one.
func (t *Table[ID, Row]) Get(id ID) (Row, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	row, ok := t.rows[id]
	return row, ok
}

// Put stores row under id, and replaces the one that was there.
func (t *Table[ID, Row]) Put(id ID, row Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.put(id, row)
}

// put is Put for callers that hold the lock.
func (t *Table[ID, Row]) put(id ID, row Row) {
	if t.rows == nil {
		t.rows = make(map[ID]Row)
	}
	t.rows[id] = row
}

// Delete removes the row with id. It returns that row, and whether there was one.
func (t *Table[ID, Row]) Delete(id ID) (Row, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[id]
	delete(t.rows, id)
	return row, ok
}

// Update replaces the row with id atomically. It calls f with that row, or the zero
// Row if there is none, and whether it exists, and stores the row that f returns, or
// deletes the row if f returns false.
func (t *Table[ID, Row]) Update(id ID, f func(row Row, ok bool) (Row, bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[id]
	row, keep := f(row, ok)
	if keep {
		t.put(id, row)
		return
	}
	delete(t.rows, id)
}

// Retain calls f for each row and deletes those for which it returns false.
func (t *Table[ID, Row]) Retain(f func(id ID, row Row) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, row := range t.rows {
		if !f(id, row) {
			delete(t.rows, id)
		}
	}
}

// Each calls f for each row, in no particular order, until f returns false.
func (t *Table[ID, Row]) Each(f func(id ID, row Row) bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for id, row := range t.rows {
		if !f(id, row) {
			return
		}
	}
}

// Len returns the number of rows.
func (t *Table[ID, Row]) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.rows)
}
