package qhspread_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"quetzalhaven.dev/qhid"
)

// network connects nodes and simulates partitions. A partitioned connection
// stays open, but delivers nothing in either direction.
type network struct {
	mu sync.Mutex
	// nodes maps each address to its node.
	nodes map[qhid.Address]qhid.Node
	// partitioned reports whether two nodes are cut off from each other.
	partitioned func(a, b qhid.Node) bool
	// stalled holds the connections that deliver nothing any more, connections
	// all connections.
	stalled     map[net.Conn]bool
	connections []net.Conn
	// dropFrame reports which frames are lost; nil for none.
	dropFrame func(frame []byte) bool
}

func newNetwork() *network {
	return &network{nodes: make(map[qhid.Address]qhid.Node), partitioned: func(qhid.Node, qhid.Node) bool { return false }}
}

func (n *network) setPartition(partitioned func(a, b qhid.Node) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = partitioned
}

func (n *network) isPartitioned(a, b qhid.Node) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned(a, b) || n.partitioned(b, a)
}

// stallConnections stops delivery on all open connections for good; new
// connections work.
func (n *network) stallConnections() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stalled = make(map[net.Conn]bool)
	for _, conn := range n.connections {
		n.stalled[conn] = true
	}
}

func (n *network) track(conn net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.connections = append(n.connections, conn)
}

func (n *network) isStalled(conn net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stalled[conn]
}

func (n *network) setDropFrame(dropFrame func(frame []byte) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropFrame = dropFrame
}

func (n *network) drops(frame []byte) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dropFrame != nil && n.dropFrame(frame)
}

func (n *network) add(address qhid.Address, node qhid.Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[address] = node
}

func (n *network) nodeAt(address qhid.Address) qhid.Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[address]
}

// dialer returns the dial function of a node.
func (n *network) dialer(from qhid.Node) func(context.Context, qhid.Address) (net.Conn, error) {
	return func(ctx context.Context, address qhid.Address) (net.Conn, error) {
		to := n.nodeAt(address)
		if n.isPartitioned(from, to) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", string(address))
		if err != nil {
			return nil, err
		}
		n.track(conn)
		return &faultyConn{
			Conn:      conn,
			stalled:   func() bool { return n.isPartitioned(from, to) || n.isStalled(conn) },
			dropFrame: n.drops,
			closed:    make(chan struct{}),
			reader:    bufio.NewReader(conn),
		}, nil
	}
}

// faultyConn holds back bytes in both directions while it is stalled, and drops
// single frames.
type faultyConn struct {
	net.Conn
	stalled   func() bool
	dropFrame func(frame []byte) bool
	closed    chan struct{}
	once      sync.Once
	mu        sync.Mutex
	buffered  []byte
	reader    *bufio.Reader
	unread    []byte
}

func (c *faultyConn) Read(buf []byte) (int, error) {
	for len(c.unread) == 0 {
		frame, err := readFrame(c.reader)
		if err != nil {
			return 0, err
		}
		if !c.dropFrame(frame) {
			c.unread = frame
		}
	}
	for c.stalled() {
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		case <-time.After(time.Millisecond):
		}
	}
	n := copy(buf, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// readFrame returns a frame including its length prefix.
func readFrame(reader *bufio.Reader) ([]byte, error) {
	size, err := binary.ReadUvarint(reader)
	if err != nil {
		return nil, err
	}
	frame := binary.AppendUvarint(nil, size)
	body := make([]byte, size)
	_, err = io.ReadFull(reader, body)
	return append(frame, body...), err
}

func (c *faultyConn) Write(buf []byte) (int, error) {
	if c.dropFrame(buf) {
		return len(buf), nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.buffered = append(c.buffered, buf...)
	if c.stalled() {
		return len(buf), nil
	}
	_, err := c.Conn.Write(c.buffered)
	c.buffered = nil
	return len(buf), err
}

func (c *faultyConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func isMembershipUpdate(frame []byte) bool { return bytes.Contains(frame, []byte(`"method":"news"`)) }
