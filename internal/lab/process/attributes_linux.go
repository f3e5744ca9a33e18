package process

import "syscall"

// attributes makes the kernel kill the child when the thread that started it ends, so
// that a killed test leaves no processes behind.
func attributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
