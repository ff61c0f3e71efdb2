// Package sqroute balances calls over the targets of a service. It prefers the
// nearest data centre. Within one it draws two targets at random and picks the better
// by calls in flight and latency (power of two choices, Mitzenmacher 2001; hot and
// cold targets as in Prequal, NSDI 2024). It relies on the load feedback in answers
// only and sends no load probes.
package sqroute

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqadmit"
	"github.com/sequoiatack/sequoiatack/internal/state/sqtarget"
)

// Request holds the properties of a call that affect the pick.
type Request struct {
	Service    sqid.ServiceID
	Importance squnit.Importance
	// Exclude lists targets that an earlier attempt has tried.
	Exclude []sqtarget.ID
}

// Choice is the result of a pick. Reason is set if no target could be picked.
type Choice struct {
	Row    sqtarget.Row
	Reason sqreason.Refusal
	// Remote is set if the target is in another region.
	Remote bool
}

// Router balances the calls of one daemon. Its methods are safe for concurrent use
// and do not block.
type Router struct {
	// DataCentre and Region are those of the daemon itself.
	DataCentre sqid.DataCentreID
	Region     sqid.RegionID
	// Links holds the byte budgets of the links to other regions. Regions without a
	// budget get no calls.
	Links map[sqid.RegionID]*LinkBudget
	// OnEject, if not nil, is called when a target is ejected for its failures, with
	// its failure rate and the duration of the ejection. It must not call the router.
	OnEject func(id sqtarget.ID, failureRate float64, duration time.Duration)

	mu       sync.Mutex
	services map[sqid.ServiceID]*service
	targets  map[sqtarget.ID]*target
}

// The locality tiers, nearest first.
const (
	tierDataCentre = iota
	tierRegion
	tierRemote
	numTiers
)

// randomPair is a uniform sample of at most two of the targets added to it (reservoir
// sampling).
type randomPair struct {
	added   int
	rows    [2]*sqtarget.Row
	targets [2]*target
}

func (p *randomPair) add(rng *rand.Rand, row *sqtarget.Row, t *target) {
	p.added++
	i := p.added - 1
	if i >= len(p.rows) {
		i = rng.IntN(p.added)
	}
	if i < len(p.rows) {
		p.rows[i], p.targets[i] = row, t
	}
}

// best returns the better target of the pair, or nil if the pair is empty.
func (p *randomPair) best(now time.Time) (*sqtarget.Row, *target) {
	switch {
	case p.added == 0:
		return nil, nil
	case p.added > 1 && p.targets[1].isBetterThan(now, p.targets[0]):
		return p.rows[1], p.targets[1]
	default:
		return p.rows[0], p.targets[0]
	}
}

// Pick picks a target from rows, the targets of the requested service. The caller
// calls Started if it makes the call. Targets that are ejected, unreachable a moment
// ago or held back by slow start are used only if no other target can be.
func (r *Router) Pick(now time.Time, rng *rand.Rand, rows []sqtarget.Row, req Request) Choice {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(now, req.Service)
	s.limitEjections(now, r.trackRows(now, s, rows))
	var ready, spare [numTiers]randomPair
	for i := range rows {
		row := &rows[i]
		if row.Draining || slices.Contains(req.Exclude, row.ID) {
			continue
		}
		t := s.order[i]
		if t.ejected(now) || now.Before(t.avoidUntil) || !t.passesSlowStart(now, rng) {
			spare[r.tier(row)].add(rng, row, t)
			continue
		}
		ready[r.tier(row)].add(rng, row, t)
	}
	c := r.choose(now, &ready, req)
	if c.Reason == sqreason.NoReason {
		return c
	}
	if fallback := r.choose(now, &spare, req); fallback.Reason != sqreason.TargetNone {
		return fallback
	}
	return c
}

// choose returns the target of the nearest tier whose better target has capacity. If
// no tier has one, it returns the target of the nearest tier that has any.
func (r *Router) choose(now time.Time, pairs *[numTiers]randomPair, req Request) Choice {
	var nearest *sqtarget.Row
	reason := sqreason.TargetNone
	for tier := range pairs {
		row, t := pairs[tier].best(now)
		if row == nil {
			continue
		}
		remote := tier == tierRemote
		if tier == tierDataCentre && r.spillsOver(now, t, pairs) {
			nearest = row
			continue
		}
		if remote && !r.mayCrossRegions(now, row.Region, req.Importance, nearest != nil) {
			reason = sqreason.LinkBudget
			break
		}
		if !t.lacksCapacity(now) {
			return Choice{Row: *row, Remote: remote}
		}
		if nearest == nil {
			nearest = row
		}
	}
	if nearest == nil {
		return Choice{Reason: reason}
	}
	return Choice{Row: *nearest, Remote: r.tier(nearest) == tierRemote}
}

