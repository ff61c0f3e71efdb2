package sqdeparture

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/wire/sqdeparturewire"
)

// hand hands all departures of this daemon to the peers that hold them.
func (k *Keeper) hand(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	k.mu.Lock()
	list := departures(k.own)
	k.mu.Unlock()
	req := &sqdeparturewire.HoldRequest{Daemon: string(k.Self), Departures: toWire(list)}
	peers := k.Peers()
	var wg sync.WaitGroup
	for _, address := range peers[:min(len(peers), holders)] {
		wg.Go(func() {
			conn, err := k.Conns.Conn(address)
			if err == nil {
				_, err = sqdeparturewire.NewDeparturesClient(conn).Hold(ctx, req)
			}
			if err != nil {
				k.Logger.Info("handing departures to a peer failed", "peerAddress", address, "error", err.Error())
				return
			}
			k.mark(list, markHanded)
		})
	}
	wg.Wait()
}

// heldBy returns the departures that a peer holds for this daemon.
func (k *Keeper) heldBy(ctx context.Context, address string) ([]Departure, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	conn, err := k.Conns.Conn(address)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	reply, err := sqdeparturewire.NewDeparturesClient(conn).Held(ctx, &sqdeparturewire.HeldRequest{Daemon: string(k.Self)})
	if status.Code(err) == codes.Unimplemented {
		// A daemon of an earlier release holds none.
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "ask")
	}
	return usable(fromWire(reply.GetDepartures())), nil
}

func toWire(list []Departure) []*sqdeparturewire.Departure {
	out := make([]*sqdeparturewire.Departure, len(list))
	for i, d := range list {
		out[i] = &sqdeparturewire.Departure{Target: string(d.Target), Incarnation: uint64(d.Incarnation)}
	}
	return out
}

func fromWire(list []*sqdeparturewire.Departure) []Departure {
	out := make([]Departure, len(list))
	for i, d := range list {
		out[i] = Departure{Target: sqid.TargetID(d.GetTarget()), Incarnation: sqid.Incarnation(d.GetIncarnation())}
	}
	return out
}

// Register adds the service for peers to a server.
func (k *Keeper) Register(r grpc.ServiceRegistrar) {
	sqdeparturewire.RegisterDeparturesServer(r, &server{keeper: k})
}

// server implements the gRPC service Departures.
type server struct {
	sqdeparturewire.UnimplementedDeparturesServer
	keeper *Keeper
}

// Hold holds the departures of a daemon's targets.
func (s *server) Hold(_ context.Context, req *sqdeparturewire.HoldRequest) (*sqdeparturewire.HoldReply, error) {
	k, daemon := s.keeper, sqid.DaemonID(req.GetDaemon())
	k.mu.Lock()
	defer k.mu.Unlock()
	list, ok := k.held[daemon]
	if daemon == "" || !ok && len(k.held) >= maxDaemons {
		return nil, status.Error(codes.ResourceExhausted, "no daemon is named, or too many are held")
	}
	for _, d := range usable(fromWire(req.GetDepartures())) {
		list = add(list, d, time.Now())
	}
	if k.held == nil {
		k.held = make(map[sqid.DaemonID][]entry)
	}
	k.held[daemon] = list
	return &sqdeparturewire.HoldReply{}, nil
}

// Held returns the departures that are held for a daemon.
func (s *server) Held(_ context.Context, req *sqdeparturewire.HeldRequest) (*sqdeparturewire.HeldReply, error) {
	k := s.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	return &sqdeparturewire.HeldReply{Departures: toWire(departures(k.held[sqid.DaemonID(req.GetDaemon())]))}, nil
}
