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

// The bounds of HTTP/2 connections between nodes.
const (
	// PingAfter is how long a connection may be quiet before it is pinged.
	PingAfter = 500 * time.Millisecond
	// PingTimeout is how long the answer to a ping may take.
	PingTimeout = time.Second
	// doubtAfter is how long a connection with calls under way may be quiet
	// before new calls go over another one.
	doubtAfter = PingAfter + PingTimeout/4
	// streamBuffer and connBuffer bound what is received ahead, in bytes. The
	// connection has room for all its streams, so that none stalls the others.
	streamBuffer = 256 << 10
	connBuffer   = MaxStreams * streamBuffer
	// HTTP2HeaderFactor bounds how much larger HTTP/2 counts headers than HTTP/1.1,
	// since it adds 32 bytes to each.
	HTTP2HeaderFactor = 12
	// idlePeer is how long a connection without calls stays open.
	idlePeer = 10 * time.Second
	// busyStreams is how many calls a connection carries before another one is
	// made, since the calls of one connection wait for each other's frames.
	busyStreams = 2
	// maxPeerConns bounds the connections to one node that are made for speed.
	maxPeerConns = 8
	// MaxStreams bounds the calls on one connection.
	MaxStreams = 250
)

// HTTP2Config returns the settings of HTTP/2 between nodes, for both ends.
func HTTP2Config() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams:          MaxStreams,
		MaxReceiveBufferPerStream:     streamBuffer,
		MaxReceiveBufferPerConnection: connBuffer,
		SendPingTimeout:               PingAfter,
		PingTimeout:                   PingTimeout,
	}
}

// PeerPool has the connections to other nodes. A connection that went silent is
// closed after a ping had no answer, which fails the calls on it.
type PeerPool struct {
	group     *qhgroup.Group
	transport *http.Transport
	addresses sync.Map // of qhid.Address to *peer
}

// peer has the connections to one node.
type peer struct {
	mu    sync.Mutex
	conns []*peerConn
	// dialing is nil while no connection is being made.
	dialing *dialing
}

// dialing is a connection that is being made for all who wait for it.
type dialing struct {
	// done is closed once the connection was made or err is set.
	done chan struct{}
	err  error
}

type peerConn struct {
	client *http.ClientConn
	wire   *wire
}

// NewPeerPool returns the connections to other nodes and a clean-up that closes them.
func NewPeerPool() (*PeerPool, func()) {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	group, stop := qhgroup.New(context.Background())
	peers := &PeerPool{group: group, transport: &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		MaxResponseHeaderBytes: HTTP2HeaderFactor * maxAnswerHeaders,
		IdleConnTimeout:        idlePeer,
		Protocols:              &protocols,
		HTTP2:                  HTTP2Config(),
	}}
	return peers, func() {
		stop()
		peers.close()
	}
}

// RoundTrip sends the request once to the node at address. The error is a
// *DialError or *UnsentError where it is certain that the node got nothing of
// the request or will not look at it.
func (p *PeerPool) RoundTrip(address qhid.Address, req *http.Request) (*http.Response, error) {
	client, err := p.take(req.Context(), address)
	if err != nil {
		return nil, err
	}
	resp, err := client.RoundTrip(req)
	if err != nil && isUnprocessed(err) {
		return nil, &UnsentError{Cause: err}
	}
	return resp, err
}

// take returns a connection with one stream reserved.
func (p *PeerPool) take(ctx context.Context, address qhid.Address) (*http.ClientConn, error) {
	found, ok := p.addresses.Load(address)
	if !ok {
		found, _ = p.addresses.LoadOrStore(address, &peer{})
	}
	node := found.(*peer)
	for {
		client, wait := p.reserveOrDial(node, address)
		if client != nil {
			return client, nil
		}
		select {
		case <-wait.done:
		case <-ctx.Done():
			return nil, &UnsentError{Cause: context.Cause(ctx)}
		}
		if wait.err != nil {
			return nil, wait.err
		}
	}
}

// reserveOrDial returns a connection with a stream reserved, or the dialing
// that makes one. It also has one more made where the connections are busy.
func (p *PeerPool) reserveOrDial(node *peer, address qhid.Address) (*http.ClientConn, *dialing) {
	node.mu.Lock()
	defer node.mu.Unlock()
	client := node.reserve(time.Now())
	if client != nil && (client.InFlight() <= busyStreams || len(node.conns) >= maxPeerConns) {
		return client, nil
	}
	if node.dialing == nil {
		d := &dialing{done: make(chan struct{})}
		node.dialing = d
		p.group.Go(func(ctx context.Context) { p.dial(ctx, node, address, d) })
	}
	return client, node.dialing
}

// dial makes a connection for all who wait for it. The connection is not used
// before the other end has spoken, so that calls for a node that listens and is
// frozen or out of reach are not sent at all.
func (p *PeerPool) dial(ctx context.Context, node *peer, address qhid.Address, d *dialing) {
	var w *wire
	client, err := p.transport.NewClientConn(context.WithValue(ctx, wireKey{}, &w), "http", string(address))
	if err == nil {
		if err = w.awaitFirst(ctx); err != nil {
			_ = client.Close() // nothing is on it
		}
	}
	node.mu.Lock()
	defer node.mu.Unlock()
	if err != nil {
		d.err = &DialError{Address: address, Cause: err}
	} else {
		node.conns = append(node.conns, &peerConn{client: client, wire: w})
	}
	node.dialing = nil
	close(d.done)
}

// reserve reserves a stream of the live connection with the fewest calls, or
// returns nil. Connections that ended are let go of. The lock is held.
func (n *peer) reserve(now time.Time) *http.ClientConn {
	n.dropEnded()
	var best *peerConn
	for _, c := range n.conns {
		if c.doubtful(now) || c.client.Available() == 0 {
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

// dropEnded lets go of connections that are closed, or take no new calls and
// have none left. The lock is held.
func (n *peer) dropEnded() {
	n.conns = slices.DeleteFunc(n.conns, func(c *peerConn) bool {
		if c.client.Err() == nil && (c.client.Available() > 0 || c.client.InFlight() > 0) {
			return false
		}
		_ = c.client.Close() // it has ended already
		return true
	})
}

// doubtful tells whether the connection has had no byte for so long, with calls
// under way, that an answer to a ping is overdue.
func (c *peerConn) doubtful(now time.Time) bool {
	quiet := now.Sub(time.Unix(0, c.wire.heard.Load()))
	return quiet > doubtAfter && c.client.InFlight() > 0
}

func (p *PeerPool) close() {
	p.addresses.Range(func(_, value any) bool {
		node := value.(*peer)
		node.mu.Lock()
		defer node.mu.Unlock()
		for _, c := range node.conns {
			_ = c.client.Close()
		}
		node.conns = nil
		return true
	})
}
