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
	// ahead was read and not handed out yet; store is its memory, used again.
	ahead, store []byte
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
	// units are the requests found in ahead.
	units units
	// early are the calls that were begun before the server came to them, in the
	// order of their requests.
	early []*early
	// start begins a call early, or returns nil; it may be nil.
	start func(head []byte) *early
	// beside is set while the call under way may run beside those behind it.
	beside bool
	// served counts the requests that the server came to, and serving is set while
	// it is at one.
	served  int
	serving bool
}

// callerListener accepts connections as callerConn.
type callerListener struct {
	net.Listener
	group *qhgroup.Group
	// proxy may be nil; then no call is begun early.
	proxy *Proxy
}

// Accept returns the next connection.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: conn, group: l.group}
	if l.proxy != nil {
		c.start = func(head []byte) *early { return l.proxy.startEarly(c, head) }
	}
	return c, nil
}

// CallersListener returns the listener that CallersServer serves on.
func (p *Proxy) CallersListener(listener net.Listener) net.Listener {
	return &callerListener{Listener: listener, group: p.group, proxy: p}
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

// Read hands out what was read ahead, at most to the end of one request, and
// reads on after it.
func (c *callerConn) Read(into []byte) (int, error) {
	for {
		c.mu.Lock()
		if n := c.allowed(); n > 0 {
			n = copy(into, c.ahead[:n])
			c.ahead = c.ahead[n:]
			c.units.handOut(n)
			c.readOn()
			c.mu.Unlock()
			return n, nil
		}
		if c.err != nil {
			defer c.mu.Unlock()
			return 0, c.err
		}
		if c.reading == nil {
			if err := c.read(); err != nil {
				return 0, err
			}
			continue
		}
		reading := c.reading
		c.mu.Unlock()
		<-reading
	}
}

// allowed returns how much may be handed out. While the server is at one request
// it gets nothing of the next, which may be begun early. The lock is held.
func (c *callerConn) allowed() int {
	if c.serving && c.units.between() && c.err == nil && len(c.ahead) < maxAhead {
		return 0
	}
	return c.units.allowed(c.ahead, c.err != nil)
}

// readBuffers keeps buffers of readSize.
var readBuffers = sync.Pool{New: func() any { return new([readSize]byte) }} //nolint:gochecknoglobals // a pool

// read reads from the network into ahead. The lock is held, and given back.
func (c *callerConn) read() error {
	reading := make(chan struct{})
	c.reading = reading
	c.mu.Unlock()
	buffer := readBuffers.Get().(*[readSize]byte)
	defer readBuffers.Put(buffer)
	n, err := c.Conn.Read(buffer[:])
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = nil
	close(reading)
	c.take(buffer[:n])
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.fail(err)
	}
	if n > 0 {
		return nil // the error comes with a later read
	}
	return err
}

// take keeps what was read. The lock is held.
func (c *callerConn) take(read []byte) {
	if len(c.ahead) == 0 {
		c.ahead = c.store[:0]
	}
	c.ahead = append(c.ahead, read...)
	if cap(c.ahead) > cap(c.store) && cap(c.ahead) <= 2*readSize {
		c.store = c.ahead
	}
	c.look(read)
	c.startEarly()
}

// fail notes that nothing more comes, and ends the calls of the connection. The
// lock is held.
func (c *callerConn) fail(err error) {
	c.err = err
	if c.cancel != nil {
		c.cancel()
	}
	for _, e := range c.early {
		e.cancel()
	}
}

// readOn has the connection read where the server has begun the next request
// while a call is under way, since it reads no more then. The lock is held.
func (c *callerConn) readOn() {
	if c.cancel != nil && (c.units.opaque || c.units.begun > c.served) {
		c.group.Go(func(context.Context) { c.readAhead() })
	}
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
		buffer := readBuffers.Get().(*[readSize]byte)
		n, err := c.Conn.Read(buffer[:])
		c.mu.Lock()
		c.reading = nil
		c.take(buffer[:n])
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.fail(err)
		}
		c.mu.Unlock()
		readBuffers.Put(buffer)
		close(reading)
		if err != nil {
			return
		}
	}
}

// begin notes that a call is under way, which cancel ends, until the function
// that it returns is called. beside is set where the calls behind it may run
// beside it.
func (c *callerConn) begin(cancel context.CancelFunc, beside bool) func() {
	c.mu.Lock()
	c.cancel, c.beside = cancel, beside
	if c.err != nil {
		cancel()
	}
	c.startEarly()
	c.readOn()
	c.mu.Unlock()
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.cancel, c.beside = nil, false
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
