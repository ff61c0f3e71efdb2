// Package sqverify compares what callers were told with what targets ran. Its
// checks are pure: they take the samples of the load tool and the records of
// the targets, and return every violation that they find.
package sqverify

import (
	"fmt"
	"net/http"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqload"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqtargetstand"
)

// Evidence is what a run of a fleet left behind.
type Evidence struct {
	Samples []sqload.Sample
	// Runs are the records of the targets by service.
	Runs map[sqid.ServiceID][]sqtargetstand.Run
}

// Violation says what did not hold, and for which request.
type Violation struct {
	RequestID string `json:"requestId"`
	What      string `json:"what"`
}

// String returns the violation as one line.
func (v Violation) String() string {
	return v.RequestID + ": " + v.What
}

// eachAttempt calls f with each attempt and its sample.
func (e *Evidence) eachAttempt(f func(s *sqload.Sample, a *sqload.Attempt)) {
	for i := range e.Samples {
		s := &e.Samples[i]
		for j := range s.Attempts {
			f(s, &s.Attempts[j])
		}
	}
}

// eachRun calls f with each call that has begun to run.
func (e *Evidence) eachRun(f func(service sqid.ServiceID, r *sqtargetstand.Run)) {
	for service, runs := range e.Runs {
		for i := range runs {
			if runs[i].Outcome.Ran() {
				f(service, &runs[i])
			}
		}
	}
}

// ran counts the runs of each request.
func (e *Evidence) ran() map[string]int {
	n := make(map[string]int)
	e.eachRun(func(_ sqid.ServiceID, r *sqtargetstand.Run) { n[r.RequestID]++ })
	return n
}

// FalseNotRun returns the answers that said "not-run" of a request that a
// target ran.
func (e *Evidence) FalseNotRun() []Violation {
	var out []Violation
	ran := e.ran()
	e.eachAttempt(func(_ *sqload.Sample, a *sqload.Attempt) {
		if a.Run == squnit.RunNot.String() && ran[a.RequestID] > 0 {
			out = append(out, Violation{a.RequestID, fmt.Sprintf("answered not-run (%d %s), ran", a.Status, a.Reason)})
		}
	})
	return out
}

// FalseRun returns the answers that said "run" of a request that no target
// ran, under any send of the same operation.
func (e *Evidence) FalseRun() []Violation {
	var out []Violation
	ran := e.ran()
	operations := make(map[string]bool)
	e.eachRun(func(_ sqid.ServiceID, r *sqtargetstand.Run) { operations[r.Operation] = true })
	e.eachAttempt(func(_ *sqload.Sample, a *sqload.Attempt) {
		replay := a.Operation != "" && operations[a.Operation]
		if a.Run == squnit.RunDone.String() && ran[a.RequestID] == 0 && !replay {
			out = append(out, Violation{a.RequestID, fmt.Sprintf("answered run (%d), not run", a.Status)})
		}
	})
	return out
}

// NoOutcome returns the answers without a Sequoia-Run.
func (e *Evidence) NoOutcome() []Violation {
	var out []Violation
	e.eachAttempt(func(_ *sqload.Sample, a *sqload.Attempt) {
		if a.Status != 0 && a.Run == "" {
			out = append(out, Violation{a.RequestID, fmt.Sprintf("answer %d without Sequoia-Run", a.Status)})
		}
	})
	return out
}

// place is where an operation or a request may run once.
type place struct {
	service sqid.ServiceID
	path    string
	id      string
}

// RunTwice returns the non-idempotent calls and operations that ran more than
// once. Calls of two runs of one idempotent request are two calls.
func (e *Evidence) RunTwice() []Violation {
	requests, operations := make(map[place]int), make(map[place]int)
	e.eachRun(func(service sqid.ServiceID, r *sqtargetstand.Run) {
		if r.Method != http.MethodPost && r.Method != http.MethodPatch {
			return
		}
		requests[place{service, r.Path, r.RequestID + " " + r.CallID}]++
		if r.Operation != "" {
			operations[place{service, r.Path, string(r.Workspace) + " " + r.Operation}]++
		}
	})
	return append(twice(requests, "request"), twice(operations, "operation")...)
}

func twice(counts map[place]int, what string) []Violation {
	var out []Violation
	for p, n := range counts {
		if n > 1 {
			out = append(out, Violation{p.id, fmt.Sprintf("%s ran %d times at %s%s", what, n, p.service, p.path)})
		}
	}
	return out
}

// KeySeen returns the calls at targets that carried a caller's key.
func (e *Evidence) KeySeen() []Violation {
	var out []Violation
	for service, runs := range e.Runs {
		for i := range runs {
			if runs[i].KeySeen {
				out = append(out, Violation{runs[i].RequestID, "key seen at " + string(service)})
			}
		}
	}
	return out
}

// Crossed returns the answers that were not their request's own, and the
// calls that ran for another workspace than the sender's.
func (e *Evidence) Crossed() []Violation {
	var out []Violation
	owner := make(map[string]sqid.WorkspaceID)
	e.eachAttempt(func(s *sqload.Sample, a *sqload.Attempt) {
		owner[a.RequestID] = s.Workspace
		if a.Crossed {
			out = append(out, Violation{a.RequestID, "answer is not its own " + a.Err})
		}
	})
	for service, runs := range e.Runs {
		for i := range runs {
			r := &runs[i]
			if w, ok := owner[r.RequestID]; ok && r.Workspace != w {
				out = append(out, Violation{r.RequestID, fmt.Sprintf("ran at %s for %q, sent by %q", service, r.Workspace, w)})
			}
		}
	}
	return out
}
