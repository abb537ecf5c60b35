// Package qhconn implements the connection pools for calls: HTTP/1.1 to the
// targets of the VM and HTTP/2 to other nodes. It sends each request at most
// once, whereas http.Transport resends requests that it considers replayable
// when a connection fails.
package qhconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"quetzalhaven.dev/qhclock"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhresponse"
	"quetzalhaven.dev/qhstream"
)

// dialTimeout bounds the time to open a connection.
const dialTimeout = time.Second

// ErrFirstByteTimeout is the cancellation cause of a request that got no byte of
// a response in time.
var ErrFirstByteTimeout = errors.New("no response within the first-byte timeout; check that the target works") //nolint:gochecknoglobals // a sentinel

// DialError is a failed connection attempt. Nothing was sent.
type DialError struct {
	Address qhid.Address
	Cause   error
}

// Error returns the address, the cause and the remedy.
func (e *DialError) Error() string {
	return fmt.Sprintf("cannot connect to %s: %v; check that it listens", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// UnprocessedError is the error of a request that was not sent, or was not processed
// by the peer.
type UnprocessedError struct{ Cause error }

// Error returns the cause and the remedy.
func (e *UnprocessedError) Error() string {
	return fmt.Sprintf("the request was not sent or not processed: %v; retry", e.Cause)
}

// Unwrap returns the cause.
func (e *UnprocessedError) Unwrap() error { return e.Cause }

// trackedConn is a net.Conn that tracks reads and writes, and can block further
// writes.
type trackedConn struct {
	net.Conn
	mu sync.Mutex
	// writesStarted counts the calls of Write that were not blocked.
	writesStarted int
	// writesBlocked makes Write fail.
	writesBlocked bool
	// beforeWrite is asked before the first write of the current request; nil if
	// there is nothing to ask, or it was asked.
	beforeWrite func() error
	// responses checks what the peer sends; nil on connections to other nodes, whose
	// HTTP/2 has no such heads.
	responses *qhresponse.HeadChecker
	// invalid is the error of the bytes that are not a response; nil if there were none.
	invalid error
	// opened is when the connection was opened, and lastRead when bytes were last
	// received, in nanoseconds since then on the steady clock.
	opened   time.Time
	lastRead atomic.Int64
	// openedAt is opened on the clock that counts suspended time.
	openedAt qhclock.Instant
	// firstRead is closed when the first bytes are received.
	firstRead     chan struct{}
	firstReadOnce sync.Once
}

// checkKey is the context key of a function to ask before a request is written.
type checkKey struct{}

// WithCheckBeforeWrite returns a context in which a Pool sends a request only if check
// returns no error at the moment its first byte is written. Otherwise nothing is sent,
// and the cause of the UnprocessedError is that error. check must not block.
func WithCheckBeforeWrite(ctx context.Context, check func() error) context.Context {
	return context.WithValue(ctx, checkKey{}, check)
}

// setBeforeWrite sets the function to ask before the next write.
func (c *trackedConn) setBeforeWrite(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beforeWrite, _ = ctx.Value(checkKey{}).(func() error)
}

// Write writes b. It returns net.ErrClosed if writes are blocked.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.writesBlocked {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	if c.beforeWrite != nil {
		if err := c.beforeWrite(); err != nil {
			c.mu.Unlock()
			return 0, err
		}
		c.beforeWrite = nil
	}
	c.writesStarted++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// Read reads into b and records the time. Bytes that are not a response are an error and
// are not returned.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastRead.Store(int64(time.Since(c.opened)))
		c.firstReadOnce.Do(func() { close(c.firstRead) })
		if invalid := c.checkResponse(b[:n]); invalid != nil {
			return 0, invalid
		}
	}
	return n, err
}

// checkResponse returns the error of received bytes that are not a response.
func (c *trackedConn) checkResponse(data []byte) error {
	if c.responses == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.invalid == nil {
		c.invalid = c.responses.Check(data)
	}
	return c.invalid
}

// expectResponse makes the next byte received the first one of a response.
func (c *trackedConn) expectResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responses.Expect()
}

// expectNoResponse makes any byte received an error until expectResponse.
func (c *trackedConn) expectNoResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responses.ExpectNothing()
}

// invalidResponse returns the error of received bytes that were not a response, or nil.
func (c *trackedConn) invalidResponse() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.invalid
}

// sinceRead returns how long nothing has been received.
func (c *trackedConn) sinceRead(now time.Time) time.Duration {
	return now.Sub(c.opened) - time.Duration(c.lastRead.Load())
}

// writeCount returns the number of writes that were started.
func (c *trackedConn) writeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writesStarted
}

// awaitFirstRead waits for the first bytes from the peer, at most dialTimeout.
func (c *trackedConn) awaitFirstRead(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	select {
	case <-c.firstRead:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// blockWrites blocks all further writes and returns how many were started.
func (c *trackedConn) blockWrites() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesBlocked = true
	return c.writesStarted
}

// trackedConnKey is the context key of a **trackedConn in which dialTracked
// stores the connection.
type trackedConnKey struct{}

// dialTarget connects to a target, which sends responses of HTTP/1.1.
func dialTarget(ctx context.Context, network, address string) (net.Conn, error) {
	return dialTracked(ctx, network, address, &qhresponse.HeadChecker{})
}

// dialNode connects to a node.
func dialNode(ctx context.Context, network, address string) (net.Conn, error) {
	return dialTracked(ctx, network, address, nil)
}

// dialTracked connects and stores the trackedConn in the pointer that the context
// carries. responses checks what the peer sends and may be nil.
func dialTracked(ctx context.Context, network, address string, responses *qhresponse.HeadChecker) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: qhstream.NewConn(conn), responses: responses, opened: time.Now(), openedAt: qhclock.Now(), firstRead: make(chan struct{})}
	if holder, ok := ctx.Value(trackedConnKey{}).(**trackedConn); ok {
		*holder = tracked
	}
	return tracked, nil
}
