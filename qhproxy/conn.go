package qhproxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"quetzalhaven.dev/qhgroup"
)

const (
	// maxReadAhead bounds the bytes that are read from a connection ahead of
	// its server.
	maxReadAhead = 64 << 10
	// maxPartialHead bounds the bytes of an incomplete request head that are
	// kept.
	maxPartialHead = 8 << 10
	// readBufferSize is the buffer size of one read in bytes.
	readBufferSize = 4 << 10
)

// callerConn is a connection of a caller that reads ahead of its HTTP server.
// Once a further request arrives during a call, the net/http server no longer
// detects that the caller disconnects, so callerConn keeps reading.
type callerConn struct {
	net.Conn
	group *qhgroup.Group

	mu sync.Mutex
	// buffered has the bytes that were read but not returned by Read yet. spare
	// is the buffer that buffered reuses once it is empty.
	buffered, spare []byte
	// readErr is the read error that follows buffered. It is never a timeout.
	readErr error
	// readDone is closed when the current read from the network ends; nil if
	// there is none.
	readDone chan struct{}
	// cancelCall cancels the current call; nil if there is none.
	cancelCall context.CancelFunc
	// partialHead is a request head that is incomplete so far.
	partialHead []byte
	// ambiguousLength is set once a head had both Content-Length and
	// Transfer-Encoding.
	ambiguousLength bool
	// splitter finds the requests in buffered.
	splitter requestSplitter
	// startedHead is the head of the request that the server began to read last;
	// empty if that request has a body.
	startedHead []byte
	// pipelined has the calls that were started before the server read their
	// requests, in the order of the requests.
	pipelined []*pipelinedCall
	// startCall is Proxy.startPipelinedCall for this connection; nil if no
	// pipelined calls may be started.
	startCall func(head []byte) *pipelinedCall
	// concurrent is set while the calls of the following requests may run
	// concurrently with the current call.
	concurrent bool
	// served counts the requests that the server has read, and finished those that it has
	// handled. serving is set while it handles one.
	served, finished int
	serving          bool
	// held has what is held in memory for the connection.
	held heldInput
	// ending is set once the server is to read no further request.
	ending bool
	// room is closed once a full buffer may be read from; nil if no Read waits for that.
	room chan struct{}
	// readAborted is set while Read must not wait, because its deadline has passed.
	readAborted bool
	// onClose is called when the connection is closed; it may be nil.
	onClose func()
}

// callerListener accepts connections as *callerConn.
type callerListener struct {
	net.Listener
	proxy *Proxy
	// maxHead returns the maximum size of a head.
	maxHead func() int
	// callers is set if the connections are those of callers, whose calls may be pipelined.
	callers bool
}

// Accept waits for the next connection.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: conn, group: l.proxy.group}
	c.held = l.newHeldInput(conn)
	if l.callers {
		c.startCall = func(head []byte) *pipelinedCall { return l.proxy.startPipelinedCall(c, head) }
		c.onClose = func() { l.proxy.conns.remove(c) }
		l.proxy.conns.add(c)
	}
	return c, nil
}

// CallersListener wraps the listener that the CallersServer serves on.
func (p *Proxy) CallersListener(listener net.Listener) net.Listener {
	return &callerListener{Listener: listener, proxy: p, maxHead: p.maxCallerHead, callers: true}
}

// connContextKey is the context key of a request's callerConn.
type connContextKey struct{}

// withConn is the ConnContext function of the callers' server.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, conn)
}

// connOfRequest returns the caller's connection of a request, or nil.
func connOfRequest(r *http.Request) *callerConn {
	conn, _ := r.Context().Value(connContextKey{}).(*callerConn)
	return conn
}

// CloseWrite closes the writing side, so that the caller receives a response
// even if its request was not read to the end.
func (c *callerConn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return c.Close()
}

// resetOnClose makes Close reset the connection. In HTTP/1.0 the end of the connection is that
// of a response without a length, so that the caller takes a truncated one for complete
// otherwise.
func (c *callerConn) resetOnClose() {
	if conn, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = conn.SetLinger(0) // fails only if the connection is closed already
	}
}

// Write writes p.
func (c *callerConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.held.client.Progress()
	}
	return n, err
}

