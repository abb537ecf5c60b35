// Package qhstream tells the end of a TCP stream from a reset of its connection.
package qhstream

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

// Conn is a connection whose Read returns io.EOF only if the peer has ended the stream.
//
// The kernel reports a reset to one system call only. If that is a write, later reads of a
// plain connection return the bytes that were received before the reset and then io.EOF, so
// that a message that ends with its connection looks complete although it is not.
type Conn struct {
	net.Conn
	// writing is held during each write.
	writing sync.Mutex
	// reset is the error of the first write that the kernel failed because the connection
	// had ended without the end of the peer's stream; nil if there is none.
	reset error
}

// NewConn returns conn with that Read.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a function that opens connections with dial and returns them as *Conn.
func Dialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}

// Write writes b.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if c.reset == nil && isReset(err) {
		c.reset = err
	}
	return n, err
}

// Read reads into b. At the end of a connection that was reset it returns the error of the
// write that the kernel reported the reset to.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF && isClosed(c.Conn) { //nolint:errorlint // connections return io.EOF itself
		if reset := c.resetError(); reset != nil {
			return n, reset
		}
	}
	return n, err
}

// resetError returns the error of the write that the reset was reported to, or nil. It waits
// for a write in progress, which may have got that error and not recorded it yet. On a closed
// connection a write does not block.
func (c *Conn) resetError() error {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.reset
}

// isReset reports whether err is an error of the kernel after which the peer's stream is not
// known to be complete. If the peer had ended its stream before, a write gets EPIPE.
func isReset(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}
