package qhconn

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"quetzalhaven.dev/qhclock"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhheader"
	"quetzalhaven.dev/qhid"
)

// Limits of HTTP/2 connections between nodes.
const (
	// PingIdleTimeout is how long a connection may receive nothing before it is
	// pinged.
	PingIdleTimeout = 500 * time.Millisecond
	// PingTimeout is how long the acknowledgement of a ping may take.
	PingTimeout = time.Second
	// SuspectAfter is how long a connection may receive nothing, not even the
	// acknowledgement of a ping, before it is suspect, so that new calls use another one.
	SuspectAfter = PingIdleTimeout + PingTimeout/4
	// StreamBufferSize and connBufferSize are the flow-control windows in bytes.
	// The connection window covers all streams, so that a slow stream does not
	// stall the others.
	StreamBufferSize = 256 << 10
	connBufferSize   = MaxStreams * StreamBufferSize
	// HTTP2HeaderFactor bounds the ratio of the header size as HTTP/2 counts it
	// to the size in HTTP/1.1. The shortest field takes 4 bytes in HTTP/1.1 and
	// counts as 33 in HTTP/2, which adds 32 bytes for each field: a ratio of
	// about 8.
	HTTP2HeaderFactor = 12
	// nodeIdleTimeout is how long a connection without calls stays open.
	nodeIdleTimeout = 10 * time.Second
	// maxStreamsBeforeDial is the number of calls on the least loaded
	// connection above which another connection is opened, because the calls on
	// a connection wait for each other's frames.
	maxStreamsBeforeDial = 2
	// maxNodeConns bounds the connections to one node that are opened because
	// the others are busy.
	maxNodeConns = 8
	// continueTimeout bounds how long a request with Expect: 100-continue keeps its
	// body back. It is longer than a call may wait for a slot.
	continueTimeout = time.Minute
	// maxConnectWait is how long a call waits for a connection to be opened before
	// it is placed elsewhere. It is far above the latency between availability
	// zones. The attempt goes on for later calls.
	maxConnectWait = 600 * time.Millisecond
	// maxFrameSize bounds the frames that are read in bytes. A connection has a buffer for
	// one, and each request body one on its way to a peer.
	maxFrameSize = 16 << 10
	// MaxStreams is the maximum number of concurrent calls on one connection.
	MaxStreams = 250
)

// HTTP2Config returns the HTTP/2 settings of connections between nodes, for
// clients and servers.
func HTTP2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams:          MaxStreams,
		MaxReadFrameSize:              maxFrameSize,
		MaxReceiveBufferPerStream:     StreamBufferSize,
		MaxReceiveBufferPerConnection: connBufferSize,
		SendPingTimeout:               PingIdleTimeout,
		PingTimeout:                   PingTimeout,
	}
}

// ErrNotConnected is the cause of an UnprocessedError if no connection to the node was
// open in time.
var ErrNotConnected = errors.New("no connection to the node was open in time; check the network between the nodes") //nolint:gochecknoglobals // a sentinel

// NodePool is the connection pool for calls to other nodes, which go to their
// call addresses (CallAddress). A connection that receives nothing for
// PingIdleTimeout is pinged; if the ping is not acknowledged, the connection is
// closed and the calls on it fail. It is safe for concurrent use.
type NodePool struct {
	group     *qhgroup.Group
	transport *http.Transport
	nodes     sync.Map // of qhid.Address to *nodeConns
}

// nodeConns holds the connections to one node.
type nodeConns struct {
	mu    sync.Mutex
	conns []*nodeConn
	// dialing is the connection attempt in progress, or nil.
	dialing *pendingDial
}

// pendingDial is a connection attempt that any number of calls wait for.
type pendingDial struct {
	// done is closed once the connection is open or err is set.
	done chan struct{}
	err  error
}

// nodeConn is one connection to a node.
type nodeConn struct {
	client  *http.ClientConn
	tracked *trackedConn
}

// NewNodePool returns an empty pool and a cleanup function, which closes all
// connections.
func NewNodePool() (*NodePool, func()) {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	group, stop := qhgroup.New(context.Background())
	pool := &NodePool{group: group, transport: &http.Transport{
		DialContext:            dialNode,
		DisableCompression:     true,
		MaxResponseHeaderBytes: HTTP2HeaderFactor * maxResponseHeaderBytes,
		IdleConnTimeout:        nodeIdleTimeout,
		ExpectContinueTimeout:  continueTimeout,
		Protocols:              &protocols,
		HTTP2:                  HTTP2Config(),
	}}
	return pool, func() {
		stop()
		pool.close()
	}
}

// RoundTrip sends the request once to the node at address. A *DialError or
// *UnprocessedError means that the node certainly did not receive the request or
// will not process it. prepared is when the durations in the request's headers were
// measured; the request says how long that was after the opening of its connection.
func (p *NodePool) RoundTrip(address qhid.Address, prepared qhclock.Instant, req *http.Request) (*http.Response, error) {
	conn, err := p.acquire(req.Context(), address)
	if err != nil {
		return nil, err
	}
	req.Header.Set(qhheader.NodeSent, strconv.FormatInt(prepared.Since(conn.tracked.openedAt).Milliseconds(), 10))
	resp, err := conn.client.RoundTrip(req)
	if err != nil && peerDidNotProcess(err) {
		return nil, &UnprocessedError{Cause: err}
	}
	return resp, err
}

// acquire returns a connection with one stream reserved.
func (p *NodePool) acquire(ctx context.Context, address qhid.Address) (*nodeConn, error) {
	found, ok := p.nodes.Load(address)
	if !ok {
		found, _ = p.nodes.LoadOrStore(address, &nodeConns{})
	}
	n := found.(*nodeConns)
	var timeout <-chan time.Time // set once the call has to wait
	for {
		conn, pending := p.reserveOrDial(n, address)
		if conn != nil {
			return conn, nil
		}
		if timeout == nil {
			timer := time.NewTimer(maxConnectWait)
			defer timer.Stop() //nolint:gocritic // at most one timer a call
			timeout = timer.C
		}
		select {
		case <-pending.done:
		case <-timeout:
			return nil, &UnprocessedError{Cause: ErrNotConnected}
		case <-ctx.Done():
			return nil, &UnprocessedError{Cause: context.Cause(ctx)}
		}
		if pending.err != nil {
			return nil, pending.err
		}
	}
}

// reserveOrDial returns a connection with a stream reserved, or the pending dial
// to wait for. If all connections are busy, it also starts a dial for later
// calls.
func (p *NodePool) reserveOrDial(n *nodeConns, address qhid.Address) (*nodeConn, *pendingDial) {
	n.mu.Lock()
	defer n.mu.Unlock()
	conn := n.reserve(time.Now())
	if conn != nil && (conn.client.InFlight() <= maxStreamsBeforeDial || len(n.conns) >= maxNodeConns) {
		return conn, nil
	}
	if n.dialing == nil {
		pending := &pendingDial{done: make(chan struct{})}
		n.dialing = pending
		p.group.Go(func(ctx context.Context) { p.dial(ctx, n, address, pending) })
	}
	return conn, n.dialing
}

// dial opens a connection to a node and adds it to n. The connection is used only
// after the node has sent its first bytes, so that no call is sent to a node
// that is unresponsive or partitioned although connections to it are accepted.
func (p *NodePool) dial(ctx context.Context, n *nodeConns, address qhid.Address, pending *pendingDial) {
	var tracked *trackedConn
	client, err := p.transport.NewClientConn(context.WithValue(ctx, trackedConnKey{}, &tracked), "http", string(address))
	if err == nil {
		if err = tracked.awaitFirstRead(ctx); err != nil {
			_ = client.Close() // no calls use it yet
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil {
		pending.err = &DialError{Address: address, Cause: err}
	} else {
		n.conns = append(n.conns, &nodeConn{client: client, tracked: tracked})
	}
	n.dialing = nil
	close(pending.done)
}

// reserve reserves a stream on the connection with the fewest calls that is not
// suspect, or returns nil. It also removes closed connections. The lock is held.
func (n *nodeConns) reserve(now time.Time) *nodeConn {
	n.removeClosed()
	var best *nodeConn
	for _, c := range n.conns {
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
	return best
}

// removeClosed removes connections that are closed, or that accept no new calls
// and have none in flight. The lock is held.
func (n *nodeConns) removeClosed() {
	n.conns = slices.DeleteFunc(n.conns, func(c *nodeConn) bool {
		if c.client.Err() == nil && (c.client.Available() > 0 || c.client.InFlight() > 0) {
			return false
		}
		_ = c.client.Close() // already closed
		return true
	})
}

// isSuspect reports whether the connection has received nothing for so long that a ping
// acknowledgement is overdue.
func (c *nodeConn) isSuspect(now time.Time) bool {
	return c.tracked.sinceRead(now) > SuspectAfter
}

// close closes all connections.
func (p *NodePool) close() {
	p.nodes.Range(func(_, value any) bool {
		n := value.(*nodeConns)
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, c := range n.conns {
			_ = c.client.Close()
		}
		n.conns = nil
		return true
	})
}
