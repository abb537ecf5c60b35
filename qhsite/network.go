package qhsite

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"

	"quetzalhaven.dev/qherr"
	"quetzalhaven.dev/qhid"
)

// network hands out free loopback addresses. Where the system allows it, each
// VM has an IP number of its own, so that no other program takes its ports
// while a node is restarted.
type network struct {
	// prefix is the first three numbers of the site's addresses.
	prefix string
	hosts  int
	held   []net.Listener
}

const (
	minBlock = 1
	maxBlock = 255
)

func newNetwork() *network {
	block := func() int { return minBlock + rand.IntN(maxBlock-minBlock) }
	return &network{prefix: fmt.Sprintf("127.%d.%d", block(), block())}
}

// host returns the IP number of the next VM.
func (n *network) host(ctx context.Context) string {
	n.hosts++
	host := fmt.Sprintf("%s.%d", n.prefix, n.hosts)
	if listener, err := listen(ctx, host); err == nil {
		_ = listener.Close() // it was only tried
		return host
	}
	return "127.0.0.1" // systems with one loopback address
}

// address returns a free address of the host. It is held until release.
func (n *network) address(ctx context.Context, host string) (qhid.Address, error) {
	listener, err := listen(ctx, host)
	if err != nil {
		return "", qherr.New(qherr.Unavailable, err, "end other programs that listen on loopback", "there is no free port on %s", host)
	}
	n.held = append(n.held, listener)
	return qhid.Address(listener.Addr().String()), nil
}

// release frees the addresses for the processes that they were meant for.
func (n *network) release() {
	for _, listener := range n.held {
		_ = listener.Close() // nothing was accepted
	}
	n.held = nil
}

func listen(ctx context.Context, host string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", net.JoinHostPort(host, "0"))
}
