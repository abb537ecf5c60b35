//go:build !unix

package qhserve

// openFilesLimit returns the limit of the operating system on the open files of the process, 0
// if it is not known.
func openFilesLimit() int { return 0 }
