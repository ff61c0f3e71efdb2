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

// Server serves a Store over gRPC, and its fault API over HTTP. While the store
// is down, the gRPC port is closed. Set the exported fields before Listen or
// Run.
type Server struct {
	// Store is the store to serve; nil means a new, empty one.
	Store *Store
	// Address is the address of the platform, as IP:port. Listen replaces port
	// 0 by the port that was assigned.
	Address string
	// FaultAddress is the address of the fault API; if it is empty, the API is
	// not served.
	FaultAddress string
	// Logger logs when the port is opened and closed.
	Logger logr.Logger

	// listening is set by Listen, so that Run does not call it again.
	listening bool
	fault     net.Listener

	// mu guards closed and grpc.
	mu     sync.Mutex
	closed bool
	grpc   *grpc.Server
	wg     sync.WaitGroup
}

// Listen opens the ports and starts to serve gRPC. The fault API is served by
// Run.
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
	s.Store.onDownChange = append(s.Store.onDownChange, s.setDown)
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

// Run calls Listen unless that was done before, and serves until ctx ends.
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

// serve serves gRPC on l, or closes l if the server is closed.
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
	s.Logger.Info("platform is listening", "address", s.Address)
}

func (s *Server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.grpc.Stop()
}

// setDown closes the gRPC port when the store goes down, and opens it again
// when the store comes up.
func (s *Server) setDown(down bool) {
	if !down {
		l, err := net.Listen("tcp", s.Address)
		if err != nil {
			s.Logger.Error(err, "platform can't listen again", "address", s.Address)
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
