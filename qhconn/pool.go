package qhconn

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhresponse"
)

const (
	// maxIdleTime is how long a connection to a target may be idle before it is
	// closed. It is shorter than the usual idle timeouts of servers.
	maxIdleTime = 4 * time.Second
	// maxResponseHeaderBytes is the maximum size of the headers of a target's
	// response.
	maxResponseHeaderBytes = 64 << 10
)

// Pool is a bounded pool of connections to one target. Each connection carries
// one request at a time.
type Pool struct {
	address   qhid.Address
	transport *http.Transport

	mu sync.Mutex
	// idle is ordered by idleSince, latest last.
	idle []*pooledConn
	// open counts the connections that are idle, in use or being dialed.
	open  int
	limit int
	// draining makes the pool close connections after their request instead of
	// keeping them idle.
	draining bool
	// waiters counts the calls that wait for changed.
	waiters int
	// changed is closed and replaced when a connection becomes idle or is closed
	// while calls wait.
	changed chan struct{}
	// all has every open connection, for Close.
	all map[*pooledConn]struct{}
}

// pooledConn is one connection of a Pool.
type pooledConn struct {
	client  *http.ClientConn
	tracked *trackedConn
	// idleSince is when the connection became idle.
	idleSince time.Time
	// inUse is set while a request uses the connection.
	inUse bool
	// notReusable makes the pool close the connection instead of keeping it idle.
	notReusable bool
	// removed is set once the connection was removed from the pool.
	removed bool
}

// NewPool returns a pool of at most limit connections to address.
func NewPool(address qhid.Address, limit int) *Pool {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &Pool{
		address: address,
		transport: &http.Transport{
			DialContext:            dialTarget,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
			Protocols:              &protocols,
		},
		limit:   limit,
		changed: make(chan struct{}),
		all:     make(map[*pooledConn]struct{}),
	}
}

// SetLimit changes the maximum number of open connections. Surplus connections
// are closed when their request is done.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	p.wakeWaiters()
}

// OpenConns returns the number of connections that are open or being dialed.
func (p *Pool) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// RoundTrip sends the request once. A *DialError or *UnprocessedError means that
// certainly no byte of the request was sent, a *qhresponse.InvalidError that the target
// responded with something that is not a response.
func (p *Pool) RoundTrip(req *http.Request) (*http.Response, error) {
	c, err := p.acquire(req.Context())
	if err != nil {
		return nil, err
	}
	c.tracked.setBeforeWrite(req.Context())
	c.tracked.expectResponse()
	writesBefore := c.tracked.writeCount()
	resp, err := c.client.RoundTrip(req)
	if err == nil {
		if len(resp.TransferEncoding) > 0 {
			resp.Body = &chunkedBody{ReadCloser: resp.Body, response: resp, invalid: func() { p.discardIdle(c) }}
		}
		return resp, nil
	}
	sent := c.tracked.blockWrites() != writesBefore
	p.discard(c, errors.Is(context.Cause(req.Context()), ErrFirstByteTimeout))
	if invalid := c.tracked.invalidResponse(); invalid != nil {
		err = invalid
	}
	if sent {
		return nil, err
	}
	return nil, &UnprocessedError{Cause: err}
}

// chunkedBody is the body of a response that may end with a trailer.
type chunkedBody struct {
	io.ReadCloser
	response *http.Response
	// invalid is called if the trailer is not valid.
	invalid func()
}

// Read reads into b. If the trailer is not valid, the body ends with a
// *qhresponse.InvalidError.
func (b *chunkedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err == io.EOF { //nolint:errorlint // bodies return io.EOF itself
		if invalid := qhresponse.CheckTrailer(b.response.Trailer); invalid != nil {
			b.invalid()
			return n, invalid
		}
	}
	return n, err
}

// acquire returns a connection for one request: the most recently used idle one,
// or a new one.
func (p *Pool) acquire(ctx context.Context) (*pooledConn, error) {
	for {
		p.mu.Lock()
		if c := p.takeIdle(time.Now()); c != nil {
			p.mu.Unlock()
			if p.reserve(c) {
				return c, nil
			}
			continue
		}
		if p.open < p.limit {
			p.open++
			p.mu.Unlock()
			return p.dial(ctx)
		}
		changed := p.changed
		p.waiters++
		p.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, &UnprocessedError{Cause: context.Cause(ctx)}
		}
	}
}

