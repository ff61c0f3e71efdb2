// Package sqshed is an entry's knowledge of what the gates of a service, and
// those of the services deeper in the chain, have room for. It comes with the
// answers, and lets the entry refuse at the first hop what would fail at a
// later one (DAGOR, SoCC 2018; TopFull, SIGCOMM 2024). A small part of what
// would be refused goes through as probes, so that room is seen soon after it
// is there again.
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
	// probeShare is the part of requests that always goes through.
	probeShare = 0.02
	// gain and gainSpan give the weight of an answer: gain, or more if the
	// last one is longer ago.
	gain     = 0.2
	gainSpan = 100 * time.Millisecond
	// silence is the time without an answer after which a share doubles in
	// each growSpan.
	silence  = 250 * time.Millisecond
	growSpan = 150 * time.Millisecond
	// fullShare is the share from which a class counts as not shed.
	fullShare = 0.995
)

// Class names requests that share a fate: those of one workspace and
// importance on one route of a service. Route is empty where the plan has no
// finer one.
type Class struct {
	Service    sqid.ServiceID
	Route      string
	Workspace  sqid.WorkspaceID
	Importance squnit.Importance
}

// Room is the part of a class that a service has room for.
type Room struct {
	Service sqid.ServiceID
	Level   squnit.Importance
	Share   squnit.Share
}

// Admission is the decision on one request.
type Admission struct {
	OK bool
	// Probe is set for a request that went through to see if there is room.
	Probe bool
	// Share is the part of requests of the class that is admitted. It goes
	// with the request to every gate.
	Share squnit.Share
	// Reason is set if OK is not.
	Reason sqreason.Refusal
}

type row struct {
	own    float64
	deeper float64
	at     time.Time
}

// Table is what one entry knows. The zero value knows of no shedding. Its
// methods are safe for concurrent use and do not block.
type Table struct {
	mu   sync.Mutex
	rows map[Class]row
}

// Learn takes what an answer to a request of class c says: the share of the
// gate that answered, and the rooms of the services below it that the request
// reached.
func (t *Table) Learn(now time.Time, c Class, own squnit.Share, deeper []Room) {
	low := 1.0
	for i := range deeper {
		low = min(low, float64(deeper[i].Share))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.rows[c]
	if !ok {
		if own >= fullShare && low >= fullShare {
			return
		}
		r = row{own: 1, deeper: 1, at: now}
	}
	weight := max(gain, 1-math.Exp(-float64(now.Sub(r.at))/float64(gainSpan)))
	r.own += weight * (float64(own) - r.own)
	r.deeper += weight * (low - r.deeper)
	r.at = now
	if r.own >= fullShare && r.deeper >= fullShare {
		delete(t.rows, c)
		return
	}
	if t.rows == nil {
		t.rows = make(map[Class]row)
	}
	t.rows[c] = r
}

// Admit decides on a request of class c. Nested calls are not asked about:
// they carry the share of their request.
func (t *Table) Admit(now time.Time, rng *rand.Rand, c Class) Admission {
	t.mu.Lock()
	r, ok := t.rows[c]
	t.mu.Unlock()
	if !ok {
		return Admission{OK: true, Share: 1}
	}
	share := r.share(now)
	admitted := max(probeShare, share)
	u := rng.Float64()
	if u < admitted {
		return Admission{OK: true, Probe: u >= share, Share: squnit.Share(admitted)}
	}
	reason := sqreason.ShedImportance
	if r.deeper < r.own {
		reason = sqreason.ShedDeeper
	} else if r.own > 0 {
		reason = sqreason.ShedFairness
	}
	return Admission{Share: squnit.Share(admitted), Reason: reason}
}

// share is the part admitted; it grows again if no answer comes.
func (r *row) share(now time.Time) float64 {
	share := min(r.own, r.deeper)
	if quiet := now.Sub(r.at) - silence; quiet > 0 {
		share = max(probeShare, share) * math.Exp2(float64(quiet)/float64(growSpan))
	}
	return min(1, share)
}

// Tick forgets the classes whose share has grown back to 1.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, r := range t.rows {
		if r.share(now) >= 1 {
			delete(t.rows, c)
		}
	}
}

// Shed returns the classes that are shed, for the status page and tests.
func (t *Table) Shed(now time.Time) map[Class]squnit.Share {
	t.mu.Lock()
	defer t.mu.Unlock()
	shed := make(map[Class]squnit.Share, len(t.rows))
	for c, r := range t.rows {
		shed[c] = squnit.Share(r.share(now))
	}
	return shed
}
