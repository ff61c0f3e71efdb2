package sqdemo

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqload"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqverdict"
	"github.com/sequoiatack/sequoiatack/internal/standin/sqverify"
)

// The bounds of the checks. Shares are of requests, from 0 to 1.
const (
	minHealthyShare = 0.999
	// minFaultShare is for the outage of the platform and for the time after
	// takeoverLimit of a kill.
	minFaultShare   = 0.99
	minSurgeShare   = 0.95
	maxRefusedShare = 0.001
	// minSurgeServedShare allows for requests lost at the edges of the surge.
	minSurgeServedShare = 0.9
	// maxDeepestCalls is the number of calls at the last service of the chain per
	// admitted request.
	maxDeepestCalls = 1.1
	// withdrawLimit and drainLimit are the times after which a withdrawn key no
	// longer works and a draining target gets no new calls.
	withdrawLimit = 2 * time.Second
	drainLimit    = 2 * time.Second
)

// checkAll adds the rows of all properties that follow from the evidence.
func (d *Demo) checkAll(e *sqverify.Evidence, rec *eventRecord) {
	d.checkChain(e)
	d.checkSurge(e)
	d.checkWithdrawn(e, rec)
	d.checkDrain(e, rec)
	d.checkStop(rec)
	d.checkKill(e, rec)
	d.checkOutage(e)
	d.checkOperations(e, rec)
	d.checkLargeBody(rec)
	d.addRow(sqverdict.ViolationsRow("answers are whole and the caller's own", "request id and workspace in each answer", e.Crossed()))
	d.addRow(sqverdict.ViolationsRow("\"not-run\" is true", "answers against the targets' records", e.FalseNotRun()))
	d.addRow(sqverdict.ViolationsRow("\"run\" is true", "answers against the targets' records", e.FalseRun()))
	d.addRow(sqverdict.ViolationsRow("every answer has Sequoia-Run", "headers of all answers", e.MissingRunHeader()))
	d.addRow(sqverdict.ViolationsRow("non-idempotent requests run at most once", "the targets' records, all POSTs", e.DuplicateRuns()))
	d.addRow(sqverdict.ViolationsRow("no target sees a key", "headers at the targets", e.LeakedKeys()))
	callsPerRequest := e.CallsPerAdmitted(calendar, payments)
	d.addRow(sqverdict.Row{
		Property: "retries are bounded over the chain", CheckedBy: "calls at the deepest service for each admitted request",
		Figure: fmt.Sprintf("%.3f", callsPerRequest), Verdict: sqverdict.FromBool(callsPerRequest <= maxDeepestCalls && callsPerRequest > 0),
		Reason: fmt.Sprintf("more than %.1f, or none", maxDeepestCalls),
	})
}

// sentBy returns a filter for the samples of a workspace.
func sentBy(name sqid.WorkspaceID) func(*sqload.Sample) bool {
	return func(s *sqload.Sample) bool { return s.Workspace == name }
}

// addShareRow adds a row that holds if at least minShare of the requests got a
// complete answer.
func (d *Demo) addShareRow(what, how string, served sqverify.Served, minShare float64) {
	d.addRow(sqverdict.Row{
		Property: what, CheckedBy: how,
		Figure:  fmt.Sprintf("%d of %d whole", served.Complete, served.Requests),
		Verdict: sqverdict.FromBool(served.Requests > 0 && served.Share() >= minShare),
		Reason:  fmt.Sprintf("share %.4f is below %.3f", served.Share(), minShare),
	})
}

// checkChain checks the requests before the first event.
func (d *Demo) checkChain(e *sqverify.Evidence) {
	served := e.Served(d.interval(0, surgeFrom), nil)
	d.addShareRow("requests pass a chain of three services", "every workspace, healthy fleet", served, minHealthyShare)
}

// checkSurge checks the rate limit of the surging workspace and the effect of its
// surge on the others.
func (d *Demo) checkSurge(e *sqverify.Evidence) {
	excess := sqverify.WorstExcess(e.Admissions(surgingWorkspace), surgingPlanRate, surgingPlanBurst)
	surged := e.Served(d.interval(surgeFrom, surgeFor), sentBy(surgingWorkspace))
	d.addRow(sqverdict.Row{
		Property: "no workspace gets more than its rate and burst", CheckedBy: "every window of the targets' records",
		Figure:  fmt.Sprintf("worst excess %.1f; %d of %d served in the surge", excess, surged.Complete, surged.Requests),
		Verdict: sqverdict.FromBool(excess <= 0),
		Reason:  fmt.Sprintf("%.1f requests above %d + %d/s", excess, surgingPlanBurst, surgingPlanRate),
	})
	d.addShareRow("a surge harms no other workspace", "the workspace inside its rate, during the surge",
		e.Served(d.interval(surgeFrom, surgeFor), sentBy(steadyWorkspace)), minSurgeShare)
	d.checkSurgeServed(surged)
	d.checkInRate(e)
}

