package sqfleet

import (
	"fmt"
	"net"
	"os"

	"github.com/go-faster/errors"
)

// addressAllocator allocates free addresses on loopback. Each host gets its own
// IP in 127.0.0.0/8 if the system accepts such addresses, else 127.0.0.1. A
// listener reserves each allocated address until release is called.
type addressAllocator struct {
	reserved []net.Listener
}

// hostIP returns the IP of the host with index n. Its second octet depends on
// the process id, so fleets of different processes mostly use different IPs.
func (a *addressAllocator) hostIP(n int) string {
	const hostsPerSubnet = 250
	ip := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%200, 1+n/hostsPerSubnet, 1+n%hostsPerSubnet)
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "127.0.0.1"
	}
	_ = l.Close()
	return ip
}

// next reserves a free port on ip and returns its address. The address can be
// bound only after release.
func (a *addressAllocator) next(ip string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", errors.Wrap(err, "find a free port")
	}
	a.reserved = append(a.reserved, l)
	return l.Addr().String(), nil
}

// fill sets each field to a newly reserved address on ip.
func (a *addressAllocator) fill(ip string, fields ...*string) error {
	for _, f := range fields {
		address, err := a.next(ip)
		if err != nil {
			return err
		}
		*f = address
	}
	return nil
}

// release closes the reserving listeners so that processes can bind the
// addresses.
func (a *addressAllocator) release() {
	for _, l := range a.reserved {
		_ = l.Close()
	}
	a.reserved = nil
}
