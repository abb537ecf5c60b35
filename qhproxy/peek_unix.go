//go:build unix

package qhproxy

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// peekConn returns the state of a connection without reading from it. It does not block.
func peekConn(conn net.Conn) connState {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return connOpen
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return connOpen // closed by this node
	}
	state := connOpen
	_ = raw.Control(func(fd uintptr) { // fails if this node has closed the connection
		state = peek(int(fd))
	})
	return state
}

// peek returns the state of a socket. Unlike a read of the raw connection, it does not wait
// for reads that are in progress.
func peek(fd int) connState {
	var next [1]byte
	n, _, err := unix.Recvfrom(fd, next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case n > 0:
		return connUnread
	case err == nil, errors.Is(err, unix.ECONNRESET), errors.Is(err, unix.EPIPE), errors.Is(err, unix.ETIMEDOUT):
		return connEnded
	default: // EAGAIN: nothing to read
		return connOpen
	}
}
