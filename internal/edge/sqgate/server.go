package sqgate

import (
	"io"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/sequoiatack/sequoiatack/internal/wire/sqcallwire"
)

// errBodyCut says that the caller's body ended before its last frame.
var errBodyCut = errors.New("request body was cut")

// Server is the gate for the other daemons.
type Server struct {
	sqcallwire.UnimplementedGateServer
	// Gate serves the calls.
	Gate *Gate
}

// Register adds the server to r.
func (s *Server) Register(r grpc.ServiceRegistrar) {
	sqcallwire.RegisterGateServer(r, s)
}

// Call runs one call.
func (s *Server) Call(stream sqcallwire.Gate_CallServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.GetHead() == nil {
		return status.Error(codes.InvalidArgument, "first frame has no head")
	}
	body := &frameReader{next: stream.Recv, part: first.GetBody(), last: first.GetLast()}
	if err := s.Gate.Serve(stream.Context(), first.GetHead(), body, first.GetLast(), stream); err != nil {
		return status.Error(codes.Aborted, err.Error())
	}
	return nil
}

// frameReader reads a body from frames. A stream that ends before its last
// frame is errBodyCut.
type frameReader struct {
	next func() (*sqcallwire.CallFrame, error)
	part []byte
	last bool
}

// Read reads the next part of the body.
func (f *frameReader) Read(p []byte) (int, error) {
	for len(f.part) == 0 {
		if f.last {
			return 0, io.EOF
		}
		frame, err := f.next()
		if err != nil {
			return 0, errBodyCut
		}
		f.part, f.last = frame.GetBody(), frame.GetLast()
	}
	n := copy(p, f.part)
	f.part = f.part[n:]
	return n, nil
}
