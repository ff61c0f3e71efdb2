package sqconn

import (
	"net"
	"syscall"
)

// idleState is the state of an idle connection.
type idleState uint8

const (
	// stateIdle connections are open, with nothing to read.
	stateIdle idleState = iota
	// stateClosed connections have been closed or reset by the target.
	stateClosed
	// stateStrayBytes connections have bytes to read that answer no request.
	stateStrayBytes
)

// probe returns the state of an idle connection, without consuming bytes from it.
func probe(c net.Conn) idleState {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return stateIdle
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return stateClosed
	}
	found := stateClosed
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
			found = stateIdle
		case err == nil && n > 0:
			found = stateStrayBytes
		}
		return true
	})
	if err != nil {
		return stateClosed
	}
	return found
}
