package qhproxy

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"

	"quetzalhaven.dev/qhgroup"
)

const (
	// maxAhead bounds what is read of a connection ahead of its server, in bytes.
	maxAhead = 64 << 10
	// maxHead bounds the part of a head that is kept until the rest is in, in bytes.
	maxHead = 8 << 10
	// readSize is the size of one read ahead, in bytes.
	readSize = 4 << 10
)

// callerConn is a connection of a caller. Where requests come in while a call is
// under way, the server of net/http no longer notices that the caller has gone,
// so the connection is read on then.
type callerConn struct {
	net.Conn
	group *qhgroup.Group

	mu sync.Mutex
	// ahead was read and not handed out yet.
	ahead []byte
	// err came after ahead; it is never a timeout.
	err error
	// reading is closed when the read under way ends; nil for none.
	reading chan struct{}
	// cancel ends the call under way; nil for none.
	cancel context.CancelFunc
	// partial is a head that is not whole yet.
	partial []byte
	// ambiguous is set once a head had two different ways to say its length.
	ambiguous bool
}

// callerListener accepts connections as callerConn.
type callerListener struct {
	net.Listener
	group *qhgroup.Group
}

// Accept returns the next connection.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, group: l.group}, nil
}

// CallersListener returns the listener that CallersServer serves on.
func (p *Proxy) CallersListener(listener net.Listener) net.Listener {
	return &callerListener{Listener: listener, group: p.group}
}

// connKey is the context key of a request's callerConn.
type connKey struct{}

// withConn is the ConnContext of the callers' server.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connOf returns the connection that a request came over, or nil.
func connOf(r *http.Request) *callerConn {
	conn, _ := r.Context().Value(connKey{}).(*callerConn)
	return conn
}

// CloseWrite ends what is written, so that an answer arrives although not all of
// its request was read.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Close()
}

// Read hands out what was read ahead, and reads on after it.
func (c *callerConn) Read(into []byte) (int, error) {
	for {
		c.mu.Lock()
		if len(c.ahead) > 0 {
			n := copy(into, c.ahead)
			c.ahead = c.ahead[n:]
			c.mu.Unlock()
			return n, nil
		}
		if c.err != nil {
			defer c.mu.Unlock()
			return 0, c.err
		}
		if c.reading == nil {
			return c.read(into)
		}
		reading := c.reading
		c.mu.Unlock()
		<-reading
	}
}

// read reads from the network. The lock is held, and given back.
func (c *callerConn) read(into []byte) (int, error) {
	reading := make(chan struct{})
	c.reading = reading
	c.mu.Unlock()
	n, err := c.Conn.Read(into)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = nil
	close(reading)
	c.look(into[:n])
	if n > 0 && err == nil && c.cancel != nil {
		c.group.Go(func(context.Context) { c.readAhead() })
	}
	return n, err
}

// readAhead reads on while the call is under way, and ends it where the caller
// has gone.
func (c *callerConn) readAhead() {
	for {
		c.mu.Lock()
		if c.cancel == nil || c.reading != nil || c.err != nil || len(c.ahead) >= maxAhead {
			c.mu.Unlock()
			return
		}
		reading := make(chan struct{})
		c.reading = reading
		c.mu.Unlock()
		buffer := make([]byte, readSize)
		n, err := c.Conn.Read(buffer)
		c.mu.Lock()
		c.reading = nil
		c.ahead = append(c.ahead, buffer[:n]...)
		c.look(buffer[:n])
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.err = err
			if c.cancel != nil {
				c.cancel()
			}
		}
		c.mu.Unlock()
		close(reading)
		if err != nil {
			return
		}
	}
}

// begin notes that a call is under way, which cancel ends, until the function
// that it returns is called.
func (c *callerConn) begin(cancel context.CancelFunc) func() {
	c.mu.Lock()
	c.cancel = cancel
	if c.err != nil {
		cancel()
	}
	c.mu.Unlock()
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.cancel = nil
	}
}

// look notes a head that says its length in two ways, which two servers may read
// as two different requests. The lock is held.
func (c *callerConn) look(read []byte) {
	if c.ambiguous || len(read) == 0 {
		return
	}
	data := read
	if len(c.partial) > 0 {
		data = append(c.partial, read...)
	}
	for len(data) > 0 {
		head, rest, whole := bytes.Cut(data, []byte("\r\n\r\n"))
		if !whole {
			break
		}
		c.ambiguous = c.ambiguous || twoLengths(head)
		data = rest
	}
	c.partial = nil
	if len(data) > 0 {
		c.partial = bytes.Clone(data[max(0, len(data)-maxHead):])
	}
}

// twoLengths tells whether a head has both a length and a transfer encoding.
func twoLengths(head []byte) bool {
	lower := bytes.ToLower(head)
	return bytes.Contains(lower, []byte("\r\ncontent-length:")) && bytes.Contains(lower, []byte("\r\ntransfer-encoding:"))
}

// isAmbiguous tells whether a head of the connection said its length in two ways.
func (c *callerConn) isAmbiguous() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ambiguous
}
