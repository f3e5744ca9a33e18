//go:build !linux

package process

import "syscall"

// attributes is empty where a child's life can't be tied to its parent's.
func attributes() *syscall.SysProcAttr { return &syscall.SysProcAttr{} }
