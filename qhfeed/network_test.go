package qhfeed

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"quetzalhaven.dev/qhclock"
	"quetzalhaven.dev/qhconfig"
	"quetzalhaven.dev/qhgroup"
	"quetzalhaven.dev/qhhold"
	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhkey"
	"quetzalhaven.dev/qhmember"
	"quetzalhaven.dev/qhplatform"
	"quetzalhaven.dev/qhstream"
)

// storeHost is the host of the store on a network.
const storeHost = "store"

// synRetransmissions are the times after which the first packet of a connection that
// got no response is sent again.
var synRetransmissions = []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} //nolint:gochecknoglobals // a constant list

// effect is what a disruption does to the connections that it matches.
type effect int

const (
	// holds keeps bytes back until the disruption ends, as a partition does.
	holds effect = iota
	// swallows lets connections open and loses all bytes on them, for good.
	swallows
	// resets closes connections and refuses new ones.
	resets
	// suspends keeps bytes back until the disruption ends, but lets connections open, as a
	// suspended process does.
	suspends
)

// disruption disrupts the connections between the hosts that between matches.
type disruption struct {
	effect  effect
	between func(a, b string) bool
}

func (d *disruption) matches(a, b string) bool { return d.between(a, b) || d.between(b, a) }

// involving matches all connections of some hosts.
func involving(hosts ...string) func(a, b string) bool {
	return func(a, _ string) bool { return slices.Contains(hosts, a) }
}

// network connects hosts in memory, for a play in the time of a synctest bubble.
type network struct {
	mu          sync.Mutex
	random      *rand.Rand
	listeners   map[string]*memoryListener
	pairs       map[*connPair]struct{}
	disruptions []*disruption
	// links has the links of the hosts whose bandwidth is limited.
	links map[string]*link
	// changed is closed and replaced when a disruption ends.
	changed chan struct{}
}

func newNetwork(random *rand.Rand) *network {
	return &network{random: random, listeners: make(map[string]*memoryListener), pairs: make(map[*connPair]struct{}), links: make(map[string]*link), changed: make(chan struct{})}
}

// maxSegment is the number of bytes that arrive together on a limited link.
const maxSegment qhid.Bytes = 8 << 10

// link is the link of a host. What its connections receive shares the bandwidth.
type link struct {
	mu sync.Mutex
	// speed is the bandwidth.
	speed qhid.MegabitsPerSecond
	// freeAt is when the link has carried all segments so far.
	freeAt time.Time
}

// carry returns once the link has carried a segment, or ctx ends.
func (l *link) carry(ctx context.Context, length int) {
	l.mu.Lock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(8*length) / (float64(l.speed) * 1e6) * float64(time.Second)))
	wait := l.freeAt.Sub(now)
	l.mu.Unlock()
	qhgroup.Sleep(ctx, wait)
}

// limit limits the bandwidth of a host's link. It is called before the host is connected.
func (n *network) limit(host string, speed qhid.MegabitsPerSecond) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.links[host] = &link{speed: speed}
}

func (n *network) linkOf(host string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[host]
}

// disrupt starts a disruption and returns the function that ends it.
func (n *network) disrupt(d *disruption) func() {
	switch d.effect {
	case swallows:
		n.silence(1, d.matches)
	case resets:
		n.reset(d.matches)
	case holds, suspends:
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.disruptions = append(n.disruptions, d)
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.disruptions = slices.DeleteFunc(n.disruptions, func(other *disruption) bool { return other == d })
		close(n.changed)
		n.changed = make(chan struct{})
	}
}

// find returns the first disruption between two hosts, nil if there is none, and a
// channel that is closed when disruptions change.
func (n *network) find(a, b string) (*disruption, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range n.disruptions {
		if d.matches(a, b) {
			return d, n.changed
		}
	}
	return nil, n.changed
}

// matching returns a share of the open connections that match.
func (n *network) matching(share float64, matches func(a, b string) bool) []*connPair {
	n.mu.Lock()
	defer n.mu.Unlock()
	var pairs []*connPair
	for pair := range n.pairs {
		if matches(pair.client, pair.server) && n.random.Float64() < share {
			pairs = append(pairs, pair)
		}
	}
	return pairs
}

// silence makes a share of the open connections that match lose all bytes from now on.
func (n *network) silence(share float64, matches func(a, b string) bool) {
	for _, pair := range n.matching(share, matches) {
		pair.silence()
	}
}

// reset closes the open connections that match.
func (n *network) reset(matches func(a, b string) bool) {
	for _, pair := range n.matching(1, matches) {
		for _, end := range pair.ends {
			_ = end.Conn.Close() // a pipe
		}
	}
}

// connPair is a connection with its two ends.
type connPair struct {
	client, server string
	ends           [2]*networkConn
	silent         context.Context //nolint:containedctx // ends when the connection becomes silent
	silence        context.CancelFunc
}

// networkConn is one end of a connection.
type networkConn struct {
	net.Conn
	network  *network
	pair     *connPair
	from, to string
	closed   context.Context //nolint:containedctx // ends when this end is closed
	onClose  context.CancelFunc
}

