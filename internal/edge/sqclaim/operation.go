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
	// claimPatience bounds the time that a claim is tried for.
	claimPatience = 3 * time.Second
	claimPause    = 30 * time.Millisecond
	claimTimeout  = time.Second
	finishTimeout = 2 * time.Second
	runningRetry  = time.Second
)

// Operation is a run that an entry was granted. Finish must be called once.
type Operation struct {
	books *Books
	req   *sqclaimwire.ClaimRequest
	home  sqoperation.Home
}

// Begin claims an operation for an entry. It returns the operation if it may
// run now, or the answer that it gave earlier, or why neither can be had.
func (b *Books) Begin(ctx context.Context, k sqoperation.Key, f sqoperation.Fingerprint, deadline time.Time) (*Operation, *sqoperation.Answer, *sqerror.Error) {
	b.init()
	o, refusal := b.operation(k, f)
	if refusal != nil {
		return nil, nil, refusal
	}
	until := time.Now().Add(claimPatience)
	if deadline.Before(until) {
		until = deadline
	}
	answer := o.claim(ctx, until, deadline)
	switch answer.GetVerdict() {
	case sqclaimwire.ClaimAnswer_GRANTED:
		return o, nil, nil
	case sqclaimwire.ClaimAnswer_REPLAY:
		return nil, answerOf(answer.GetAnswer()), nil
	case sqclaimwire.ClaimAnswer_RUNNING:
		e := sqerror.Uncertain(sqerror.StepOperation, sqreason.OperationRunning, nil)
		e.RetryAfter = runningRetry
		return nil, nil, e
	case sqclaimwire.ClaimAnswer_UNCERTAIN:
		return nil, nil, sqerror.Uncertain(sqerror.StepOperation, sqreason.OperationUnknown, nil)
	case sqclaimwire.ClaimAnswer_MISMATCH:
		return nil, nil, sqerror.Refuse(sqerror.StepOperation, sqreason.OperationMismatch, nil)
	case sqclaimwire.ClaimAnswer_FULL:
		return nil, nil, sqerror.Refuse(sqerror.StepOperation, sqreason.OperationBookFull, nil)
	}
	// A claim may have been recorded, and its answer lost: free it.
	o.Finish(sqoperation.Outcome{Run: squnit.RunNot})
	return nil, nil, sqerror.Refuse(sqerror.StepOperation, sqreason.OperationHomeAway, nil)
}

func (b *Books) operation(k sqoperation.Key, f sqoperation.Fingerprint) (*Operation, *sqerror.Error) {
	centres, shares := b.Keepers.Centres()
	home, err := sqoperation.HomeOf(k, centres)
	if err != nil {
		return nil, sqerror.Refuse(sqerror.StepOperation, sqreason.BadRequest, err)
	}
	if !home.Minted.IsZero() && time.Since(home.Minted) > b.Horizon {
		return nil, sqerror.Refuse(sqerror.StepOperation, sqreason.OperationExpired, errors.New("key was minted too long ago"))
	}
	return &Operation{books: b, home: home, req: &sqclaimwire.ClaimRequest{
		Shard: uint32(home.Shard), Key: keyToWire(k), Fingerprint: uint64(f), Token: rand.Uint64(),
		Minted: uint64(home.Epoch), Shares: shares,
	}}, nil
}

// claim asks the home until it decides or the time is over. Each try carries
// the same token, so that a lost answer is no second claim.
func (o *Operation) claim(ctx context.Context, until, deadline time.Time) *sqclaimwire.ClaimAnswer {
	for {
		answer, err := o.try(ctx, deadline)
		final := err == nil && answer.GetVerdict() != sqclaimwire.ClaimAnswer_NOT_HOME &&
			answer.GetVerdict() != sqclaimwire.ClaimAnswer_NOT_COPIED
		if final {
			return answer
		}
		if ctx.Err() != nil || !time.Now().Add(claimPause).Before(until) {
			return &sqclaimwire.ClaimAnswer{Verdict: sqclaimwire.ClaimAnswer_NOT_HOME}
		}
		time.Sleep(claimPause)
		_, o.req.Shares = o.books.Keepers.Centres()
	}
}

func (o *Operation) try(ctx context.Context, deadline time.Time) (*sqclaimwire.ClaimAnswer, error) {
	o.req.TimeLeftUs = time.Until(deadline).Microseconds()
	keeper, _, ok := o.books.Keepers.Home(o.home.DataCentre, o.home.Shard)
	if !ok {
		return nil, errors.New("home is not known")
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if keeper.Is(o.books.Self) {
		return o.books.claim(ctx, o.req), nil
	}
	client, err := o.books.dial(keeper.PeerAddress)
	if err != nil {
		return nil, err
	}
	answer, err := client.Claim(ctx, o.req)
	if status.Code(err) == codes.Unavailable && o.books.Suspect != nil {
		o.books.Suspect(keeper.Daemon)
	}
	return answer, err
}

// Finish tells the home how the run has ended, without waiting for it. If the
// word is lost the operation becomes uncertain at its deadline.
func (o *Operation) Finish(outcome sqoperation.Outcome) {
	req := &sqclaimwire.FinishRequest{
		Shard: o.req.GetShard(), Key: o.req.GetKey(), Token: o.req.GetToken(),
		Run: uint32(outcome.Run), Answer: answerToWire(outcome.Answer),
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), finishTimeout)
		defer cancel()
		o.send(ctx, req)
	}()
}

func (o *Operation) send(ctx context.Context, req *sqclaimwire.FinishRequest) {
	keeper, _, ok := o.books.Keepers.Home(o.home.DataCentre, o.home.Shard)
	if !ok {
		return
	}
	if keeper.Is(o.books.Self) {
		o.books.finish(ctx, req)
		return
	}
	client, err := o.books.dial(keeper.PeerAddress)
	if err != nil {
		return
	}
	if _, err := client.Finish(ctx, req); err != nil {
		o.books.Logger.V(1).Info("end of an operation was not told", "peer", keeper.Daemon, "error", err.Error())
	}
}

// Mint returns a fresh key whose home is in this data centre, empty if no
// keeper is known.
func (b *Books) Mint(now time.Time) string {
	shard := sqid.ShardID(rand.IntN(sqid.ShardCount))
	_, since, ok := b.Keepers.Home(b.DataCentre, shard)
	if !ok {
		return ""
	}
	return sqoperation.Mint(sqoperation.Home{DataCentre: b.DataCentre, Shard: shard, Epoch: since}, now)
}
