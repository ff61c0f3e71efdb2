package sqgate

import (
	"io"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/sequoiatack/sequoiatack/internal/wire/sqcallwire"
)

// errBodyTruncated is returned if the body from an entry ended before its last frame.
var errBodyTruncated = errors.New("request body was truncated")

// Server serves the gate to other daemons over gRPC.
type Server struct {
	sqcallwire.UnimplementedGateServer
	// Gate serves the calls.
	Gate *Gate
}

// Register adds the server to r.
func (s *Server) Register(r grpc.ServiceRegistrar) {
	sqcallwire.RegisterGateServer(r, s)
}

// Call runs one call, whose head is in the first frame of the stream.
func (s *Server) Call(stream sqcallwire.Gate_CallServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.GetHead() == nil {
		return status.Error(codes.InvalidArgument, "first frame has no head")
	}
	body := &frameReader{next: stream.Recv, unread: first.GetBody(), last: first.GetLast()}
	if err := s.Gate.Serve(stream.Context(), first.GetHead(), body, first.GetLast(), stream); err != nil {
		// Entries treat Aborted as a broken connection to this daemon. They tell
		// only DeadlineExceeded from other codes.
		return status.Error(codes.Aborted, err.Error())
	}
	return nil
}

// frameReader reads a body from the frames that an entry sends. It returns
// errBodyTruncated, which classify reports as CallerGone, if the stream ends or
// fails before the last frame. The entry cancels the stream if it can't read the
// caller's body to its end; a broken connection to the entry counts as the same.
type frameReader struct {
	next   func() (*sqcallwire.CallFrame, error)
	unread []byte
	// last is set once the last frame was received.
	last bool
}

// Read reads the next part of the body.
func (f *frameReader) Read(p []byte) (int, error) {
	for len(f.unread) == 0 {
		if f.last {
			return 0, io.EOF
		}
		frame, err := f.next()
		if err != nil {
			return 0, errBodyTruncated
		}
		f.unread, f.last = frame.GetBody(), frame.GetLast()
	}
	n := copy(p, f.unread)
	f.unread = f.unread[n:]
	return n, nil
}
