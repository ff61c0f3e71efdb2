package sqtarget

import (
	"slices"
	"sync"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
)

// Directory is the table of the fleet's targets, with an index by service. The
// slices that it returns are never modified, so picking a target of a service
// needs no copy. The zero value is an empty directory; its methods may be called
// concurrently.
type Directory struct {
	mu       sync.RWMutex // guards rows and services
	rows     map[ID]Row
	services map[sqid.ServiceID][]Row
}

// Put adds or replaces the row of a target.
func (d *Directory) Put(id ID, row Row) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rows == nil {
		d.rows = make(map[ID]Row)
		d.services = make(map[sqid.ServiceID][]Row)
	}
	d.remove(id)
	d.rows[id] = row
	d.services[row.Service] = append(slices.Clone(d.services[row.Service]), row)
}

// Delete removes the row of a target and returns it, and false if there was
// none.
func (d *Directory) Delete(id ID) (Row, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	row, ok := d.rows[id]
	d.remove(id)
	return row, ok
}

// remove deletes a row; d.mu must be held for writing.
func (d *Directory) remove(id ID) {
	row, ok := d.rows[id]
	if !ok {
		return
	}
	delete(d.rows, id)
	rest := slices.DeleteFunc(slices.Clone(d.services[row.Service]), func(r Row) bool { return r.ID == id })
	d.services[row.Service] = rest
	if len(rest) == 0 {
		delete(d.services, row.Service)
	}
}

// Get returns the row of a target.
func (d *Directory) Get(id ID) (Row, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	row, ok := d.rows[id]
	return row, ok
}

// Service returns the targets of a service. The caller must not modify the
// slice.
func (d *Directory) Service(s sqid.ServiceID) []Row {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.services[s]
}

// Each calls f with each row until f returns false; f must not call d.
func (d *Directory) Each(f func(id ID, row Row) bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for id, row := range d.rows {
		if !f(id, row) {
			return
		}
	}
}

// Len returns the number of targets.
func (d *Directory) Len() int {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return len(d.rows)
}
