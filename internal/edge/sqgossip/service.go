package sqgossip

import (
	"context"
	"io"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/sequoiatack/sequoiatack/internal/state/sqmember"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqmemberwire"
)

const (
	// partRows and partBytes bound the parts in which answers are sent.
	partRows  = 400
	partBytes = 64 << 10
	// answerRows bounds the rows of a whole answer.
	answerRows = 50_000
)

// Register adds the membership's gRPC service to a server.
func (t *Transport) Register(r grpc.ServiceRegistrar) {
	t.init()
	sqmemberwire.RegisterMemberServer(r, &server{transport: t})
}

type server struct {
	sqmemberwire.UnimplementedMemberServer
	transport *Transport
}

// Exchange answers with what the caller lacks.
func (s *server) Exchange(req *sqmemberwire.ExchangeRequest, stream grpc.ServerStreamingServer[sqmemberwire.ExchangeReply]) error {
	t := s.transport
	t.count(received, kindSync, proto.Size(req))
	reply, sends := t.Member.HandleExchange(time.Now(), req)
	t.send(sends)
	for part := range slices.Chunk(reply.GetRows(), partRows) {
		if err := t.sendPart(stream, &sqmemberwire.ExchangeReply{From: reply.GetFrom(), Rows: part}); err != nil {
			return err
		}
	}
	reply.Rows = nil
	return t.sendPart(stream, reply)
}

func (t *Transport) sendPart(stream grpc.ServerStreamingServer[sqmemberwire.ExchangeReply], part *sqmemberwire.ExchangeReply) error {
	t.count(sent, kindSync, proto.Size(part))
	return stream.Send(part)
}

// Fetch sends the body of a fact.
func (s *server) Fetch(req *sqmemberwire.FetchRequest, stream grpc.ServerStreamingServer[sqmemberwire.FetchReply]) error {
	t := s.transport
	t.count(received, kindSync, proto.Size(req))
	body, ok := t.Member.FactBody(req)
	if !ok {
		return status.Error(codes.NotFound, "this version of the fact is not held")
	}
	for part := range slices.Chunk(body, partBytes) {
		t.count(sent, kindSync, len(part))
		if err := stream.Send(&sqmemberwire.FetchReply{Part: part}); err != nil {
			return err
		}
	}
	return nil
}

// exchange makes an exchange with a peer and joins the parts of its answer.
func (t *Transport) exchange(ctx context.Context, address string, req *sqmemberwire.ExchangeRequest) (*sqmemberwire.ExchangeReply, error) {
	conn, err := t.Pool.Conn(address)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	t.count(sent, kindSync, proto.Size(req))
	stream, err := sqmemberwire.NewMemberClient(conn).Exchange(ctx, req)
	if err != nil {
		return nil, errors.Wrap(err, "exchange")
	}
	whole := &sqmemberwire.ExchangeReply{}
	for {
		part, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return whole, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "exchange")
		}
		t.count(received, kindSync, proto.Size(part))
		proto.Merge(whole, part)
		if len(whole.GetRows()) > answerRows {
			return nil, errors.Errorf("exchange of more than %d rows", answerRows)
		}
	}
}

// fetch gets the body of a fact from a peer.
func (t *Transport) fetch(ctx context.Context, address string, req *sqmemberwire.FetchRequest) ([]byte, error) {
	conn, err := t.Pool.Conn(address)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	t.count(sent, kindSync, proto.Size(req))
	stream, err := sqmemberwire.NewMemberClient(conn).Fetch(ctx, req)
	if err != nil {
		return nil, errors.Wrap(err, "fetch")
	}
	var body []byte
	for {
		part, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "fetch")
		}
		t.count(received, kindSync, len(part.GetPart()))
		body = append(body, part.GetPart()...)
		if len(body) > sqmember.MaxFactBytes {
			return nil, errors.Errorf("body of more than %d bytes", sqmember.MaxFactBytes)
		}
	}
}
