package sqcatalog

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

// round is the number of requests in which a route's parts are held to their
// weights: each 1% of weight gets one of them.
const round = 100

// prepare sets up the turns of a route.
func (r *Route) prepare(before *Catalog) {
	if old := before.same(r.Host, r.Prefix); old != nil && slices.Equal(old.Parts, r.Parts) {
		r.turn, r.order = old.turn, old.order
		return
	}
	r.turn = new(atomic.Uint64)
	// Daemons that begin together don't all begin with the same part.
	r.turn.Store(rand.Uint64N(round))
	r.order = spread(r.Parts)
}

// spread returns the parts of one round, each as evenly spread over it as its
// weight allows (smooth weighted round robin).
func spread(parts []Part) []uint8 {
	var all squnit.Weight
	for _, p := range parts {
		all += p.Weight
	}
	if len(parts) < 2 || all <= 0 {
		return nil
	}
	due := make([]squnit.Weight, len(parts))
	order := make([]uint8, round)
	for i := range order {
		best := 0
		for j := range due {
			due[j] += parts[j].Weight
			if due[j] > due[best] {
				best = j
			}
		}
		due[best] -= all
		order[i] = uint8(best)
	}
	return order
}

// Choose returns the service of the next request. The parts keep to their
// weights also while one of them is short of room.
func (r *Route) Choose() sqid.ServiceID {
	if len(r.order) == 0 {
		return r.Parts[0].Service
	}
	return r.Parts[r.order[r.turn.Add(1)%round]].Service
}
