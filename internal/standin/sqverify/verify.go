// Package sqverify compares the answers that callers received with the calls
// that targets ran. Its checks are pure functions over the samples of the load
// tool and the records of the targets, and return every violation found.
//
// Each answer carries a Sequoia-Run header that tells whether the request has
// run at a target: "run", "not-run" or "unknown". An operation is a
// non-idempotent request with an idempotency key, which must run at most once
// however often it is sent.
package sqverify

import (
	"fmt"
	"net/http"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqload"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqsimtarget"
)

// Evidence holds the samples of the load tool and the records of the targets
// for one run of a fleet.
type Evidence struct {
	Samples []sqload.Sample
	// Runs holds the records of the targets by service, including calls that
	// never began to run.
	Runs map[sqid.ServiceID][]sqsimtarget.CallRecord
}

// Violation describes a broken property and names the request that broke it.
type Violation struct {
	RequestID   string `json:"requestId"`
	Description string `json:"what"`
}

// String returns the violation as one line.
func (v Violation) String() string {
	return v.RequestID + ": " + v.Description
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

// eachRun calls f with each recorded call that began to run.
func (e *Evidence) eachRun(f func(service sqid.ServiceID, r *sqsimtarget.CallRecord)) {
	for service, runs := range e.Runs {
		for i := range runs {
			if runs[i].Outcome.Ran() {
				f(service, &runs[i])
			}
		}
	}
}

// runCounts returns the number of runs by request id.
func (e *Evidence) runCounts() map[string]int {
	n := make(map[string]int)
	e.eachRun(func(_ sqid.ServiceID, r *sqsimtarget.CallRecord) { n[r.RequestID]++ })
	return n
}

// FalseNotRun returns the answers marked "not-run" although a target ran the
// request.
func (e *Evidence) FalseNotRun() []Violation {
	var out []Violation
	runCounts := e.runCounts()
	e.eachAttempt(func(_ *sqload.Sample, a *sqload.Attempt) {
		if a.Run == squnit.RunNot.String() && runCounts[a.RequestID] > 0 {
			out = append(out, Violation{a.RequestID, fmt.Sprintf("answered not-run (%d %s), but a target ran it", a.Status, a.Reason)})
		}
	})
	return out
}

// FalseRun returns the answers marked "run" although no target ran the request
// or another send of the same operation.
func (e *Evidence) FalseRun() []Violation {
	var out []Violation
	runCounts := e.runCounts()
	operations := make(map[string]bool)
	e.eachRun(func(_ sqid.ServiceID, r *sqsimtarget.CallRecord) { operations[r.Operation] = true })
	e.eachAttempt(func(_ *sqload.Sample, a *sqload.Attempt) {
		replay := a.Operation != "" && operations[a.Operation]
		if a.Run == squnit.RunDone.String() && runCounts[a.RequestID] == 0 && !replay {
			out = append(out, Violation{a.RequestID, fmt.Sprintf("answered run (%d), but no target ran it", a.Status)})
		}
	})
	return out
}

// MissingRunHeader returns the answers without a Sequoia-Run header.
func (e *Evidence) MissingRunHeader() []Violation {
	var out []Violation
	e.eachAttempt(func(_ *sqload.Sample, a *sqload.Attempt) {
		if a.Status != 0 && a.Run == "" {
			out = append(out, Violation{a.RequestID, fmt.Sprintf("answer %d without Sequoia-Run", a.Status)})
		}
	})
	return out
}

// runKey identifies a call that may run at most once: a request or an operation
// at one path of a service.
type runKey struct {
	service sqid.ServiceID
	path    string
	id      string
}

// DuplicateRuns returns the non-idempotent calls and operations that ran more than
// once. An idempotent request may run twice, and then the nested calls of each
// run have call ids of their own and count as different calls.
func (e *Evidence) DuplicateRuns() []Violation {
	requests, operations := make(map[runKey]int), make(map[runKey]int)
	e.eachRun(func(service sqid.ServiceID, r *sqsimtarget.CallRecord) {
		if r.Method != http.MethodPost && r.Method != http.MethodPatch {
			return
		}
		requests[runKey{service, r.Path, r.RequestID + " " + r.CallID}]++
		if r.Operation != "" {
			operations[runKey{service, r.Path, string(r.Workspace) + " " + r.Operation}]++
		}
	})
	return append(duplicates(requests, "request"), duplicates(operations, "operation")...)
}

func duplicates(counts map[runKey]int, what string) []Violation {
	var out []Violation
	for p, n := range counts {
		if n > 1 {
			out = append(out, Violation{p.id, fmt.Sprintf("%s ran %d times at %s%s", what, n, p.service, p.path)})
		}
	}
	return out
}

// LeakedKeys returns the calls that reached a target with the caller's API key.
func (e *Evidence) LeakedKeys() []Violation {
	var out []Violation
	for service, runs := range e.Runs {
		for i := range runs {
			if runs[i].KeySeen {
				out = append(out, Violation{runs[i].RequestID, "API key seen at " + string(service)})
			}
		}
	}
	return out
}

// Crossed returns the answers that belong to another request or don't match
// theirs, and the calls that ran for a workspace other than the sender's.
func (e *Evidence) Crossed() []Violation {
	var out []Violation
	owner := make(map[string]sqid.WorkspaceID)
	e.eachAttempt(func(s *sqload.Sample, a *sqload.Attempt) {
		owner[a.RequestID] = s.Workspace
		if a.Mismatched {
			out = append(out, Violation{a.RequestID, "answer does not match the request " + a.Err})
		}
	})
	for service, runs := range e.Runs {
		for i := range runs {
			r := &runs[i]
			if w, ok := owner[r.RequestID]; ok && r.Workspace != w {
				out = append(out, Violation{r.RequestID, fmt.Sprintf("ran at %s for workspace %q, sent by %q", service, r.Workspace, w)})
			}
		}
	}
	return out
}
