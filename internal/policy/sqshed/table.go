// Package sqshed sheds load at the entry, the side of a daemon that accepts
// callers' requests. The gates, which hand calls to targets, put load reports
// into their answers: how much the gate that answered, and the gates of services
// deeper in the call chain, can admit. From these the entry refuses at the first
// hop what would fail at a later one (DAGOR, SoCC 2018; TopFull, SIGCOMM 2024).
//
// For each route the entry keeps an admission threshold on the scale of
// importance levels: 0 admits everything, 1.3 admits nothing of the lowest level
// and 0.7 of the next. Every answer moves the threshold, whatever the importance
// of its request, so few answers are enough. The threshold falls at a limited
// rate, so that demand returns in steps that the gates can measure. Without
// answers it falls too, and some requests are let through as probes.
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
	// averageTimeConstant is the time constant of the moving average over load
	// reports, and minAverageWeight the least weight of one report. Reports that
	// raise the threshold have riseTimeConstant instead: they count for more.
	averageTimeConstant = 150 * time.Millisecond
	minAverageWeight    = 0.03
	riseTimeConstant    = 75 * time.Millisecond
	// maxFallRate is the fastest fall of a threshold with answers, in levels per
	// second.
	maxFallRate = 5.0
	// feedbackTimeout is the time without an answer after which a request is let
	// through as a probe and the threshold falls at silentFallRate, in levels
	// per second.
	feedbackTimeout = 200 * time.Millisecond
	silentFallRate  = 1.0
	// minRetryShare is the admitted share of a level from which all its requests
	// that were refused before are admitted. A caller repeats a refused request
	// once, so there are at most as many repeated requests as refused new ones,
	// and at least half of them find capacity.
	minRetryShare = 0.3
	// minThreshold is the threshold below which nothing is shed.
	minThreshold = 0.005
	// ratioExpiry is the time without reports after which a shed ratio is
	// removed.
	ratioExpiry = 5 * time.Second
)

// Class identifies requests that are shed alike: those of one workspace on one
// route of a service. Route is empty if the plan has no separate routes for the
// service.
type Class struct {
	Service   sqid.ServiceID
	Route     string
	Workspace sqid.WorkspaceID
}

// route returns the class of all workspaces on the same route.
func (c Class) route() Class { return Class{Service: c.Service, Route: c.Route} }

// LoadReport says what a gate of a service can admit. All calls above Level are
// admitted. Of those at Level, Share is the share admitted of the workspace's
// calls, OverallShare that of all workspaces together, and MedianShare that of
// the median workspace. A MedianShare of 0 means the same as OverallShare.
type LoadReport struct {
	Service             sqid.ServiceID
	Level               squnit.Importance
	Share, OverallShare squnit.Share
	MedianShare         squnit.Share
}

// shedRatio returns the fraction shed of a workspace with an admitted share,
// divided by the fraction shed of all workspaces together.
func (r *LoadReport) shedRatio(share squnit.Share) float64 {
	if r.OverallShare >= 1 || share == 0 {
		return 1
	}
	return max(0, float64(1-share)/float64(1-r.OverallShare))
}

// threshold returns the admission threshold of the report for all workspaces
// together, on a scale that counts every level of importance.
func (r *LoadReport) threshold() float64 {
	return float64(r.Level) + 1 - min(1, max(0, float64(r.OverallShare)))
}

// stricter reports whether r has a higher threshold than o.
func (r *LoadReport) stricter(o *LoadReport) bool { return r.threshold() > o.threshold() }

// Admission is the decision on one request.
type Admission struct {
	OK bool
	// Probe is set for a request that is let through to find out whether the
	// overload is over.
	Probe bool
	// Share is the admitted share of requests like this one. It is sent with
	// the request to every gate.
	Share squnit.Share
	// Reason is set if OK is false.
	Reason sqreason.Refusal
}

// threshold is the admission threshold of one route of a service, for all
// workspaces together.
type threshold struct {
	updated time.Time
	value   float64
	// deeper is set if the strictest report came from a deeper service.
	deeper bool
	probed time.Time
}

// shedRatio is the fraction shed of one workspace's requests, divided by the
// fraction shed of all requests, at the level that is only partly shed: with 0
// nothing of the workspace is shed, with 1 as much as of all. The ratio of the
// median workspace is stored under the class without a workspace. It applies to
// workspaces that have no ratio yet.
type shedRatio struct {
	updated time.Time
	ratio   float64
}

// Table holds the admission thresholds of one entry. The zero value sheds
// nothing. Its methods are safe for concurrent use and do not block.
type Table struct {
	// FineLevels says that requests also have levels between the named ones. A named
	// level then counts only once a request or a report has it.
	FineLevels bool

	mu         sync.Mutex
	scale      scale
	thresholds map[Class]threshold
	ratios     map[Class]shedRatio
}

