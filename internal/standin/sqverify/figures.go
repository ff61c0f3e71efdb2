package sqverify

import (
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqload"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqtargetstand"
)

// Span is a span of a run, in Unix nanoseconds; To is outside.
type Span struct {
	From int64
	To   int64
}

// Contains reports whether t is in the span.
func (s Span) Contains(t int64) bool {
	return s.From <= t && t < s.To
}

// Seconds returns the length of the span.
func (s Span) Seconds() float64 {
	return time.Duration(s.To - s.From).Seconds()
}

// Served are the requests scheduled in a span and those answered whole.
type Served struct {
	Requests int `json:"requests"`
	Whole    int `json:"whole"`
}

// Share returns the part that was answered whole, 1 for no requests.
func (s Served) Share() float64 {
	if s.Requests == 0 {
		return 1
	}
	return float64(s.Whole) / float64(s.Requests)
}

// Served counts the requests scheduled in a span for which keep is true; a
// nil keep takes all.
func (e *Evidence) Served(span Span, keep func(*sqload.Sample) bool) Served {
	var out Served
	for i := range e.Samples {
		s := &e.Samples[i]
		if !span.Contains(s.Scheduled) || keep != nil && !keep(s) {
			continue
		}
		out.Requests++
		if s.Whole {
			out.Whole++
		}
	}
	return out
}

// Goodput returns the whole answers in a span, in requests a second.
func (e *Evidence) Goodput(span Span) float64 {
	n := 0
	for i := range e.Samples {
		if e.Samples[i].Whole && span.Contains(e.Samples[i].Ended) {
			n++
		}
	}
	return float64(n) / span.Seconds()
}

const (
	recoveryWindow = 500 * time.Millisecond
	recoveryStep   = 50 * time.Millisecond
	// RecoveredShare is the part of the share before at which a fleet has
	// recovered.
	RecoveredShare = 0.95
)

// Recovery returns the time from the end of a cause until requests are again
// answered whole at RecoveredShare of the share before, counted over a window
// of half a second by the scheduled time and at every later window as well.
// Requests for which keep is false are left out; a nil keep takes all. It
// returns false if the fleet has not recovered at the end of the run.
func (e *Evidence) Recovery(before Span, causeEnd, runEnd int64, keep func(*sqload.Sample) bool) (time.Duration, bool) {
	want := RecoveredShare * e.Served(before, keep).Share()
	recovered, ok := int64(0), false
	for from := causeEnd; from+int64(recoveryWindow) <= runEnd; from += int64(recoveryStep) {
		served := e.Served(Span{from, from + int64(recoveryWindow)}, keep)
		good := served.Share() >= want
		if good && !ok {
			recovered = from
		}
		ok = good
	}
	if !ok {
		return 0, false
	}
	return time.Duration(recovered - causeEnd), true
}

// Wasted returns the part of the work of targets that went into requests that
// failed. Each run counts with its service's weight, 1 if there is none.
func (e *Evidence) Wasted(weights map[sqid.ServiceID]float64) float64 {
	whole := make(map[string]bool)
	known := make(map[string]bool)
	e.eachAttempt(func(s *sqload.Sample, a *sqload.Attempt) {
		known[a.RequestID] = true
		whole[a.RequestID] = s.Whole
	})
	total, wasted := 0.0, 0.0
	e.eachRun(func(service sqid.ServiceID, r *sqtargetstand.Run) {
		if !known[r.RequestID] {
			return
		}
		w, ok := weights[service]
		if !ok {
			w = 1
		}
		total += w
		if !whole[r.RequestID] {
			wasted += w
		}
	})
	if total == 0 {
		return 0
	}
	return wasted / total
}

// Attempts returns the calls that reached a service, for each request that
// reached the entry service's targets.
func (e *Evidence) Attempts(entry, service sqid.ServiceID) float64 {
	admitted := make(map[string]bool)
	for _, r := range e.Runs[entry] {
		if r.Outcome.Ran() {
			admitted[r.RequestID] = true
		}
	}
	if len(admitted) == 0 {
		return 0
	}
	return float64(len(e.Runs[service])) / float64(len(admitted))
}
