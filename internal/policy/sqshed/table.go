// Package sqshed is an entry's knowledge of what the gates of a service, and
// those of the services deeper in the chain, have room for. It comes with the
// answers, and lets the entry refuse at the first hop what would fail at a
// later one (DAGOR, SoCC 2018; TopFull, SIGCOMM 2024).
//
// What is known is a cut on the scale of importance: 0 admits all, 1.3 none
// that is low, 0.7 of what is normal and all above, 4 none. Every answer moves
// it, whatever its request's importance, so few answers are enough. It comes
// down at a bounded speed, so that demand comes back in steps that the gates
// can measure, and without answers it comes down too, after a probe.
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
	// fallSpeed is the greatest fall of a cut in levels a second.
	fallSpeed = 5.0
	// silence is the time without an answer after which a request is let
	// through as a probe, and after which the cut falls at quietSpeed.
	silence    = 200 * time.Millisecond
	quietSpeed = 1.0
	// openCut is the cut below which nothing is shed.
	openCut = 0.005
)

// Class names requests that share a fate: those of one workspace on one route
// of a service. Route is empty where the plan has no finer one.
type Class struct {
	Service   sqid.ServiceID
	Route     string
	Workspace sqid.WorkspaceID
}

// Room is what a gate of a service has room for: all calls above Level, and of
// those at Level the part Share of the workspace's, and the part All of all.
type Room struct {
	Service    sqid.ServiceID
	Level      squnit.Importance
	Share, All squnit.Share
}

func (r *Room) cut(s squnit.Share) float64 {
	return float64(r.Level) + 1 - min(1, max(0, float64(s)))
}

// tighter reports whether r has less room than o.
func (r *Room) tighter(o *Room) bool {
	return max(r.cut(r.Share), r.cut(r.All)) > max(o.cut(o.Share), o.cut(o.All))
}

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

// row is a cut at a time. The row of no workspace is that of all.
type row struct {
	cut float64
	at  time.Time
	// base is the cut of all workspaces when the row was last set.
	base float64
	// deeper is set if a deeper service has the least room.
	deeper bool
	probed time.Time
}

// Table is what one entry knows. The zero value knows of no shedding. Its
// methods are safe for concurrent use and do not block.
type Table struct {
	mu   sync.Mutex
	rows map[Class]row
}

// Learn takes what an answer to a request of class c says: the room of the
// gate that answered, and those of the services below it that the request
// reached.
func (t *Table) Learn(now time.Time, c Class, own Room, deeper []Room) {
	cut, all, below := own.cut(own.Share), own.cut(own.All), false
	for i := range deeper {
		if d := deeper[i].cut(deeper[i].Share); d > cut {
			cut, below = d, true
		}
		all = max(all, deeper[i].cut(deeper[i].All))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	general := Class{Service: c.Service, Route: c.Route}
	base := t.learn(now, general, all, 0, below)
	if c.Workspace != "" {
		t.learn(now, c, cut, base, below)
	}
}

func (t *Table) learn(now time.Time, c Class, cut, base float64, deeper bool) float64 {
	r, ok := t.rows[c]
	if !ok {
		if cut < openCut && base < openCut {
			return 0
		}
		r = row{cut: base, base: base, at: now.Add(-averageSpan / 4)}
	}
	old := r.shifted(base)
	dt := now.Sub(r.at)
	r.cut = old + max(minGain, 1-math.Exp(-float64(dt)/float64(averageSpan)))*(cut-old)
	r.cut = max(r.cut, old-fallSpeed*dt.Seconds())
	r.at, r.base, r.deeper = now, base, deeper
	if r.cut < openCut && base < openCut {
		delete(t.rows, c)
		return 0
	}
	if t.rows == nil {
		t.rows = make(map[Class]row)
	}
	t.rows[c] = r
	return r.cut
}

// shifted is the cut moved as that of all workspaces has moved since.
func (r *row) shifted(base float64) float64 {
	return min(squnit.ImportanceLevels, max(0, r.cut+base-r.base))
}

// quiet is the cut after the time without answers.
func (r *row) quiet(now time.Time, cut float64) float64 {
	if dt := now.Sub(r.at) - silence; dt > 0 {
		cut -= quietSpeed * dt.Seconds()
	}
	return max(0, cut)
}

// Admit decides on a request of class c and importance i. Nested calls are not
// asked about: they carry the share of their request.
func (t *Table) Admit(now time.Time, rng *rand.Rand, c Class, i squnit.Importance) Admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.rows) == 0 {
		return Admission{OK: true, Share: 1}
	}
	general := Class{Service: c.Service, Route: c.Route}
	all := t.rows[general]
	own, known := t.rows[c]
	cut := all.quiet(now, all.cut)
	if known {
		cut = own.quiet(now, own.shifted(all.cut))
	}
	share := min(1, max(0, float64(i)+1-cut))
	if rng.Float64() < share {
		return Admission{OK: true, Share: squnit.Share(share)}
	}
	if now.Sub(all.at) > silence && now.Sub(all.probed) > silence {
		all.probed = now
		t.rows[general] = all
		return Admission{OK: true, Probe: true, Share: 1}
	}
	return Admission{Share: squnit.Share(share), Reason: reason(i, cut, all, own, known)}
}

func reason(i squnit.Importance, cut float64, all, own row, known bool) sqreason.Refusal {
	switch {
	case known && own.deeper || !known && all.deeper:
		return sqreason.ShedDeeper
	case known && float64(i)+1 > all.cut && cut > all.cut:
		return sqreason.ShedFairness
	default:
		return sqreason.ShedImportance
	}
}

// Tick forgets the classes of which nothing is shed any more.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, r := range t.rows {
		if r.quiet(now, r.cut) < openCut && now.Sub(r.at) > silence {
			delete(t.rows, c)
		}
	}
}

// Cuts returns the cut of each class, for the status page and tests.
func (t *Table) Cuts(now time.Time) map[Class]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	cuts := make(map[Class]float64, len(t.rows))
	for c, r := range t.rows {
		cuts[c] = r.quiet(now, r.cut)
	}
	return cuts
}
