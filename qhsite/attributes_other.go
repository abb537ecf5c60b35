//go:build !linux

package qhsite

import "syscall"

// attributes keep a terminal's interrupt from the process, which the site ends
// itself.
func attributes() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }
