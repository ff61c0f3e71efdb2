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
	// maxPartRows and maxPartBytes bound the messages in which a reply is streamed.
	maxPartRows  = 400
	maxPartBytes = 64 << 10
	// maxReplyRows bounds the rows of a whole reply.
	maxReplyRows = 50_000
)

// Register adds the membership's gRPC service to a server.
func (t *Transport) Register(r grpc.ServiceRegistrar) {
	t.init()
	sqmemberwire.RegisterMemberServer(r, &server{transport: t})
}

// server implements the gRPC service Member.
type server struct {
	sqmemberwire.UnimplementedMemberServer
	transport *Transport
}

// Exchange streams the rows and facts that the caller lacks.
func (s *server) Exchange(req *sqmemberwire.ExchangeRequest, stream grpc.ServerStreamingServer[sqmemberwire.ExchangeReply]) error {
	t := s.transport
	t.count(received, kindSync, proto.Size(req))
	reply, messages := t.Member.HandleExchange(time.Now(), req)
	t.send(messages)
	for part := range slices.Chunk(reply.GetRows(), maxPartRows) {
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

// Fetch streams the body of a fact.
func (s *server) Fetch(req *sqmemberwire.FetchRequest, stream grpc.ServerStreamingServer[sqmemberwire.FetchReply]) error {
	t := s.transport
	t.count(received, kindSync, proto.Size(req))
	body, ok := t.Member.FactBody(req)
	if !ok {
		return status.Error(codes.NotFound, "this version of the fact is not held")
	}
	for part := range slices.Chunk(body, maxPartBytes) {
		t.count(sent, kindSync, len(part))
		if err := stream.Send(&sqmemberwire.FetchReply{Part: part}); err != nil {
			return err
		}
	}
	return nil
}

// exchange does an anti-entropy exchange with a peer and merges the parts of its reply.
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
	reply := &sqmemberwire.ExchangeReply{}
	for {
		part, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return reply, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "exchange")
		}
		t.count(received, kindSync, proto.Size(part))
		proto.Merge(reply, part)
		if len(reply.GetRows()) > maxReplyRows {
			return nil, errors.Errorf("exchange of more than %d rows", maxReplyRows)
		}
	}
}

// fetch returns the body of a fact from a peer.
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
