package qhsite

import "syscall"

// sysProcAttr puts a child process into its own process group, so that an
// interrupt from the terminal does not reach it: the site stops its processes
// itself. The kernel kills the child if the process of the site is killed.
func sysProcAttr() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}
