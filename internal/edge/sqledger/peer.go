package sqledger

import (
	"context"
	"sync"

	"google.golang.org/grpc"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqledgerwire"
)

// peer is another daemon as a keeper or a witness.
type peer interface {
	Charge(ctx context.Context, w sqid.WorkspaceID) (outcome, error)
	Lend(ctx context.Context, r *sqledgerwire.LendRequest) (*sqledgerwire.LendAnswer, error)
	Witness(ctx context.Context, r *sqledgerwire.WitnessRequest) (*sqledgerwire.WitnessAnswer, error)
	Handover(ctx context.Context, r *sqledgerwire.HandoverRequest) (*sqledgerwire.HandoverAnswer, error)
}

// peers holds the peers over gRPC, by address.
type peers struct {
	mu   sync.Mutex
	rows map[string]*grpcPeer
}

// over returns a dialer over the pool. learn gets the records that answers
// bring.
func (p *peers) over(pool ConnPool, learn func([]byte)) func(string) (peer, error) {
	return func(address string) (peer, error) {
		conn, err := pool.Conn(address)
		if err != nil {
			return nil, err
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		row := p.rows[address]
		if row == nil || row.conn != conn {
			row = &grpcPeer{conn: conn, client: sqledgerwire.NewLedgerClient(conn), learn: learn}
			if p.rows == nil {
				p.rows = make(map[string]*grpcPeer)
			}
			p.rows[address] = row
		}
		return row, nil
	}
}

// grpcPeer is a peer over gRPC, with its standing stream of charges.
type grpcPeer struct {
	conn   grpc.ClientConnInterface
	client sqledgerwire.LedgerClient
	learn  func([]byte)

	mu     sync.Mutex
	stream *chargeStream
}

// Charge charges over the standing stream, which it opens if there is none.
func (p *grpcPeer) Charge(ctx context.Context, w sqid.WorkspaceID) (outcome, error) {
	s, err := p.open()
	if err != nil {
		return notKeeping, err
	}
	return s.charge(ctx, w)
}

func (p *grpcPeer) open() (*chargeStream, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stream != nil && !p.stream.ended() {
		return p.stream, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	stream, err := p.client.Charge(ctx)
	if err != nil {
		cancel()
		return nil, err
	}
	p.stream = &chargeStream{stream: stream, cancel: cancel, learn: p.learn, pending: make(map[uint64]chan outcome)}
	go p.stream.receive()
	return p.stream, nil
}

// Lend asks for tokens and capacity.
func (p *grpcPeer) Lend(ctx context.Context, r *sqledgerwire.LendRequest) (*sqledgerwire.LendAnswer, error) {
	return p.client.Lend(ctx, r)
}

// Witness asks for the epoch that the peer knows.
func (p *grpcPeer) Witness(ctx context.Context, r *sqledgerwire.WitnessRequest) (*sqledgerwire.WitnessAnswer, error) {
	return p.client.Witness(ctx, r)
}

// Handover hands shards over.
func (p *grpcPeer) Handover(ctx context.Context, r *sqledgerwire.HandoverRequest) (*sqledgerwire.HandoverAnswer, error) {
	return p.client.Handover(ctx, r)
}
