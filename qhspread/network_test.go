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

// network passes bytes between nodes until a pair is cut. A cut connection goes
// silent both ways; it does not break.
type network struct {
	mu sync.Mutex
	// nodes has the node at each address.
	nodes map[qhid.Address]qhid.Node
	// cut tells whether two nodes are cut off from each other.
	cut func(a, b qhid.Node) bool
	// frozen has what stays silent for good, conns all connections.
	frozen map[net.Conn]bool
	conns  []net.Conn
	// lose tells which frames are lost on the way; nil for none.
	lose func(frame []byte) bool
}

func newNetwork() *network {
	return &network{nodes: make(map[qhid.Address]qhid.Node), cut: func(qhid.Node, qhid.Node) bool { return false }}
}

func (w *network) setCut(cut func(a, b qhid.Node) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
}

func (w *network) isCut(a, b qhid.Node) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut(a, b) || w.cut(b, a)
}

// freeze makes all connections of now silent for good; new ones work.
func (w *network) freeze() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.frozen = make(map[net.Conn]bool)
	for _, conn := range w.conns {
		w.frozen[conn] = true
	}
}

func (w *network) track(conn net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns = append(w.conns, conn)
}

func (w *network) isFrozen(conn net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.frozen[conn]
}

func (w *network) setLose(lose func(frame []byte) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lose = lose
}

func (w *network) lost(frame []byte) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lose != nil && w.lose(frame)
}

func (w *network) add(address qhid.Address, node qhid.Node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[address] = node
}

func (w *network) at(address qhid.Address) qhid.Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[address]
}

// dialer returns how a node opens connections.
func (w *network) dialer(from qhid.Node) func(context.Context, qhid.Address) (net.Conn, error) {
	return func(ctx context.Context, address qhid.Address) (net.Conn, error) {
		to := w.at(address)
		if w.isCut(from, to) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", string(address))
		if err != nil {
			return nil, err
		}
		w.track(conn)
		return &cutConn{
			Conn:   conn,
			silent: func() bool { return w.isCut(from, to) || w.isFrozen(conn) },
			lose:   w.lost,
			closed: make(chan struct{}),
			reader: bufio.NewReader(conn),
		}, nil
	}
}

// cutConn holds back bytes both ways while it is silent, and loses single frames.
type cutConn struct {
	net.Conn
	silent func() bool
	lose   func(frame []byte) bool
	closed chan struct{}
	once   sync.Once
	mu     sync.Mutex
	held   []byte
	reader *bufio.Reader
	rest   []byte
}

func (c *cutConn) Read(buf []byte) (int, error) {
	for len(c.rest) == 0 {
		frame, err := readFrame(c.reader)
		if err != nil {
			return 0, err
		}
		if !c.lose(frame) {
			c.rest = frame
		}
	}
	for c.silent() {
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		case <-time.After(time.Millisecond):
		}
	}
	n := copy(buf, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// readFrame returns a frame with its length.
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

func (c *cutConn) Write(buf []byte) (int, error) {
	if c.lose(buf) {
		return len(buf), nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held = append(c.held, buf...)
	if c.silent() {
		return len(buf), nil
	}
	_, err := c.Conn.Write(c.held)
	c.held = nil
	return len(buf), err
}

func (c *cutConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

func isNews(frame []byte) bool { return bytes.Contains(frame, []byte(`"method":"news"`)) }
