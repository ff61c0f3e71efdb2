package sqpeer

import (
	"context"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/sequoiatack/sequoiatack/internal/wire/sqpartwire"
)

// panickingParts panics at each call for a workspace named "odd".
type panickingParts struct {
	sqpartwire.UnimplementedPartsServer
}

func (panickingParts) Borrow(_ context.Context, r *sqpartwire.BorrowRequest) (*sqpartwire.BorrowAnswer, error) {
	if r.GetWorkspace() == "odd" {
		panic("odd workspace")
	}
	return &sqpartwire.BorrowAnswer{Tokens: 1}, nil
}

// TestPanicEndsOnlyItsCall calls a handler that panics. The call ends with an error, and
// the server goes on serving.
func TestPanicEndsOnlyItsCall(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := NewServer(logr.Discard())
	sqpartwire.RegisterPartsServer(s, panickingParts{})
	go func() { _ = s.Serve(l) }()
	defer s.Stop()
	pool := new(Pool)
	defer pool.Close()
	conn, err := pool.Conn(l.Addr().String())
	c.Assert(err, qt.IsNil)
	client := sqpartwire.NewPartsClient(conn)
	for range 3 {
		_, err = client.Borrow(t.Context(), &sqpartwire.BorrowRequest{Workspace: "odd"})
		c.Assert(status.Code(err), qt.Equals, codes.Internal)
		answer, err := client.Borrow(t.Context(), &sqpartwire.BorrowRequest{Workspace: "w"})
		c.Assert(err, qt.IsNil)
		c.Assert(answer.GetTokens(), qt.Equals, 1.0)
	}
}
