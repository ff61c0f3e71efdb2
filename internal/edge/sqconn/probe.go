package sqconn

import (
	"net"
	"syscall"
)

// state is what an idle connection holds.
type state uint8

const (
	stateQuiet state = iota
	// stateEnded connections have been closed or reset by the target.
	stateEnded
	// stateUnasked connections hold bytes that nobody asked for.
	stateUnasked
)

// quiet looks at an idle connection without reading from it.
func quiet(c net.Conn) state {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return stateQuiet
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return stateEnded
	}
	found := stateEnded
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
			found = stateQuiet
		case err == nil && n > 0:
			found = stateUnasked
		}
		return true
	})
	if err != nil {
		return stateEnded
	}
	return found
}
