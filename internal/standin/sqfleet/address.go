package sqfleet

import (
	"fmt"
	"net"
	"os"

	"github.com/go-faster/errors"
)

// addresses hands out free addresses on loopback. Each host has an IP of its
// own where the system has them all on loopback, else 127.0.0.1.
type addresses struct {
	held []net.Listener
}

// hostIP returns the IP of the host with number n, from 0.
func (a *addresses) hostIP(n int) string {
	const perNet = 250
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%200, 1+n/perNet, 1+n%perNet)
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "127.0.0.1"
	}
	_ = l.Close()
	return ip
}

// next returns a free address with the IP ip; release must be called before
// it is used.
func (a *addresses) next(ip string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", errors.Wrap(err, "find a free port")
	}
	a.held = append(a.held, l)
	return l.Addr().String(), nil
}

// fill sets each of fields to a free address with the IP ip.
func (a *addresses) fill(ip string, fields ...*string) error {
	for _, f := range fields {
		address, err := a.next(ip)
		if err != nil {
			return err
		}
		*f = address
	}
	return nil
}

// release gives the addresses free for the processes.
func (a *addresses) release() {
	for _, l := range a.held {
		_ = l.Close()
	}
	a.held = nil
}
