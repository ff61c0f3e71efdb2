package sqcatalog

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// rotationLength is the number of requests over which a route's parts get their
// exact weights: each 1% of the total weight gets one request.
const rotationLength = 100

// initRotation sets the rotation of a route, or takes it over from previous if
// the parts are the same.
func (r *Route) initRotation(previous *Catalog) {
	if old := previous.routeAt(r.Host, r.Prefix); old != nil && slices.Equal(old.Parts, r.Parts) {
		r.position, r.rotation = old.position, old.rotation
		return
	}
	r.position = new(atomic.Uint64)
	// Start at a random position, so that daemons that start together don't
	// all choose the same part first.
	r.position.Store(rand.Uint64N(rotationLength))
	r.rotation = interleave(r.Parts)
}

// interleave returns the part of each request of one rotation, with the requests
// of each part spread evenly (smooth weighted round robin). It returns nil if
// there is nothing to choose.
func interleave(parts []Part) []uint8 {
	var total squnit.Weight
	for _, p := range parts {
		total += p.Weight
	}
	if len(parts) < 2 || total <= 0 {
		return nil
	}
	current := make([]squnit.Weight, len(parts))
	rotation := make([]uint8, rotationLength)
	for i := range rotation {
		best := 0
		for j := range current {
			current[j] += parts[j].Weight
			if current[j] > current[best] {
				best = j
			}
		}
		current[best] -= total
		rotation[i] = uint8(best)
	}
	return rotation
}

// PickService returns the service of the next request. It follows the weights even
// while one of the services is overloaded.
func (r *Route) PickService() sqid.ServiceID {
	if len(r.rotation) == 0 {
		return r.Parts[0].Service
	}
	return r.Parts[r.rotation[r.position.Add(1)%rotationLength]].Service
}
