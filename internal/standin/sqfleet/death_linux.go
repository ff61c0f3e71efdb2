package sqfleet

import "syscall"

// attributes has a process end with its parent, even if that is killed.
func attributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
