package sqfleet

import "syscall"

// sysProcAttr makes the kernel kill a child process when its parent dies, even
// if the parent is killed.
func sysProcAttr() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
