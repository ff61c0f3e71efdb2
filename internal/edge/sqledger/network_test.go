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

// simPeer is another daemon as seen over the fake network.
type simPeer struct {
	f       *fleet
	from    *node
	address string
}

func (f *fleet) reaches(from, to *node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	a, b := min(from.dc, to.dc), max(from.dc, to.dc)
	cut := f.cut[[2]sqid.DataCentreID{a, b}] || f.isolated[string(from.Self.Daemon)] || f.isolated[string(to.Self.Daemon)]
	return !cut && !from.isDead() && !to.isDead() && f.rnd.Float64() >= f.drop
}

func (f *fleet) travel(from, to sqid.DataCentreID) {
	f.mu.Lock()
	d := f.delay(from, to)
	if f.late > 0 && f.rnd.Float64() < 0.05 {
		d += time.Duration(f.rnd.Int64N(int64(f.late)))
	}
	f.mu.Unlock()
	time.Sleep(d)
}

// call carries one message there and its answer back. A message that the
// caller has given up still arrives.
func call[A any](ctx context.Context, p *simPeer, serve func(*node) A) (A, error) {
	answers := make(chan A, 2)
	failed := make(chan struct{}, 2)
	carry := func() {
		p.f.mu.Lock()
		to := p.f.nodes[p.address]
		p.f.mu.Unlock()
		p.f.travel(p.from.dc, to.dc)
		to.gate()
		if !p.f.reaches(p.from, to) {
			failed <- struct{}{}
			return
		}
		a := serve(to)
		to.gate()
		p.f.travel(to.dc, p.from.dc)
		p.from.gate()
		if p.f.reaches(to, p.from) {
			answers <- a
		}
	}
	go carry()
	p.f.mu.Lock()
	doubled := p.f.rnd.Float64() < p.f.double
	p.f.mu.Unlock()
	if doubled {
		go carry()
	}
	var none A
	select {
	case a := <-answers:
		return a, nil
	case <-failed:
		return none, errLost
	case <-ctx.Done():
		p.from.gate()
		return none, ctx.Err()
	}
}

func (p *simPeer) Charge(ctx context.Context, w sqid.WorkspaceID) (outcome, error) {
	return call(ctx, p, func(n *node) outcome {
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

func (p *simPeer) Lend(ctx context.Context, r *sqledgerwire.LendRequest) (*sqledgerwire.LendAnswer, error) {
	p.f.set(func() { p.f.lends++ })
	return call(ctx, p, func(n *node) *sqledgerwire.LendAnswer { return metered(p, r, n.serveLend(r)) })
}

// metered counts the bytes of a request and its answer at both daemons.
func metered[A proto.Message](p *simPeer, request proto.Message, answer A) A {
	p.f.set(func() {
		p.f.bytes[p.from.Self.Daemon] += proto.Size(request) + proto.Size(answer)
		p.f.bytes[sqid.DaemonID(p.address)] += proto.Size(request) + proto.Size(answer)
		p.f.messages += 2
	})
	return answer
}

func (p *simPeer) Witness(ctx context.Context, r *sqledgerwire.WitnessRequest) (*sqledgerwire.WitnessAnswer, error) {
	return call(ctx, p, func(n *node) *sqledgerwire.WitnessAnswer { return metered(p, r, n.serveWitness(r)) })
}

func (p *simPeer) Handover(ctx context.Context, r *sqledgerwire.HandoverRequest) (*sqledgerwire.HandoverAnswer, error) {
	return call(ctx, p, func(n *node) *sqledgerwire.HandoverAnswer { return n.serveHandover(r) })
}