// checkSurgeServed checks that a workspace that sends above its rate still gets
// its rate.
func (d *Demo) checkSurgeServed(surged sqverify.Served) {
	minServed := minSurgeServedShare * surgingPlanRate * surgeFor.Seconds()
	d.addRow(sqverdict.Row{
		Property: "a workspace above its rate still gets its rate", CheckedBy: "served during the surge",
		Figure:  fmt.Sprintf("%d served, rate gives %.0f", surged.Complete, surgingPlanRate*surgeFor.Seconds()),
		Verdict: sqverdict.FromBool(float64(surged.Complete) >= minServed), Reason: fmt.Sprintf("less than %.0f", minServed),
	})
}

// checkInRate checks that requests within their workspace's rate are not refused
// for the rate.
func (d *Demo) checkInRate(e *sqverify.Evidence) {
	inRate, refused := 0, 0
	for _, s := range e.Samples {
		for _, a := range s.Attempts {
			if s.Workspace != surgingWorkspace && a.WithinRate {
				inRate++
				if a.RefusedForRate() {
					refused++
				}
			}
		}
	}
	d.addRow(sqverdict.Row{
		Property: "no request inside its rate is refused for it", CheckedBy: "the workspaces inside their rate, whole run, faults included",
		Figure:  fmt.Sprintf("%d of %d refused", refused, inRate),
		Verdict: sqverdict.FromBool(float64(refused) <= maxRefusedShare*float64(inRate)),
		Reason:  fmt.Sprintf("more than %.1f in 1,000", maxRefusedShare*1000),
	})
}

// checkWithdrawn checks how long a withdrawn key still worked for the load, and how
// long until every daemon refused it.
func (d *Demo) checkWithdrawn(e *sqverify.Evidence, rec *eventRecord) {
	last, after := rec.withdrawnAt, 0
	for _, s := range e.Samples {
		for _, a := range s.Attempts {
			if s.Workspace == leavingWorkspace && a.Sent > rec.withdrawnAt {
				after++
				if a.Complete {
					last = max(last, a.Sent)
				}
			}
		}
	}
	took := time.Duration(last - rec.withdrawnAt)
	d.addRow(sqverdict.Row{
		Property: "a withdrawn key stops working on open connections", CheckedBy: "last whole answer after the change was accepted",
		Figure: fmt.Sprintf("%v, %d sent after", took.Round(time.Millisecond), after), Verdict: sqverdict.FromBool(took <= withdrawLimit && after > 0),
		Reason: fmt.Sprintf("still served after %v", withdrawLimit),
	})
	d.addRow(sqverdict.Row{
		Property: "an accepted change is in force everywhere", CheckedBy: "until each daemon refuses the key",
		Figure: rec.refusedAfter.Round(time.Millisecond).String(), Verdict: sqverdict.FromBool(rec.refusedAfter < refusalTimeout),
		Reason: fmt.Sprintf("not within %v", refusalTimeout),
	})
}

// checkDrain checks that a target that drains gets no new calls, ends cleanly and
// that no request fails for it.
func (d *Demo) checkDrain(e *sqverify.Evidence, rec *eventRecord) {
	runs, err := d.fleet.CallRecords(context.Background(), d.target(drainedDaemon))
	last := rec.drainedAt
	for i := range runs {
		last = max(last, runs[i].Started)
	}
	took := time.Duration(last - rec.drainedAt)
	d.addRow(sqverdict.Row{
		Property: "a leaving target gets no new work", CheckedBy: "last start in its record after SIGTERM, exit status",
		Figure:  fmt.Sprintf("%v, exit %d", took.Round(time.Millisecond), rec.drainExit),
		Verdict: sqverdict.FromBool(err == nil && len(runs) > 0 && took <= drainLimit && rec.drainExit == 0),
		Reason:  fmt.Sprintf("%d runs, %v", len(runs), err),
	})
	d.addShareRow("a drain fails no request", "the workspace inside its rate, from 0.1 s before to 1 s after",
		e.Served(d.interval(drainAt-100*time.Millisecond, 1100*time.Millisecond), sentBy(steadyWorkspace)), 1)
}

// checkStop checks that a planned stop of a daemon cuts no request and that the
// daemon exits with status 0. Requests that found it already stopped don't count.
func (d *Demo) checkStop(rec *eventRecord) {
	cut, whole, connRefused := 0, 0, 0
	first := ""
	for _, s := range rec.stopLoadResult.Samples {
		for _, a := range s.Attempts {
			switch {
			case a.ConnRefused:
				connRefused++
			case a.Complete:
				whole++
			default:
				cut++
				first = fmt.Sprintf("%s: status %d %s %s %s", a.RequestID, a.Status, a.Reason, a.Run, a.Err)
			}
		}
	}
	d.addRow(sqverdict.Row{
		Property: "a planned stop cuts no request", CheckedBy: "callers of the stopped daemon; exit status",
		Figure:  fmt.Sprintf("%d whole, %d not, %d found it gone, exit %d", whole, cut, connRefused, rec.stopExit),
		Verdict: sqverdict.FromBool(cut == 0 && whole > 0 && rec.stopExit == 0), Reason: first,
	})
}

