package sqclaim

import (
	"context"

	"google.golang.org/grpc"

	"github.com/sequoiatack/sequoiatack/internal/wire/sqclaimwire"
)

type server struct {
	sqclaimwire.UnimplementedClaimsServer
	books *Books
}

// Register adds the service to r.
func (b *Books) Register(r grpc.ServiceRegistrar) {
	b.init()
	sqclaimwire.RegisterClaimsServer(r, &server{books: b})
}

// Claim decides on a claim.
func (s *server) Claim(ctx context.Context, req *sqclaimwire.ClaimRequest) (*sqclaimwire.ClaimAnswer, error) {
	return s.books.claim(ctx, req), nil
}

// Finish records the end of a run.
func (s *server) Finish(ctx context.Context, req *sqclaimwire.FinishRequest) (*sqclaimwire.FinishAnswer, error) {
	s.books.finish(ctx, req)
	return &sqclaimwire.FinishAnswer{}, nil
}

// Mirror changes a copy.
func (s *server) Mirror(_ context.Context, req *sqclaimwire.MirrorRequest) (*sqclaimwire.MirrorAnswer, error) {
	return &sqclaimwire.MirrorAnswer{Known: s.books.copyBook(req)}, nil
}

// Move sends the operations that have moved.
func (s *server) Move(req *sqclaimwire.MoveRequest, stream grpc.ServerStreamingServer[sqclaimwire.MoveAnswer]) error {
	return s.books.moved(req, stream.Send)
}
