// Package sqshed is an entry's knowledge of what the gates of a service, and
// those of the services deeper in the chain, have room for. It comes with the
// answers, and lets the entry refuse at the first hop what would fail at a
// later one (DAGOR, SoCC 2018; TopFull, SIGCOMM 2024).
//
// What is known is a cut on the scale of importance (scale): 0 admits all, 1.3
// none of the lowest level and 0.7 of the next. Every answer moves it, whatever
// its request's importance, so few answers are enough. It comes down at a bounded
// speed, so that demand comes back in steps that the gates can measure, and
// without answers it comes down too, after a probe.
package sqshed

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
)

const (
	// averageSpan is the time constant of the average over answers, and
	// minGain the least weight of one.
	averageSpan = 150 * time.Millisecond
	minGain     = 0.03
	worseSpan   = 75 * time.Millisecond
	// fallSpeed is the greatest fall of a cut in levels a second.
	fallSpeed = 5.0
	// silence is the time without an answer after which a request is let
	// through as a probe, and after which the cut falls at quietSpeed.
	silence    = 200 * time.Millisecond
	quietSpeed = 1.0
	// againShare is the share of a level from which all that comes back to it is
	// admitted: a caller comes back once, so returns are at most as many as the
	// new requests that are refused, and half of them or more find room.
	againShare = 0.3
	// openCut is the part shed below which nothing is.
	openCut = 0.005
	// forgetAfter is the time after which a workspace's claim is forgotten.
	forgetAfter = 5 * time.Second
)

// Class names requests that share a fate: those of one workspace on one route
// of a service. Route is empty where the plan has no finer one.
type Class struct {
	Service   sqid.ServiceID
	Route     string
	Workspace sqid.WorkspaceID
}

// route is the class of all workspaces.
func (c Class) route() Class { return Class{Service: c.Service, Route: c.Route} }

// Room is what a gate of a service has room for: all calls above Level, and of
// those at Level the part Share of the workspace's, All of all together, and
// Typical of the median workspace's; a Typical of 0 stands for All.
type Room struct {
	Service    sqid.ServiceID
	Level      squnit.Importance
	Share, All squnit.Share
	Typical    squnit.Share
}

// ratio is how much more is shed of a workspace with a share than of all.
func (r *Room) ratio(share squnit.Share) float64 {
	if r.All >= 1 || share == 0 {
		return 1
	}
	return max(0, float64(1-share)/float64(1-r.All))
}

// cut is the room on the scale of importance, for all workspaces together.
func (r *Room) cut() float64 {
	return float64(r.Level) + 1 - min(1, max(0, float64(r.All)))
}

// tighter reports whether r has less room than o.
func (r *Room) tighter(o *Room) bool { return r.cut() > o.cut() }

// Admission is the decision on one request.
type Admission struct {
	OK bool
	// Probe is set for a request that went through to see if there is room.
	Probe bool
	// Share is the part of requests like this one that is admitted. It goes
	// with the request to every gate.
	Share squnit.Share
	// Reason is set if OK is not.
	Reason sqreason.Refusal
}

// cut is what is known of a route of a service, for all workspaces together.
type cut struct {
	at    time.Time
	value float64
	// deeper is set if a deeper service has the least room.
	deeper bool
	probed time.Time
}

// claim is how much more is shed of a workspace than of all, at the level
// where only a part is: 0 is nothing, 1 as much as of all. The claim of no
// workspace is the typical one, for those that have not been heard of.
type claim struct {
	at    time.Time
	ratio float64
}

// Table is what one entry knows. The zero value knows of no shedding. Its
// methods are safe for concurrent use and do not block.
type Table struct {
	// Fine says that requests have levels between the named ones, so that a
	// named one that no request has is none.
	Fine bool

	mu     sync.Mutex
	scale  scale
	cuts   map[Class]cut
	claims map[Class]claim
}

