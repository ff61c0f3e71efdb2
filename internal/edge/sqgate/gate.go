// Package sqgate is the gate of a daemon: the part that hands calls to the targets
// of the daemon's own host. It gets them from entries, the parts of the same or
// other daemons that accept requests of callers and of targets. As no call reaches
// a target in another way, the gate knows how many calls each target runs, admits
// none to a draining target, and can tell that a call has not run if nothing of it
// was sent. Once something may have been sent, it may not know whether the call has
// run (squnit.RunUnknown).
package sqgate

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqmetric"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqpeer"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqadmit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqhold"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqstop"
	"github.com/sequoiatack/sequoiatack/internal/state/sqcall"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqcallwire"
)

// Sink is the receiver of an answer: the entry of the same daemon, or the stream
// to that of another. It gets the frames in order. Send must not retain the frame.
type Sink interface {
	Send(frame *sqcallwire.AnswerFrame) error
}

// Gate sends calls to the local targets.
type Gate struct {
	// Daemon is the daemon that the gate belongs to.
	Daemon sqid.DaemonID
	// Targets are the local targets.
	Targets *Targets
	// Calls is the table of calls that targets run.
	Calls   *sqcall.Table
	Metrics *sqmetric.Set
	Logger  logr.Logger
	// Conns sends requests to the targets.
	Conns Conns
	// Adapter adapts the protocol of the targets; nil stands for NativeAdapter.
	Adapter TargetAdapter
	// Budget bounds the memory that calls with long bodies hold; nil sets no limit.
	Budget *sqhold.Budget
	// Stop is the state of a planned stop of the daemon.
	Stop *sqstop.Stop
	// durations are those of the calls that the targets of a service have answered.
	durations sqstop.Durations[sqid.ServiceID]
}

func (g *Gate) adapter() TargetAdapter {
	if g.Adapter == nil {
		return NativeAdapter{}
	}
	return g.Adapter
}

// Tick closes connections that have been idle for too long. Daemons call it every
// 500 ms. It does not tick Targets, which has a shorter period.
func (g *Gate) Tick(now time.Time) {
	g.Conns.Tick(now)
	g.durations.Tick(now)
}

// canEnd reports whether a call that is sent to its target at now will have ended before
// the process does.
func (g *Gate) canEnd(now, deadline time.Time, s sqid.ServiceID) bool {
	return !g.Stop.Begun() || g.Stop.Accepts(now, deadline, g.durations.Estimate(now, s))
}

// removeReplaced removes a target at whose address another one now answers, as
// AnswerClass.AddressReused says.
func (g *Gate) removeReplaced(head *sqcallwire.CallHead, address string) {
	g.Logger.Info("target has gone: another answers at its address",
		"target", head.GetTarget(), "service", head.GetService(), "request", head.GetRequestId())
	g.Targets.Remove(sqid.TargetID(head.GetTarget()))
	g.Conns.CloseIdle(address)
}

// Serve runs one call and sends its answer to out. A refusal is an answer too; an
// error means that the answer is incomplete, because the target's answer broke off
// or a frame, also that of a refusal, could not be sent. bodyBuffered is set if the
// whole body is in memory.
func (g *Gate) Serve(ctx context.Context, head *sqcallwire.CallHead, body io.Reader, bodyBuffered bool, out Sink) error {
	deadline := time.Now().Add(time.Duration(head.GetTimeLeftUs()) * time.Microsecond)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	ctx, giveWay := context.WithCancelCause(ctx)
	defer giveWay(nil)

	c, service := admissionCall(head, deadline), sqid.ServiceID(head.GetService())
	reservation, refusal := g.Targets.admit(ctx, sqid.TargetID(head.GetTarget()), service, c)
	if refusal == nil && !g.canEnd(time.Now(), deadline, service) {
		// The entry tries a target of another daemon.
		reservation.release(sqadmit.Result{Outcome: sqadmit.Cancelled})
		refusal = gateRefusal(sqreason.Stopping, nil)
	}
	if refusal != nil {
		return g.sendRefusal(out, refusal, squnit.Credit(head.GetCredit()), reservation.loadReport())
	}
	// Observed for admitted calls only; 0 if the call did not have to wait.
	g.Metrics.QueueSeconds.Observe(reservation.waited.Seconds())
	// sqcall.Row defines the fields. RequestID may be empty, whereas the entry always
	// sets Root, which all calls of a request share.
	call := g.Calls.Open(sqcall.Row{
		ID:         c.ID,
		Root:       head.GetRoot(),
		Workspace:  c.Workspace,
		Service:    service,
		Target:     sqid.TargetID(head.GetTarget()),
		Importance: c.Importance,
		Weight:     c.Weight,
		Share:      c.Share,
		Depth:      c.Depth,
		Deadline:   deadline,
		Context:    ctx,
		RequestID:  head.GetRequestId(),
		Repeat:     head.GetRepeat(),
	}, squnit.Credit(head.GetCredit()))
	x := exchange{gate: g, head: head, call: call, reservation: reservation, out: out, bodyBuffered: bodyBuffered}
	x.giveWay = func() { giveWay(errGaveWay) }
	if !bodyBuffered {
		part := g.Budget.Open(sqpeer.HeldBytes, x.giveWay)
		defer part.Close()
		body = part.Reader(body)
	}
	return x.run(ctx, body)
}

// errGaveWay is the cause of the end of a call that gave way to others.
var errGaveWay = errors.New("calls hold too much memory")

// admissionCall returns the call as the admission policy sees it, with a new id.
// Share is the fraction of requests like the call's that the entry admitted, 0 for
// 1. From it the policy estimates the demand before the entry's shedding.
func admissionCall(head *sqcallwire.CallHead, deadline time.Time) sqadmit.Call {
	return sqadmit.Call{
		ID:         sqid.NewCallID(),
		Workspace:  sqid.WorkspaceID(head.GetWorkspace()),
		Weight:     squnit.Weight(head.GetWeight()),
		Importance: squnit.Importance(head.GetImportance()),
		Depth:      squnit.Depth(head.GetDepth()),
		Deadline:   deadline,
		Share:      squnit.Share(head.GetShare()),
	}
}

// sendRefusal sends a refusal in place of the target's answer. credit is the number
// of further attempts that the call has not used. The frame's FailedBelow stays
// unset, also if a nested call has failed.
func (g *Gate) sendRefusal(out Sink, e *sqerror.Error, credit squnit.Credit, load *sqcallwire.Load) error {
	// To the entry, Peer is the daemon at which the refusal arose.
	e.Peer = g.Daemon
	frame := &sqcallwire.AnswerFrame{
		Head:       &sqcallwire.AnswerHead{Status: uint32(e.Reason.Status()), Run: uint32(e.Run), Refusal: refusalToWire(e)},
		Last:       true,
		Load:       load,
		CreditLeft: int32(credit),
	}
	return out.Send(frame)
}

func refusalToWire(e *sqerror.Error) *sqcallwire.Refusal {
	r := &sqcallwire.Refusal{Reason: string(e.Reason), Step: string(e.Step), Peer: string(e.Peer)}
	if e.Err != nil {
		r.Detail = e.Err.Error()
	}
	r.RetryAfterMs = e.RetryAfter.Milliseconds()
	return r
}

func gateRefusal(reason sqreason.Refusal, err error) *sqerror.Error {
	return sqerror.Refuse(sqerror.StepGate, reason, err)
}