// Read returns buffered bytes, at most up to the end of one request, and starts
// reading ahead.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		c.mu.Lock()
		if n := c.readable(); n > 0 {
			if refusal := c.admit(len(p)); refusal != nil {
				c.mu.Unlock()
				return 0, c.refuse(refusal)
			}
			n = c.takeBuffered(p[:min(len(p), n)])
			c.mu.Unlock()
			return n, nil
		}
		if c.headTooLarge(len(p)) {
			c.mu.Unlock()
			return 0, c.refuse(&headRefusal{status: http.StatusRequestHeaderFieldsTooLarge})
		}
		if c.readErr != nil {
			defer c.mu.Unlock()
			return 0, c.readErr
		}
		if c.isEnded() {
			defer c.mu.Unlock()
			return 0, io.EOF
		}
		if c.isFull() {
			if err := c.awaitRoom(); err != nil {
				return 0, err
			}
			continue
		}
		if c.readDone == nil && len(p) > readBufferSize && c.splitter.remaining >= len(p) {
			return c.readBody(p)
		}
		if c.readDone == nil {
			if err := c.fill(); err != nil {
				return 0, err
			}
			continue
		}
		readDone := c.readDone
		c.mu.Unlock()
		<-readDone
	}
}

// readable returns how many buffered bytes Read may return. While the server
// handles a request, it gets nothing of the next one, which may be started as a
// pipelined call. c.mu must be held.
func (c *callerConn) readable() int {
	if c.serving && c.splitter.atBoundary() && c.readErr == nil {
		return 0
	}
	started := c.splitter.started
	n := c.splitter.readable(c.buffered, c.readErr != nil)
	if c.splitter.started > started {
		c.startedHead = append(c.startedHead[:0], c.splitter.bodylessHead(c.buffered)...)
	}
	if c.splitter.headSize > 0 {
		c.held.startHead(c.buffered[:min(c.splitter.headSize, len(c.buffered))])
		c.splitter.headSize = 0
	}
	return n
}

// takeBuffered moves buffered bytes to p, which is not larger than what is buffered. c.mu must
// be held.
func (c *callerConn) takeBuffered(p []byte) int {
	n := copy(p, c.buffered)
	if c.splitter.http2 {
		c.held.takeFrames(p[:n])
	}
	c.buffered = c.buffered[n:]
	if len(c.buffered) == 0 && cap(c.buffered) > cap(c.spare) {
		c.buffered = nil // a kept connection does not need a large buffer
	}
	c.held.setBuffered(cap(c.buffered))
	c.splitter.consume(n)
	c.startReadAhead()
	return n
}

// isFull reports whether nothing more is read before the current request was handled. c.mu
// must be held.
func (c *callerConn) isFull() bool {
	return c.serving && c.splitter.atBoundary() && len(c.buffered) >= maxReadAhead
}

// awaitRoom waits until the current request was handled. c.mu must be held; awaitRoom
// releases it.
func (c *callerConn) awaitRoom() error {
	if c.readAborted {
		defer c.mu.Unlock()
		return os.ErrDeadlineExceeded
	}
	if c.room == nil {
		c.room = make(chan struct{})
	}
	room := c.room
	c.mu.Unlock()
	<-room
	return nil
}

// wakeReader ends awaitRoom. c.mu must be held.
func (c *callerConn) wakeReader() {
	if c.room != nil {
		close(c.room)
		c.room = nil
	}
}

// SetReadDeadline sets the deadline of Read. One that has passed ends a Read that waits.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	c.readAborted = !deadline.IsZero() && !deadline.After(time.Now())
	if c.readAborted {
		c.wakeReader()
	}
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(deadline)
}

// readBuffers pools buffers of readBufferSize.
var readBuffers = sync.Pool{New: func() any { return new([readBufferSize]byte) }} //nolint:gochecknoglobals // a pool

// fill reads from the network into buffered. c.mu must be held; fill releases
// it.
func (c *callerConn) fill() error {
	readDone := make(chan struct{})
	c.readDone = readDone
	c.mu.Unlock()
	buffer := readBuffers.Get().(*[readBufferSize]byte)
	defer readBuffers.Put(buffer)
	n, err := c.Conn.Read(buffer[:])
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDone = nil
	close(readDone)
	c.appendRead(buffer[:n])
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.setReadError(err)
	}
	if n > 0 {
		return nil // a later Read returns the error
	}
	return err
}

// readBody reads a part of a request body from the network into p, without the
// buffer. Nothing may be buffered, and p must not exceed the rest of the request.
// c.mu must be held; readBody releases it.
func (c *callerConn) readBody(p []byte) (int, error) {
	readDone := make(chan struct{})
	c.readDone = readDone
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDone = nil
	close(readDone)
	c.splitter.consume(n)
	c.held.receive(n)
	c.partialHead = nil
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.setReadError(err)
	}
	return n, err
}

