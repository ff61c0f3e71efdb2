package sqshed

import "slices"

// maxRooms is the largest number of load reports that one answer carries.
const maxRooms = 8

// Below collects, for one call that a gate has handed to its target, the load
// reports of the services that the target's nested calls reached. They are sent
// as the `deeper` field of the call's own answer. The zero value is empty. A
// Below is not safe for concurrent use.
type Below struct {
	rooms []Room
}

// Add records the answer to a nested call: the load report of the service that
// was called, and the reports of deeper services that the answer carried. For
// each service it keeps only the report with the highest threshold, and at most
// maxRooms reports in all, again those with the highest thresholds.
func (b *Below) Add(called Room, deeper []Room) {
	b.add(called)
	for i := range deeper {
		b.add(deeper[i])
	}
}

func (b *Below) add(r Room) {
	if r.threshold() <= 0 {
		return
	}
	loosest := 0
	for i := range b.rooms {
		if b.rooms[i].Service == r.Service {
			if r.stricter(&b.rooms[i]) {
				b.rooms[i] = r
			}
			return
		}
		if b.rooms[loosest].stricter(&b.rooms[i]) {
			loosest = i
		}
	}
	switch {
	case len(b.rooms) < maxRooms:
		b.rooms = append(b.rooms, r)
	case r.stricter(&b.rooms[loosest]):
		b.rooms[loosest] = r
	}
}

// Rooms returns a copy of the collected load reports.
func (b *Below) Rooms() []Room {
	return slices.Clone(b.rooms)
}
