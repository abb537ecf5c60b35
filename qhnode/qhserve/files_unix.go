//go:build unix

package qhserve

import "syscall"

// openFilesLimit returns the limit of the operating system on the open files of the process, 0
// if it is not known.
func openFilesLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > maxKnownFiles {
		return 0
	}
	return int(limit.Cur)
}

// maxKnownFiles is the limit from which on it is no limit.
const maxKnownFiles = 1 << 30
