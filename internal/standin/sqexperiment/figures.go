package sqexperiment

import (
	"cmp"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqload"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqverify"
)

// Figures holds the measurements of one run. The cause is the overload or fault
// that the experiment injects from CauseFrom for CauseFor. Goodput is in complete
// answers per second; shares are from 0 to 1.
type Figures struct {
	// Capacity is the requests per second that the busiest service can serve,
	// from its slots and the time that its runs took before the cause.
	Capacity float64 `json:"capacity"`
	// Before, During and After are the goodput before the cause, during it and
	// from one second after its end.
	Before float64 `json:"before"`
	During float64 `json:"during"`
	After  float64 `json:"after"`
	// DuringShare is During divided by the attainable goodput: the smaller of
	// the capacity that the cause leaves and the offered rate.
	DuringShare float64 `json:"duringShare"`
	// Recovery is the time from the end of the cause until the fleet recovered,
	// in seconds, or -1 if it did not.
	Recovery float64 `json:"recovery"`
	// WorstShare is the share of requests served during the cause for the
	// worst-served workspace that does not surge.
	WorstShare float64 `json:"worstShare"`
	// CriticalShare is the share of critical requests served during the cause.
	CriticalShare float64 `json:"criticalShare"`
	// CriticalLost counts the critical requests that failed during the cause
	// although requests of low importance, scheduled in the same tenth of a
	// second, were served.
	CriticalLost int `json:"criticalLost"`
	// WronglyRefused is the share of attempts within the rate that were refused
	// for the rate, over the workspaces that do not surge.
	WronglyRefused float64 `json:"wronglyRefused"`
	// SurgeAdmitted is the number of attempts of the surging workspaces that were
	// not refused for the rate, divided by those that a single token bucket would
	// admit.
	SurgeAdmitted float64 `json:"surgeAdmitted"`
	// WorstExcess is the largest excess over any plan's rate and burst, in
	// requests; the plans were kept if it is at most 0.
	WorstExcess float64 `json:"worstExcess"`
	// Wasted is the share of the targets' work that went into failed requests.
	Wasted float64 `json:"wasted"`
	// DeepestCallsPerRequest is the mean number of calls at the deepest service per admitted
	// request.
	DeepestCallsPerRequest float64 `json:"deepest"`
	// SendsPerRequest is the mean number of clients' sends per request.
	SendsPerRequest float64 `json:"sends"`
	// Violations counts the violations of properties that must always hold, by
	// kind.
	Violations map[string]int `json:"violations"`
	// ReasonsDuring and ReasonsAfter count the failed attempts by reason, client
	// error or status, during the cause and from one second after its end.
	ReasonsDuring map[string]int `json:"reasonsDuring"`
	ReasonsAfter  map[string]int `json:"reasonsAfter"`
	// NotSent is as in the result of the load tool.
	NotSent int `json:"notSent"`
}

func (f *File) computeFigures(e *sqverify.Evidence, result *sqload.Result) Figures {
	unixNano := func(s time.Duration) int64 { return result.Start + int64(s) }
	causeFrom, causeEnd := time.Duration(f.CauseFrom), time.Duration(f.CauseFrom+f.CauseFor)
	before := sqverify.Span{From: unixNano(0), To: unixNano(causeFrom)}
	cause := sqverify.Span{From: unixNano(causeFrom), To: unixNano(causeEnd)}
	after := sqverify.Span{From: unixNano(causeEnd + time.Second), To: unixNano(time.Duration(f.Duration))}
	out := Figures{
		Capacity: f.capacity(e, before),
		Before:   e.Goodput(before), During: e.Goodput(cause), After: e.Goodput(after),
		Recovery: -1, WorstShare: f.worstShare(e, cause), CriticalLost: criticalLost(e, cause),
		WorstExcess: f.worstExcess(e), Wasted: e.WastedShare(f.serviceWeights()),
		DeepestCallsPerRequest: e.CallsPerAdmitted(f.entryService(), f.deepestService()), NotSent: result.NotSent,
		Violations: countViolations(e), ReasonsDuring: failureReasons(e, cause), ReasonsAfter: failureReasons(e, after),
	}
	offered := float64(e.Served(cause, nil).Requests) / cause.Seconds()
	if attainable := min(out.Capacity*f.causeCapacity(), offered); attainable > 0 {
		out.DuringShare = out.During / attainable
	}
	critical := e.Served(cause, func(s *sqload.Sample) bool { return s.Importance == squnit.ImportanceCritical })
	out.CriticalShare = critical.Share()
	if took, ok := e.Recovery(before, cause.To, after.To, nil); ok {
		out.Recovery = took.Seconds()
	}
	out.WronglyRefused, out.SurgeAdmitted = f.rateShares(result)
	out.SendsPerRequest = ratio(result.All.Attempts, result.All.Requests)
	return out
}

// causeCapacity returns CauseCapacity with its default of 1.
func (f *File) causeCapacity() float64 {
	if f.CauseCapacity == 0 {
		return 1
	}
	return f.CauseCapacity
}

