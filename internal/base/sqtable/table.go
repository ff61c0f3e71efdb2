// Package sqtable has the table that entities live in: rows by id under one
// lock, owned by one package.
package sqtable

import (
	"sync"
)

// Table holds rows by id. Its zero value is an empty table. All methods may
// be called from several goroutines; functions passed in run under the lock
// and must not call the table.
type Table[ID comparable, Row any] struct {
	mu   sync.RWMutex
	rows map[ID]Row
}

// Get returns the row with id.
func (t *Table[ID, Row]) Get(id ID) (Row, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	row, ok := t.rows[id]
	return row, ok
}

// Put sets the row with id.
func (t *Table[ID, Row]) Put(id ID, row Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.put(id, row)
}

func (t *Table[ID, Row]) put(id ID, row Row) {
	if t.rows == nil {
		t.rows = make(map[ID]Row)
	}
	t.rows[id] = row
}

// Delete removes the row with id and returns what it was.
func (t *Table[ID, Row]) Delete(id ID) (Row, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[id]
	delete(t.rows, id)
	return row, ok
}

// Update calls f with the row of id, or the zero row, and whether it exists.
// It keeps the row that f returns, or removes it if f returns false.
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

// Sweep calls f with each row and removes those for which it returns false.
func (t *Table[ID, Row]) Sweep(f func(id ID, row Row) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, row := range t.rows {
		if !f(id, row) {
			delete(t.rows, id)
		}
	}
}

// Each calls f with each row until f returns false.
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
