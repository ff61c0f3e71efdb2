package sqledger

import (
	"context"
	"sync"

	"google.golang.org/grpc"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqledgerwire"
)

// peer is another daemon in its roles as keeper and witness.
type peer interface {
	Charge(ctx context.Context, w sqid.WorkspaceID) (outcome, error)
	Lend(ctx context.Context, r *sqledgerwire.LendRequest) (*sqledgerwire.LendAnswer, error)
	Witness(ctx context.Context, r *sqledgerwire.WitnessRequest) (*sqledgerwire.WitnessAnswer, error)
	Handover(ctx context.Context, r *sqledgerwire.HandoverRequest) (*sqledgerwire.HandoverAnswer, error)
}

// peers holds the peers over gRPC.
type peers struct {
	mu        sync.Mutex
	byAddress map[string]*grpcPeer
}

// dialer returns a function that makes a peer over a connection of the pool. onRecord is
// called with the encoded keepers records in answers.
func (p *peers) dialer(pool ConnPool, onRecord func([]byte)) func(string) (peer, error) {
	return func(address string) (peer, error) {
		conn, err := pool.Conn(address)
		if err != nil {
			return nil, err
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		known := p.byAddress[address]
		if known == nil || known.conn != conn {
			known = &grpcPeer{conn: conn, client: sqledgerwire.NewLedgerClient(conn), onRecord: onRecord}
			if p.byAddress == nil {
				p.byAddress = make(map[string]*grpcPeer)
			}
			p.byAddress[address] = known
		}
		return known, nil
	}
}

// grpcPeer is a peer over gRPC, with a long-lived stream of charges.
type grpcPeer struct {
	conn     grpc.ClientConnInterface
	client   sqledgerwire.LedgerClient
	onRecord func([]byte)

	mu     sync.Mutex
	stream *chargeStream
}

// Charge charges over the peer's stream, which it opens if there is none.
func (p *grpcPeer) Charge(ctx context.Context, w sqid.WorkspaceID) (outcome, error) {
	s, err := p.open()
	if err != nil {
		return notKeeping, err
	}
	return s.charge(ctx, w)
}

// open returns the stream of charges, a new one if there is none or the last has failed.
func (p *grpcPeer) open() (*chargeStream, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stream != nil && !p.stream.hasFailed() {
		return p.stream, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	stream, err := p.client.Charge(ctx)
	if err != nil {
		cancel()
		return nil, err
	}
	p.stream = &chargeStream{stream: stream, cancel: cancel, onRecord: p.onRecord, pending: make(map[uint64]chan outcome)}
	go p.stream.receive()
	return p.stream, nil
}

// Lend asks the peer to spend tokens and to lend capacity.
func (p *grpcPeer) Lend(ctx context.Context, r *sqledgerwire.LendRequest) (*sqledgerwire.LendAnswer, error) {
	return p.client.Lend(ctx, r)
}

// Witness asks which epoch the peer knows.
func (p *grpcPeer) Witness(ctx context.Context, r *sqledgerwire.WitnessRequest) (*sqledgerwire.WitnessAnswer, error) {
	return p.client.Witness(ctx, r)
}

// Handover hands shards over to the peer.
func (p *grpcPeer) Handover(ctx context.Context, r *sqledgerwire.HandoverRequest) (*sqledgerwire.HandoverAnswer, error) {
	return p.client.Handover(ctx, r)
}