// appendRead adds received data to buffered. c.mu must be held.
func (c *callerConn) appendRead(data []byte) {
	if len(c.buffered) == 0 {
		c.buffered = c.spare[:0]
	}
	c.buffered = append(c.buffered, data...)
	if cap(c.buffered) > cap(c.spare) && cap(c.buffered) <= 2*readBufferSize {
		c.spare = c.buffered
	}
	c.held.receive(len(data))
	c.held.setBuffered(cap(c.buffered))
	c.splitter.scanChunks(c.buffered)
	if inBody := c.splitter.remaining - (len(c.buffered) - len(data)); inBody > 0 {
		data, c.partialHead = data[min(inBody, len(data)):], nil // a body has no heads
	}
	c.checkHeads(data)
	c.startPipelinedCalls()
}

// setReadError records that no more data will arrive and cancels the calls of
// the connection. c.mu must be held.
func (c *callerConn) setReadError(err error) {
	c.readErr = err
	if c.cancelCall != nil {
		c.cancelCall()
	}
	for _, pipelined := range c.pipelined {
		pipelined.cancel()
	}
}

// startReadAhead reads ahead if the server has read a part of the next request
// during a call, because then the server itself reads no further until the call
// ends. c.mu must be held.
func (c *callerConn) startReadAhead() {
	if c.cancelCall != nil && (c.splitter.passthrough || c.splitter.started > c.served) {
		c.group.Go(func(context.Context) { c.readAhead() })
	}
}

// readAhead reads until the current call ends, and cancels the call if the
// caller disconnects.
func (c *callerConn) readAhead() {
	for {
		c.mu.Lock()
		if c.cancelCall == nil || c.readDone != nil || c.readErr != nil || len(c.buffered) >= maxReadAhead {
			c.mu.Unlock()
			return
		}
		readDone := make(chan struct{})
		c.readDone = readDone
		c.mu.Unlock()
		buffer := readBuffers.Get().(*[readBufferSize]byte)
		n, err := c.Conn.Read(buffer[:])
		c.mu.Lock()
		c.readDone = nil
		c.appendRead(buffer[:n])
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.setReadError(err)
		}
		c.mu.Unlock()
		readBuffers.Put(buffer)
		close(readDone)
		if err != nil {
			return
		}
	}
}

// trackCall sets the current call's cancel function until the returned function
// is called. concurrent tells whether the calls of the following requests may run
// concurrently with it.
func (c *callerConn) trackCall(cancel context.CancelFunc, concurrent bool) func() {
	c.mu.Lock()
	c.cancelCall, c.concurrent = cancel, concurrent
	if c.readErr != nil {
		cancel()
	}
	c.startPipelinedCalls()
	c.startReadAhead()
	c.mu.Unlock()
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.cancelCall, c.concurrent = nil, false
	}
}

// checkHeads detects request heads with both Content-Length and
// Transfer-Encoding, which two servers may split into different requests
// (request smuggling). c.mu must be held.
func (c *callerConn) checkHeads(received []byte) {
	if c.ambiguousLength || len(received) == 0 {
		return
	}
	data := received
	if len(c.partialHead) > 0 {
		data = append(c.partialHead, received...)
	}
	for len(data) > 0 {
		head, rest, complete := bytes.Cut(data, []byte("\r\n\r\n"))
		if !complete {
			break
		}
		c.ambiguousLength = c.ambiguousLength || hasTwoLengths(head)
		data = rest
	}
	c.partialHead = nil
	if len(data) > 0 {
		c.partialHead = bytes.Clone(data[max(0, len(data)-maxPartialHead):])
	}
}

// hasTwoLengths reports whether a head has both Content-Length and
// Transfer-Encoding.
func hasTwoLengths(head []byte) bool {
	lower := bytes.ToLower(head)
	return bytes.Contains(lower, []byte("\r\ncontent-length:")) && bytes.Contains(lower, []byte("\r\ntransfer-encoding:"))
}

// isLast reports whether the connection is to be closed after the request of HTTP/1.1, because
// its end cannot be determined.
func (c *callerConn) isLast(r *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return r.ProtoMajor == 1 && c.splitter.passthrough
}

// hasAmbiguousLength reports whether any head on the connection had both
// Content-Length and Transfer-Encoding.
func (c *callerConn) hasAmbiguousLength() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ambiguousLength || c.splitter.ambiguousLength
}
