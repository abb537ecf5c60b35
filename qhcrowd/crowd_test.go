package qhcrowd_test

import (
	"context"
	"io"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"quetzalhaven.dev/qhid"
	"quetzalhaven.dev/qhsite"
)

const (
	// blockedTimeout is how long a client waits for a node that reads nothing more.
	blockedTimeout = 5 * time.Second
	// dialers is the number of connections that are opened at a time.
	dialers = 64
)

// script is what a client sends: head and then unit, until size bytes were sent.
type script struct {
	head, unit string
	size       int
}

// text returns a script that sends a text once.
func text(text string) script { return script{head: text, size: len(text)} }

// endless returns a script that sends head and then unit again and again.
func endless(head, unit string) script {
	return script{head: head, unit: unit, size: len(head) + endlessBytes}
}

// endlessBytes is how much is sent of what has no end.
const endlessBytes = 1 << 20

// send writes the script until the node closes the connection or reads nothing more.
func (s script) send(conn net.Conn) {
	unit := s.unit
	if unit != "" {
		unit = strings.Repeat(unit, 1+(16<<10)/len(unit))
	}
	for sent, next := 0, s.head; sent < s.size; next = unit {
		_ = conn.SetWriteDeadline(time.Now().Add(blockedTimeout)) // the write fails if the connection is closed
		n, err := conn.Write([]byte(next[:min(len(next), s.size-sent)]))
		if err != nil {
			return
		}
		sent += n
	}
}

// crowd is a number of open connections.
type crowd struct{ conns []net.Conn }

// newCrowd opens connections to an address, on each of which the script is sent. They stay
// open and read nothing until close.
func newCrowd(ctx context.Context, address qhid.Address, size int, script script) *crowd {
	GinkgoHelper()
	c := &crowd{conns: make([]net.Conn, size)}
	DeferCleanup(c.close)
	var dialing errgroup.Group
	dialing.SetLimit(dialers)
	for i := range c.conns {
		dialing.Go(func() error {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", string(address))
			c.conns[i] = conn
			return err
		})
	}
	Expect(dialing.Wait()).To(Succeed())
	var sending errgroup.Group
	for _, conn := range c.conns {
		sending.Go(func() error {
			script.send(conn)
			return nil
		})
	}
	_ = sending.Wait() // send returns no error
	return c
}

// startReturningCrowd starts clients that each send the script, wait until the node closes the
// connection, and come back, a number of times. The returned function ends them.
func startReturningCrowd(ctx context.Context, address qhid.Address, size, returns int, script script) func() {
	ctx, cancel := context.WithCancel(ctx)
	var clients errgroup.Group
	for range size {
		clients.Go(func() error {
			for range returns {
				conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", string(address))
				if err != nil {
					return nil //nolint:nilerr // the crowd has ended, or the node takes no connection
				}
				stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
				script.send(conn)
				_, _ = io.Copy(io.Discard, conn) // until the node closes it
				stop()
				_ = conn.Close()
			}
			return nil
		})
	}
	return func() {
		cancel()
		_ = clients.Wait() // the clients return no error
	}
}

// close closes the connections.
func (c *crowd) close() {
	for _, conn := range c.conns {
		if conn != nil {
			_ = conn.Close() // the node may have closed it
		}
	}
	c.conns = nil
}

// exchange sends a script on a connection of its own and returns what the node sends until
// it closes the connection.
func exchange(ctx context.Context, node *qhsite.Node, script script) (string, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", string(node.Settings.Listen.Callers))
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(eventTimeout)) // the read fails if the connection is closed
	script.send(conn)
	response, err := io.ReadAll(conn)
	return string(response), err
}