// Update updates the thresholds from the answer to a request of class c: with the
// load report of the gate that answered, and the reports of the deeper services
// that the request reached.
func (t *Table) Update(now time.Time, c Class, answering LoadReport, deeper []LoadReport) {
	strictest, fromDeeper := &answering, false
	for i := range deeper {
		if deeper[i].stricter(strictest) {
			strictest, fromDeeper = &deeper[i], true
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.updateThreshold(now, c.route(), strictest, fromDeeper) || strictest.OverallShare >= 1 {
		return
	}
	t.updateRatio(now, c.route(), strictest.shedRatio(strictest.MedianShare))
	if c.Workspace != "" {
		t.updateRatio(now, c, float64(1-strictest.Share)/float64(1-strictest.OverallShare))
	}
}

// updateThreshold moves a route's threshold towards that of a load report. It
// reports whether the route still sheds anything.
func (t *Table) updateThreshold(now time.Time, route Class, report *LoadReport, fromDeeper bool) bool {
	t.addLevel(report.Level)
	sample := t.scale.threshold(report)
	k, ok := t.thresholds[route]
	if !ok {
		if sample < minThreshold {
			return false
		}
		k = threshold{updated: now.Add(-averageTimeConstant / 4)}
	}
	dt := now.Sub(k.updated)
	old := k.value
	k.value += averageWeight(dt, sample > old) * (sample - old)
	k.value = max(k.value, old-maxFallRate*dt.Seconds())
	k.updated, k.deeper = now, fromDeeper
	if k.value < minThreshold {
		delete(t.thresholds, route)
		return false
	}
	if t.thresholds == nil {
		t.thresholds = make(map[Class]threshold)
		t.ratios = make(map[Class]shedRatio)
	}
	t.thresholds[route] = k
	return true
}

// addLevel adds a level to the scale. Thresholds above it rise by one level, so
// that they still shed the same levels.
func (t *Table) addLevel(i squnit.Importance) {
	position, added := t.scale.add(i, t.FineLevels)
	if !added {
		return
	}
	for c, k := range t.thresholds {
		if k.value > position {
			k.value++
			t.thresholds[c] = k
		}
	}
}

func (t *Table) updateRatio(now time.Time, c Class, ratio float64) {
	k, ok := t.ratios[c]
	if !ok {
		k.ratio = ratio
	}
	k.ratio += averageWeight(now.Sub(k.updated), false) * (ratio - k.ratio)
	k.updated = now
	t.ratios[c] = k
}

// averageWeight returns the weight in the moving average of a report that comes
// dt after the one before. rise is set if the report raises the threshold.
func averageWeight(dt time.Duration, rise bool) float64 {
	timeConstant := averageTimeConstant
	if rise {
		timeConstant = riseTimeConstant
	}
	return max(minAverageWeight, 1-math.Exp(-float64(dt)/float64(timeConstant)))
}

// current returns the threshold at the time now. It falls once there has been no
// answer for feedbackTimeout.
func (k *threshold) current(now time.Time) float64 {
	if dt := now.Sub(k.updated) - feedbackTimeout; dt > 0 {
		return max(0, k.value-silentFallRate*dt.Seconds())
	}
	return k.value
}

// forWorkspace returns the threshold for a workspace with a shed ratio. It
// differs from the route's only within the level that is partly shed.
func (k *threshold) forWorkspace(now time.Time, ratio float64) float64 {
	level, shed := math.Modf(k.current(now))
	return level + min(1, shed*ratio)
}

// Admit decides on a request of class c and importance i. It is not called for
// nested calls: they carry the admitted share of their request.
func (t *Table) Admit(now time.Time, rng *rand.Rand, c Class, i squnit.Importance) Admission {
	return t.admit(now, rng, c, i, false)
}

// AdmitRetry decides on a request that the caller sends again after a refusal.
// It has precedence over new requests of its level, so that it is not refused
// a second time while the level is served.
func (t *Table) AdmitRetry(now time.Time, rng *rand.Rand, c Class, i squnit.Importance) Admission {
	return t.admit(now, rng, c, i, true)
}

func (t *Table) admit(now time.Time, rng *rand.Rand, c Class, i squnit.Importance, again bool) Admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addLevel(i)
	k, ok := t.thresholds[c.route()]
	if !ok {
		return Admission{OK: true, Share: 1}
	}
	ratio := 1.0
	if own, known := t.ratios[c]; known {
		ratio = own.ratio
	} else if typical, known := t.ratios[c.route()]; known {
		ratio = typical.ratio
	}
	level := t.scale.position(i)
	share := min(1, max(0, level+1-k.forWorkspace(now, ratio)))
	if again && share >= minRetryShare {
		return Admission{OK: true, Share: 1}
	}
	if rng.Float64() < share {
		return Admission{OK: true, Share: squnit.Share(share)}
	}
	if now.Sub(k.updated) > feedbackTimeout && now.Sub(k.probed) > feedbackTimeout {
		k.probed = now
		t.thresholds[c.route()] = k
		return Admission{OK: true, Probe: true, Share: 1}
	}
	return Admission{Share: squnit.Share(share), Reason: k.reason(level, ratio)}
}

func (k *threshold) reason(level, ratio float64) sqreason.Refusal {
	switch {
	case k.deeper:
		return sqreason.ShedDeeper
	case level+1 > k.value && ratio > 1:
		return sqreason.ShedFairness
	default:
		return sqreason.ShedImportance
	}
}

// Tick removes the thresholds of routes that no longer shed anything, and the
// shed ratios of workspaces without recent reports.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, k := range t.thresholds {
		if k.current(now) < minThreshold && now.Sub(k.updated) > feedbackTimeout {
			delete(t.thresholds, c)
		}
	}
	for c, k := range t.ratios {
		if now.Sub(k.updated) > ratioExpiry {
			delete(t.ratios, c)
		}
	}
}

// Thresholds returns the admission threshold of each route, for tests.
func (t *Table) Thresholds(now time.Time) map[Class]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	thresholds := make(map[Class]float64, len(t.thresholds))
	for c, k := range t.thresholds {
		thresholds[c] = k.current(now)
	}
	return thresholds
}