// Learn takes what an answer to a request of class c says: the room of the
// gate that answered, and those of the services below it that the request
// reached.
func (t *Table) Learn(now time.Time, c Class, own Room, deeper []Room) {
	room, below := &own, false
	for i := range deeper {
		if deeper[i].tighter(room) {
			room, below = &deeper[i], true
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.learnCut(now, c.route(), room, below) || room.All >= 1 {
		return
	}
	t.learnClaim(now, c.route(), room.ratio(room.Typical))
	if c.Workspace != "" {
		t.learnClaim(now, c, float64(1-room.Share)/float64(1-room.All))
	}
}

// learnCut takes in a room, and reports whether anything is shed after it.
func (t *Table) learnCut(now time.Time, route Class, room *Room, below bool) bool {
	t.see(room.Level)
	sample := t.scale.cut(room)
	k, ok := t.cuts[route]
	if !ok {
		if sample < openCut {
			return false
		}
		k = cut{at: now.Add(-averageSpan / 4)}
	}
	dt := now.Sub(k.at)
	old := k.value
	k.value += gain(dt, sample > old) * (sample - old)
	k.value = max(k.value, old-fallSpeed*dt.Seconds())
	k.at, k.deeper = now, below
	if k.value < openCut {
		delete(t.cuts, route)
		return false
	}
	if t.cuts == nil {
		t.cuts = make(map[Class]cut)
		t.claims = make(map[Class]claim)
	}
	t.cuts[route] = k
	return true
}

// see takes a level into the scale. Cuts above it move up by it.
func (t *Table) see(i squnit.Importance) {
	at, added := t.scale.add(i, t.Fine)
	if !added {
		return
	}
	for c, k := range t.cuts {
		if k.value > at {
			k.value++
			t.cuts[c] = k
		}
	}
}

func (t *Table) learnClaim(now time.Time, c Class, ratio float64) {
	k, ok := t.claims[c]
	if !ok {
		k.ratio = ratio
	}
	k.ratio += gain(now.Sub(k.at), false) * (ratio - k.ratio)
	k.at = now
	t.claims[c] = k
}

// gain is the weight of an answer that comes dt after the one before. Bad news
// counts for more.
func gain(dt time.Duration, worse bool) float64 {
	span := averageSpan
	if worse {
		span = worseSpan
	}
	return max(minGain, 1-math.Exp(-float64(dt)/float64(span)))
}

// now is the cut after the time without answers.
func (k *cut) now(now time.Time) float64 {
	if dt := now.Sub(k.at) - silence; dt > 0 {
		return max(0, k.value-quietSpeed*dt.Seconds())
	}
	return k.value
}

// forClaim is the cut for a workspace: only within the level that is shed in
// part does it differ from that of all.
func (k *cut) forClaim(now time.Time, ratio float64) float64 {
	level, part := math.Modf(k.now(now))
	return level + min(1, part*ratio)
}

// Admit decides on a request of class c and importance i. Nested calls are not
// asked about: they carry the share of their request.
func (t *Table) Admit(now time.Time, rng *rand.Rand, c Class, i squnit.Importance) Admission {
	return t.admit(now, rng, c, i, false)
}

// AdmitAgain decides on a request that comes back after a refusal: it goes
// before new ones of its level, so that it is not refused twice where any of
// them is served.
func (t *Table) AdmitAgain(now time.Time, rng *rand.Rand, c Class, i squnit.Importance) Admission {
	return t.admit(now, rng, c, i, true)
}

func (t *Table) admit(now time.Time, rng *rand.Rand, c Class, i squnit.Importance, again bool) Admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.see(i)
	k, ok := t.cuts[c.route()]
	if !ok {
		return Admission{OK: true, Share: 1}
	}
	ratio := 1.0
	if own, known := t.claims[c]; known {
		ratio = own.ratio
	} else if typical, known := t.claims[c.route()]; known {
		ratio = typical.ratio
	}
	level := t.scale.at(i)
	share := min(1, max(0, level+1-k.forClaim(now, ratio)))
	if again && share >= againShare {
		return Admission{OK: true, Share: 1}
	}
	if rng.Float64() < share {
		return Admission{OK: true, Share: squnit.Share(share)}
	}
	if now.Sub(k.at) > silence && now.Sub(k.probed) > silence {
		k.probed = now
		t.cuts[c.route()] = k
		return Admission{OK: true, Probe: true, Share: 1}
	}
	return Admission{Share: squnit.Share(share), Reason: k.reason(level, ratio)}
}

func (k *cut) reason(level, ratio float64) sqreason.Refusal {
	switch {
	case k.deeper:
		return sqreason.ShedDeeper
	case level+1 > k.value && ratio > 1:
		return sqreason.ShedFairness
	default:
		return sqreason.ShedImportance
	}
}

// Tick forgets the routes of which nothing is shed any more, and the claims of
// workspaces that have not been heard of for a while.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, k := range t.cuts {
		if k.now(now) < openCut && now.Sub(k.at) > silence {
			delete(t.cuts, c)
		}
	}
	for c, k := range t.claims {
		if now.Sub(k.at) > forgetAfter {
			delete(t.claims, c)
		}
	}
}

// Cuts returns the cut of each route, for the status page and tests.
func (t *Table) Cuts(now time.Time) map[Class]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	cuts := make(map[Class]float64, len(t.cuts))
	for c, k := range t.cuts {
		cuts[c] = k.now(now)
	}
	return cuts
}
