package qhconn

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhid"
)

// Limits of HTTP/2 connections between nodes.
const (
	// PingIdleTimeout is how long a connection may receive nothing before it is
	// pinged.
	PingIdleTimeout = 500 * time.Millisecond
	// PingTimeout is how long the acknowledgement of a ping may take.
	PingTimeout = time.Second
	// suspectAfter is how long a connection with in-flight calls may receive
	// nothing before it is suspect, so that new calls use another connection.
	suspectAfter = PingIdleTimeout + PingTimeout/4
	// streamBufferSize and connBufferSize are the flow-control windows in bytes.
	// The connection window covers all streams, so that a slow stream does not
	// stall the others.
	streamBufferSize = 256 << 10
	connBufferSize   = MaxStreams * streamBufferSize
	// HTTP2HeaderFactor bounds the ratio of the header size as HTTP/2 counts it
	// to the size in HTTP/1.1. The shortest field takes 4 bytes in HTTP/1.1 and
	// counts as 33 in HTTP/2, which adds 32 bytes for each field: a ratio of
	// about 8.
	HTTP2HeaderFactor = 12
	// peerIdleTimeout is how long a connection without calls stays open.
	peerIdleTimeout = 10 * time.Second
	// maxStreamsBeforeDial is the number of calls on the least loaded
	// connection above which another connection is opened, because the calls on
	// a connection wait for each other's frames.
	maxStreamsBeforeDial = 2
	// maxPeerConns bounds the connections to one node that are opened because
	// the others are busy.
	maxPeerConns = 8
	// MaxStreams is the maximum number of concurrent calls on one connection.
	MaxStreams = 250
)

// HTTP2Config returns the HTTP/2 settings of connections between nodes, for
// clients and servers.
func HTTP2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams:          MaxStreams,
		MaxReceiveBufferPerStream:     streamBufferSize,
		MaxReceiveBufferPerConnection: connBufferSize,
		SendPingTimeout:               PingIdleTimeout,
		PingTimeout:                   PingTimeout,
	}
}

// PeerPool is the connection pool for calls to other nodes. A connection that
// receives nothing for PingIdleTimeout is pinged; if the ping is not
// acknowledged, the connection is closed and the calls on it fail. It is safe
// for concurrent use.
type PeerPool struct {
	group     *qhgroup.Group
	transport *http.Transport
	peers     sync.Map // of qhid.Address to *peer
}

// peer holds the connections to one node.
type peer struct {
	mu    sync.Mutex
	conns []*peerConn
	// dialing is the connection attempt in progress, or nil.
	dialing *pendingDial
}

// pendingDial is a connection attempt that any number of calls wait for.
type pendingDial struct {
	// done is closed once the connection is open or err is set.
	done chan struct{}
	err  error
}

// peerConn is one connection to a node.
type peerConn struct {
	client  *http.ClientConn
	tracked *trackedConn
}

// NewPeerPool returns an empty pool and a cleanup function, which closes all
// connections.
func NewPeerPool() (*PeerPool, func()) {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	group, stop := qhgroup.New(context.Background())
	pool := &PeerPool{group: group, transport: &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxResponseHeaderBytes: HTTP2HeaderFactor * maxResponseHeaderBytes,
		IdleConnTimeout:        peerIdleTimeout,
		Protocols:              &protocols,
		HTTP2:                  HTTP2Config(),
	}}
	return pool, func() {
		stop()
		pool.close()
	}
}

// RoundTrip sends the request once to the node at address. A *DialError or
// *UnsentError means that the node certainly did not receive the request or will
// not process it.
func (pool *PeerPool) RoundTrip(address qhid.Address, req *http.Request) (*http.Response, error) {
	client, err := pool.acquire(req.Context(), address)
	if err != nil {
		return nil, err
	}
	resp, err := client.RoundTrip(req)
	if err != nil && isUnprocessed(err) {
		return nil, &UnsentError{Cause: err}
	}
	return resp, err
}

