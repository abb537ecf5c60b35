//go:build !linux

package qhsite

import "syscall"

// sysProcAttr puts a child process into its own process group, so that an
// interrupt from the terminal does not reach it: the site stops its processes
// itself.
func sysProcAttr() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }
