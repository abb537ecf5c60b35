package qhconn

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"quetzalhaven.dev/qhid"
)

const (
	// maxIdle is how long a connection to a target may lie idle before it
	// counts as silent. It is below the idle bounds that servers usually have.
	maxIdle = 4 * time.Second
	// maxAnswerHeaders bounds the headers of a target's answer in bytes.
	maxAnswerHeaders = 64 << 10
)

// Pool has the connections to one target, a bounded number. Each carries one
// request at a time.
type Pool struct {
	address   qhid.Address
	transport *http.Transport

	mu sync.Mutex
	// idle has the newest last.
	idle []*conn
	// open counts connections that are idle, in use or being made.
	open  int
	limit int
	// retired closes connections rather than keep them.
	retired bool
	// waiting counts those that wait for changed.
	waiting int
	// changed is closed and replaced when a connection is put back or closed
	// while somebody waits.
	changed chan struct{}
	// all has every connection, for Close.
	all map[*conn]struct{}
}

// conn is one connection of a pool.
type conn struct {
	client *http.ClientConn
	wire   *wire
	// since is when the connection was put back.
	since time.Time
	// lent is set while a request has the connection.
	lent bool
	// gone is set once the pool has let go of the connection.
	gone bool
}

// NewPool returns a pool of at most limit connections to address.
func NewPool(address qhid.Address, limit int) *Pool {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	return &Pool{
		address: address,
		transport: &http.Transport{
			DialContext:            dial,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxAnswerHeaders,
			Protocols:              &protocols,
		},
		limit:   limit,
		changed: make(chan struct{}),
		all:     make(map[*conn]struct{}),
	}
}

// SetLimit bounds the open connections from now on.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	p.signal()
}

// OpenConns returns how many connections are open or being made.
func (p *Pool) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// RoundTrip sends the request once. The error is a *DialError or *UnsentError
// where it is certain that no byte of the request was sent.
func (p *Pool) RoundTrip(req *http.Request) (*http.Response, error) {
	c, err := p.take(req.Context())
	if err != nil {
		return nil, err
	}
	before := c.wire.writes()
	resp, err := c.client.RoundTrip(req)
	if err == nil {
		return resp, nil
	}
	sent := c.wire.seal() != before
	p.discard(c, errors.Is(context.Cause(req.Context()), ErrFirstByteTimeout))
	if sent {
		return nil, err
	}
	return nil, &UnsentError{Cause: err}
}

// take returns a connection for one request: the one that was idle shortest, or
// a new one.
func (p *Pool) take(ctx context.Context) (*conn, error) {
	for {
		p.mu.Lock()
		if c := p.takeIdle(time.Now()); c != nil {
			p.mu.Unlock()
			return c, nil
		}
		if p.open < p.limit {
			p.open++
			p.mu.Unlock()
			return p.dial(ctx)
		}
		changed := p.changed
		p.waiting++
		p.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, &UnsentError{Cause: context.Cause(ctx)}
		}
	}
}

// takeIdle returns a live idle connection or nil, and drops those that are
// closed or were idle for too long. The lock is held.
func (p *Pool) takeIdle(now time.Time) *conn {
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		if now.Sub(c.since) > maxIdle {
			p.dropIdle()
			return nil
		}
		p.idle = p.idle[:last]
		if c.client.Reserve() == nil {
			c.lent = true
			return c
		}
		p.forget(c)
	}
	return nil
}

// dropIdle closes all idle connections. The lock is held.
func (p *Pool) dropIdle() {
	for _, c := range p.idle {
		p.forget(c)
	}
	p.idle = nil
}

// forget lets go of a connection and closes it. The lock is held.
func (p *Pool) forget(c *conn) {
	if c.gone {
		return
	}
	c.gone = true
	p.open--
	delete(p.all, c)
	c.wire.seal()
	_ = c.wire.Close() // the client connection notices and ends
	p.signal()
}

// signal wakes those that wait for a connection. The lock is held.
func (p *Pool) signal() {
	if p.waiting == 0 {
		return
	}
	close(p.changed)
	p.changed = make(chan struct{})
	p.waiting = 0
}

// dial makes a connection that was counted before and reserves it.
func (p *Pool) dial(ctx context.Context) (*conn, error) {
	var w *wire
	client, err := p.transport.NewClientConn(context.WithValue(ctx, wireKey{}, &w), "http", string(p.address))
	if err == nil {
		err = client.Reserve()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		if client != nil {
			_ = client.Close() // it was closed while it was made
		}
		p.open--
		p.signal()
		return nil, &DialError{Address: p.address, Cause: err}
	}
	c := &conn{client: client, wire: w, lent: true}
	p.all[c] = struct{}{}
	client.SetStateHook(func(*http.ClientConn) { p.settle(c) })
	return c, nil
}

// settle puts a connection back that has become free, or lets go of it.
func (p *Pool) settle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case c.gone:
	case c.client.Err() != nil:
		c.lent = false
		p.forget(c)
	case c.lent && c.client.Available() > 0:
		c.lent = false
		p.putBack(c)
	}
}

// putBack keeps a free connection. The lock is held.
func (p *Pool) putBack(c *conn) {
	if p.retired || p.open > p.limit {
		p.forget(c)
		return
	}
	c.since = time.Now()
	p.idle = append(p.idle, c)
	p.signal()
}

// discard lets go of a connection that failed. After a silent one, the idle ones
// are in doubt too.
func (p *Pool) discard(c *conn, silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(c)
	if silent {
		p.dropIdle()
	}
}

// Retire closes idle connections now and the others once their request is done.
func (p *Pool) Retire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	p.dropIdle()
}

// Close closes all connections and breaks off what is on them.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retired = true
	p.idle = nil
	for c := range p.all {
		p.forget(c)
	}
}

// IsUnsent tells whether err proves that no byte of the request was sent.
func IsUnsent(err error) bool {
	var dialed *DialError
	var unsent *UnsentError
	return errors.As(err, &dialed) || errors.As(err, &unsent)
}