// acquire returns a connection with one stream reserved.
func (pool *PeerPool) acquire(ctx context.Context, address qhid.Address) (*http.ClientConn, error) {
	found, ok := pool.peers.Load(address)
	if !ok {
		found, _ = pool.peers.LoadOrStore(address, &peer{})
	}
	p := found.(*peer)
	for {
		client, pending := pool.reserveOrDial(p, address)
		if client != nil {
			return client, nil
		}
		select {
		case <-pending.done:
		case <-ctx.Done():
			return nil, &UnsentError{Cause: context.Cause(ctx)}
		}
		if pending.err != nil {
			return nil, pending.err
		}
	}
}

// reserveOrDial returns a connection with a stream reserved, or the pending dial
// to wait for. If all connections are busy, it also starts a dial for later
// calls.
func (pool *PeerPool) reserveOrDial(p *peer, address qhid.Address) (*http.ClientConn, *pendingDial) {
	p.mu.Lock()
	defer p.mu.Unlock()
	client := p.reserve(time.Now())
	if client != nil && (client.InFlight() <= maxStreamsBeforeDial || len(p.conns) >= maxPeerConns) {
		return client, nil
	}
	if p.dialing == nil {
		pending := &pendingDial{done: make(chan struct{})}
		p.dialing = pending
		pool.group.Go(func(ctx context.Context) { pool.dial(ctx, p, address, pending) })
	}
	return client, p.dialing
}

// dial opens a connection and adds it to the peer. The connection is used only
// after the peer has sent its first bytes, so that no call is sent to a peer
// that is unresponsive or partitioned although connections to it are accepted.
func (pool *PeerPool) dial(ctx context.Context, p *peer, address qhid.Address, pending *pendingDial) {
	var tracked *trackedConn
	client, err := pool.transport.NewClientConn(context.WithValue(ctx, trackedConnKey{}, &tracked), "http", string(address))
	if err == nil {
		if err = tracked.awaitFirstRead(ctx); err != nil {
			_ = client.Close() // no calls use it yet
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		pending.err = &DialError{Address: address, Cause: err}
	} else {
		p.conns = append(p.conns, &peerConn{client: client, tracked: tracked})
	}
	p.dialing = nil
	close(pending.done)
}

// reserve reserves a stream on the connection with the fewest calls that is not
// suspect, or returns nil. It also removes closed connections. The lock is held.
func (p *peer) reserve(now time.Time) *http.ClientConn {
	p.removeClosed()
	var best *peerConn
	for _, c := range p.conns {
		if c.isSuspect(now) || c.client.Available() == 0 {
			continue
		}
		if best == nil || c.client.InFlight() < best.client.InFlight() {
			best = c
		}
	}
	if best == nil || best.client.Reserve() != nil {
		return nil
	}
	return best.client
}

// removeClosed removes connections that are closed, or that accept no new calls
// and have none in flight. The lock is held.
func (p *peer) removeClosed() {
	p.conns = slices.DeleteFunc(p.conns, func(c *peerConn) bool {
		if c.client.Err() == nil && (c.client.Available() > 0 || c.client.InFlight() > 0) {
			return false
		}
		_ = c.client.Close() // already closed
		return true
	})
}

// isSuspect reports whether the connection has in-flight calls but has received
// nothing for so long that a ping acknowledgement is overdue.
func (c *peerConn) isSuspect(now time.Time) bool {
	sinceRead := now.Sub(time.Unix(0, c.tracked.lastRead.Load()))
	return sinceRead > suspectAfter && c.client.InFlight() > 0
}

// close closes all connections.
func (pool *PeerPool) close() {
	pool.peers.Range(func(_, value any) bool {
		p := value.(*peer)
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, c := range p.conns {
			_ = c.client.Close()
		}
		p.conns = nil
		return true
	})
}
