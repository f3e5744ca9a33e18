package process

import "syscall"

// attributes ties the child's life to this process's, so that a killed test
// leaves nothing running.
func attributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
