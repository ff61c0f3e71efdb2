package sqstore

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"google.golang.org/grpc"

	wire "github.com/sequoiatack/sequoiatack/internal/wire/sqetcdwire"
)

const (
	maxMessageBytes   = 16 << 20
	readHeaderTimeout = 5 * time.Second
)

// Server offers a Store over the network. While the store is down its port is
// closed.
type Server struct {
	// Store is what is served; nil is an empty one.
	Store *Store
	// Address is where the platform listens, as IP:port. Listen replaces port
	// 0 by the port that it took.
	Address string
	// FaultAddress is where the fault API listens, empty for none.
	FaultAddress string
	// Logger tells of the port's state.
	Logger logr.Logger

	// listening is set by Listen, which precedes Run.
	listening bool
	fault     net.Listener

	mu     sync.Mutex
	closed bool
	grpc   *grpc.Server
	wg     sync.WaitGroup
}

// Listen opens the ports and serves the platform's protocol.
func (s *Server) Listen() error {
	if s.Store == nil {
		s.Store = &Store{}
	}
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return errors.Wrap(err, "listen for the platform")
	}
	s.Address = l.Addr().String()
	s.serve(l)
	s.listening = true
	s.Store.mu.Lock()
	s.Store.onDown = append(s.Store.onDown, s.turn)
	s.Store.mu.Unlock()
	if s.FaultAddress == "" {
		return nil
	}
	if l, err = net.Listen("tcp", s.FaultAddress); err != nil {
		s.close()
		return errors.Wrap(err, "listen for faults")
	}
	s.fault, s.FaultAddress = l, l.Addr().String()
	return nil
}

// Run listens, unless Listen was called before, and serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	if !s.listening {
		if err := s.Listen(); err != nil {
			return err
		}
	}
	faults := &http.Server{Handler: s.Store.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	if s.fault != nil {
		s.wg.Go(func() { _ = faults.Serve(s.fault) })
	}
	<-ctx.Done()
	_ = faults.Close()
	s.close()
	s.wg.Wait()
	return nil
}

// serve serves the platform's protocol on l, or closes l if the server is
// closed.
func (s *Server) serve(l net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = l.Close()
		return
	}
	server := grpc.NewServer(grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxSendMsgSize(maxMessageBytes))
	service := &service{store: s.Store}
	wire.RegisterKVServer(server, service)
	wire.RegisterLeaseServer(server, service)
	wire.RegisterWatchServer(server, service)
	s.grpc = server
	s.wg.Go(func() { _ = server.Serve(l) })
	s.Logger.Info("platform listens", "address", s.Address)
}

func (s *Server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.grpc.Stop()
}

// turn closes the port, or opens it again.
func (s *Server) turn(down bool) {
	if !down {
		l, err := net.Listen("tcp", s.Address)
		if err != nil {
			s.Logger.Error(err, "platform can't come back", "address", s.Address)
			return
		}
		s.serve(l)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grpc.Stop()
	s.Logger.Info("platform is down", "address", s.Address)
}