// takeIdle takes the most recently used idle connection out of the pool, or returns nil. It
// closes idle connections that were idle for too long. The lock is held.
func (p *Pool) takeIdle(now time.Time) *pooledConn {
	last := len(p.idle) - 1
	if last < 0 {
		return nil
	}
	c := p.idle[last]
	if now.Sub(c.idleSince) > maxIdleTime {
		p.closeIdle()
		return nil
	}
	p.idle = p.idle[:last]
	return c
}

// reserve reserves a connection that was idle for one request. It returns false if the
// connection is closed. The lock is not held, because the connection may call stateChanged.
func (p *Pool) reserve(c *pooledConn) bool {
	err := c.client.Reserve()
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil || c.removed {
		p.remove(c)
		return false
	}
	c.inUse = true
	return true
}

// closeIdle closes all idle connections. The lock is held.
func (p *Pool) closeIdle() {
	for _, c := range p.idle {
		p.remove(c)
	}
	p.idle = nil
}

// remove removes a connection from the pool and closes it. The lock is held.
func (p *Pool) remove(c *pooledConn) {
	if c.removed {
		return
	}
	c.removed = true
	p.open--
	delete(p.all, c)
	c.tracked.blockWrites()
	_ = c.tracked.Close() // the http.ClientConn then fails
	p.wakeWaiters()
}

// wakeWaiters wakes the calls that wait for a connection. The lock is held.
func (p *Pool) wakeWaiters() {
	if p.waiters == 0 {
		return
	}
	close(p.changed)
	p.changed = make(chan struct{})
	p.waiters = 0
}

// dial opens and reserves a connection. The caller has already counted it in
// open.
func (p *Pool) dial(ctx context.Context) (*pooledConn, error) {
	var tracked *trackedConn
	client, err := p.transport.NewClientConn(context.WithValue(ctx, trackedConnKey{}, &tracked), "http", string(p.address))
	if err == nil {
		err = client.Reserve()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		if client != nil {
			_ = client.Close() // closed while it was being dialed
		}
		p.open--
		p.wakeWaiters()
		return nil, &DialError{Address: p.address, Cause: err}
	}
	c := &pooledConn{client: client, tracked: tracked, inUse: true}
	p.all[c] = struct{}{}
	client.SetStateHook(func(*http.ClientConn) { p.stateChanged(c) })
	return c, nil
}

// stateChanged returns a connection to the pool after its request, or removes it
// if it was closed.
func (p *Pool) stateChanged(c *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case c.removed:
	case c.client.Err() != nil:
		c.inUse = false
		p.remove(c)
	case c.inUse && c.client.Available() > 0:
		c.inUse = false
		p.release(c)
	}
}

// release returns a connection to the pool. The lock is held.
func (p *Pool) release(c *pooledConn) {
	if p.draining || p.open > p.limit || c.notReusable {
		p.remove(c)
		return
	}
	c.tracked.expectNoResponse()
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
	p.wakeWaiters()
}

// discard removes a connection that failed. After a first-byte timeout the idle
// connections are closed too, as they are likely to fail the same way.
func (p *Pool) discard(c *pooledConn, timedOut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remove(c)
	if timedOut {
		p.closeIdle()
	}
}

// discardIdle removes a connection as soon as no request uses it.
func (p *Pool) discardIdle(c *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.notReusable = true
	if i := slices.Index(p.idle, c); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
		p.remove(c)
	}
}

// Drain closes idle connections immediately and the others when their request is
// done.
func (p *Pool) Drain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draining = true
	p.closeIdle()
}

// Close closes all connections and aborts the requests on them.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draining = true
	p.idle = nil
	for c := range p.all {
		p.remove(c)
	}
}

// IsUnprocessed reports whether err proves that no byte of the request was sent,
// or that the peer did not process it.
func IsUnprocessed(err error) bool {
	var dialErr *DialError
	var unprocessedErr *UnprocessedError
	return errors.As(err, &dialErr) || errors.As(err, &unprocessedErr)
}
