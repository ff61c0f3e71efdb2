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

// Figures are what one run measured. Goodput is in whole requests a second,
// shares are from 0 to 1.
type Figures struct {
	// Capacity is what the busiest service could carry, from its slots and
	// the time that its runs took before the cause.
	Capacity float64 `json:"capacity"`
	// Before, During and After are the goodput before the cause, while it
	// holds, and from one second after its end.
	Before float64 `json:"before"`
	During float64 `json:"during"`
	After  float64 `json:"after"`
	// DuringShare is During by what could be had: the smaller of what is
	// left of Capacity and the requests offered.
	DuringShare float64 `json:"duringShare"`
	// Recovery is in seconds, infinite (-1) if the fleet did not recover.
	Recovery float64 `json:"recovery"`
	// WorstShare is the share served of the worst-served workspace that does
	// not surge, over the cause.
	WorstShare float64 `json:"worstShare"`
	// CriticalShare is the share served of critical requests over the cause.
	CriticalShare float64 `json:"criticalShare"`
	// CriticalLost counts critical requests lost while low ones, scheduled in
	// the same tenth of a second, were served.
	CriticalLost int `json:"criticalLost"`
	// WronglyRefused is the part of the attempts inside the rate that were
	// refused for rate, of the workspaces that do not surge.
	WronglyRefused float64 `json:"wronglyRefused"`
	// SurgeAdmitted is what was not refused for rate of the workspaces that
	// surge, by what one bucket would admit.
	SurgeAdmitted float64 `json:"surgeAdmitted"`
	// WorstExcess is the largest excess over any plan's rate and burst, in
	// requests; at most 0 holds.
	WorstExcess float64 `json:"worstExcess"`
	// Wasted is the part of the targets' work for requests that failed.
	Wasted float64 `json:"wasted"`
	// Deepest is the number of calls at the deepest service for each request
	// that was admitted, Sends that of the clients' sends for each request.
	Deepest float64 `json:"deepest"`
	Sends   float64 `json:"sends"`
	// Violations counts what must never be, by kind.
	Violations map[string]int `json:"violations"`
	// ReasonsDuring and ReasonsAfter count the attempts that were not whole,
	// by reason or status, while the cause holds and from one second after.
	ReasonsDuring map[string]int `json:"reasonsDuring"`
	ReasonsAfter  map[string]int `json:"reasonsAfter"`
	NotSent       int            `json:"notSent"`
}

func (f *File) figures(e *sqverify.Evidence, result *sqload.Result) Figures {
	at := func(s time.Duration) int64 { return result.Start + int64(s) }
	from, end := time.Duration(f.CauseFrom), time.Duration(f.CauseFrom+f.CauseFor)
	before := sqverify.Span{From: at(0), To: at(from)}
	cause := sqverify.Span{From: at(from), To: at(end)}
	after := sqverify.Span{From: at(end + time.Second), To: at(time.Duration(f.Duration))}
	out := Figures{
		Capacity: f.capacity(e, before),
		Before:   e.Goodput(before), During: e.Goodput(cause), After: e.Goodput(after),
		Recovery: -1, WorstShare: f.worstShare(e, cause), CriticalLost: criticalLost(e, cause),
		WorstExcess: f.worstExcess(e), Wasted: e.Wasted(f.weights()),
		Deepest: e.Attempts(f.entryService(), f.deepestService()), NotSent: result.NotSent,
		Violations: violations(e), ReasonsDuring: reasons(e, cause), ReasonsAfter: reasons(e, after),
	}
	offered := float64(e.Served(cause, nil).Requests) / cause.Seconds()
	if could := min(out.Capacity*f.causeCapacity(), offered); could > 0 {
		out.DuringShare = out.During / could
	}
	critical := e.Served(cause, func(s *sqload.Sample) bool { return s.Importance == squnit.ImportanceCritical })
	out.CriticalShare = critical.Share()
	if took, ok := e.Recovery(before, cause.To, after.To, nil); ok {
		out.Recovery = took.Seconds()
	}
	out.WronglyRefused, out.SurgeAdmitted = f.rateShares(result)
	out.Sends = ratio(result.All.Attempts, result.All.Requests)
	return out
}

