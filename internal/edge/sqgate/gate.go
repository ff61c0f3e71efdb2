// Package sqgate is the only way to a daemon's local targets. What it says of
// them is exact: whether a call was handed over, how many run, and that a
// draining target gets nothing more.
package sqgate

import (
	"context"
	"io"
	"time"

	"github.com/go-logr/logr"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqmetric"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqadmit"
	"github.com/sequoiatack/sequoiatack/internal/state/sqcall"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqcallwire"
)

// Sink takes the frames of an answer in order. Send may keep nothing of the
// frame after it returns.
type Sink interface {
	Send(frame *sqcallwire.AnswerFrame) error
}

// Gate hands calls to the local targets.
type Gate struct {
	// Daemon is the gate's own daemon.
	Daemon sqid.DaemonID
	// Targets are the local targets.
	Targets *Targets
	// Calls is the table of calls that targets run.
	Calls   *sqcall.Table
	Metrics *sqmetric.Set
	Logger  logr.Logger
	// Conns reaches the targets.
	Conns Conns
	// Speech is how the targets are spoken with; nil is the product's own.
	Speech Speech
}

func (g *Gate) speech() Speech {
	if g.Speech == nil {
		return Native{}
	}
	return g.Speech
}

// Tick closes connections that are idle for too long.
func (g *Gate) Tick(now time.Time) { g.Conns.Tick(now) }

// moved forgets a target whose address has passed to another.
func (g *Gate) moved(head *sqcallwire.CallHead, address string) {
	g.Logger.Info("target has gone: another answers at its address",
		"target", head.GetTarget(), "service", head.GetService(), "request", head.GetRequestId())
	g.Targets.Remove(sqid.TargetID(head.GetTarget()))
	g.Conns.Forget(address)
}

// Serve runs one call and sends its answer to out. A refusal is an answer
// too; an error says that the answer was cut. short says that the body is at
// hand as a whole.
func (g *Gate) Serve(ctx context.Context, head *sqcallwire.CallHead, body io.Reader, short bool, out Sink) error {
	deadline := time.Now().Add(time.Duration(head.GetTimeLeftUs()) * time.Microsecond)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()

	c := callOf(head, deadline)
	ticket, refusal := g.Targets.enter(ctx, sqid.TargetID(head.GetTarget()), sqid.ServiceID(head.GetService()), c)
	if refusal != nil {
		return g.refuse(out, refusal, squnit.Credit(head.GetCredit()), ticket.load())
	}
	g.Metrics.QueueSeconds.Observe(ticket.waited.Seconds())
	call := g.Calls.Open(sqcall.Row{
		ID:         c.ID,
		Root:       head.GetRoot(),
		Workspace:  c.Workspace,
		Service:    sqid.ServiceID(head.GetService()),
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
	x := exchange{gate: g, head: head, call: call, ticket: ticket, out: out, short: short}
	return x.run(ctx, body)
}

func callOf(head *sqcallwire.CallHead, deadline time.Time) sqadmit.Call {
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

// refuse answers in place of the target.
func (g *Gate) refuse(out Sink, e *sqerror.Error, credit squnit.Credit, load *sqcallwire.Load) error {
	e.Peer = g.Daemon
	frame := &sqcallwire.AnswerFrame{
		Head:       &sqcallwire.AnswerHead{Status: uint32(e.Reason.Status()), Run: uint32(e.Run), Refusal: refusalOf(e)},
		Last:       true,
		Load:       load,
		CreditLeft: int32(credit),
	}
	return out.Send(frame)
}

func refusalOf(e *sqerror.Error) *sqcallwire.Refusal {
	r := &sqcallwire.Refusal{Reason: string(e.Reason), Step: string(e.Step), Peer: string(e.Peer)}
	if e.Err != nil {
		r.Detail = e.Err.Error()
	}
	r.RetryAfterMs = e.RetryAfter.Milliseconds()
	return r
}

func refuse(reason sqreason.Refusal, err error) *sqerror.Error {
	return sqerror.Refuse(sqerror.StepGate, reason, err)
}
