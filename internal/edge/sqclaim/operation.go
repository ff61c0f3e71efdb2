package sqclaim

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/policy/sqoperation"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqclaimwire"
)

const (
	// maxClaimWait bounds the time for which a claim is retried.
	maxClaimWait = 3 * time.Second
	// claimRetryDelay is the pause between two attempts, and claimTimeout bounds each.
	claimRetryDelay = 30 * time.Millisecond
	claimTimeout    = time.Second
	finishTimeout   = 2 * time.Second
	// runningRetryAfter is the retry-after for a key whose operation is running.
	runningRetryAfter = time.Second
)

// Operation is an operation that an entry has been granted to run. Finish must be
// called once.
type Operation struct {
	service *Service
	req     *sqclaimwire.ClaimRequest
	home    sqoperation.Home
}

// Begin claims an operation for an entry. It returns the operation if it may run now,
// the recorded answer if it has run already, or else the reason for refusing it.
func (svc *Service) Begin(ctx context.Context, k sqoperation.Key, f sqoperation.Fingerprint, deadline time.Time) (*Operation, *sqoperation.Answer, *sqerror.Error) {
	svc.init()
	o, refusal := svc.newOperation(k, f)
	if refusal != nil {
		return nil, nil, refusal
	}
	until := time.Now().Add(maxClaimWait)
	if deadline.Before(until) {
		until = deadline
	}
	answer := o.claim(ctx, until, deadline)
	switch answer.GetVerdict() {
	case sqclaimwire.ClaimAnswer_GRANTED:
		return o, nil, nil
	case sqclaimwire.ClaimAnswer_REPLAY:
		if recorded := answerFromWire(answer.GetAnswer()); recorded != nil {
			return nil, recorded, nil
		}
		return nil, nil, sqerror.Uncertain(sqerror.StepOperation, sqreason.OperationUnknown, errors.New("keeper has sent no recorded answer"))
	case sqclaimwire.ClaimAnswer_RUNNING:
		e := sqerror.Uncertain(sqerror.StepOperation, sqreason.OperationRunning, nil)
		e.RetryAfter = runningRetryAfter
		return nil, nil, e
	case sqclaimwire.ClaimAnswer_UNCERTAIN:
		return nil, nil, sqerror.Uncertain(sqerror.StepOperation, sqreason.OperationUnknown, nil)
	case sqclaimwire.ClaimAnswer_MISMATCH:
		return nil, nil, sqerror.Refuse(sqerror.StepOperation, sqreason.OperationMismatch, nil)
	case sqclaimwire.ClaimAnswer_FULL:
		return nil, nil, sqerror.Refuse(sqerror.StepOperation, sqreason.OperationBookFull, nil)
	}
	// The keeper may have recorded the claim and its answer been lost: free the key.
	o.Finish(sqoperation.Outcome{Run: squnit.RunNot})
	return nil, nil, sqerror.Refuse(sqerror.StepOperation, sqreason.OperationHomeAway, nil)
}

func (svc *Service) newOperation(k sqoperation.Key, f sqoperation.Fingerprint) (*Operation, *sqerror.Error) {
	centres, shares := svc.Keepers.DataCentres()
	home, err := sqoperation.HomeOf(k, centres)
	if err != nil {
		return nil, sqerror.Refuse(sqerror.StepOperation, sqreason.BadRequest, err)
	}
	if !home.Minted.IsZero() && time.Since(home.Minted) > svc.DedupWindow {
		return nil, sqerror.Refuse(sqerror.StepOperation, sqreason.OperationExpired, errors.New("idempotency key was minted longer ago than the dedup window"))
	}
	return &Operation{service: svc, home: home, req: &sqclaimwire.ClaimRequest{
		Shard: uint32(home.Shard), Key: keyToWire(k), Fingerprint: uint64(f), Token: rand.Uint64(),
		Minted: uint64(home.Epoch), Shares: shares,
	}}, nil
}

// claim asks the key's home until it decides or the time is up. Each attempt carries
// the same token, so that an attempt after a lost answer doesn't count as a second
// claim.
func (o *Operation) claim(ctx context.Context, until, deadline time.Time) *sqclaimwire.ClaimAnswer {
	for {
		answer, err := o.tryClaim(ctx, deadline)
		final := err == nil && answer.GetVerdict() != sqclaimwire.ClaimAnswer_NOT_HOME &&
			answer.GetVerdict() != sqclaimwire.ClaimAnswer_NOT_COPIED
		if final {
			return answer
		}
		if ctx.Err() != nil || !time.Now().Add(claimRetryDelay).Before(until) {
			return &sqclaimwire.ClaimAnswer{Verdict: sqclaimwire.ClaimAnswer_NOT_HOME}
		}
		time.Sleep(claimRetryDelay)
		_, o.req.Shares = o.service.Keepers.DataCentres()
	}
}

func (o *Operation) tryClaim(ctx context.Context, deadline time.Time) (*sqclaimwire.ClaimAnswer, error) {
	o.req.TimeLeftUs = time.Until(deadline).Microseconds()
	keeper, _, ok := o.service.Keepers.Home(o.home.DataCentre, o.home.Shard)
	if !ok {
		return nil, errors.New("keeper of the key's shard is not known")
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if keeper.Is(o.service.Self) {
		return o.service.claim(ctx, o.req), nil
	}
	client, err := o.service.dial(keeper.PeerAddress)
	if err != nil {
		return nil, err
	}
	answer, err := client.Claim(ctx, o.req)
	if status.Code(err) == codes.Unavailable && o.service.ReportFailure != nil {
		o.service.ReportFailure(keeper.Daemon)
	}
	return answer, err
}

// Finish reports the outcome of the run to the key's home in the background. If the
// report is lost, the operation becomes uncertain at its deadline.
func (o *Operation) Finish(outcome sqoperation.Outcome) {
	req := &sqclaimwire.FinishRequest{
		Shard: o.req.GetShard(), Key: o.req.GetKey(), Token: o.req.GetToken(),
		Run: uint32(outcome.Run), Answer: answerToWire(outcome.Answer),
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		defer cancel()
		o.sendFinish(ctx, req)
	}()
}

func (o *Operation) sendFinish(ctx context.Context, req *sqclaimwire.FinishRequest) {
	keeper, _, ok := o.service.Keepers.Home(o.home.DataCentre, o.home.Shard)
	if !ok {
		return
	}
	if keeper.Is(o.service.Self) {
		o.service.finish(ctx, req)
		return
	}
	client, err := o.service.dial(keeper.PeerAddress)
	if err != nil {
		return
	}
	if _, err := client.Finish(ctx, req); err != nil {
		o.service.Logger.V(1).Info("reporting the outcome of an operation failed", "peer", keeper.Daemon, "error", err.Error())
	}
}

// Mint returns a new idempotency key whose home is in this data centre, or an empty
// string if the chosen shard's keeper is not known.
func (svc *Service) Mint(now time.Time) string {
	shard := sqid.ShardID(rand.IntN(sqid.ShardCount))
	_, tenure, ok := svc.Keepers.Home(svc.DataCentre, shard)
	if !ok {
		return ""
	}
	return sqoperation.Mint(sqoperation.Home{DataCentre: svc.DataCentre, Shard: shard, Epoch: tenure}, now)
}