// capacity returns the smallest capacity of all services, in requests per second.
// The capacity of a service is its slots divided by the mean time that a request
// holds a slot, added up over the request's runs. It is measured over the runs that
// began in span.
func (f *File) capacity(e *sqverify.Evidence, span sqverify.Span) float64 {
	least := math.Inf(1)
	dataCentres := f.Fleet.Regions * f.Fleet.DataCentres
	for _, s := range f.Fleet.Services {
		slotSeconds := 0.0
		requests := make(map[string]bool)
		for _, r := range e.Runs[s.Name] {
			if r.Ended > 0 && r.Started > 0 && span.Contains(r.Started) {
				slotSeconds += time.Duration(r.Ended - r.Started).Seconds()
				requests[r.RequestID] = true
			}
		}
		if slotSeconds > 0 {
			slots := float64(dataCentres*s.Instances) * float64(s.Slots)
			least = min(least, slots*float64(len(requests))/slotSeconds)
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

// rateShares returns the values of Figures.WronglyRefused and
// Figures.SurgeAdmitted.
func (f *File) rateShares(result *sqload.Result) (wronglyRefused, surgeAdmitted float64) {
	var inRate, refused, surgeInRate, surgeAccepted int
	for _, w := range f.Workspaces {
		a := result.ByWorkspace[w.Name]
		switch {
		case a == nil:
		case w.Surges:
			surgeInRate += a.WithinRate
			surgeAccepted += a.Attempts - a.RefusedForRate
		default:
			inRate += a.WithinRate
			refused += a.RefusedWithinRate
		}
	}
	return ratio(refused, inRate), ratio(surgeAccepted, surgeInRate)
}

// ratio returns a/b, and 0 for b = 0.
func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// worstShare returns the value of Figures.WorstShare for a span.
func (f *File) worstShare(e *sqverify.Evidence, span sqverify.Span) float64 {
	worst := 1.0
	for _, w := range f.Workspaces {
		if w.Surges {
			continue
		}
		served := e.Served(span, func(s *sqload.Sample) bool { return s.Workspace == w.Name })
		worst = min(worst, served.Share())
	}
	return worst
}

func (f *File) worstExcess(e *sqverify.Evidence) float64 {
	worst := math.Inf(-1)
	for _, w := range f.Workspaces {
		worst = max(worst, sqverify.WorstExcess(e.Admissions(w.Name), w.PlanRate, w.PlanBurst))
	}
	return worst
}

// criticalLost returns the value of Figures.CriticalLost.
func criticalLost(e *sqverify.Evidence, span sqverify.Span) int {
	type bin struct{ lost, lowServed int }
	bins := make(map[int64]bin)
	for i := range e.Samples {
		s := &e.Samples[i]
		if !span.Contains(s.Scheduled) {
			continue
		}
		key := s.Scheduled / int64(sqload.BinWidth)
		b := bins[key]
		switch {
		case s.Importance == squnit.ImportanceCritical && !s.Complete:
			b.lost++
		case s.Importance == squnit.ImportanceLow && s.Complete:
			b.lowServed++
		}
		bins[key] = b
	}
	lost := 0
	for _, b := range bins {
		if b.lowServed > 0 {
			lost += b.lost
		}
	}
	return lost
}

// countViolations returns the value of Figures.Violations.
func countViolations(e *sqverify.Evidence) map[string]int {
	return map[string]int{
		"crossed": len(e.Crossed()), "falseNotRun": len(e.FalseNotRun()), "falseRun": len(e.FalseRun()),
		"runTwice": len(e.DuplicateRuns()), "keySeen": len(e.LeakedKeys()),
	}
}

// failureReasons counts the failed attempts sent in span by reason, client error or
// status.
func failureReasons(e *sqverify.Evidence, span sqverify.Span) map[string]int {
	counts := make(map[string]int)
	for i := range e.Samples {
		for _, a := range e.Samples[i].Attempts {
			if a.Complete || !span.Contains(a.Sent) {
				continue
			}
			counts[cmp.Or(a.Reason, clientError(&a), fmt.Sprintf("status %d", a.Status))]++
		}
	}
	return counts
}

// clientError returns the last part of a client's error, which names the cause
// without addresses, or "" if an answer was received.
func clientError(a *sqload.Attempt) string {
	if a.Status != 0 {
		return ""
	}
	return a.Err[strings.LastIndex(a.Err, ": ")+1:]
}

// summary returns the main figures as one line of progress.
func (f *Figures) summary() string {
	return fmt.Sprintf("goodput %.0f, %.0f (%.2f of attainable), %.0f; recovery %.2f s; worst %.3f; wasted %.3f; deepest %.2f; not whole after: %v",
		f.Before, f.During, f.DuringShare, f.After, f.Recovery, f.WorstShare, f.Wasted, f.DeepestCallsPerRequest, f.ReasonsAfter)
}

// column is one figure of the table, and its title there.
type column struct {
	name  string
	value func(*Figures) float64
}

// columns are the figures in the order of the table.
var columns = []column{
	{"capacity/s", func(f *Figures) float64 { return f.Capacity }},
	{"before/s", func(f *Figures) float64 { return f.Before }},
	{"during/s", func(f *Figures) float64 { return f.During }},
	{"during share", func(f *Figures) float64 { return f.DuringShare }},
	{"after/s", func(f *Figures) float64 { return f.After }},
	{"recovery s", func(f *Figures) float64 { return f.Recovery }},
	{"worst share", func(f *Figures) float64 { return f.WorstShare }},
	{"critical share", func(f *Figures) float64 { return f.CriticalShare }},
	{"critical lost", func(f *Figures) float64 { return float64(f.CriticalLost) }},
	{"wrongly refused", func(f *Figures) float64 { return f.WronglyRefused }},
	{"surge admitted", func(f *Figures) float64 { return f.SurgeAdmitted }},
	{"worst excess", func(f *Figures) float64 { return f.WorstExcess }},
	{"wasted", func(f *Figures) float64 { return f.Wasted }},
	{"deepest calls", func(f *Figures) float64 { return f.DeepestCallsPerRequest }},
	{"sends", func(f *Figures) float64 { return f.SendsPerRequest }},
	{"violations", func(f *Figures) float64 { return float64(sumValues(f.Violations)) }},
}

func sumValues[K comparable](m map[K]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}
