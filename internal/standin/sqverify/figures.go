package sqverify

import (
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqload"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqsimtarget"
)

// Span is the half-open interval [From, To) of a run, in Unix nanoseconds.
type Span struct {
	From int64
	To   int64
}

// Contains reports whether t is in [From, To).
func (s Span) Contains(t int64) bool {
	return s.From <= t && t < s.To
}

// Seconds returns the length of the span in seconds.
func (s Span) Seconds() float64 {
	return time.Duration(s.To - s.From).Seconds()
}

// Served counts the requests scheduled in a span. Complete counts those of them
// that got a complete answer of their own, under any of their attempts.
type Served struct {
	Requests int `json:"requests"`
	Complete int `json:"whole"`
}

// Share returns Complete as a share of Requests from 0 to 1, and 1 if there were
// no requests.
func (s Served) Share() float64 {
	if s.Requests == 0 {
		return 1
	}
	return float64(s.Complete) / float64(s.Requests)
}

// Served counts the requests scheduled in span for which include returns true;
// a nil include counts all.
func (e *Evidence) Served(span Span, include func(*sqload.Sample) bool) Served {
	var out Served
	for i := range e.Samples {
		s := &e.Samples[i]
		if !span.Contains(s.Scheduled) || include != nil && !include(s) {
			continue
		}
		out.Requests++
		if s.Complete {
			out.Complete++
		}
	}
	return out
}

// Goodput returns the complete answers received in span, in requests per
// second.
func (e *Evidence) Goodput(span Span) float64 {
	n := 0
	for i := range e.Samples {
		if e.Samples[i].Complete && span.Contains(e.Samples[i].Ended) {
			n++
		}
	}
	return float64(n) / span.Seconds()
}

const (
	recoveryWindow     = 500 * time.Millisecond
	recoveryWindowStep = 50 * time.Millisecond
	// RecoveredShare is the fraction of the served share before the fault that
	// a fleet must reach again to count as recovered.
	RecoveredShare = 0.95
)

// Recovery returns the time from the end of a fault (causeEnd) until the share
// of requests served is back at RecoveredShare of the share in the span before
// it. The share is taken over windows of recoveryWindow, by scheduled time, and
// every later window of the run must reach it as well. Only requests for which
// include returns true count; a nil include counts all. It returns false if the
// fleet has not recovered by runEnd.
func (e *Evidence) Recovery(before Span, causeEnd, runEnd int64, include func(*sqload.Sample) bool) (time.Duration, bool) {
	minShare := RecoveredShare * e.Served(before, include).Share()
	recoveredAt, recovered := int64(0), false
	for from := causeEnd; from+int64(recoveryWindow) <= runEnd; from += int64(recoveryWindowStep) {
		served := e.Served(Span{from, from + int64(recoveryWindow)}, include)
		good := served.Share() >= minShare
		if good && !recovered {
			recoveredAt = from
		}
		recovered = good
	}
	if !recovered {
		return 0, false
	}
	return time.Duration(recoveredAt - causeEnd), true
}

// WastedShare returns the share of the targets' work that went into requests that
// failed. Each run counts with the weight of its service, or 1 if weights has
// none. Runs of requests without a sample, such as probes, are left out.
func (e *Evidence) WastedShare(weights map[sqid.ServiceID]float64) float64 {
	complete := make(map[string]bool)
	known := make(map[string]bool)
	e.eachAttempt(func(s *sqload.Sample, a *sqload.Attempt) {
		known[a.RequestID] = true
		complete[a.RequestID] = s.Complete
	})
	total, wasted := 0.0, 0.0
	e.eachRun(func(service sqid.ServiceID, r *sqsimtarget.CallRecord) {
		if !known[r.RequestID] {
			return
		}
		w, ok := weights[service]
		if !ok {
			w = 1
		}
		total += w
		if !complete[r.RequestID] {
			wasted += w
		}
	})
	if total == 0 {
		return 0
	}
	return wasted / total
}

// CallsPerAdmitted returns the mean number of calls that reached the targets of
// service, per request that ran at a target of the entry service. It shows how
// retries multiply along a call chain.
func (e *Evidence) CallsPerAdmitted(entry, service sqid.ServiceID) float64 {
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
