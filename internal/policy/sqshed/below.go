package sqshed

import "slices"

// maxRooms bounds the rooms that one answer carries.
const maxRooms = 8

// Below collects, for one call that a gate has handed to its target, the
// rooms of the services that its nested calls reached. It becomes the
// `deeper` of the call's own answer. The zero value is empty; it is not safe
// for concurrent use.
type Below struct {
	rooms []Room
}

// Add takes the room that an answer to a nested call named for the service
// that was called, and what that answer carried from deeper services. Only
// the tightest room of a service is kept, and only the tightest of all if
// there are too many.
func (b *Below) Add(own Room, deeper []Room) {
	b.add(own)
	for i := range deeper {
		b.add(deeper[i])
	}
}

func (b *Below) add(r Room) {
	if r.cut() <= 0 {
		return
	}
	widest := 0
	for i := range b.rooms {
		if b.rooms[i].Service == r.Service {
			if r.tighter(&b.rooms[i]) {
				b.rooms[i] = r
			}
			return
		}
		if b.rooms[widest].tighter(&b.rooms[i]) {
			widest = i
		}
	}
	switch {
	case len(b.rooms) < maxRooms:
		b.rooms = append(b.rooms, r)
	case r.tighter(&b.rooms[widest]):
		b.rooms[widest] = r
	}
}

// Rooms returns a copy of what was collected.
func (b *Below) Rooms() []Room {
	return slices.Clone(b.rooms)
}