// checkKill checks how soon reads and operations recover from the kill of a daemon,
// and the requests after takeoverLimit.
func (d *Demo) checkKill(e *sqverify.Evidence, rec *eventRecord) {
	d.checkRecovered(e, rec, "a killed daemon is out of use within seconds", "reads", ejectionLimit,
		func(s *sqload.Sample) bool { return s.Workspace == steadyWorkspace && s.Method == http.MethodGet })
	d.checkRecovered(e, rec, "operations of a killed daemon's shards go on", "operations with a key", takeoverLimit,
		func(s *sqload.Sample) bool { return s.Workspace == steadyWorkspace && s.Method == http.MethodPost })
	d.addShareRow("requests go on after a daemon was killed", fmt.Sprintf("the workspace inside its rate, from %v after", takeoverLimit),
		e.Served(d.interval(killAt+takeoverLimit, loadFor-killAt-takeoverLimit), sentBy(steadyWorkspace)), minFaultShare)
}

// checkRecovered adds a row for the time from the kill until the requests for
// which include returns true are served again as before.
func (d *Demo) checkRecovered(
	e *sqverify.Evidence, rec *eventRecord, what, requests string, limit time.Duration, include func(*sqload.Sample) bool,
) {
	took, ok := e.Recovery(d.interval(0, surgeFrom), rec.killedAt, d.start.Add(loadFor).UnixNano(), include)
	figure := took.Round(time.Millisecond).String()
	if !ok {
		figure = "not in this run"
	}
	d.addRow(sqverdict.Row{
		Property: what, CheckedBy: fmt.Sprintf("%s of the workspace inside its rate, until whole again", requests),
		Figure: figure, Verdict: sqverdict.FromBool(ok && took <= limit), Reason: fmt.Sprintf("not within %v", limit),
	})
}

func (d *Demo) checkOutage(e *sqverify.Evidence) {
	d.addShareRow("requests go on while the platform is out", "the workspace inside its rate, during the outage",
		e.Served(d.interval(outageFrom, outageFor), sentBy(steadyWorkspace)), minFaultShare)
}

// checkOperations checks that each operation that was sent through several entries
// ran exactly once.
func (d *Demo) checkOperations(e *sqverify.Evidence, rec *eventRecord) {
	ran := make(map[string]int)
	for _, r := range e.Runs[calendar] {
		if r.Workspace == probeWorkspace && r.Operation != "" && r.Outcome.Ran() {
			ran[r.Operation]++
		}
	}
	once, missing := 0, ""
	for n := range rec.repeatedOperations {
		operation := fmt.Sprintf("repeat-%d", n)
		if ran[operation] == 1 {
			once++
		} else {
			missing = fmt.Sprintf("%s ran %d times, answers: %s", operation, ran[operation], d.answersTo(operation))
		}
	}
	d.addRow(sqverdict.Row{
		Property: "a repeated operation runs once", CheckedBy: fmt.Sprintf("each sent %d times at once through as many entries", sendsPerOperation),
		Figure: fmt.Sprintf("%d of %d ran once", once, rec.repeatedOperations), Verdict: sqverdict.FromBool(once == rec.repeatedOperations), Reason: missing,
	})
}

// answersTo returns the status, reason and Sequoia-Run of each answer to an
// operation, as text.
func (d *Demo) answersTo(operation string) string {
	var words []string
	for _, s := range d.extraSamples {
		if a := s.Attempts[0]; a.Operation == operation {
			words = append(words, fmt.Sprintf("%d %s %s", a.Status, a.Reason, a.Run))
		}
	}
	return strings.Join(words, ", ")
}

// checkLargeBody checks the answer to the request with a large body, in which the
// target reports the size that it read.
func (d *Demo) checkLargeBody(rec *eventRecord) {
	a := rec.upload.Attempts[0]
	d.addRow(sqverdict.Row{
		Property: "a large body passes whole", CheckedBy: fmt.Sprintf("%d MiB, its size as the target read it", photoBytes>>20),
		Figure: time.Duration(a.Ended - a.Sent).Round(time.Millisecond).String(), Verdict: sqverdict.FromBool(a.Complete),
		Reason: fmt.Sprintf("status %d, %s, %s", a.Status, a.Reason, a.Err),
	})
}

// stopFleet terminates every running daemon with SIGTERM and adds a row that holds
// if all exit with status 0.
func (d *Demo) stopFleet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopDeadline)
	defer cancel()
	var asked, clean atomic.Int64
	var wg sync.WaitGroup
	start := time.Now()
	for _, daemon := range d.fleet.Daemons() {
		if !daemon.Running() {
			continue
		}
		asked.Add(1)
		wg.Go(func() {
			if status, err := daemon.Terminate(ctx); err == nil && status == 0 {
				clean.Add(1)
			}
		})
	}
	wg.Wait()
	d.addRow(sqverdict.Row{
		Property: "every daemon ends when asked", CheckedBy: "SIGTERM to all, exit status 0",
		Figure:  fmt.Sprintf("%d of %d in %v", clean.Load(), asked.Load(), time.Since(start).Round(time.Millisecond)),
		Verdict: sqverdict.FromBool(clean.Load() == asked.Load()), Reason: "killed, or another exit status",
	})
}
