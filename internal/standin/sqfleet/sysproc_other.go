//go:build !linux

package sqfleet

import "syscall"

// sysProcAttr returns nil: only Linux can kill a child when its parent dies.
func sysProcAttr() *syscall.SysProcAttr {
	return nil
}
