package sqledger

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqledgerwire"
)

var errLost = errors.New("message lost")

// fakePeer is another daemon, reached over the simulated network.
type fakePeer struct {
	f       *fleet
	from    *node
	address string
}

// delivers reports whether a message between two nodes arrives. It draws a random number
// for a message that no fault blocks.
func (f *fleet) delivers(from, to *node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	a, b := min(from.dc, to.dc), max(from.dc, to.dc)
	cut := f.cut[[2]sqid.DataCentreID{a, b}] || f.isolated[string(from.Self.Daemon)] || f.isolated[string(to.Self.Daemon)]
	return !cut && !from.isDead() && !to.isDead() && f.faultRand.Float64() >= f.lost
}

// delayMessage sleeps for the delay of a message between two data centres.
func (f *fleet) delayMessage(from, to sqid.DataCentreID) {
	f.mu.Lock()
	d := f.delay(from, to)
	if f.maxExtraDelay > 0 && f.faultRand.Float64() < 0.05 {
		d += time.Duration(f.faultRand.Int64N(int64(f.maxExtraDelay)))
	}
	f.mu.Unlock()
	time.Sleep(d)
}

// callPeer delivers a request and its answer. The request arrives even if the caller has
// given up meanwhile.
func callPeer[A any](ctx context.Context, p *fakePeer, serve func(*node) A) (A, error) {
	answers := make(chan A, 2)
	failed := make(chan struct{}, 2)
	deliver := func() {
		p.f.mu.Lock()
		to := p.f.nodes[p.address]
		p.f.mu.Unlock()
		p.f.delayMessage(p.from.dc, to.dc)
		to.waitWhilePaused()
		if !p.f.delivers(p.from, to) {
			failed <- struct{}{}
			return
		}
		a := serve(to)
		to.waitWhilePaused()
		p.f.delayMessage(to.dc, p.from.dc)
		p.from.waitWhilePaused()
		if p.f.delivers(to, p.from) {
			answers <- a
		}
	}
	go deliver()
	p.f.mu.Lock()
	isDuplicated := p.f.faultRand.Float64() < p.f.duplicated
	p.f.mu.Unlock()
	if isDuplicated {
		go deliver()
	}
	var none A
	select {
	case a := <-answers:
		return a, nil
	case <-failed:
		return none, errLost
	case <-ctx.Done():
		p.from.waitWhilePaused()
		return none, ctx.Err()
	}
}

func (p *fakePeer) Charge(ctx context.Context, w sqid.WorkspaceID) (outcome, error) {
	return callPeer(ctx, p, func(n *node) outcome {
		replies := make(chan outcome, 1)
		if o, ok := n.decide(w, func(o outcome) { replies <- o }); ok {
			return o
		}
		select {
		case o := <-replies:
			return o
		case <-p.f.ctx.Done():
			return notKeeping
		}
	})
}

func (p *fakePeer) Lend(ctx context.Context, r *sqledgerwire.LendRequest) (*sqledgerwire.LendAnswer, error) {
	p.f.update(func() { p.f.lendMessages++ })
	return callPeer(ctx, p, func(n *node) *sqledgerwire.LendAnswer { return countBytes(p, r, n.serveLend(r)) })
}

// countBytes counts the bytes of a request and its answer at both daemons.
func countBytes[A proto.Message](p *fakePeer, request proto.Message, answer A) A {
	p.f.update(func() {
		p.f.bytes[p.from.Self.Daemon] += proto.Size(request) + proto.Size(answer)
		p.f.bytes[sqid.DaemonID(p.address)] += proto.Size(request) + proto.Size(answer)
		p.f.messages += 2
	})
	return answer
}

func (p *fakePeer) Witness(ctx context.Context, r *sqledgerwire.WitnessRequest) (*sqledgerwire.WitnessAnswer, error) {
	return callPeer(ctx, p, func(n *node) *sqledgerwire.WitnessAnswer { return countBytes(p, r, n.serveWitness(r)) })
}

func (p *fakePeer) Handover(ctx context.Context, r *sqledgerwire.HandoverRequest) (*sqledgerwire.HandoverAnswer, error) {
	return callPeer(ctx, p, func(n *node) *sqledgerwire.HandoverAnswer { return n.serveHandover(r) })
}