// Write carries bytes over the receiver's link, if that is limited.
func (c *networkConn) Write(p []byte) (int, error) {
	limited := c.network.linkOf(c.to)
	if limited == nil {
		return c.writeSegment(p)
	}
	written := 0
	for written < len(p) {
		segment := p[written:min(len(p), written+int(maxSegment))]
		limited.carry(c.closed, len(segment))
		n, err := c.writeSegment(segment)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// writeSegment holds bytes back during a partition, and for a part of its length
// afterwards, as the backoff of TCP does.
func (c *networkConn) writeSegment(p []byte) (int, error) {
	start, held := time.Now(), false
	for {
		d, changed := c.network.find(c.from, c.to)
		if c.pair.silent.Err() != nil {
			return len(p), nil //nolint:nilerr // the sender does not notice
		}
		if d == nil || d.effect != holds && d.effect != suspends {
			break
		}
		held = held || d.effect == holds
		select {
		case <-changed:
		case <-c.pair.silent.Done():
		case <-c.closed.Done():
			return 0, net.ErrClosed
		}
	}
	if held {
		qhgroup.Sleep(c.closed, rand.N(time.Since(start)+1))
	}
	return c.Conn.Write(p)
}

// Close closes this end. The other end notices it only if the packet gets through.
func (c *networkConn) Close() error {
	c.onClose()
	c.network.mu.Lock()
	delete(c.network.pairs, c.pair)
	c.network.mu.Unlock()
	if d, _ := c.network.find(c.from, c.to); d == nil && c.pair.silent.Err() == nil {
		return c.Conn.Close()
	}
	return c.SetDeadline(time.Unix(1, 0))
}

// memoryListener accepts the connections that dial opens.
type memoryListener struct {
	accepted chan net.Conn
	closed   chan struct{}
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	close(l.closed)
	return nil
}

func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

func (n *network) listen(host string) *memoryListener {
	l := &memoryListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[host] = l
	return l
}

// dialFrom returns the dial function of a host.
func (n *network) dialFrom(host string, timeout time.Duration) qhstream.DialFunc {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		server, _, _ := strings.Cut(address, ":")
		for _, wait := range synRetransmissions {
			if d, _ := n.find(host, server); d == nil || d.effect != holds {
				return n.connect(ctx, host, server, d)
			}
			if !qhgroup.Sleep(ctx, wait) {
				break
			}
		}
		return nil, os.ErrDeadlineExceeded
	}
}

func (n *network) connect(ctx context.Context, client, server string, d *disruption) (net.Conn, error) {
	n.mu.Lock()
	listener := n.listeners[server]
	n.mu.Unlock()
	if listener == nil || d != nil && d.effect == resets {
		return nil, syscall.ECONNREFUSED
	}
	pair := n.newPair(client, server)
	if d != nil && d.effect == swallows {
		pair.silence()
	}
	select {
	case listener.accepted <- pair.ends[1]:
		return pair.ends[0], nil
	case <-listener.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *network) newPair(client, server string) *connPair {
	pair := &connPair{client: client, server: server}
	pair.silent, pair.silence = context.WithCancel(context.Background())
	a, b := net.Pipe()
	pair.ends = [2]*networkConn{{Conn: a, from: client, to: server}, {Conn: b, from: server, to: client}}
	for _, end := range pair.ends {
		end.network, end.pair = n, pair
		end.closed, end.onClose = context.WithCancel(context.Background())
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pairs[pair] = struct{}{}
	return pair
}

// serve serves HTTP on a host until the returned function is called.
func (n *network) serve(host string, handler http.Handler) func() {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	listener := n.listen(host)
	group, stop := qhgroup.New(context.Background())
	group.Go(func(context.Context) { _ = server.Serve(listener) }) // ends with ErrServerClosed
	return func() {
		n.mu.Lock()
		delete(n.listeners, host)
		n.mu.Unlock()
		_ = server.Close()
		stop()
	}
}

// networkNode describes a node to start on a network.
type networkNode struct {
	id    qhid.Node
	zone  qhid.Zone
	limit time.Duration
	// applyTime is how long the node takes to decode a configuration.
	applyTime time.Duration
	// log may be nil.
	log *zap.Logger
	// suspended is added to the clock of the node.
	suspended *atomic.Int64
}

// start starts the node. It uses the store through the client of qhplatform.
func (n networkNode) start(network *network) *testNode {
	address := qhid.Address(n.id + ":1")
	node := &testNode{holder: qhhold.New(qhhold.Options{Node: n.id})}
	node.members = qhmember.NewTable(qhmember.Options{Self: qhmember.Entry{
		Node: n.id, Zone: n.zone, PeerAddress: address, CallAddress: address, Incarnation: qhid.Incarnation(time.Now().UnixMilli()), Sequence: 1, State: qhmember.Up,
	}})
	store, closeStore := qhplatform.NewHTTP(qhplatform.HTTPOptions{
		BaseURL: "http://" + storeHost + ":1", RateLimit: 10, Dial: network.dialFrom(string(n.id), 2*time.Second),
	})
	started := time.Now()
	clock := func() qhclock.Instant {
		now := qhclock.Instant(time.Since(started))
		if n.suspended != nil {
			now = now.Add(time.Duration(n.suspended.Load()))
		}
		return now
	}
	client := newPeerClient(network.dialFrom(string(n.id), exchangeTimeout))
	feed, stopFeed := New(Options{
		ConfigKey: configKey, DecodeConfig: n.decode, Store: store, Holder: node.holder, Members: node.members,
		Seeds: func() []qhid.Address { return nil }, ConvergenceLimit: n.limit, PeerClient: client,
		Proof: qhkey.NewProof(0, clock), Log: cmp.Or(n.log, zap.NewNop()), Metrics: metrics.NewSet(),
	})
	node.feed = feed
	stopServer := network.serve(string(n.id), feed.Handler())
	node.stop = func() {
		stopFeed()
		client.CloseIdleConnections()
		closeStore()
		stopServer()
	}
	return node
}

func (n networkNode) decode(value []byte) (qhid.Version, qhconfig.Config, []qhconfig.Problem, error) {
	time.Sleep(n.applyTime)
	return decodeStoredConfig(value)
}
