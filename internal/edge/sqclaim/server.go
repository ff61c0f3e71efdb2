package sqclaim

import (
	"context"

	"google.golang.org/grpc"

	"github.com/sequoiatack/sequoiatack/internal/wire/sqclaimwire"
)

// server implements the gRPC service Claims.
type server struct {
	sqclaimwire.UnimplementedClaimsServer
	service *Service
}

// Register adds the gRPC service Claims to r.
func (svc *Service) Register(r grpc.ServiceRegistrar) {
	svc.init()
	sqclaimwire.RegisterClaimsServer(r, &server{service: svc})
}

// Claim decides on a claim as the keeper of the key's shard.
func (s *server) Claim(ctx context.Context, req *sqclaimwire.ClaimRequest) (*sqclaimwire.ClaimAnswer, error) {
	return s.service.claim(ctx, req), nil
}

// Finish records the outcome of a run.
func (s *server) Finish(ctx context.Context, req *sqclaimwire.FinishRequest) (*sqclaimwire.FinishAnswer, error) {
	s.service.finish(ctx, req)
	return &sqclaimwire.FinishAnswer{}, nil
}

// Mirror applies a change to the replica of the sender's table.
func (s *server) Mirror(_ context.Context, req *sqclaimwire.MirrorRequest) (*sqclaimwire.MirrorAnswer, error) {
	return &sqclaimwire.MirrorAnswer{Known: s.service.applyMirror(req)}, nil
}

// Move sends the records of keys whose home has moved to the caller's data centre.
func (s *server) Move(req *sqclaimwire.MoveRequest, stream grpc.ServerStreamingServer[sqclaimwire.MoveAnswer]) error {
	return s.service.sendMoved(req, stream.Send)
}