// spillsOver reports whether a call goes to another data centre of the region
// although the own one still has capacity. It does if the own target is nearly full
// and the other is clearly less loaded, or if the own target is much slower than the
// other: the extra millisecond to the other data centre then saves a longer wait.
func (r *Router) spillsOver(now time.Time, own *target, pairs *[numTiers]randomPair) bool {
	isSlow, isFull := own.isSlow(now), own.load(now) >= fullLoad
	if !isSlow && !isFull {
		return false
	}
	_, other := pairs[tierRegion].best(now)
	if other == nil {
		return false
	}
	if isSlow && own.latency > slowFactor*other.latency && other.load(now) < hotLoad {
		own.bypassed = true
		return true
	}
	return isFull && other.load(now) < own.load(now)-spilloverLoadGap
}

// mayCrossRegions reports whether a call may go to another region. Any call may,
// within the link budget, if there is no nearer target. If there are nearer targets
// but they lack capacity, only calls of high or critical importance may.
func (r *Router) mayCrossRegions(now time.Time, to sqid.RegionID, i squnit.Importance, hasNearer bool) bool {
	if hasNearer && i < squnit.ImportanceHigh {
		return false
	}
	link := r.Links[to]
	return link != nil && link.Allows(now, i)
}

func (r *Router) tier(row *sqtarget.Row) int {
	switch {
	case row.DataCentre == r.DataCentre:
		return tierDataCentre
	case row.Region == r.Region:
		return tierRegion
	default:
		return tierRemote
	}
}

// Started counts a call as in flight at a target.
func (r *Router) Started(id sqtarget.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.targets[id]; t != nil {
		t.inFlight++
	}
}

// Ended records the end of a call that Started counted. The load is the load report
// of the gate, nil if none arrived.
func (r *Router) Ended(now time.Time, id sqtarget.ID, latency time.Duration, o sqadmit.Outcome, load *sqadmit.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.targets[id]
	if t == nil {
		return
	}
	t.inFlight = max(0, t.inFlight-1)
	t.observe(now, latency, o, load)
	if o == sqadmit.Failed || o == sqadmit.Unreachable {
		if duration := t.service.maybeEject(now, t); duration > 0 && r.OnEject != nil {
			r.OnEject(id, t.failureRate, duration)
		}
	}
}

// Tick removes targets that have no call in flight and were not passed to Pick for
// forgetAfter.
func (r *Router) Tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, t := range r.targets {
		if t.inFlight == 0 && now.Sub(t.lastOffered) > forgetAfter {
			delete(r.targets, id)
			delete(t.service.targets, id)
			t.service.order = nil
		}
	}
}

// MeanLatency returns the moving average of the latency of a service's successful
// calls, 0 if there was none.
func (r *Router) MeanLatency(name sqid.ServiceID) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.services[name]; s != nil {
		return toDuration(s.meanLatency)
	}
	return 0
}

// P90Latency returns an estimate of the 90th percentile of the latency of a service's
// successful calls, 0 until there are enough samples.
func (r *Router) P90Latency(name sqid.ServiceID) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.services[name]; s != nil && s.latencySamples >= minP90Samples {
		return toDuration(s.p90Latency)
	}
	return 0
}

// HasFreeSlots reports whether a recent load report showed free slots at a target, so
// that a call to it does not wait in its queue.
func (r *Router) HasFreeSlots(now time.Time, id sqtarget.ID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.targets[id]
	return t != nil && now.Sub(t.reportedAt) < idleReportTTL && t.reportedLoad < idleLoad
}

// IsShedding reports whether the service as a whole is overloaded: more than half of
// the targets with a recent load report shed most calls or are over capacity.
func (r *Router) IsShedding(now time.Time, name sqid.ServiceID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	return s != nil && s.isShedding(now)
}

func (r *Router) service(now time.Time, name sqid.ServiceID) *service {
	if r.services == nil {
		r.services = make(map[sqid.ServiceID]*service)
		r.targets = make(map[sqtarget.ID]*target)
	}
	s := r.services[name]
	if s == nil {
		s = &service{createdAt: now, targets: make(map[sqtarget.ID]*target)}
		r.services[name] = s
	}
	return s
}

// trackRows brings the service's order in line with rows and returns how many targets
// are not draining. A target whose daemon has restarted (a new incarnation) starts
// with empty statistics.
func (r *Router) trackRows(now time.Time, s *service, rows []sqtarget.Row) int {
	notDraining := 0
	for i := range rows {
		row := &rows[i]
		if i == len(s.order) {
			s.order = append(s.order, nil)
		}
		t := s.order[i]
		// Rows usually keep their order, which saves the map lookup.
		if t == nil || t.id != row.ID {
			t = r.targets[row.ID]
		}
		if t == nil || t.incarnation != row.Incarnation {
			t = r.addTarget(now, s, row)
		}
		s.order[i] = t
		t.lastOffered = now
		if !row.Draining {
			notDraining++
		}
	}
	return notDraining
}

func (r *Router) addTarget(now time.Time, s *service, row *sqtarget.Row) *target {
	t := &target{
		id: row.ID, service: s, incarnation: row.Incarnation, slots: float64(max(1, row.Slots)),
		createdAt: now, slowStartDone: now.Sub(s.createdAt) < slowStart,
	}
	r.targets[row.ID] = t
	s.targets[row.ID] = t
	return t
}
