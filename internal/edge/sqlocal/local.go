// Package sqlocal serves the local address of a daemon, which only processes of its own
// host may use: there targets announce themselves, drain, and make nested calls.
package sqlocal

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"

	"github.com/sequoiatack/sequoiatack/internal/base/sqerror"
	"github.com/sequoiatack/sequoiatack/internal/base/sqid"
	"github.com/sequoiatack/sequoiatack/internal/base/sqreason"
	"github.com/sequoiatack/sequoiatack/internal/base/squnit"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqgate"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqproblem"
)

const (
	maxAnnouncementBytes = 4 << 10
	maxSlots             = 100_000
	maxNameBytes         = 128
)

// Announcement is the body of a target's announcement.
type Announcement struct {
	Service sqid.ServiceID `json:"service"`
	Address string         `json:"address"`
	// Slots is the number of calls that the target can run at once.
	Slots    squnit.Slots `json:"slots"`
	LoadPath string       `json:"loadPath,omitempty"`
}

// AnnouncementReply is the answer to an announcement.
type AnnouncementReply struct {
	// RenewWithin is the duration within which the target must announce itself again.
	RenewWithin string `json:"renewWithin"`
}

// Server serves the local address.
type Server struct {
	// Daemon is the name of the daemon in refusals.
	Daemon  sqid.DaemonID
	Targets *sqgate.Targets
	// Nested serves the nested calls.
	Nested http.Handler
}

// Handler returns the handler of the local address.
func (s *Server) Handler() http.Handler {
	m := mux.NewRouter().UseEncodedPath().SkipClean(true)
	m.HandleFunc("/v1/targets/{name}", s.announce).Methods(http.MethodPut)
	m.HandleFunc("/v1/targets/{name}/drain", s.drain).Methods(http.MethodPost)
	m.HandleFunc("/v1/targets/{name}", s.remove).Methods(http.MethodDelete)
	m.PathPrefix("/call/").Handler(s.Nested)
	return requireLocalCaller(m, s)
}

// requireLocalCaller refuses requests from other hosts.
func requireLocalCaller(next http.Handler, s *Server) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		remote, err := netip.ParseAddrPort(r.RemoteAddr)
		if err != nil || !isLocalAddress(remote.Addr()) {
			s.refuse(w, sqreason.RouteNotAllowed, errors.New("only targets of this host may use this address"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) announce(w http.ResponseWriter, r *http.Request) {
	local, err := parseAnnouncement(r)
	if err != nil {
		s.refuse(w, sqreason.BadRequest, err)
		return
	}
	s.Targets.Announce(local, local.Announced)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(AnnouncementReply{RenewWithin: sqgate.RenewWithin.String()})
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	s.replyIfKnown(w, s.Targets.Drain(nameOf(r)))
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	s.replyIfKnown(w, s.Targets.Remove(nameOf(r)))
}

// replyIfKnown answers with 204, or refuses if the target is unknown.
func (s *Server) replyIfKnown(w http.ResponseWriter, ok bool) {
	if !ok {
		s.refuse(w, sqreason.TargetUnknown, nil)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) refuse(w http.ResponseWriter, reason sqreason.Refusal, err error) {
	sqproblem.Write(w, &sqerror.Error{
		Step: sqerror.StepGate, Peer: s.Daemon, Reason: reason, Run: squnit.RunNot, Err: err,
	})
}

func nameOf(r *http.Request) sqid.TargetID {
	return sqid.TargetID(mux.Vars(r)["name"])
}

func parseAnnouncement(r *http.Request) (sqgate.LocalTarget, error) {
	var a Announcement
	d := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxAnnouncementBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&a); err != nil {
		return sqgate.LocalTarget{}, errors.Wrap(err, "parse announcement")
	}
	if err := a.check(nameOf(r)); err != nil {
		return sqgate.LocalTarget{}, err
	}
	return sqgate.LocalTarget{
		ID: nameOf(r), Service: a.Service, Address: a.Address, Slots: a.Slots,
		LoadPath: a.LoadPath, Announced: time.Now(),
	}, nil
}

func (a *Announcement) check(name sqid.TargetID) error {
	if len(name) > maxNameBytes || len(a.Service) > maxNameBytes {
		return errors.Errorf("name and service may have at most %d bytes", maxNameBytes)
	}
	if a.Service == "" {
		return errors.New("service is required")
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return errors.Errorf("slots must be 1 to %d, is %d", maxSlots, a.Slots)
	}
	if a.LoadPath != "" && a.LoadPath[0] != '/' {
		return errors.New("loadPath must begin with a slash")
	}
	address, err := netip.ParseAddrPort(a.Address)
	if err != nil {
		return errors.Errorf("address %q is not IP:port", a.Address)
	}
	if !isLocalAddress(address.Addr()) {
		return errors.Errorf("address %q is not on this host", a.Address)
	}
	return nil
}

// isLocalAddress reports whether an address belongs to this host.
func isLocalAddress(a netip.Addr) bool {
	a = a.Unmap()
	if a.IsLoopback() {
		return true
	}
	addrs, err := net.InterfaceAddrs()
	if err != nil {
		return false
	}
	for _, x := range addrs {
		if p, err := netip.ParsePrefix(x.String()); err == nil && p.Addr().Unmap() == a {
			return true
		}
	}
	return false
}
