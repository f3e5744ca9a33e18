//go:build !linux

package process

import "syscall"

// attributes is empty on systems without a parent-death signal.
func attributes() *syscall.SysProcAttr { return &syscall.SysProcAttr{} }
