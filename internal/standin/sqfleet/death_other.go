//go:build !linux

package sqfleet

import "syscall"

func attributes() *syscall.SysProcAttr {
	return nil
}
