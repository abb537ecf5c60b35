package qhsite

import "syscall"

// attributes keep a terminal's interrupt from the process, which the site ends
// itself, and end the process with the site should that be killed.
func attributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}
