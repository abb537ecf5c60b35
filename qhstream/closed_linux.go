package qhstream

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// isClosed reports whether writes to the connection fail at once, because it was reset or
// closed. The peer of a connection that is not closed has only ended its own stream. It
// returns true if the state is not known.
func isClosed(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	closed := true // also if this process has closed the connection
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err != nil || info.State == unix.BPF_TCP_CLOSE
	})
	return closed
}