func (f *File) causeCapacity() float64 {
	if f.CauseCapacity == 0 {
		return 1
	}
	return f.CauseCapacity
}

// capacity is in whole requests a second: for each service its slots by the
// time that one request holds them, the least of all.
func (f *File) capacity(e *sqverify.Evidence, span sqverify.Span) float64 {
	least := math.Inf(1)
	centres := f.Fleet.Regions * f.Fleet.DataCentres
	for _, s := range f.Fleet.Services {
		held := 0.0
		requests := make(map[string]bool)
		for _, r := range e.Runs[s.Name] {
			if r.Ended > 0 && r.Started > 0 && span.Contains(r.Started) {
				held += time.Duration(r.Ended - r.Started).Seconds()
				requests[r.RequestID] = true
			}
		}
		if held > 0 {
			slots := float64(centres*s.Instances) * float64(s.Slots)
			least = min(least, slots*float64(len(requests))/held)
		}
	}
	if math.IsInf(least, 1) {
		return 0
	}
	return least
}

// rateShares returns Figures.WronglyRefused and Figures.SurgeAdmitted.
func (f *File) rateShares(result *sqload.Result) (wronglyRefused, surgeAdmitted float64) {
	var inRate, refused, surgeInRate, surgeTaken int
	for _, w := range f.Workspaces {
		a := result.ByWorkspace[w.Name]
		switch {
		case a == nil:
		case w.Surges:
			surgeInRate += a.InRate
			surgeTaken += a.Attempts - a.RefusedForRate
		default:
			inRate += a.InRate
			refused += a.RefusedInRate
		}
	}
	return ratio(refused, inRate), ratio(surgeTaken, surgeInRate)
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

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

func criticalLost(e *sqverify.Evidence, span sqverify.Span) int {
	type bin struct{ lost, lowServed int }
	bins := make(map[int64]bin)
	for i := range e.Samples {
		s := &e.Samples[i]
		if !span.Contains(s.Scheduled) {
			continue
		}
		key := s.Scheduled / int64(sqload.BinSpan)
		b := bins[key]
		switch {
		case s.Importance == squnit.ImportanceCritical && !s.Whole:
			b.lost++
		case s.Importance == squnit.ImportanceLow && s.Whole:
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

func violations(e *sqverify.Evidence) map[string]int {
	return map[string]int{
		"crossed": len(e.Crossed()), "falseNotRun": len(e.FalseNotRun()), "falseRun": len(e.FalseRun()),
		"runTwice": len(e.RunTwice()), "keySeen": len(e.KeySeen()),
	}
}

func reasons(e *sqverify.Evidence, span sqverify.Span) map[string]int {
	counts := make(map[string]int)
	for i := range e.Samples {
		for _, a := range e.Samples[i].Attempts {
			if a.Whole || !span.Contains(a.Sent) {
				continue
			}
			counts[cmp.Or(a.Reason, clientError(&a), fmt.Sprintf("status %d", a.Status))]++
		}
	}
	return counts
}

// clientError returns the end of a client's error, which names the cause
// without addresses; it is empty if an answer came.
func clientError(a *sqload.Attempt) string {
	if a.Status != 0 {
		return ""
	}
	return a.Err[strings.LastIndex(a.Err, ": ")+1:]
}

func (f *Figures) line() string {
	return fmt.Sprintf("goodput %.0f, %.0f (%.2f of what could be had), %.0f; recovery %.2f s; worst %.3f; wasted %.3f; deepest %.2f; not whole after: %v",
		f.Before, f.During, f.DuringShare, f.After, f.Recovery, f.WorstShare, f.Wasted, f.Deepest, f.ReasonsAfter)
}

// column is one figure of the table.
type column struct {
	name  string
	value func(*Figures) float64
}

// columns are the figures of the table, in order.
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
	{"deepest calls", func(f *Figures) float64 { return f.Deepest }},
	{"sends", func(f *Figures) float64 { return f.Sends }},
	{"violations", func(f *Figures) float64 { return float64(sum(f.Violations)) }},
}

func sum[K comparable](m map[K]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}
